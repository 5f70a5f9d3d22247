// grademux: HTTP client connections; see http_connection.h.
#include "http_connection.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>

#include "answer_reader.h"

namespace grademux {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t kPiece = 16384;     // bytes read at once
constexpr int kMostPieces = 4;            // read before others have their turn
constexpr int kReceiveBuffer = 32768;     // bytes; what the kernel buffers counts as this sender's memory
constexpr Micros kAnswerLimit = 400'000;  // from an answer's first byte to its last
// The same of an answer that tells to wait, from its head on: the wait runs from when it was written, and is
// known to nobody else until the exchange is over.
constexpr Micros kWaitAnswerLimit = 30'000;
constexpr unsigned kTooManyRequests = 429;

std::string lower(std::string text) {
  for (char& c : text)
    if (c >= 'A' && c <= 'Z')
      c = static_cast<char>(c - 'A' + 'a');
  return text;
}

std::string bytesOf(HttpRequest request, const std::string& host) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, host);
  for (const auto& [name, value] : request.fields)
    message.set(name, value);
  message.body() = std::move(request.body);
  message.prepare_payload();
  std::string bytes;
  http::request_serializer<http::string_body> serializer(message);
  while (!serializer.is_done()) {
    error_code error;
    serializer.next(error, [&](error_code&, const auto& buffers) {
      bytes += boost::beast::buffers_to_string(buffers);
      serializer.consume(boost::beast::buffer_bytes(buffers));
    });
    if (error)
      break;
  }
  return bytes;
}

}  // namespace

const std::string* HttpAnswer::field(const std::string& name) const {
  for (const auto& [known, value] : fields)
    if (known == name)
      return &value;
  return nullptr;
}

struct HttpConnection::State : std::enable_shared_from_this<State> {
  using Clock = std::chrono::steady_clock;
  using Moment = Clock::time_point;

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
  Done done;
  std::function<bool()> may_begin;
  // Exchanges begun or over, and timers set: what belongs to an earlier one is ignored. A handler that is
  // queued already can't be cancelled any more.
  std::uint64_t exchange_number = 0, timer_number = 0;
  bool open = false, written = false, begun = false, keep = false, reused = false;
  bool wait_told = false;  // the head of a 429 has come
  Moment ends, write_ends;

  void begin(HttpRequest request, Micros connect_limit, Micros limit, Done then) {
    const Moment now = Clock::now();
    ends = now + std::chrono::microseconds(limit);
    const Micros write_limit = std::min(limit, request.write_within);
    write_ends = now + std::chrono::microseconds(write_limit);
    may_begin = std::move(request.may_begin);
    out = bytesOf(std::move(request), host);
    sent = 0;
    reader.emplace(body_limit);
    done = std::move(then);
    written = begun = keep = wait_told = false;
    reused = open;
    const std::uint64_t mine = ++exchange_number;
    if (!open)
      return connect(mine, std::min(connect_limit, write_limit));
    setTimer(mine, write_limit);
    asio::post(socket.get_executor(), [self = shared_from_this(), mine, connect_limit] {
      if (mine != self->exchange_number)
        return;
      if (self->quiet())
        return self->beginWrite(mine);
      // The other side has closed it, or sent half a line, since it was chosen. Nothing was written.
      self->close();
      self->reused = false;
      self->connect(mine, std::min(connect_limit, left(self->write_ends)));
    });
  }

