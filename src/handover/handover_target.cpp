// Handover in the process that replaces another; see handover_target.h.
#include "handover_target.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "../core/clock.h"

namespace grademux::handover {

namespace {

constexpr Micros kRetryInterval = 50'000;
// The other process unlocks the folder shortly before or after its message that releases the folder.
constexpr Micros kReleasedRetryInterval = 1'000;
constexpr Micros kAnswerTimeout = 1'000'000;

}  // namespace

HandoverTarget::HandoverTarget(boost::asio::io_context& io, FolderLock& lock, Callbacks callbacks)
    : io_(io), lock_(lock), callbacks_(std::move(callbacks)), timer_(io) {}

void HandoverTarget::start(Micros timeout) {
  deadline_ = monotonicNow() + timeout;
  tryAcquire();
}

void HandoverTarget::send(const Message& message) {
  if (peer_)
    peer_->send(message);
}

void HandoverTarget::scheduleRetry(Micros delay) {
  timer_.expires_after(std::chrono::microseconds(delay));
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error)
      tryAcquire();
  });
}

void HandoverTarget::tryAcquire() {
  if (owns_folder_)
    return;
  if (lock_.tryLock()) {
    if (!awaitsRelease())
      return onLocked();
    lock_.unlock();
    return scheduleRetry(kReleasedRetryInterval);
  }
  const Micros now = monotonicNow();
  if (now >= deadline_)
    return callbacks_.on_failed(failure_reason_);
  if (released_)
    return scheduleRetry(kReleasedRetryInterval);
  dropUnresponsivePeer(now);
  if (!peer_)
    connect();
  if (peer_ && !request_pending_)
    sendRequest(now);
  scheduleRetry(kRetryInterval);
}

// The other process frees the lock shortly before its message arrives. Without the message its attempts in
// flight are unknown. If that process dies in between, its connection ends.
bool HandoverTarget::awaitsRelease() const {
  return peer_ && request_pending_ && !released_ && monotonicNow() < answer_deadline_;
}

// The peer may hang, or its version may lack this protocol.
void HandoverTarget::dropUnresponsivePeer(Micros now) {
  if (!request_pending_ || now < answer_deadline_)
    return;
  peer_.reset();
  request_pending_ = false;
}

void HandoverTarget::connect() {
  LineSocket::Socket socket(io_);
  boost::system::error_code error;
  socket.connect(socketAddress(lock_.fd()), error);
  if (error)
    return;
  peer_ = std::make_unique<LineSocket>(
      std::move(socket), [this](const Message& message) { onMessage(message); },
      [this] { boost::asio::post(io_, [this] { onPeerClosed(); }); });
  request_pending_ = false;
}

void HandoverTarget::sendRequest(Micros now) {
  request_pending_ = true;
  answer_deadline_ = now + kAnswerTimeout;
  peer_->send(HandoverRequest{});
}

void HandoverTarget::onMessage(const Message& message) {
  if (const auto* rejected = std::get_if<HandoverRejected>(&message)) {
    failure_reason_ = rejected->reason;
    request_pending_ = false;
  } else if (const auto* released = std::get_if<OwnershipReleased>(&message)) {
    onReleased(*released);
  } else if (const auto* finished = std::get_if<AttemptFinished>(&message)) {
    onOutcome(finished->outcome);
  }
}

void HandoverTarget::onReleased(const OwnershipReleased& released) {
  if (owns_folder_ || released_)
    return;
  released_ = released;
  boost::asio::post(io_, [this] { tryAcquire(); });
}

void HandoverTarget::onOutcome(const AttemptOutcome& outcome) {
  if (owns_folder_)
    callbacks_.on_attempt_finished(outcome);
  else
    early_outcomes_.push_back(outcome);
}

void HandoverTarget::onPeerClosed() {
  peer_.reset();
  request_pending_ = false;
  if (owns_folder_)
    callbacks_.on_peer_closed();
}

void HandoverTarget::onLocked() {
  owns_folder_ = true;
  timer_.cancel();
  callbacks_.on_acquired(released_ ? &*released_ : nullptr);
  for (const AttemptOutcome& outcome : early_outcomes_)
    callbacks_.on_attempt_finished(outcome);
  early_outcomes_.clear();
  if (released_ && !peer_)
    callbacks_.on_peer_closed();
}

}  // namespace grademux::handover
