// Endpoints, outcomes and zone states for the tests of the zones package.
#pragma once

#include <set>
#include <string>

#include "../../src/zones/zone_state.h"

namespace grademux::zones {

constexpr Micros kSecond = 1'000'000;

inline Endpoint endpoint(const std::string& zone, std::int64_t destination, int number = 0) {
  Endpoint endpoint;
  endpoint.id = zone + std::to_string(destination) + "-" + std::to_string(number);
  endpoint.zone = zone;
  endpoint.destination = destination;
  return endpoint;
}
inline AttemptOutcome outcome(AttemptResult result, Micros retry_after = 0) {
  AttemptOutcome outcome;
  outcome.result = result;
  outcome.retry_after = retry_after;
  return outcome;
}

inline ZoneState recovering(int stage, double fraction, std::set<std::string> probers = {}) {
  ZoneState state;
  state.phase = ZonePhase::recovering;
  state.stage = stage;
  state.traffic_fraction = fraction;
  state.probers = std::move(probers);
  return state;
}
inline ZoneState evacuated() {
  ZoneState state;
  state.phase = ZonePhase::evacuated;
  return state;
}

}  // namespace grademux::zones
