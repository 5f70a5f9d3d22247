// Destinations that are no longer in the endpoint list. They stay known for as long as a message for them may
// stay open. No clock: times are of the monotonic clock and are passed in.
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
  // Forgets destinations that were removed more than `retention` ago.
  void expire(Micros now, Micros retention);
  bool contains(std::int64_t destination, Micros now, Micros retention) const;
  bool empty() const { return removed_at_.empty(); }

 private:
  std::unordered_map<std::int64_t, Micros> removed_at_;
  // In the order of removal. A destination that was removed twice has two elements.
  std::deque<std::pair<Micros, std::int64_t>> order_;
};

}  // namespace grademux
