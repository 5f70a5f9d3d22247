// HttpSession: reading and writing; see http_session.h.
#include "http_session.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "../../core/clock.h"
#include "../../core/release_buffer.h"
#include "../listener.h"

namespace grademux {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace http_listener;

namespace {

constexpr std::size_t kMaxHeldBytes = 65536;   // bytes of pending responses at which reading stops
constexpr std::size_t kReadAheadBytes = 2048;  // the most that is read outside the body of a request
constexpr int kMaxClientErrors = 64;           // in a row, then the connection is closed
constexpr int kTooManyRequests = 429;

}  // namespace

HttpSession::HttpSession(HttpSessionOwner& owner, tcp::socket socket, std::int64_t number)
    : owner_(owner),
      socket_(std::move(socket)),
      number_(number),
      since_(monotonicNow()),
      memory_(owner.memory(), *this, kConnectionBytes) {}

// ---- reading

bool HttpSession::mayRead() const {
  if (output_.size() + responses_.heldBytes() >= kMaxHeldBytes)
    return false;
  // A client that has closed its sending side may have gone away: the first response shows it, by the reset
  // that a closed socket answers with, before the next request is passed on.
  if (batch_)
    return batch_->openLines() < (client_finished_ ? 1 : owner_.limits().batch_window);
  return responses_.size() < (client_finished_ ? 1 : std::max<std::size_t>(1, owner_.limits().pipeline));
}

// Returns false if the client has gone away: its unanswered requests are dropped, as it may have sent them
// again elsewhere.
bool HttpSession::noteClientSide() {
  const ClientSide side = clientSideOf(socket_);
  client_finished_ = client_finished_ || side == ClientSide::finished_sending;
  return side != ClientSide::gone;
}

void HttpSession::waitToRead() {
  if (waiting_to_read_ || !open_ || input_ended_)
    return;
  waiting_to_read_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    self->waiting_to_read_ = false;
    if (!self->open_ || error == asio::error::operation_aborted)
      return;
    error ? self->close() : self->read();
  });
}

bool HttpSession::isReadingBody() const {
  return !batch_ && parser_.isActive() && parser_.isHeadComplete();
}

// The part of the announced body that has not been read.
std::size_t HttpSession::missingBodyBytes() const {
  if (!isReadingBody())
    return 0;
  return parser_.contentLength() - std::min<std::size_t>(parser_.contentLength(), body_.size());
}

// Reads what has arrived into the owner's buffer, as far as there is memory for it. Returns 0 without an
// error if there is none: onMemoryAvailable() continues.
std::size_t HttpSession::readAvailable(error_code& error) {
  std::vector<char>& buffer = owner_.readBuffer();
  if (graceful_close_.isStarted())
    return socket_.read_some(asio::buffer(buffer), error);
  const std::size_t missing = missingBodyBytes();
  const std::size_t max_size = std::min(std::max(missing, kReadAheadBytes), buffer.size());
  const std::size_t body_capacity = isReadingBody() ? body_.size() + missing : 0;
  const std::size_t body_growth = body_capacity - std::min(body_capacity, body_.capacity());
  if (!memory_.reserve(memoryBytes() + max_size + body_growth, monotonicNow()))
    return 0;
  if (body_growth > 0)
    body_.reserve(body_capacity);
  return socket_.read_some(asio::buffer(buffer.data(), max_size), error);
}

void HttpSession::read() {
  error_code error;
  const std::size_t size = readAvailable(error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    reportMemory();
    return waitToRead();
  }
  if (error == asio::error::eof)
    return onEndOfInput();
  if (error)
    return close();
  if (graceful_close_.isStarted())
    return graceful_close_.discard(size) ? close() : waitToRead();
  if (size == 0)
    return;
  input_.append(owner_.readBuffer().data(), size);
  processInput();
}

// A client may close its sending side and still read, so its requests are answered.
void HttpSession::onEndOfInput() {
  input_ended_ = true;
  if (graceful_close_.isStarted() || (responses_.empty() && !writing_))
    return close();
  if (batch_ && !batch_->isInputComplete())
    return abortBatch({400, "malformed-request", "the batch did not come to its end"});
  last_request_read_ = true;
  responses_.closeAfterLast();
  flush();
}

