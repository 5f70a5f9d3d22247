// Schedules health checks with live messages. The decision module selects an endpoint whose last attempt
// failed only if the destination has no other endpoint, so the other endpoints are hidden from the decision
// module during a check. No I/O and no clock: times are microseconds of one monotonic clock. Used on the loop
// thread only.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "grademux/sender.h"

namespace grademux::zones {

constexpr Micros kHealthCheckTime = 50'000;
constexpr Micros kHealthCheckInterval = 1'000'000;
/// Interval for endpoints of an active zone that this sender sees failing; below kLastFailureValidity, so
/// that the failure is confirmed or refuted before it expires.
constexpr Micros kFailedZoneCheckInterval = 4'000'000;

/// Check windows by destination, and the endpoints of active zones that need checks.
class HealthCheckSchedule {
 public:
  /// Requires checks of the endpoint until stop(); the first window opens at `first_check` or later.
  void requireFrom(Micros first_check, const Endpoint& endpoint);
  /// Requires checks at `interval`, unless the endpoint has checks already.
  void require(const std::string& endpoint, Micros interval);
  void stop(const std::string& endpoint) { intervals_.erase(endpoint); }
  bool isRequired(const std::string& endpoint) const { return intervals_.count(endpoint) > 0; }
  /// Intervals of the required checks, by endpoint id.
  const std::map<std::string, Micros>& intervals() const { return intervals_; }

  /// Opens the destination's window unless the last one opened less than `interval` ago.
  void openWindow(std::int64_t destination, Micros now, Micros interval);
  void closeWindow(std::int64_t destination, Micros now);
  bool isWindowOpen(std::int64_t destination, Micros now) const;

  /// Calls `visit(destination)` for every window, then drops windows that opened kWindowExpiry ago or
  /// earlier.
  template <class Visit>
  void visitAndExpireWindows(Micros now, const Visit& visit) {
    for (auto window = windows_.begin(); window != windows_.end();) {
      visit(window->first);
      const bool expired = now - window->second.opened_at >= kWindowExpiry;
      window = expired ? windows_.erase(window) : std::next(window);
    }
  }

 private:
  static constexpr Micros kWindowExpiry = 2 * kFailedZoneCheckInterval;
  struct Window {
    Micros opened_at = 0;
    Micros closes_at = 0;
  };
  std::map<std::int64_t, Window> windows_;   // by destination
  std::map<std::string, Micros> intervals_;  // by endpoint id
};

}  // namespace grademux::zones
