// Connecting and writing; see http_connection.h and http_connection_state.h.
#include "http_connection.h"

#include "../core/release_buffer.h"
#include "http_connection_state.h"

namespace grademux {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxIdleInputBytes = 1024;  // capacity that an idle connection keeps
constexpr int kReceiveBuffer = 32768;             // bytes; kernel buffers count as this sender's memory

}  // namespace

void HttpConnection::State::begin(HttpRequest request, Micros connect_limit, Micros limit, Done then) {
  const TimePoint now = Clock::now();
  started_at = now;
  deadline = now + std::chrono::microseconds(limit);
  begin_deadline = now + std::chrono::microseconds(std::min(limit, request.begin_within));
  const Micros write_limit = std::min({limit, request.write_within, request.begin_within});
  write_deadline = now + std::chrono::microseconds(write_limit);
  is_write_allowed = std::move(request.is_write_allowed);
  on_set_aside = std::move(request.on_set_aside);
  is_body_awaited = std::move(request.is_body_awaited);
  on_response_begun = std::move(request.on_response_begun);
  stall_limit = request.stall_limit;
  bytes_received = 0;
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

void HttpConnection::State::connect(std::uint64_t exchange, Micros limit) {
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

Micros HttpConnection::State::microsBetween(TimePoint from, TimePoint until) {
  return std::chrono::duration_cast<std::chrono::microseconds>(until - from).count();
}

Micros HttpConnection::State::remaining(TimePoint until) {
  return microsBetween(Clock::now(), until);
}

void HttpConnection::State::setTimer(std::uint64_t exchange, Micros span) {
  timer.expires_after(std::chrono::microseconds(std::max<Micros>(0, span)));
  timer.async_wait([self = shared_from_this(), exchange, number = ++timer_number](error_code error) {
    if (error || exchange != self->exchange_number || number != self->timer_number)
      return;
    self->onTimeout(exchange);
  });
}

bool HttpConnection::State::isIdle() {
  char byte;
  error_code error;
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

void HttpConnection::State::startWrite(std::uint64_t exchange) {
  if (is_write_allowed && !is_write_allowed())
    return finish(ExchangeResult::not_written);
  write(exchange);
}

void HttpConnection::State::write(std::uint64_t exchange) {
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
  setTimer(exchange, remaining(begin_deadline));
  read(exchange);
}

void HttpConnection::State::waitToWrite(std::uint64_t exchange) {
  socket.async_wait(tcp::socket::wait_write, [self = shared_from_this(), exchange](error_code error) {
    if (exchange != self->exchange_number)
      return;
    error ? self->finish(ExchangeResult::not_written) : self->write(exchange);
  });
}

void HttpConnection::State::close() {
  error_code ignored;
  open = false;
  socket.close(ignored);
  clearInput();
  history.clear();
}

void HttpConnection::State::clearInput() {
  in.clear();
  if (in.capacity() > kMaxIdleInputBytes)
    in.shrink_to_fit();
}

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

ExchangeProgress HttpConnection::progress() const {
  return state_->progress();
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
