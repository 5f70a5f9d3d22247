// grademux model: virtual time. What is due happens in the order of its moment, then of its planning; nothing
// else orders events, so that a run is the same each time.
#pragma once

#include <algorithm>
#include <functional>
#include <stdexcept>
#include <vector>

#include "grademux/settings.h"

namespace grademux::model {

class Clock {
 public:
  using Then = std::function<void()>;

  Micros now() const { return now_; }
  std::uint64_t steps() const { return steps_; }
  // Never before now.
  void at(Micros when, Then then) {
    due_.push_back({std::max(when, now_), next_++, std::move(then)});
    std::push_heap(due_.begin(), due_.end(), later);
  }
  void in(Micros span, Then then) { at(now_ + span, std::move(then)); }
  // Until nothing is due up to `end`. Throws std::runtime_error after so many steps: a world that feeds
  // itself for ever is a mistake, not a long run.
  void run(Micros end, std::uint64_t most_steps) {
    while (!due_.empty() && due_.front().when <= end) {
      std::pop_heap(due_.begin(), due_.end(), later);
      Due d = std::move(due_.back());
      due_.pop_back();
      now_ = d.when;
      if (++steps_ > most_steps)
        throw std::runtime_error("the run has more steps than [run] most_steps");
      d.then();
    }
    now_ = std::max(now_, end);
  }

 private:
  struct Due {
    Micros when;
    std::uint64_t order;
    Then then;
  };
  static bool later(const Due& a, const Due& b) {
    return a.when != b.when ? a.when > b.when : a.order > b.order;
  }
  std::vector<Due> due_;
  Micros now_ = 0;
  std::uint64_t next_ = 0, steps_ = 0;
};

}  // namespace grademux::model
