// When a sender polls discovery again: after a failed poll, and beside a poll whose answer is late. No I/O
// and no clock.
//
// Discovery serves the polls of all senders one after another, also those whose caller has timed out. Senders
// that all retry soon keep it overloaded, with nobody answered in time. So retries after a 503 are spread
// over the fleet: at most 2 x kFleetRetriesPerSecond polls a second while all are rejected, up to the fleet
// size at which kMaxRetrySpread is reached (kFirstRetrySpread for the first kFirstRejections). The first poll
// is made at once: a sender must not send by an old list.
//
// An answer may be slow, or never end. Nothing distinguishes the two in time: so the poll goes on, and
// another one is made beside it. The first complete answer ends all polls that began before its own. A slow
// answer is read to its end that way, and one that stops delays the list by no more than the time until the
// next poll.
#pragma once

#include "../core/backoff.h"

namespace grademux {

// A poll without an answer. Times in microseconds on the monotonic clock.
struct PollState {
  std::int64_t from = -1;  // the version after which changes are requested; -1: the whole list
  Micros started_at = 0;
  Micros poll_time = 0;      // how long the agent may wait for a change
  Micros begun_at = kNever;  // the first byte of the answer

  static constexpr Micros kNever = -1;
  bool hasBegun() const { return begun_at != kNever; }
};

class PollSchedule {
 public:
  // A long poll waits up to kLongPollTime for a change. Another poll is made beside one whose answer has not
  // begun kResponseGrace after that, or is not complete so long after its first byte (kSnapshotGrace for the
  // whole list, whose transfer a second one would slow down). Each order of failures must end within 6 s:
  // docs/design/races.md adds them up. All constants in microseconds.
  static constexpr Micros kLongPollTime = 2'500'000, kResponseGrace = 1'000'000, kSnapshotGrace = 1'800'000;
  static constexpr Micros kConnectTimeout = 1'000'000;  // the agent is on this machine
  // Polls beside one another. When there are so many, the last one is replaced, but not while its answer is
  // younger than kSlowAnswerTime.
  static constexpr std::size_t kMaxPolls = 4, kMaxSnapshotPolls = 3;
  static constexpr Micros kSlowAnswerTime = 4'500'000;
  // An answer ends as failed after this time without a byte, or since it was due.
  static constexpr Micros kStallLimit = 10'000'000, kAnswerLimit = 120'000'000;
  static constexpr double kFleetRetriesPerSecond = 10;
  // Retries after rejections are spread over these times: two rejected polls and an answered one fit into
  // 6 s.
  static constexpr Micros kFirstRetrySpread = 2'200'000, kMaxRetrySpread = 5'000'000;
  static constexpr int kFirstRejections = 2;  // consecutive rejections that use kFirstRetrySpread
  static constexpr Micros kInitialBackoff = 100'000, kMaxBackoff = 1'000'000;
  // The list must be known soon after an outage of any length.
  static constexpr Micros kMaxFailureBackoff = 200'000;

  // `senders`: how many poll the same discovery; 1 or less: only this one.
  PollSchedule(int senders, std::uint64_t seed) : senders_(std::max(1, senders)), backoff_(seed) {}

  void setSenderCount(int senders) { senders_ = std::max(1, senders); }

  // When another poll is made beside this one, on the monotonic clock.
  static Micros overlapDueAt(const PollState& latest) {
    if (!latest.hasBegun())
      return latest.started_at + latest.poll_time + kResponseGrace;
    return latest.begun_at + (latest.from < 0 ? kSnapshotGrace : kResponseGrace);
  }
  static std::size_t maxPolls(std::int64_t from) { return from < 0 ? kMaxSnapshotPolls : kMaxPolls; }
  // When the last of maxPolls() polls may be replaced by another one, on the monotonic clock.
  static Micros replaceableAt(const PollState& latest) {
    return latest.hasBegun() ? latest.begun_at + kSlowAnswerTime : overlapDueAt(latest);
  }

  // The delay after a poll that failed or timed out, microseconds.
  Micros delayAfterFailure() { return backoff_.next(kInitialBackoff, kMaxFailureBackoff); }
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
