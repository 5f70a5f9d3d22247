// See session.h.
#include "session.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

#include "../../core/clock.h"
#include "../../core/release_buffer.h"
#include "../listener.h"
#include "parser.h"
#include "put_request.h"

namespace grademux {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// A client receives an error or the close of its connection within 3 s. These are the limits on the first
// byte, on a request from its first byte on, and on the write of a reply.
constexpr Micros kFirstByteLimit = 2'000'000, kRequestLimit = 2'000'000, kWriteLimit = 2'000'000;
constexpr Micros kLastRequestLimit = 3'500'000;  // for a request read in part, from the start of a drain on
constexpr Micros kIdleLimit = 300'000'000;       // while the table is not crowded
constexpr int kMaxErrors = 12;                   // errors in a row after which the connection is closed
constexpr Micros kThrottle = 10'000, kMaxThrottle = 320'000;
// The most that is read before the length of the request is known, and that may be left behind it.
constexpr std::size_t kReadAheadBytes = 2048;
// The client may send the request again.
constexpr char kShedReply[] = "-BUSY\r\n";

}  // namespace

RespSession::RespSession(asio::io_context& io, SessionOwner& owner, tcp::socket socket, std::int64_t number)
    : owner_(owner),
      socket_(std::move(socket)),
      throttle_timer_(io),
      memory_(owner.memory(), *this, kConnectionBytes),
      since_(monotonicNow()) {
  client_.id = number;
}

void RespSession::enter(Phase phase) {
  if (phase == Phase::partial && phase_ == phase)
    return;  // the time limit counts from the first byte of the request
  since_ = monotonicNow();
  phase_ = phase;
  owner_.onPhaseEntered(*this);
}

void RespSession::waitToRead() {
  if (waiting_to_read_)
    return;
  waiting_to_read_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    self->waiting_to_read_ = false;
    const bool may_read =
        self->phase_ == Phase::idle || self->phase_ == Phase::partial || self->phase_ == Phase::closing;
    if (!self->open_ || !may_read)
      return;
    if (error == asio::error::operation_aborted)
      return self->waitToRead();
    error ? self->close() : self->read();
  });
}

std::size_t RespSession::nextReadSize() const {
  const std::size_t missing = expected_bytes_ - std::min(expected_bytes_, input_.size());
  return std::min(std::max(missing, kReadAheadBytes), owner_.readBuffer().size());
}

// Without memory for the next bytes they stay in the kernel: onMemoryAvailable() continues.
void RespSession::read() {
  error_code error;
  std::vector<char>& buffer = owner_.readBuffer();
  if (phase_ == Phase::closing) {
    const std::size_t discarded = socket_.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block || error == asio::error::try_again)
      return waitToRead();
    return error || graceful_close_.discard(discarded) ? close() : waitToRead();
  }
  const std::size_t max_size = nextReadSize();
  const std::size_t needed = std::max(expected_bytes_, input_.size() + max_size);
  if (!memory_.reserve(needed, monotonicNow()))
    return;
  const std::size_t size = socket_.read_some(asio::buffer(buffer.data(), max_size), error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    reportMemory();
    return waitToRead();
  }
  if (error)
    return close();
  if (expected_bytes_ > input_.capacity())
    input_.reserve(expected_bytes_);  // appending would grow it beyond the length of the request
  input_.append(buffer.data(), size);
  parse();
}

void RespSession::onMemoryAvailable() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    const bool may_read = self->phase_ == Phase::idle || self->phase_ == Phase::partial;
    if (self->open_ && may_read)
      self->read();
  });
}

// Tells the account what the buffers take, and whom the session waits for.
void RespSession::reportMemory() {
  const Micros now = monotonicNow();
  memory_.set(allocatedBytes(input_) + allocatedBytes(output_) + submitted_bytes_, now);
  if (phase_ == Phase::partial)
    memory_.waitForClient(ClientWait::send_request, since_);
  if (phase_ == Phase::writing)
    memory_.waitForClient(ClientWait::read_reply, since_);
}

bool RespSession::isWaitingForClient() const {
  return phase_ != Phase::partial || isInputEmpty();
}

