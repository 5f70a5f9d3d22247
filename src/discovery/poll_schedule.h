// When a sender polls discovery again after a failed poll. No I/O and no clock.
//
// Discovery serves the polls of all senders one after another, also those whose caller has timed out. Senders
// that all retry soon keep it overloaded, with nobody answered in time. So retries after a 503 are spread
// over the fleet: at most 2 x kFleetRetriesPerSecond polls a second while all are rejected, up to the fleet
// size at which kMaxRetrySpread is reached (kFirstRetrySpread for the first kFirstRejections). The first poll
// is made at once: a sender must not send by an old list.
#pragma once

#include "../core/backoff.h"

namespace grademux {

class PollSchedule {
 public:
  // A long poll waits up to kLongPollTime for a change; a response that is kResponseGrace late counts as
  // lost. Each order of failures must end within 6 s: docs/design/races.md adds them up. All constants in
  // microseconds.
  static constexpr Micros kLongPollTime = 2'500'000, kResponseGrace = 1'000'000;
  static constexpr Micros kConnectTimeout = 1'000'000;  // the agent is on this machine
  static constexpr double kFleetRetriesPerSecond = 10;
  // Retries after rejections are spread over these times: two rejected polls and an answered one fit into
  // 6 s.
  static constexpr Micros kFirstRetrySpread = 2'200'000, kMaxRetrySpread = 5'000'000;
  static constexpr int kFirstRejections = 2;  // consecutive rejections that use kFirstRetrySpread
  static constexpr Micros kInitialBackoff = 100'000, kMaxBackoff = 1'000'000;

  // `senders`: how many poll the same discovery; 1 or less: only this one.
  PollSchedule(int senders, std::uint64_t seed) : senders_(std::max(1, senders)), backoff_(seed) {}

  void setSenderCount(int senders) { senders_ = std::max(1, senders); }

  // The delay after a poll that failed or timed out, microseconds.
  Micros delayAfterFailure() { return backoff_.next(kInitialBackoff, kMaxBackoff); }
  // The delay after a 503: discovery is overloaded; microseconds.
  Micros delayAfterRejection() {
    const Micros backoff = backoff_.next(kInitialBackoff, kMaxBackoff);
    const Micros max_spread =
        ++consecutive_rejections_ > kFirstRejections ? kMaxRetrySpread : kFirstRetrySpread;
    return std::max(backoff, backoff_.randomWithin(spread(kFleetRetriesPerSecond, max_spread)));
  }
  // Resets the delays after an answered poll.
  void onAnswered() {
    backoff_.reset();
    consecutive_rejections_ = 0;
  }

 private:
  Micros spread(double polls_per_second, Micros max_spread) const {
    return static_cast<Micros>(
        std::min(static_cast<double>(max_spread), 1e6 * (senders_ - 1) / polls_per_second));
  }

  int senders_;
  int consecutive_rejections_ = 0;
  Backoff backoff_;
};

}  // namespace grademux
