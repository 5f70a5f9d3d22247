// grademux model: where worth went. Each message's worth that was not delivered in time is charged to exactly
// one cause, measured from outside the policy: a message's time is divided among the states that it was in,
// and what was lost belongs to the state that took longest, or to how it ended where that alone decided it.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "grademux/settings.h"

namespace grademux::model {

enum class Cause {
  client,        // on its way to a sender, or between its client's tries
  slot,          // held: all slots of the sender were taken
  limit,         // held: the partner took calls, the sender had a slot and did not send yet
  told_wait,     // held: the sender had been told to wait
  away,          // held: the partner was in an outage
  cold,          // held: the partner was back, and cold
  failed_call,   // in calls that did not deliver it
  process,       // taken on by a sender that was dead
  answer,        // in the call that delivered it
  refused,       // ended: refused as it came, and its client came no more
  may_have_run,  // ended: a call may have taken effect, and its class forbids another
  count
};

// The position of the cause in a table of all causes.
inline std::size_t indexOf(Cause cause) {
  return static_cast<std::size_t>(cause);
}
constexpr std::size_t kCauses = static_cast<std::size_t>(Cause::count);
const char* nameOf(Cause c);

// Worth that is left of a class `age` microseconds after its client first handed it in, 0 past the deadline.
double worthAt(const MessageClass& c, LatenessPenalty late, Micros age);

// Time by cause since something began.
using Parts = std::array<Micros, kCauses>;

// The state of one partner as one sender's held messages for it see it. Its clocks run on; a message takes
// what they show when it begins to be held, and again when that ends.
class HoldClock {
 public:
  // `state`: told_wait, away, cold, or limit for a partner that takes calls; `full`: the sender's clock of
  // the time in which all its slots were taken.
  void set(Cause state, Micros now, Micros full) {
    settle(now, full);
    state_ = state;
  }
  Cause state() const { return state_; }
  const Parts& read(Micros now, Micros full) {
    settle(now, full);
    return parts_;
  }

 private:
  void settle(Micros now, Micros full) {
    const Micros span = now - at_, busy = full - full_;
    if (state_ == Cause::limit) {
      parts_[static_cast<std::size_t>(Cause::slot)] += busy;
      parts_[static_cast<std::size_t>(Cause::limit)] += span - busy;
    } else {
      parts_[static_cast<std::size_t>(state_)] += span;
    }
    at_ = now;
    full_ = full;
  }
  Cause state_ = Cause::limit;
  Micros at_ = 0, full_ = 0;
  Parts parts_{};
};

class Ledger {
 public:
  // One message, over for good: its class, when it was first handed in since the run began, time by cause,
  // worth left of `full`, and how it ended where that decides (Cause::count: by time).
  void close(const MessageClass& c, Micros born, const Parts& parts, double left, Cause how);

  double offered = 0, delivered = 0;
  std::uint64_t messages = 0, in_time = 0, late = 0, undelivered = 0;
  std::array<double, kCauses> lost{};
  std::vector<double> offered_at, delivered_at;  // by the second in which it was first handed in
  std::vector<std::array<double, kCauses>> lost_at;
  double lostInAll() const;
};

}  // namespace grademux::model
