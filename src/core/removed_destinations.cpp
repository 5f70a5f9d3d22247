#include "removed_destinations.h"

namespace grademux {

void RemovedDestinations::add(const std::vector<std::int64_t>& destinations, Micros now) {
  for (const std::int64_t destination : destinations) {
    removed_at_[destination] = now;
    order_.emplace_back(now, destination);
  }
}

void RemovedDestinations::expire(Micros now, Micros retention) {
  for (; !order_.empty() && now - order_.front().first > retention; order_.pop_front()) {
    const auto& [removed_at, destination] = order_.front();
    const auto latest = removed_at_.find(destination);
    if (latest != removed_at_.end() && latest->second == removed_at)
      removed_at_.erase(latest);
  }
}

bool RemovedDestinations::contains(std::int64_t destination, Micros now, Micros retention) const {
  const auto removed = removed_at_.find(destination);
  return removed != removed_at_.end() && now - removed->second <= retention;
}

}  // namespace grademux
