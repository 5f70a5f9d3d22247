#include "health_check_schedule.h"

namespace grademux::zones {

void HealthCheckSchedule::requireFrom(Micros first_check, const Endpoint& endpoint) {
  intervals_[endpoint.id] = kHealthCheckInterval;
  windows_[endpoint.destination] = {first_check - kHealthCheckInterval, 0};
}

void HealthCheckSchedule::require(const std::string& endpoint, Micros interval) {
  intervals_.emplace(endpoint, interval);
}

void HealthCheckSchedule::openWindow(std::int64_t destination, Micros now, Micros interval) {
  Window& window = windows_[destination];
  if (now - window.opened_at >= interval)
    window = {now, now + kHealthCheckTime};
}

void HealthCheckSchedule::closeWindow(std::int64_t destination, Micros now) {
  if (const auto window = windows_.find(destination); window != windows_.end())
    window->second.closes_at = now;
}

bool HealthCheckSchedule::isWindowOpen(std::int64_t destination, Micros now) const {
  const auto window = windows_.find(destination);
  return window != windows_.end() && now < window->second.closes_at;
}

}  // namespace grademux::zones
