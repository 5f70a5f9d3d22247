// grademux: the process that comes; see taker.h.
#include "handover_target.h"

#include <boost/asio/post.hpp>

#include "../core/clock.h"

namespace grademux::handover {

namespace {

constexpr Micros kAgain = 50'000;      // between questions
constexpr Micros kFreed = 1'000;       // given, the lock is free in a moment
constexpr Micros kAnswer = 1'000'000;  // for an answer to a question

}  // namespace

HandoverTarget::HandoverTarget(boost::asio::io_context& io, FolderLock& lock, Owned owned, Ended ended,
                               Gone gone, Failed failed)
    : io_(io),
      lock_(lock),
      owned_(std::move(owned)),
      ended_(std::move(ended)),
      gone_(std::move(gone)),
      failed_(std::move(failed)),
      timer_(io) {}

void HandoverTarget::start(Micros patience) {
  until_ = monotonicNow() + patience;
  attempt();
}

void HandoverTarget::scheduleRetry(Micros pause) {
  timer_.expires_after(std::chrono::microseconds(pause));
  timer_.async_wait([this](boost::system::error_code e) {
    if (!e)
      attempt();
  });
}

void HandoverTarget::attempt() {
  if (owns_)
    return;
  if (lock_.take())
    return onOwned(given_ ? &*given_ : nullptr);
  const Micros now = monotonicNow();
  if (now >= until_)
    return failed_(why_);
  if (given_)
    return scheduleRetry(kFreed);
  if (asked_ && now >= answer_by_) {  // it hangs, or is of a version that knows nothing of this
    other_.reset();
    asked_ = false;
  }
  if (!other_) {
    LineSocket::Socket socket(io_);
    boost::system::error_code e;
    socket.connect(channelIn(lock_.fd()), e);
    if (!e) {
      other_ = std::make_unique<LineSocket>(
          std::move(socket), [this](const Message& m) { onMessage(m); },
          [this] {
            boost::asio::post(io_, [this] {
              other_.reset();
              asked_ = false;
              if (owns_)
                gone_();
            });
          });
      asked_ = false;
    }
  }
  if (other_ && !asked_) {
    asked_ = true;
    answer_by_ = now + kAnswer;
    other_->send(HandoverRequest{});
  }
  scheduleRetry(kAgain);
}

void HandoverTarget::onMessage(const Message& m) {
  if (const auto* refused = std::get_if<HandoverRejected>(&m)) {
    why_ = refused->reason;
    asked_ = false;
  } else if (const auto* given = std::get_if<OwnershipReleased>(&m)) {
    if (owns_ || given_)
      return;
    given_ = *given;
    boost::asio::post(io_, [this] { attempt(); });
  } else if (const auto* ended = std::get_if<handover::AttemptFinished>(&m)) {
    if (owns_)
      ended_(ended->outcome);
    else
      early_.push_back(ended->outcome);
  }
}

void HandoverTarget::onOwned(const OwnershipReleased* given) {
  owns_ = true;
  timer_.cancel();
  owned_(given);
  for (const AttemptOutcome& o : early_)
    ended_(o);
  early_.clear();
  if (given && !other_)
    gone_();
}

}  // namespace grademux::handover
