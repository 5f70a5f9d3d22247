// See http_connection.h.
#include "http_connection.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <optional>

#include "../core/release_buffer.h"
#include "answer_reader.h"
#include "response_history.h"

namespace grademux {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadSize = 16384;          // bytes in one read
constexpr std::size_t kMaxIdleInputBytes = 1024;  // capacity that an idle connection keeps
constexpr int kMaxReads = 4;                      // reads in a row before other handlers run
constexpr int kReceiveBuffer = 32768;             // bytes; kernel buffers count as this sender's memory
constexpr Micros kResponseLimit = 400'000;        // microseconds from a response's first byte to its last
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

struct HttpConnection::State : std::enable_shared_from_this<State> {
  using Clock = std::chrono::steady_clock;
  using TimePoint = Clock::time_point;

  State(asio::io_context& io, tcp::endpoint p, std::string h, std::size_t b)
      : socket(io), timer(io), peer(std::move(p)), host(std::move(h)), body_limit(b) {}

  tcp::socket socket;
  asio::steady_timer timer;
  tcp::endpoint peer;
  std::string host;
  std::size_t body_limit;
  std::string in, out;
  std::size_t sent = 0;  // bytes of `out`
  std::optional<AnswerReader> reader;
  ResponseHistory history;  // of the open connection
  Done done;
  std::function<bool()> is_write_allowed;
  std::function<void(const HttpAnswer&)> on_set_aside;
  // Counters of exchanges started or finished and of timers set. A handler with an earlier number is ignored:
  // a handler that is already queued can't be cancelled.
  std::uint64_t exchange_number = 0, timer_number = 0;
  bool open = false, written = false, response_started = false, keep = false, reused = false;
  bool keeps_body = true;               // the body of the response is needed
  bool within_response = false;         // a response has begun, other than a complete interim response
  bool retry_after_received = false;    // the complete head of a 429 has arrived
  std::uint64_t response_digest = 0;    // of the complete response
  std::optional<HttpAnswer> set_aside;  // a response of the current exchange that is likely a late copy
  Micros earliest_response = 0;         // of the current request
  TimePoint deadline, write_deadline;
  TimePoint written_at, first_byte_at;  // of the current exchange, valid if `written`, `response_started`
  TimePoint set_aside_at;               // valid if `set_aside`
  TimePoint idle_since;                 // end of the previous exchange, valid if `reused`

  void begin(HttpRequest request, Micros connect_limit, Micros limit, Done then) {
    const TimePoint now = Clock::now();
    deadline = now + std::chrono::microseconds(limit);
    const Micros write_limit = std::min(limit, request.write_within);
    write_deadline = now + std::chrono::microseconds(write_limit);
    is_write_allowed = std::move(request.is_write_allowed);
    on_set_aside = std::move(request.on_set_aside);
    earliest_response = request.earliest_response;
    keeps_body = request.needs_response_body;
    out = serializeRequest(std::move(request), host);
    sent = 0;
    reader.emplace(body_limit, keeps_body);
    done = std::move(then);
    written = response_started = within_response = keep = retry_after_received = false;
    set_aside.reset();
    reused = open;
    const std::uint64_t exchange = ++exchange_number;
    if (!open)
      return connect(exchange, std::min(connect_limit, write_limit));
    setTimer(exchange, write_limit);
    asio::post(socket.get_executor(), [self = shared_from_this(), exchange, connect_limit] {
      if (exchange != self->exchange_number)
        return;
      if (self->isIdle())
        return self->startWrite(exchange);
      // The peer has closed the connection or sent unexpected bytes since the connection was chosen. Nothing
      // was written.
      self->close();
      self->reused = false;
      self->connect(exchange, std::min(connect_limit, remaining(self->write_deadline)));
    });
  }