void RespSession::shedMemory() {
  if (phase_ != Phase::writing)
    return refuseRest(kShedReply);
  socket_.cancel();
  closeGracefully();
}

// Parses one request; the next is read once this one is answered. What a client left unanswered when it went
// away is dropped: the client may have sent it again elsewhere.
void RespSession::parse() {
  if (clientSideOf(socket_) == ClientSide::gone)
    return close();
  std::vector<std::string> words;
  std::size_t used = 0;
  std::string error;
  switch (parseRequest(input_, words, used, error, isCommandName)) {
    case ParseStatus::partial:
      expected_bytes_ = used;
      enter(input_.empty() ? Phase::idle : Phase::partial);
      reportMemory();
      return waitToRead();
    case ParseStatus::malformed:
      last_reply_ = true;
      return reply("-ERR " + error + "\r\n");
    case ParseStatus::complete:
      break;
  }
  input_.erase(0, used);
  input_.shrink_to_fit();
  expected_bytes_ = 0;
  submitted_bytes_ = used;
  reportMemory();
  execute(words);
}

void RespSession::execute(std::vector<std::string>& words) {
  const RespCommand command = readCommand(words, client_, owner_.status());
  switch (command.action) {
    case RespCommand::Action::put:
      return put(words);
    case RespCommand::Action::get:
      return reply(statusReply(owner_.handler().status(words[1]), client_.protocol));
    case RespCommand::Action::wait:
      return waitForOutcome(words);
    case RespCommand::Action::quit:
      last_reply_ = true;
      break;
    case RespCommand::Action::reply:
      break;
  }
  reply(command.reply);
}

void RespSession::put(std::vector<std::string>& words) {
  auto submission = readPut(words);
  if (!submission.has_value())
    return reply("-ERR " + submission.error().reason + "\r\n");
  enter(Phase::submitted);
  submission.value().is_abandoned = [weak_session = weak_from_this()] {
    const auto session = weak_session.lock();
    return !session || !session->open_ || clientSideOf(session->socket_) == ClientSide::gone;
  };
  owner_.handler().submit(std::move(submission.value()),
                          [self = shared_from_this()](const SubmissionResult& result) {
                            // The connection may be closed, and the listener destroyed, by now.
                            if (self->open_ && self->phase_ == Phase::submitted)
                              self->reply(putReply(result));
                          });
}

void RespSession::waitForOutcome(const std::vector<std::string>& words) {
  const auto wait = readWait(words[2]);
  if (!wait)
    return reply("-ERR a whole number of milliseconds is expected\r\n");
  if (!isValidToken(words[1]))  // no message has such an id
    return reply(statusReply({}, client_.protocol));
  outcome_wait_ = *wait;
  awaited_id_ = words[1];
  submitted_bytes_ = awaited_id_.size();
  enter(Phase::waiting);
  reportMemory();
  checkOutcome(monotonicNow());
}

void RespSession::checkOutcome(Micros now) {
  if (!open_ || phase_ != Phase::waiting)
    return;
  const MessageStatus status = owner_.handler().status(awaited_id_);
  const bool keeps_waiting = now - since_ < outcome_wait_ && !owner_.isDraining();
  if (status.state == MessageStatus::State::open && keeps_waiting)
    return;
  releaseBuffer(awaited_id_);
  reply(statusReply(status, client_.protocol));
}

// From the second error in a row on, the client's next request is read after a growing delay; after
// kMaxErrors errors in a row, the connection is closed.
void RespSession::reply(std::string bytes) {
  const bool is_error = bytes.rfind("-ERR", 0) == 0;
  consecutive_errors_ = is_error ? consecutive_errors_ + 1 : 0;
  has_succeeded_ = has_succeeded_ || !is_error;
  has_submitted_ = has_submitted_ || (!is_error && phase_ == Phase::submitted);
  last_reply_ = last_reply_ || consecutive_errors_ >= kMaxErrors;
  output_ = std::move(bytes);
  submitted_bytes_ = 0;
  if (last_reply_)
    releaseBuffer(input_);
  enter(Phase::writing);
  reportMemory();
  asio::async_write(socket_, asio::buffer(output_),
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (!self->open_ || self->phase_ != Phase::writing)
                        return;
                      error ? self->close() : self->onReplyWritten();
                    });
}

