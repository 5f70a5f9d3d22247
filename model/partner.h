// grademux model: one outside destination: what it takes of all senders together, its pace, outages, the cold
// time after them, and falling over.
//
// A partner has a limit (a plain rate, or a count in spans of a second) and a capacity above it; work that
// comes faster than its capacity queues, up to a depth, and is refused then. Cold, both are a share that
// grows evenly over the ramp. Sent more than a stated multiple of its capacity for the fall span while it is
// cold, it falls over and stays down: the work of all calls that reach it is counted, refused ones too.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "random.h"
#include "world.h"

namespace grademux::model {

class Partner {
 public:
  struct Traits {
    const PartnerKind* kind = nullptr;
    double limit = 0, capacity = 0;  // calls a second, warm
    double pace = 1;                 // times the usual service
    double tells_wait = 0;
    Micros depth = 0;     // of its queue, as time
    int connections = 0;  // that an endpoint holds; 0: any number
  };
  enum class Taken { served, full, silent };
  struct Answer {
    Taken how = Taken::served;
    Micros at = 0;    // when it is sent
    Micros wait = 0;  // full: told to wait; 0: not told
  };
  struct Fall {
    bool fell = false;
    double knew = 0;  // share of the load that came from senders that knew of the outage
  };

  Partner(std::int64_t id, Traits traits, const Settings& rules, std::uint64_t seed);

  const Traits& traits() const { return traits_; }
  std::int64_t id() const { return id_; }
  // Is it reached at all: false while connections are refused, or once it fell over.
  bool reachable() const { return !fallen_ && out_ != TroubleKind::refuse; }
  bool serves() const { return !fallen_ && !outage_; }
  bool cold(Micros now) const { return now - returned_ < rules_.slow_start_time; }
  Micros returned() const { return returned_; }
  double share(Micros now) const;  // of its capacity and limit, cold
  // A call that has reached it; `service`: at usual pace, in microseconds.
  Answer take(Micros service, Micros now);
  // Share of its allowance that is left, as its answers tell.
  double left(Micros now) const;
  // Would a call that comes now, after so many others, be served? For those that see the true state.
  bool room(Micros now, int others) const;
  // Of all that reach it, refused ones too, while it is cold.
  Fall weigh(int sender, Micros now);
  // Largest part of its slow start budget that was used at any time; over 1 it fell over.
  double peakBudgetUsed() const { return peak_budget_used_; }
  // The sender has heard of a call that failed, or was refused, in an outage.
  void learned(int sender) { knows_.insert(sender); }

  void begin(TroubleKind kind, double size, Micros until);
  void end(TroubleKind kind, Micros now);
  double slowness = 1;     // of its pace now
  double limit_share = 1;  // of its limit now

 private:
  double limitNow(Micros now) const { return traits_.limit * limit_share * share(now); }

  std::int64_t id_;
  Traits traits_;
  const Settings& rules_;
  Stream random_;
  bool outage_ = false, fallen_ = false;
  TroubleKind out_ = TroubleKind::slow;  // refuse, hang or shut while in an outage
  Micros opens_ = 0, returned_ = INT64_MIN / 4;
  double tokens_ = 0;  // a plain rate's, at most a quarter of a second of it
  Micros tokens_at_ = 0;
  std::int64_t span_ = -1;  // a window's: which second, and how many it took
  double in_span_ = 0;
  Micros free_at_ = 0;                          // when its queue is worked off
  std::deque<std::pair<Micros, int>> reached_;  // in the last fall span: when, by whom
  std::set<int> knows_;
  double peak_budget_used_ = 0;
};

}  // namespace grademux::model
