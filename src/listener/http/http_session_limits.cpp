// HttpSession: time limits, memory and the close of connections; see http_session.h.
#include <algorithm>
#include <boost/asio/post.hpp>

#include "../../core/clock.h"
#include "../../core/release_buffer.h"
#include "../listener.h"
#include "http_session.h"

namespace grademux {

namespace asio = boost::asio;
using namespace http_listener;

namespace {

// A client receives an error or the close of its connection within 3 s. These are the limits on a request (of
// a batch: a line) from its first byte on, and on a write without progress.
constexpr Micros kRequestLimit = 2'000'000, kWriteLimit = 2'000'000;
// Longer than kRequestLimit, since clients open connections before they need them.
constexpr Micros kFirstByteLimit = 10'000'000;

}  // namespace

// ---- time limits and the close of the connection

bool HttpSession::isIdle() const {
  return responses_.empty() && !writing_ && !parser_.isActive() && !graceful_close_.isStarted();
}

BufferUsage HttpSession::bufferUsage() const {
  BufferUsage usage;
  (parser_.isActive() ? usage.requests : usage.idle) += allocatedBytes(input_) + allocatedBytes(body_);
  (writing_ ? usage.replies : usage.idle) += allocatedBytes(output_);
  usage.replies += responses_.heldBytes();
  return usage;
}

// Called at the end of each step that can change isIdle().
void HttpSession::reportIdle() {
  if (!open_ || isIdle() == reported_idle_)
    return;
  reported_idle_ = !reported_idle_;
  owner_.onIdleChanged(*this, reported_idle_);
}

void HttpSession::checkLimits(Micros now) {
  if (!open_)
    return;
  if (writing_ && now - write_since_ >= kWriteLimit)
    return close();
  if (graceful_close_.isExpired(now))
    return close();
  if (graceful_close_.isStarted())
    return;
  checkOutcomeWaits(now);
  if (!open_ || last_request_read_)
    return;
  if (owner_.isDraining() && checkDraining(now))
    return;
  if (!isIdle())
    return checkRequestLimit(now);
  if (now - since_ >= (has_read_request_ ? owner_.limits().idle_timeout : kFirstByteLimit))
    closeIfIdle();
}

// Answers requests whose wait for a final outcome is over: their message is accepted and still open.
void HttpSession::checkOutcomeWaits(Micros now) {
  for (std::size_t i = 0; i < outcome_waits_.size();) {
    const auto response = outcome_waits_[i].lock();
    if (response && !response->complete && now < response->wait_until) {
      ++i;
      continue;
    }
    outcome_waits_.erase(outcome_waits_.begin() + static_cast<std::ptrdiff_t>(i));
    if (response)
      answerAccepted(response);
  }
}

// Returns true if no further limit is to be checked.
bool HttpSession::checkDraining(Micros now) {
  if (isIdle() && now >= std::max(since_, owner_.drainingSince()) + drainDelay(number_)) {
    closeIfIdle();
    return true;
  }
  // A batch that does not end is aborted; the lines that were read keep their results.
  const bool overdue = now - owner_.drainingSince() >= kDrainDeadline;
  if (!batch_ || batch_->isInputComplete() || !overdue)
    return false;
  abortBatch({503, "draining", "hand the rest in elsewhere, or here again later"});
  return true;
}

void HttpSession::checkRequestLimit(Micros now) {
  if (!parser_.isActive())
    return;
  if (!mayRead()) {  // the session, not the client, holds up the request
    since_ = now;
    if (batch_)
      batch_->restartLineTimer(now);
    return;
  }
  if (now - (batch_ ? std::max(since_, batch_->lineSince()) : since_) < kRequestLimit)
    return;
  const bool between_lines = batch_ && !batch_->isInLine() && parser_.isHeadComplete();
  if (between_lines && now - batch_->lineSince() < owner_.limits().idle_timeout)
    return;
  refuseRest({408, "too-slow", "2 s from the first byte to the last are allowed"});
}

// Answers a request that has been read in part; the connection is closed after the response.
void HttpSession::refuseRest(const Problem& problem) {
  socket_.cancel();
  releaseBuffer(input_);
  parsed_ = 0;
  releaseBuffer(body_);
  rejectRequest(problem);
  reportMemory();
}

void HttpSession::drain(bool close_idle) {
  if (!open_)
    return;
  if (close_idle && isIdle())
    return closeIfIdle();
  for (const auto& wait : outcome_waits_)
    if (const auto response = wait.lock())
      answerAccepted(response);
  outcome_waits_.clear();
}

// Does not close while a request has arrived and is unread, so that the request is served first.
void HttpSession::closeIfIdle() {
  if (isIdle() && input_.empty() && isInputEmpty(socket_))
    closeGracefully();
}

void HttpSession::closeGracefully() {
  if (input_ended_)
    return close();
  if (graceful_close_.isStarted())
    return;
  graceful_close_.start(socket_, monotonicNow());
  releaseBuffer(input_);
  releaseBuffer(body_);
  parsed_ = 0;
  reportIdle();
  reportMemory();
  waitToRead();
}

void HttpSession::close() {
  if (!open_)
    return;
  const auto self = shared_from_this();  // the owner may hold the last other reference
  open_ = false;
  memory_.close();
  owner_.onRequestsClosed(responses_.size() + output_responses_);
  responses_.clear();
  output_responses_ = 0;
  closeNow(socket_);
  owner_.onSessionClosed(*this);
}

// ---- memory

void HttpSession::onMemoryAvailable() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->open_ && !self->graceful_close_.isStarted() && !self->last_request_read_ && self->mayRead())
      self->read();
  });
}

std::size_t HttpSession::memoryBytes() const {
  return allocatedBytes(input_) + allocatedBytes(body_) + allocatedBytes(output_) + parser_.headBytes() +
         responses_.memoryBytes() + (batch_ ? batch_->memoryBytes() : 0);
}

// Tells the account what the buffers take, and whom the session waits for.
void HttpSession::reportMemory() {
  if (!open_)
    return;
  memory_.set(memoryBytes(), monotonicNow());
  if (writing_)
    memory_.waitForClient(ClientWait::read_reply, write_since_);
  else if (parser_.isActive() && !last_request_read_ && mayRead())
    memory_.waitForClient(ClientWait::send_request, batch_ ? std::max(since_, batch_->lineSince()) : since_);
}

bool HttpSession::isWaitingForClient() const {
  return writing_ || isInputEmpty(socket_);
}

void HttpSession::shedMemory() {
  if (writing_)
    return close();
  if (!parser_.isActive() && !batch_)
    return closeGracefully();
  refuseRest({503, "overloaded", "no memory is left for requests that have not come to their end"});
}

}  // namespace grademux
