// The responses of an exchange: which one is the request's own, and how the exchange ends. See
// http_connection_state.h.
#include <utility>

#include "../core/release_buffer.h"
#include "http_connection_state.h"

namespace grademux {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadSize = 16384;  // bytes in one read
constexpr int kMaxReads = 4;              // reads in a row before other handlers run
// The limit for the rest of a 429 response, in microseconds from its complete head on: the Retry-After time
// runs from when the response was written, and no other attempt learns of it until the exchange is finished.
constexpr Micros kRetryAfterResponseLimit = 30'000;
// A response that is set aside is taken this long before the limit of its exchange, in microseconds: the
// limit may be the deadline of the message, which would end undelivered there.
constexpr Micros kSettleMargin = 20'000;
constexpr unsigned kOk = 200, kTooManyRequests = 429;

std::string toLower(std::string text) {
  for (char& c : text)
    if (c >= 'A' && c <= 'Z')
      c = static_cast<char>(c - 'A' + 'a');
  return text;
}

}  // namespace

void HttpConnection::State::onTimeout(std::uint64_t exchange) {
  if (!written)
    return finish(ExchangeResult::not_written);
  const bool was_within_response = within_response;
  const std::size_t received_before = bytes_received;
  // The response may have arrived in time if this process was late to read it.
  if (readAvailable(exchange))
    return;
  if (within_response && !was_within_response)
    return setTimer(exchange, retry_after_received ? kRetryAfterResponseLimit : stall_limit);
  if (bytes_received > received_before && !retry_after_received && timeLeft() > 0)
    return;  // the response made progress: its timer is set
  within_response ? end(AnswerReader::State::malformed) : finish(ExchangeResult::timed_out);
}

void HttpConnection::State::read(std::uint64_t exchange) {
  socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), exchange](error_code error) {
    if (exchange != self->exchange_number)
      return;
    if (error)
      return self->end(AnswerReader::State::malformed);
    if (!self->readAvailable(exchange))
      self->read(exchange);
  });
}

bool HttpConnection::State::readAvailable(std::uint64_t exchange) {
  static char buffer[kReadSize];  // shared by the single loop thread: a waiting connection holds no buffer
  for (int reads = 0; reads < kMaxReads; ++reads) {
    error_code error;
    const std::size_t size = socket.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block || error == asio::error::try_again)
      return false;
    if (error) {
      end(error == asio::error::eof ? reader->parseEnd() : AnswerReader::State::malformed);
      return true;
    }
    recordReceived(size);
    in.append(buffer, size);
    if (parseResponses(exchange))
      return true;
  }
  return false;
}

void HttpConnection::State::recordReceived(std::size_t size) {
  const bool is_first = bytes_received == 0;
  bytes_received += size;
  last_byte_at = Clock::now();
  if (!response_started)
    first_byte_at = last_byte_at;
  response_started = true;
  if (is_first && on_response_begun)
    on_response_begun();
}

bool HttpConnection::State::parseResponses(std::uint64_t exchange) {
  for (;;) {
    const AnswerReader::State state = reader->parse(in);
    if (state == AnswerReader::State::partial && isHeadEnough()) {
      finish(ExchangeResult::answered);
      return true;
    }
    if (state == AnswerReader::State::partial) {
      setResponseTimer(exchange);
      return false;
    }
    const bool complete = state == AnswerReader::State::complete;
    if (complete)
      response_digest = responseDigest(reader->head(), reader->droppedBodyDigest());
    if (!complete || !isLateCopy()) {
      keep = complete && reader->keepAlive() && in.empty() && !set_aside;
      end(state);
      return true;
    }
    setResponseAside(exchange);
  }
}

bool HttpConnection::State::isLateCopy() const {
  return isImplausiblyEarly() && history.contains(response_digest);
}

bool HttpConnection::State::isImplausiblyEarly() const {
  return reused && response_started && microsBetween(written_at, first_byte_at) < earliest_response;
}

bool HttpConnection::State::isConfirmedByStatus() const {
  const bool may_be_copy = isImplausiblyEarly() && history.containsStatus(kOk);
  return reader->hasStatus200() && !may_be_copy;
}

void HttpConnection::State::setResponseAside(std::uint64_t exchange) {
  set_aside = buildAnswer(ExchangeResult::answered, true);
  set_aside_at = Clock::now();
  response_started = within_response = retry_after_received = false;
  reader.emplace(body_limit, keeps_body);
  if (!in.empty()) {
    response_started = true;
    first_byte_at = Clock::now();
  }
  setTimer(exchange, timeLeft());
  if (on_set_aside)
    on_set_aside(*set_aside);
}

