// See session.h.
#include "session.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
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

}  // namespace

RespSession::RespSession(asio::io_context& io, SessionOwner& owner, tcp::socket socket, std::int64_t number)
    : owner_(owner), socket_(std::move(socket)), throttle_timer_(io), since_(monotonicNow()) {
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

void RespSession::read() {
  error_code error;
  std::vector<char>& buffer = owner_.readBuffer();
  const std::size_t size = socket_.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block || error == asio::error::try_again)
    return waitToRead();
  if (error)
    return close();
  if (phase_ == Phase::closing) {
    return graceful_close_.discard(size) ? close() : waitToRead();
  }
  input_.append(buffer.data(), size);
  parse();
}

// Parses one request; the next is read once this one is answered.
void RespSession::parse() {
  std::vector<std::string> words;
  std::size_t used = 0;
  std::string error;
  switch (parseRequest(input_, words, used, error, isCommandName)) {
    case ParseStatus::partial:
      enter(input_.empty() ? Phase::idle : Phase::partial);
      return waitToRead();
    case ParseStatus::malformed:
      last_reply_ = true;
      return reply("-ERR " + error + "\r\n");
    case ParseStatus::complete:
      break;
  }
  input_.erase(0, used);
  input_.shrink_to_fit();
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
  outcome_wait_ = *wait;
  awaited_id_ = words[1];
  enter(Phase::waiting);
  checkOutcome(monotonicNow());
}

void RespSession::checkOutcome(Micros now) {
  if (!open_ || phase_ != Phase::waiting)
    return;
  const MessageStatus status = owner_.handler().status(awaited_id_);
  const bool keeps_waiting = now - since_ < outcome_wait_ && !owner_.isDraining();
  if (status.state == MessageStatus::State::open && keeps_waiting)
    return;
  reply(statusReply(status, client_.protocol));
}

// From the second error in a row on, the client's next request is read after a growing delay; after
// kMaxErrors errors in a row, the connection is closed.
void RespSession::reply(const std::string& bytes) {
  const bool is_error = bytes.rfind("-ERR", 0) == 0;
  consecutive_errors_ = is_error ? consecutive_errors_ + 1 : 0;
  has_succeeded_ = has_succeeded_ || !is_error;
  has_submitted_ = has_submitted_ || (!is_error && phase_ == Phase::submitted);
  last_reply_ = last_reply_ || consecutive_errors_ >= kMaxErrors;
  output_ = bytes;
  enter(Phase::writing);
  asio::async_write(socket_, asio::buffer(output_),
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (!self->open_)
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
  enter(Phase::closing);
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
  socket_.cancel();
  last_reply_ = true;
  reply("-ERR the request did not come to its end\r\n");
}

}  // namespace grademux
