// Zone health as one sender observes it, from the outcomes of its attempts per destination and zone. No I/O
// and no clock: times are microseconds of one monotonic clock. Used on the loop thread only.
//
// A zone fails where destinations fail in it and not in their zones in other regions. A destination that is
// down everywhere, or that has endpoints in one region only, is no evidence about a zone. A sender whose own
// network fails, or whose process was suspended, sees every zone fail and reports none as failing.
#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "decaying_sum.h"
#include "delivery_rates.h"
#include "regions.h"
#include "zone_state.h"

namespace grademux::zones {

constexpr Micros kRecentTimeConstant = 4'000'000;
/// Decayed number of attempts from which their failing fraction is evidence.
constexpr double kMinSamples = 3;
/// Fraction of failed attempts from which a destination counts as failing in a zone.
constexpr double kFailingFraction = 0.5;
/// Fraction of failed attempts up to which a destination counts as healthy in a zone.
constexpr double kHealthyFraction = 0.2;
/// Statistics of a destination without attempts are dropped after this.
constexpr Micros kStatsExpiry = 300'000'000;
/// Number of failing destinations from which a sender reports a zone as failing.
constexpr int kMinFailingDestinations = 2;
/// How long a failure counts if no success follows. The decision module avoids an endpoint that failed, so a
/// second failure may never be observed.
constexpr Micros kLastFailureValidity = 10'000'000;

/// Collects attempt outcomes and derives this sender's vote on each zone.
class ZoneHealthMonitor {
 public:
  void recordOutcome(Micros now, const Endpoint& endpoint, const AttemptOutcome& outcome);

  /// Deliveries per second, as long-term averages.
  const DeliveryRates& baseline() const { return baseline_; }
  double baselineRate(Micros now, const std::string& zone, const std::string& endpoint) const {
    return baseline_.rate(now, zone, endpoint);
  }

  /// Whether enough attempts have ended in the zone since resetZone() for a vote.
  bool hasEnoughSamples(const std::string& zone) const;

  /// Vote on an active zone: compares each destination there with its zones in other regions.
  ZoneVote compareWithOtherZones(Micros now, const std::string& zone, const Regions& regions) const;
  /// Vote on a recovering zone, from all attempts there since resetZone().
  ZoneVote evaluateRecovery(Micros now, const std::string& zone) const;

  /// Destinations whose last attempt in the zone failed, with the time at which it ended.
  std::map<std::int64_t, Micros> failingDestinations(const std::string& zone) const;

  /// Drops the statistics of a zone whose phase, stage or probers have changed; baselines stay.
  void resetZone(const std::string& zone);
  /// Drops destinations without attempts for kStatsExpiry, and endpoints whose rate is negligible.
  void expire(Micros now);
  /// Number of destinations with statistics.
  std::size_t size() const { return stats_.size(); }

 private:
  struct DestinationStats {
    DecayingSum recent_attempts;
    DecayingSum recent_failures;
    std::int64_t attempts = 0;  // since resetZone()
    std::int64_t failures = 0;  // since resetZone()
    bool last_failed = false;
    Micros last_ended_at = 0;
    Micros last_failure_at = 0;
    Micros healthy_since = INT64_MAX;

    void record(Micros now, bool failed);
    bool isFailing(Micros now) const;
    bool isHealthy(Micros now) const;
    bool hasEvidence(Micros now) const;
  };
  using StatsByZone = std::map<std::string, DestinationStats>;

  static bool isComparable(Micros now, const StatsByZone& by_zone, const std::string& zone,
                           const Regions& regions);

  std::unordered_map<std::int64_t, StatsByZone> stats_;  // by destination
  DeliveryRates baseline_;
};

}  // namespace grademux::zones