Micros HttpConnection::State::timeLeft() const {
  return remaining(deadline) - (set_aside ? kSettleMargin : 0);
}

void HttpConnection::State::setResponseTimer(std::uint64_t exchange) {
  const bool was_interim = !reader->isWithinResponse() && within_response;
  within_response = reader->isWithinResponse();
  const bool has_retry_after_head =
      reader->isHeadComplete() && reader->head().result_int() == kTooManyRequests;
  if (has_retry_after_head && !retry_after_received) {
    retry_after_received = true;
    setTimer(exchange, std::min(kRetryAfterResponseLimit, timeLeft()));
  } else if (within_response && !retry_after_received) {
    setTimer(exchange, std::min(stall_limit, timeLeft()));
  } else if (was_interim) {
    setTimer(exchange, timeLeft());
  }
}

bool HttpConnection::State::isHeadEnough() const {
  return is_body_awaited && reader->isHeadComplete() &&
         !is_body_awaited(static_cast<int>(reader->head().result_int()));
}

void HttpConnection::State::end(AnswerReader::State state) {
  const bool complete = state == AnswerReader::State::complete;
  finish(complete || isConfirmedByStatus() ? ExchangeResult::answered : ExchangeResult::broken, complete);
}

bool HttpConnection::State::takesSetAside(bool complete) const {
  if (!set_aside || complete)
    return false;
  const bool repeats_status = set_aside->head_status == static_cast<int>(kOk) && reader->hasStatus200();
  return !reader->hasBegunResponse() || repeats_status;
}

HttpAnswer HttpConnection::State::takeSetAside() const {
  HttpAnswer answer = *set_aside;
  answer.was_set_aside = true;
  answer.set_aside_for = microsBetween(set_aside_at, Clock::now());
  return answer;
}

void HttpConnection::State::finish(ExchangeResult how, bool complete) {
  ++exchange_number;
  timer.cancel();
  const HttpAnswer answer = takesSetAside(complete) ? takeSetAside() : buildAnswer(how, complete);
  if (keep)
    history.add(response_digest, reader->head().result_int());
  reader.reset();
  clearInput();
  releaseBuffer(out);
  idle_since = Clock::now();
  if (!keep)
    close();
  Done then = std::move(done);
  done = nullptr;
  if (then)
    then(answer);
}

HttpAnswer HttpConnection::State::buildAnswer(ExchangeResult how, bool complete) const {
  HttpAnswer answer;
  answer.how = how;
  answer.complete = complete;
  answer.response_started = response_started;
  answer.reused = reused;
  answer.repeats_earlier = complete && history.contains(response_digest);
  answer.discarded_copy = set_aside.has_value();
  answer.progress = progress();
  answer.status_line = reader->statusLine();
  if (written && reused)
    answer.idle_time = microsBetween(idle_since, written_at);
  if (written && response_started)
    answer.first_byte_delay = microsBetween(written_at, first_byte_at);
  if (reader->isHeadComplete()) {
    answer.head_status = static_cast<int>(reader->head().result_int());
    for (const auto& field : reader->head())
      answer.fields.emplace_back(toLower(std::string(field.name_string())), std::string(field.value()));
  }
  if (how == ExchangeResult::answered)
    answer.status = answer.head_status > 0 ? answer.head_status : static_cast<int>(kOk);
  if (complete)
    answer.body = reader->head().body();
  return answer;
}

ExchangeProgress HttpConnection::State::progress() const {
  const TimePoint now = Clock::now();
  ExchangeProgress progress;
  progress.bytes_received = bytes_received;
  progress.since_start = microsBetween(started_at, now);
  if (bytes_received > 0) {
    progress.since_first_byte = microsBetween(first_byte_at, now);
    progress.since_last_byte = microsBetween(last_byte_at, now);
  }
  return progress;
}

std::optional<HttpAnswer> HttpConnection::State::cancel() {
  HttpAnswer last;
  Done original = std::exchange(done, [&last](const HttpAnswer& answer) { last = answer; });
  if (!written) {
    finish(ExchangeResult::not_written);
  } else if (!readAvailable(exchange_number)) {
    if (set_aside) {
      done = std::move(original);
      return std::nullopt;
    }
    finish(isConfirmedByStatus() ? ExchangeResult::answered : ExchangeResult::timed_out);
  }
  return last;
}

HttpAnswer HttpConnection::State::settle() {
  HttpAnswer last;
  done = [&last](const HttpAnswer& answer) { last = answer; };
  if (!readAvailable(exchange_number))
    finish(isConfirmedByStatus() ? ExchangeResult::answered : ExchangeResult::timed_out);
  return last;
}

}  // namespace grademux