void RespSession::onReplyWritten() {
  releaseBuffer(output_);
  if (last_reply_)
    return closeGracefully();
  if (owner_.isDraining()) {
    if (input_.empty() && isInputEmpty())
      return closeGracefully();
    // A client that never pauses is disconnected between requests; the client sends the unread ones again.
    if (monotonicNow() - owner_.drainingSince() >= kDrainDeadline)
      return closeGracefully();
  }
  consecutive_errors_ > 1 ? throttle() : readNext();
}

void RespSession::throttle() {
  enter(Phase::throttled);
  const Micros pause = std::min(kMaxThrottle, kThrottle << (consecutive_errors_ - 2));
  throttle_timer_.expires_after(std::chrono::microseconds(pause));
  throttle_timer_.async_wait([self = shared_from_this()](error_code stopped) {
    if (!stopped && self->open_ && self->phase_ == Phase::throttled)
      self->readNext();
  });
}

void RespSession::readNext() {
  enter(Phase::idle);
  reportMemory();
  input_.empty() ? waitToRead() : parse();
}

bool RespSession::isInputEmpty() const {
  return grademux::isInputEmpty(socket_);
}

BufferUsage RespSession::bufferUsage() const {
  BufferUsage usage;
  (phase_ == Phase::partial ? usage.requests : usage.idle) += allocatedBytes(input_);
  (phase_ == Phase::writing ? usage.replies : usage.idle) += allocatedBytes(output_);
  return usage;
}

void RespSession::closeGracefully() {
  if (!open_ || phase_ == Phase::closing)
    return;
  throttle_timer_.cancel();
  graceful_close_.start(socket_, monotonicNow());
  releaseBuffer(input_);
  releaseBuffer(output_);
  submitted_bytes_ = 0;
  enter(Phase::closing);
  reportMemory();
  waitToRead();
}

void RespSession::closeIfIdle() {
  if (phase_ == Phase::idle && isInputEmpty())
    closeGracefully();
}

void RespSession::finish() {
  if (phase_ == Phase::writing)
    last_reply_ = true;
  else
    closeGracefully();
}

void RespSession::close() {
  if (!open_)
    return;
  const auto self = shared_from_this();  // the owner may hold the last other reference
  abandon();
  owner_.onSessionClosed(*this);
}

void RespSession::abandon() {
  open_ = false;
  throttle_timer_.cancel();
  memory_.close();
  closeNow(socket_);
}

void RespSession::checkLimit(Micros now) {
  if (!open_)
    return;
  const Micros spent = now - since_;
  switch (phase_) {
    case Phase::idle:
      return checkIdle(now);
    case Phase::partial:
      return checkPartial(now);
    case Phase::writing:
      if (spent >= kWriteLimit)
        close();
      return;
    case Phase::closing:
      if (graceful_close_.isExpired(now))
        close();
      return;
    case Phase::waiting:
      return checkOutcome(now);
    case Phase::submitted:
    case Phase::throttled:
      return;
  }
}

void RespSession::checkIdle(Micros now) {
  if (owner_.isDraining() && now >= std::max(since_, owner_.drainingSince()) + drainDelay(client_.id))
    return closeIfIdle();
  const bool has_requested = has_succeeded_ || consecutive_errors_ > 0;
  const Micros limit = !has_requested ? kFirstByteLimit : owner_.isCrowded() ? kIdleCloseable : kIdleLimit;
  if (now - since_ >= limit)
    closeIfIdle();
}

void RespSession::checkPartial(Micros now) {
  const bool drain_overdue = owner_.isDraining() && now - owner_.drainingSince() >= kLastRequestLimit;
  if (now - since_ < kRequestLimit && !drain_overdue)
    return;
  refuseRest("-ERR the request did not come to its end\r\n");
}

// Answers a request that has been read in part; the connection is closed after the reply.
void RespSession::refuseRest(const std::string& reply_line) {
  socket_.cancel();
  last_reply_ = true;
  reply(reply_line);
}

}  // namespace grademux
