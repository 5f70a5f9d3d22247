// Destinations that the endpoint list no longer names. They stay known for as long as a message for them may
// last. No clock: moments are of the monotonic clock and are passed in.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "grademux/sender.h"

namespace grademux {

class RemovedDestinations {
 public:
  void add(const std::vector<std::int64_t>& destinations, Micros now);
  // Forgets those that were removed more than `retention` ago.
  void expire(Micros now, Micros retention);
  bool contains(std::int64_t destination, Micros now, Micros retention) const;
  bool empty() const { return removed_at_.empty(); }

 private:
  std::unordered_map<std::int64_t, Micros> removed_at_;
  std::deque<std::pair<Micros, std::int64_t>>
      order_;  // a destination that was removed again stands in it twice
};

}  // namespace grademux
