#include "zone_health_monitor.h"

#include <algorithm>
#include <iterator>

namespace grademux::zones {

namespace {

// Decayed number of attempts below which a destination is no evidence, unless the destination is failing.
constexpr double kMinRecentAttempts = 0.5;

// Whether a fault of the endpoint's zone may have caused the outcome. A rejection with Retry-After is a rate
// limit.
bool indicatesZoneFault(const AttemptOutcome& outcome) {
  switch (outcome.result) {
    case AttemptResult::error:
    case AttemptResult::timeout:
    case AttemptResult::connect_failed:
      return true;
    case AttemptResult::reset:
      return !outcome.stale_connection;
    case AttemptResult::rejected:
      return outcome.retry_after == 0;
    default:
      return false;
  }
}

bool reachedEndpoint(const AttemptOutcome& outcome) {
  if (outcome.result == AttemptResult::cancelled || outcome.result == AttemptResult::not_sent)
    return false;
  return outcome.result != AttemptResult::reset || !outcome.stale_connection;
}

Observation majorityOf(int compared, int failing, int healthy) {
  if (compared > 0 && 2 * failing > compared)
    return Observation::failing;
  return compared > 0 && 2 * healthy > compared ? Observation::healthy : Observation::unknown;
}

}  // namespace

void ZoneHealthMonitor::DestinationStats::record(Micros now, bool failed) {
  recent_attempts.add(now, 1, kRecentTimeConstant);
  ++attempts;
  last_failed = failed;
  last_ended_at = now;
  if (!failed) {
    healthy_since = std::min(healthy_since, now);
    return;
  }
  recent_failures.add(now, 1, kRecentTimeConstant);
  ++failures;
  last_failure_at = now;
  healthy_since = INT64_MAX;
}

bool ZoneHealthMonitor::DestinationStats::isFailing(Micros now) const {
  if (last_failed && now - last_ended_at < kLastFailureValidity)
    return true;
  const double recent = recent_attempts.at(now, kRecentTimeConstant);
  return recent >= kMinSamples && recent_failures.at(now, kRecentTimeConstant) >= kFailingFraction * recent;
}

bool ZoneHealthMonitor::DestinationStats::isHealthy(Micros now) const {
  const double recent = recent_attempts.at(now, kRecentTimeConstant);
  return !last_failed && recent_failures.at(now, kRecentTimeConstant) <= kHealthyFraction * recent;
}

bool ZoneHealthMonitor::DestinationStats::hasEvidence(Micros now) const {
  return isFailing(now) || recent_attempts.at(now, kRecentTimeConstant) >= kMinRecentAttempts;
}

void ZoneHealthMonitor::recordOutcome(Micros now, const Endpoint& endpoint, const AttemptOutcome& outcome) {
  if (!reachedEndpoint(outcome))
    return;
  baseline_.onAttemptEnded(now);
  stats_[endpoint.destination][endpoint.zone].record(now, indicatesZoneFault(outcome));
  if (outcome.result == AttemptResult::ok)
    baseline_.recordDelivery(now, endpoint.zone, endpoint.id);
}

bool ZoneHealthMonitor::hasEnoughSamples(const std::string& zone) const {
  std::int64_t attempts = 0;
  for (const auto& [destination, by_zone] : stats_)
    if (const auto here = by_zone.find(zone); here != by_zone.end())
      attempts += here->second.attempts;
  return static_cast<double>(attempts) >= kMinSamples;
}

// Whether a majority of the destination's zones in other regions is healthy, and this zone has evidence.
bool ZoneHealthMonitor::isComparable(Micros now, const StatsByZone& by_zone, const std::string& zone,
                                     const Regions& regions) {
  const DestinationStats& here = by_zone.at(zone);
  const bool failing_here = here.isFailing(now);
  int others = 0;
  int healthy_others = 0;
  for (const auto& [other_zone, other] : by_zone) {
    if (other_zone == zone || regions.sameRegion(other_zone, zone) || !other.hasEvidence(now))
      continue;
    const bool healthy = other.isHealthy(now);
    // A zone that became healthy only after this one failed is no reference: after a fault in all zones, this
    // zone may merely be the last to be tried again.
    if (healthy && failing_here && other.healthy_since > here.last_failure_at)
      continue;
    ++others;
    healthy_others += healthy ? 1 : 0;
  }
  return 2 * healthy_others > others && here.hasEvidence(now);
}

ZoneVote ZoneHealthMonitor::compareWithOtherZones(Micros now, const std::string& zone,
                                                  const Regions& regions) const {
  ZoneVote vote;
  vote.traffic = baseline_.rate(now, zone);
  int compared = 0;
  int healthy = 0;
  for (const auto& [destination, by_zone] : stats_) {
    const auto here = by_zone.find(zone);
    if (here == by_zone.end() || !isComparable(now, by_zone, zone, regions))
      continue;
    ++compared;
    vote.failing_destinations += here->second.isFailing(now) ? 1 : 0;
    healthy += here->second.isHealthy(now) ? 1 : 0;
  }
  vote.observation = majorityOf(compared, vote.failing_destinations, healthy);
  if (vote.failing_destinations < kMinFailingDestinations && vote.observation == Observation::failing)
    vote.observation = Observation::unknown;
  return vote;
}

ZoneVote ZoneHealthMonitor::evaluateRecovery(Micros now, const std::string& zone) const {
  ZoneVote vote;
  vote.traffic = baseline_.rate(now, zone);
  std::int64_t attempt_count = 0;
  std::int64_t failure_count = 0;
  for (const auto& [destination, by_zone] : stats_) {
    const auto here = by_zone.find(zone);
    if (here == by_zone.end())
      continue;
    attempt_count += here->second.attempts;
    failure_count += here->second.failures;
    vote.failing_destinations += here->second.isFailing(now) ? 1 : 0;
  }
  const auto attempts = static_cast<double>(attempt_count);
  const auto failures = static_cast<double>(failure_count);
  if (vote.failing_destinations > 0 && failures >= kFailingFraction * attempts)
    vote.observation = Observation::failing;
  else if (attempts >= kMinSamples && failures <= kHealthyFraction * attempts)
    vote.observation = Observation::healthy;
  return vote;
}

std::map<std::int64_t, Micros> ZoneHealthMonitor::failingDestinations(const std::string& zone) const {
  std::map<std::int64_t, Micros> failing;
  for (const auto& [destination, by_zone] : stats_)
    if (const auto here = by_zone.find(zone); here != by_zone.end() && here->second.last_failed)
      failing[destination] = here->second.last_ended_at;
  return failing;
}

void ZoneHealthMonitor::resetZone(const std::string& zone) {
  for (auto entry = stats_.begin(); entry != stats_.end();) {
    entry->second.erase(zone);
    entry = entry->second.empty() ? stats_.erase(entry) : std::next(entry);
  }
}

void ZoneHealthMonitor::expire(Micros now) {
  for (auto entry = stats_.begin(); entry != stats_.end();) {
    StatsByZone& by_zone = entry->second;
    for (auto here = by_zone.begin(); here != by_zone.end();) {
      const bool expired = now - here->second.last_ended_at > kStatsExpiry;
      here = expired ? by_zone.erase(here) : std::next(here);
    }
    entry = by_zone.empty() ? stats_.erase(entry) : std::next(entry);
  }
  baseline_.expire(now);
}

}  // namespace grademux::zones
