// See response_times.h.
#include "response_times.h"

#include <algorithm>

namespace grademux {

namespace {

constexpr Micros kPlausibleSpeedup = 2;  // over the fastest response so far
// The first response on a connection takes longer than later ones, because of handshakes.
constexpr Micros kPlausibleSpeedupOverNew = 4;
constexpr Micros kLongestRest = 20'000;  // microseconds

void lower(std::optional<Micros>& fastest, Micros response_time) {
  fastest = fastest ? std::min(*fastest, response_time) : response_time;
}

}  // namespace

void ResponseTimes::record(const std::string& endpoint, Micros response_time, bool reused) {
  if (reused && response_time < earliestPlausible(endpoint))
    return;
  Fastest& fastest = fastest_[endpoint];
  lower(reused ? fastest.on_reused : fastest.on_new, response_time);
}

void ResponseTimes::recordRepeated(const std::string& endpoint, Micros response_time) {
  if (response_time >= earliestPlausible(endpoint))
    lowerBound(endpoint, response_time);
}

void ResponseTimes::recordSetAside(const std::string& endpoint, Micros response_time) {
  lowerBound(endpoint, std::max(response_time, earliestPlausible(endpoint)));
}

void ResponseTimes::lowerBound(const std::string& endpoint, Micros response_time) {
  const auto known = fastest_.find(endpoint);
  if (known == fastest_.end())
    return;
  Fastest& fastest = known->second;
  fastest.most_plausible = std::min(fastest.most_plausible, response_time / kPlausibleSpeedup);
}

Micros ResponseTimes::earliestPlausible(const std::string& endpoint) const {
  const auto known = fastest_.find(endpoint);
  return known == fastest_.end() ? 0 : earliestPlausible(known->second);
}

Micros ResponseTimes::earliestPlausible(const Fastest& fastest) {
  if (!fastest.on_reused)
    return std::min(fastest.most_plausible, *fastest.on_new / kPlausibleSpeedupOverNew);
  const Micros response_time = std::min(*fastest.on_reused, fastest.on_new.value_or(*fastest.on_reused));
  return std::min(fastest.most_plausible, response_time / kPlausibleSpeedup);
}

Micros ResponseTimes::restAfterResponse(const std::string& endpoint) const {
  const auto known = fastest_.find(endpoint);
  if (known == fastest_.end())
    return 0;
  const Fastest& fastest = known->second;
  return std::min(
      {kLongestRest, fastest.on_new.value_or(kLongestRest), fastest.on_reused.value_or(kLongestRest)});
}

}  // namespace grademux