  void connect(std::uint64_t exchange, Micros limit) {
    setTimer(exchange, limit);
    error_code unset;
    socket.open(peer.protocol(), unset);
    if (!unset)
      socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer), unset);
    socket.async_connect(peer, [self = shared_from_this(), exchange](error_code error) {
      if (exchange != self->exchange_number)
        return;
      if (error)
        return self->finish(ExchangeResult::not_written);
      self->open = true;
      error_code ignored;
      self->socket.set_option(tcp::no_delay(true), ignored);
      self->socket.non_blocking(true, ignored);
      self->setTimer(exchange, remaining(self->write_deadline));
      self->startWrite(exchange);
    });
  }

  static Micros microsBetween(TimePoint from, TimePoint until) {
    return std::chrono::duration_cast<std::chrono::microseconds>(until - from).count();
  }

  static Micros remaining(TimePoint until) { return microsBetween(Clock::now(), until); }

  void setTimer(std::uint64_t exchange, Micros span) {
    timer.expires_after(std::chrono::microseconds(std::max<Micros>(0, span)));
    timer.async_wait([self = shared_from_this(), exchange, number = ++timer_number](error_code error) {
      if (error || exchange != self->exchange_number || number != self->timer_number)
        return;
      self->onTimeout(exchange);
    });
  }

  void onTimeout(std::uint64_t exchange) {
    if (!written)
      return finish(ExchangeResult::not_written);
    const bool was_within_response = within_response;
    // The response may have arrived in time if this process was late to read it.
    if (readAvailable(exchange))
      return;
    if (within_response && !was_within_response)
      return setTimer(exchange, retry_after_received ? kRetryAfterResponseLimit : kResponseLimit);
    within_response ? end(AnswerReader::State::malformed) : finish(ExchangeResult::timed_out);
  }

  // Whether the socket has nothing to read: neither unexpected bytes nor the end of the stream.
  bool isIdle() {
    char byte;
    error_code error;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
  }

  void startWrite(std::uint64_t exchange) {
    if (is_write_allowed && !is_write_allowed())
      return finish(ExchangeResult::not_written);
    write(exchange);
  }

  // Writes without waiting. `written` becomes true right after the call that passes the last byte to the
  // kernel, so that any event that ends the exchange can tell whether the request may have run.
  void write(std::uint64_t exchange) {
    while (sent < out.size()) {
      if (Clock::now() >= write_deadline)
        return finish(ExchangeResult::not_written);
      error_code error;
      sent += socket.write_some(asio::buffer(out.data() + sent, out.size() - sent), error);
      if (error == asio::error::would_block || error == asio::error::try_again)
        return waitToWrite(exchange);
      if (error)
        return finish(ExchangeResult::not_written);
    }
    written = true;
    written_at = Clock::now();
    releaseBuffer(out);
    setTimer(exchange, remaining(deadline));
    read(exchange);
  }

  void waitToWrite(std::uint64_t exchange) {
    socket.async_wait(tcp::socket::wait_write, [self = shared_from_this(), exchange](error_code error) {
      if (exchange != self->exchange_number)
        return;
      error ? self->finish(ExchangeResult::not_written) : self->write(exchange);
    });
  }

  void read(std::uint64_t exchange) {
    socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), exchange](error_code error) {
      if (exchange != self->exchange_number)
        return;
      if (error)
        return self->end(AnswerReader::State::malformed);
      if (!self->readAvailable(exchange))
        self->read(exchange);
    });
  }

  // Reads the bytes that have arrived, without waiting. Returns true if they ended the exchange.
  bool readAvailable(std::uint64_t exchange) {
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
      if (!response_started)
        first_byte_at = Clock::now();
      response_started = true;
      in.append(buffer, size);
      if (parseResponses(exchange))
        return true;
    }
    return false;
  }

  // Parses the bytes in `in`. Returns true if they ended the exchange.
  bool parseResponses(std::uint64_t exchange) {
    for (;;) {
      const AnswerReader::State state = reader->parse(in);
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

  // HTTP/1.1 has no identifier that relates a response to its request (RFC 9112, section 9.2): time and
  // content are the only signs.
  bool isLateCopy() const { return isImplausiblyEarly() && history.contains(response_digest); }

  // Whether the response on a reused connection began sooner than the peer can have answered this request.
  bool isImplausiblyEarly() const {
    return reused && response_started && microsBetween(written_at, first_byte_at) < earliest_response;
  }

  // Whether the part of a response that has arrived confirms that the request was executed.
  bool isConfirmedByStatus() const {
    const bool may_be_copy = isImplausiblyEarly() && history.containsStatus(kOk);
    return reader->hasStatus200() && !may_be_copy;
  }

  // Sets the likely late copy aside and goes on with the bytes after it. The connection is not used again.
  void setResponseAside(std::uint64_t exchange) {
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

  // The time until the exchange ends without another response.
  Micros timeLeft() const { return remaining(deadline) - (set_aside ? kSettleMargin : 0); }

  // Limits the time for the rest of a partial response. Between an interim response and the final one, the
  // limit is that of the exchange: the endpoint is still executing the request.
  void setResponseTimer(std::uint64_t exchange) {
    const bool has_begun = reader->isWithinResponse() && !within_response;
    const bool was_interim = !reader->isWithinResponse() && within_response;
    within_response = reader->isWithinResponse();
    const bool has_retry_after_head =
        reader->isHeadComplete() && reader->head().result_int() == kTooManyRequests;
    if (has_retry_after_head && !retry_after_received) {
      retry_after_received = true;
      setTimer(exchange, std::min(kRetryAfterResponseLimit, timeLeft()));
    } else if (has_begun) {
      setTimer(exchange, std::min(kResponseLimit, timeLeft()));
    } else if (was_interim) {
      setTimer(exchange, timeLeft());
    }
  }

  void end(AnswerReader::State state) {
    const bool complete = state == AnswerReader::State::complete;
    finish(complete || isConfirmedByStatus() ? ExchangeResult::answered : ExchangeResult::broken, complete);
  }

  // Whether the response that is set aside is taken for the request's own: no other one has come. Bytes that
  // begin no response are none, and neither is the beginning of a second 200.
  bool takesSetAside(bool complete) const {
    if (!set_aside || complete)
      return false;
    const bool repeats_status = set_aside->head_status == static_cast<int>(kOk) && reader->hasStatus200();
    return !reader->hasBegunResponse() || repeats_status;
  }

  HttpAnswer takeSetAside() const {
    HttpAnswer answer = *set_aside;
    answer.was_set_aside = true;
    answer.set_aside_for = microsBetween(set_aside_at, Clock::now());
    return answer;
  }

  void finish(ExchangeResult how, bool complete = false) {
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

  HttpAnswer buildAnswer(ExchangeResult how, bool complete) const {
    HttpAnswer answer;
    answer.how = how;
    answer.complete = complete;
    answer.response_started = response_started;
    answer.reused = reused;
    answer.repeats_earlier = complete && history.contains(response_digest);
    answer.discarded_copy = set_aside.has_value();
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
      answer.status = complete ? answer.head_status : 200;
    if (complete)
      answer.body = reader->head().body();
    return answer;
  }

  std::optional<HttpAnswer> cancel() {
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

  HttpAnswer settle() {
    HttpAnswer last;
    done = [&last](const HttpAnswer& answer) { last = answer; };
    if (!readAvailable(exchange_number))
      finish(isConfirmedByStatus() ? ExchangeResult::answered : ExchangeResult::timed_out);
    return last;
  }

  void close() {
    error_code ignored;
    open = false;
    socket.close(ignored);
    clearInput();
    history.clear();
  }

  void clearInput() {
    in.clear();
    if (in.capacity() > kMaxIdleInputBytes)
      in.shrink_to_fit();
  }
};

HttpConnection::HttpConnection(asio::io_context& io, tcp::endpoint peer, std::string host,
                               std::size_t body_limit)
    : state_(std::make_shared<State>(io, std::move(peer), std::move(host), body_limit)) {}

HttpConnection::~HttpConnection() {
  ++state_->exchange_number;
  state_->done = nullptr;
  state_->timer.cancel();
  state_->close();
}

void HttpConnection::exchange(HttpRequest request, Micros connect_limit, Micros limit, Done done) {
  state_->begin(std::move(request), connect_limit, limit, std::move(done));
}

std::optional<HttpAnswer> HttpConnection::cancel() {
  return state_->cancel();
}

bool HttpConnection::hasResponseSetAside() const {
  return state_->done && state_->set_aside;
}

HttpAnswer HttpConnection::settle() {
  return state_->settle();
}

bool HttpConnection::isWritten() const {
  return state_->written;
}

// A close by the peer or unexpected bytes make the socket readable. Guards against writing a request to a
// closed connection: the exchange would end as a reset, and the request might have run.
bool HttpConnection::isReusable() const {
  if (!state_->open || state_->done)
    return false;
  error_code error;
  state_->socket.non_blocking(true, error);
  return !error && state_->isIdle();
}

}  // namespace grademux
