#include "engine_log.h"

#include <algorithm>

#include "../log/log.h"

namespace grademux {

namespace {

const char* nameOf(AttemptPacing pacing) {
  switch (pacing) {
    case AttemptPacing::rate_limit:
      return "rate_limit";
    case AttemptPacing::outage_trial:
      return "outage_trial";
    case AttemptPacing::slow_start:
      return "slow_start";
    case AttemptPacing::unpaced:
      return "unpaced";
  }
  return "";
}

const char* stateName(const DestinationHealth& health, Micros slow_start_left) {
  if (health.down)
    return "down";
  return slow_start_left > 0 ? "slow_start" : "healthy";
}

}  // namespace

void logHealth(log::Event event, const DestinationHealth& health, Micros now, Micros slow_start_time) {
  const Micros warming_for = now - std::min(now, health.warming_since);
  const Micros slow_start_left = health.down ? 0 : std::max<Micros>(0, slow_start_time - warming_for);
  const Micros retry_after_left = std::max<Micros>(0, health.retry_after_until - now);
  log::write(event, {{"destination", health.destination},
                     {"endpoint", health.endpoint},
                     {"state", stateName(health, slow_start_left)},
                     {"slow_start_ms", slow_start_left / 1000},
                     {"retry_after_ms", retry_after_left / 1000}});
}

void logAttemptStarted(const StartAttempt& start, int attempt) {
  if (!log::isEnabled(log::Event::attempt_started))
    return;
  log::write(log::Event::attempt_started, {{"message", start.id},
                                           {"endpoint", start.endpoint},
                                           {"attempt", attempt},
                                           {"pacing", nameOf(start.pacing)}});
}

}  // namespace grademux