// For Submission::is_abandoned.
std::function<bool()> HttpSession::abandonedCheck() {
  return [weak_session = weak_from_this()] {
    const auto session = weak_session.lock();
    return !session || !session->open_ || clientSideOf(session->socket_) == ClientSide::gone;
  };
}

// Parses the received input as far as the bounds allow, then waits for more.
void HttpSession::processInput() {
  while (open_ && !last_request_read_ && parsed_ < input_.size()) {
    if (!noteClientSide())
      return close();
    if (!mayRead() || !parseStep())
      break;
  }
  if (!open_)
    return;
  input_.erase(0, last_request_read_ ? input_.size() : parsed_);
  input_.shrink_to_fit();
  parsed_ = 0;
  flush();
  if (open_ && !last_request_read_ && mayRead())
    waitToRead();
  reportIdle();
  reportMemory();
}

// Schedules processInput() on the loop, for callers that may run within processInput().
void HttpSession::processInputLater() {
  if (process_scheduled_ || !open_)
    return;
  process_scheduled_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->process_scheduled_ = false;
    if (self->open_ && !self->graceful_close_.isStarted())
      self->processInput();
  });
}

// Returns false if more bytes are needed, or if the request was rejected.
bool HttpSession::parseStep() {
  if (!parser_.isActive()) {
    if (input_[parsed_] == '\r' || input_[parsed_] == '\n') {  // RFC 9112, section 2.2
      ++parsed_;
      return true;
    }
    parser_.start();
    since_ = monotonicNow();
  }
  const RequestParser::Step step = parser_.parse(std::string_view(input_).substr(parsed_));
  parsed_ += step.consumed;
  if (step.problem) {
    rejectRequest(*step.problem);
    return false;
  }
  if (!step.body.empty() && !onBody(step.body))
    return false;
  if (step.head_complete && !onHead())
    return false;
  if (step.complete) {
    onRequestRead();
    return open_;
  }
  return step.consumed > 0;
}

// ---- writing

void HttpSession::answer(const ResponsePointer& response, const Response& content) {
  if (!open_ || response->complete)
    return;
  render(response, content);
  flush();
}

void HttpSession::render(const ResponsePointer& response, const Response& content) {
  const bool client_error = content.status / 100 == 4 && content.status != kTooManyRequests;
  consecutive_client_errors_ = client_error ? consecutive_client_errors_ + 1 : 0;
  const bool is_last = responses_.isLast(response);
  if (consecutive_client_errors_ >= kMaxClientErrors || (owner_.isDraining() && is_last)) {
    response->closes_connection = is_last;
    last_request_read_ = last_request_read_ || is_last;
  }
  response->bytes += serializeResponse(content, response->closes_connection, unixNow() / 1'000'000);
  response->complete = true;
  response->outcome_subscription.reset();
}

void HttpSession::flush() {
  if (writing_ || !open_)
    return;
  ResponseQueue::Ready ready = responses_.takeReady(
      [this](const ResponsePointer& response, const Response& content) { render(response, content); });
  output_ = std::move(ready.bytes);
  output_responses_ += ready.completed;
  if (output_.empty())
    return;
  close_after_write_ = close_after_write_ || ready.closes_connection;
  writing_ = true;
  write_since_ = monotonicNow();
  reportMemory();
  write(0);
}

void HttpSession::write(std::size_t from) {
  socket_.async_write_some(asio::buffer(output_.data() + from, output_.size() - from),
                           [self = shared_from_this(), from](error_code error, std::size_t size) {
                             if (!self->open_)
                               return;
                             if (error)
                               return self->close();
                             self->write_since_ = monotonicNow();
                             if (from + size < self->output_.size())
                               return self->write(from + size);
                             self->onWritten();
                           });
}

void HttpSession::onWritten() {
  writing_ = false;
  releaseBuffer(output_);
  owner_.onRequestsClosed(std::exchange(output_responses_, 0));
  if (close_after_write_)
    return closeGracefully();
  if (responses_.empty()) {
    if (input_ended_)
      return close();
    if (owner_.isDraining() && !parser_.isActive() && input_.empty() && isInputEmpty(socket_))
      return closeGracefully();
    if (!parser_.isActive())
      since_ = monotonicNow();
  }
  processInput();
}

}  // namespace grademux