  void connect(std::uint64_t mine, Micros limit) {
    setTimer(mine, limit);
    error_code unset;
    socket.open(peer.protocol(), unset);
    if (!unset)
      socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer), unset);
    socket.async_connect(peer, [self = shared_from_this(), mine](error_code error) {
      if (mine != self->exchange_number)
        return;
      if (error)
        return self->finish(Exchanged::not_written);
      self->open = true;
      error_code ignored;
      self->socket.set_option(tcp::no_delay(true), ignored);
      self->socket.non_blocking(true, ignored);
      self->setTimer(mine, left(self->write_ends));
      self->beginWrite(mine);
    });
  }

  static Micros left(Moment until) {
    return std::chrono::duration_cast<std::chrono::microseconds>(until - Clock::now()).count();
  }

  void setTimer(std::uint64_t mine, Micros span) {
    timer.expires_after(std::chrono::microseconds(std::max<Micros>(0, span)));
    timer.async_wait([self = shared_from_this(), mine, number = ++timer_number](error_code error) {
      if (error || mine != self->exchange_number || number != self->timer_number)
        return;
      self->timeIsUp(mine);
    });
  }

  void timeIsUp(std::uint64_t mine) {
    if (!written)
      return finish(Exchanged::not_written);
    const bool had_begun = begun;
    // This process, not the other side, may have been late.
    if (readAvailable(mine))
      return;
    if (begun && !had_begun)
      return setTimer(mine, wait_told ? kWaitAnswerLimit : kAnswerLimit);
    begun ? end(AnswerReader::State::spoilt) : finish(Exchanged::timed_out);
  }

  // Nothing has come that no request asked for, nor the end of the connection.
  bool quiet() {
    char byte;
    error_code error;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
  }

  void beginWrite(std::uint64_t mine) {
    if (may_begin && !may_begin())
      return finish(Exchanged::not_written);
    write(mine);
  }

  // Written step by step: `written` is true from the very call that hands the last byte to the system, so
  // that whatever ends the exchange in between knows whether it may have run.
  void write(std::uint64_t mine) {
    while (sent < out.size()) {
      if (Clock::now() >= write_ends)
        return finish(Exchanged::not_written);
      error_code error;
      sent += socket.write_some(asio::buffer(out.data() + sent, out.size() - sent), error);
      if (error == asio::error::would_block || error == asio::error::try_again)
        return writeLater(mine);
      if (error)
        return finish(Exchanged::not_written);
    }
    written = true;
    out = {};
    setTimer(mine, left(ends));
    read(mine);
  }

  void writeLater(std::uint64_t mine) {
    socket.async_wait(tcp::socket::wait_write, [self = shared_from_this(), mine](error_code error) {
      if (mine != self->exchange_number)
        return;
      error ? self->finish(Exchanged::not_written) : self->write(mine);
    });
  }

  void read(std::uint64_t mine) {
    socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), mine](error_code error) {
      if (mine != self->exchange_number)
        return;
      if (error)
        return self->end(AnswerReader::State::spoilt);
      if (!self->readAvailable(mine))
        self->read(mine);
    });
  }

  // Reads what has come, without waiting. True: that has ended the exchange.
  bool readAvailable(std::uint64_t mine) {
    static char piece[kPiece];  // one loop, one thread: a connection that waits holds no buffer
    for (int pieces = 0; pieces < kMostPieces; ++pieces) {
      error_code error;
      const std::size_t size = socket.read_some(asio::buffer(piece), error);
      if (error == asio::error::would_block || error == asio::error::try_again)
        return false;
      if (error) {
        end(error == asio::error::eof ? reader->end() : AnswerReader::State::spoilt);
        return true;
      }
      const bool first = !begun;
      begun = true;
      in.append(piece, size);
      const AnswerReader::State state = reader->take(in);
      if (state != AnswerReader::State::partial) {
        keep = state == AnswerReader::State::whole && reader->keepAlive() && in.empty();
        end(state);
        return true;
      }
      limitAnswer(mine, first);
    }
    return false;
  }

  // A part of the answer has come; `first`: there was none before.
  void limitAnswer(std::uint64_t mine, bool first) {
    const bool tells_wait = reader->headDone() && reader->head().result_int() == kTooManyRequests;
    if (tells_wait && !wait_told) {
      wait_told = true;
      setTimer(mine, std::min(kWaitAnswerLimit, left(ends)));
    } else if (first) {
      setTimer(mine, std::min(kAnswerLimit, left(ends)));
    }
  }

  void end(AnswerReader::State state) {
    const bool whole = state == AnswerReader::State::whole;
    finish(whole || reader->says200() ? Exchanged::answered : Exchanged::broken, whole);
  }

  void finish(Exchanged how, bool whole = false) {
    ++exchange_number;
    timer.cancel();
    HttpAnswer answer = answerNow(how, whole);
    reader.reset();
    in.clear();
    out = {};
    if (!keep)
      close();
    Done then = std::move(done);
    done = nullptr;
    if (then)
      then(answer);
  }

  HttpAnswer answerNow(Exchanged how, bool whole) const {
    HttpAnswer answer;
    answer.how = how;
    answer.whole = whole;
    answer.begun = begun;
    answer.reused = reused;
    if (reader->headDone()) {
      answer.head_status = static_cast<int>(reader->head().result_int());
      for (const auto& field : reader->head())
        answer.fields.emplace_back(lower(std::string(field.name_string())), std::string(field.value()));
    }
    if (how == Exchanged::answered)
      answer.status = whole ? answer.head_status : 200;
    if (whole)
      answer.body = reader->head().body();
    return answer;
  }

  HttpAnswer abandon() {
    HttpAnswer last;
    done = [&last](const HttpAnswer& answer) { last = answer; };
    if (!written)
      finish(Exchanged::not_written);
    else if (!readAvailable(exchange_number))
      finish(Exchanged::timed_out);
    return last;
  }

  void close() {
    error_code ignored;
    open = false;
    socket.close(ignored);
    in.clear();
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

HttpAnswer HttpConnection::abandon() {
  return state_->abandon();
}

bool HttpConnection::written() const {
  return state_->written;
}

// What the other side has closed, or sent unasked, shows as something to read. Guards against a request
// written to a connection that is gone: it would end as a reset and might have run.
bool HttpConnection::reusable() const {
  if (!state_->open || state_->done)
    return false;
  error_code error;
  state_->socket.non_blocking(true, error);
  return !error && state_->quiet();
}

}  // namespace grademux
