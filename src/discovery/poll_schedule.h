// grademux: when a sender asks discovery for the list again after a call that failed. No I/O and no clock.
//
// Discovery serves the calls of all senders one after another, and works on those too whose caller has given
// up by then. So when all ask at one moment, or soon again, each call waits longer than its caller does,
// nobody is answered, and it stays so for as long as they go on: 100 senders that asked 100 ms after each
// failure kept it so for a whole day. Bounds over the fleet: one call of each when all start at once,
// 2 x kFurtherCalls a second while all are turned away, up to the size at which kSpreadMost is waited
// (kSpreadSoon the first times).
//
// The first call is made at once: what the agent has counts as told to a sender that has not asked, so one
// that waits its turn sends to what drains. On roll+mass that broke the rule 199 times, with calls spread
// over 10 s; made at once none was turned away there, and 97 to 100 of some 1,500 on herd+vast.
#pragma once

#include "../core/backoff.h"

namespace grademux {

class PollSchedule {
 public:
  // A watch call may wait so long for news; an answer that is later than that by kSilence won't come. A
  // change counts as told 6 s after discovery had it and could be reached, whatever became of the call
  // before: docs/design/races.md adds up each order of failures. After a call that broke off the next waits
  // for nothing, so that an agent that is silent still is known to be so after kSilence.
  static constexpr Micros kHold = 2'500'000, kSilence = 1'000'000;
  static constexpr Micros kConnect = 1'000'000;  // the agent is on this machine
  static constexpr double kFurtherCalls = 10;    // a second
  // News count as told after 6 s: two calls that are turned away one after another, each up to 0.5 s long,
  // and the third that is answered, fit into it. Who is turned away more often than that asks one that can't
  // be reached: then less load goes before, and the wait still ends in less than 6 s.
  static constexpr Micros kSpreadSoon = 2'200'000, kSpreadMost = 5'000'000;
  static constexpr int kSoonRefusals = 2;
  // After a call that broke off or was silent: less than the 6 s after which news count as told.
  static constexpr Micros kPause = 100'000, kBrokenMost = 1'000'000;

  // `senders`: how many ask the same discovery; 1 or less: nobody else.
  PollSchedule(int senders, std::uint64_t seed) : senders_(std::max(1, senders)), pauses_(seed) {}

  void setSenderCount(int senders) { senders_ = std::max(1, senders); }

  // How long to wait, in microseconds.
  Micros delayAfterFailure() { return pauses_.next(kPause, kBrokenMost); }
  // It answered that it can't answer (503): too many ask.
  Micros delayAfterRejection() {
    const Micros alone = pauses_.next(kPause, kBrokenMost);
    const Micros most = ++refusals_ > kSoonRefusals ? kSpreadMost : kSpreadSoon;
    return std::max(alone, pauses_.within(spread(kFurtherCalls, most)));
  }
  void onAnswered() {
    pauses_.succeeded();
    refusals_ = 0;
  }

 private:
  Micros spread(double calls, Micros most) const {
    return static_cast<Micros>(std::min(static_cast<double>(most), 1e6 * (senders_ - 1) / calls));
  }

  int senders_;
  int refusals_ = 0;  // in a row
  Backoff pauses_;
};

}  // namespace grademux
