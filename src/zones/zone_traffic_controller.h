// Applies the fleet's zone states to one sender: in which state the decision module sees each endpoint, which
// attempts may start, and this sender's votes. No I/O and no clock: times are microseconds of one monotonic
// clock. Used on the loop thread only.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "../core/message.h"
#include "endpoint_index.h"
#include "health_check_schedule.h"
#include "token_bucket.h"
#include "traffic_baseline.h"
#include "zone_health_monitor.h"

namespace grademux::zones {

/// Attempts per second of the whole fleet to a zone in its probe stage.
constexpr double kProbeRate = 4;

class ZoneTrafficController {
 public:
  /// `name`: the sender's name in the fleet.
  explicit ZoneTrafficController(std::string name) : name_(std::move(name)) {}

  /// Applies the states of the plan. Returns whether any state has changed.
  bool applyStates(const ZoneStates& states, Micros now);
  /// Sets the baselines that an earlier process of this sender measured for zones that are not active. Must
  /// be called before the first applyStates(). Without a baseline this sender sends nothing to a recovering
  /// zone.
  void restoreBaseline(TrafficBaseline baseline) { restored_baseline_ = std::move(baseline); }
  /// Returns the baselines of the zones that are not active, which are stored for the next process.
  TrafficBaseline baseline() const;
  /// Without a valid lease, recovering zones are treated as evacuated.
  void setLeaseValid(bool valid) { lease_valid_ = valid; }
  /// An endpoint was listed, changed or removed (state `gone`).
  void onEndpointListed(const Endpoint& endpoint);

  /// Returns the state in which the decision module sees the endpoint.
  EndpointState visibleState(const Endpoint& endpoint, Micros now);
  /// Returns whether an attempt may start, and takes its token. `idempotent`: the endpoint may execute the
  /// message twice.
  bool admitAttempt(const AttemptId& id, const Endpoint& endpoint, bool idempotent, Micros now);
  /// Whether an admitted attempt may still send its first byte.
  bool isSendAllowed(const std::string& endpoint) const;
  void onAttemptFinished(const AttemptOutcome& outcome, Micros now);

  /// Returns the endpoints whose visible state differs from what visibleState() returned last.
  std::vector<std::string> takeChangedEndpoints(Micros now);
  /// Whether a zone is recovering, or an endpoint of an active zone needs health checks.
  bool isRecovering() const;
  bool isRecovering(const std::string& zone) const { return stateOf(zone).phase == ZonePhase::recovering; }
  /// Whether any zone is not active.
  bool hasStates() const { return !states_.empty(); }

  /// This sender's votes, by zone.
  std::map<std::string, ZoneVote> votes(Micros now, const Regions& regions = {});
  /// Time of the last change of the zone's phase, stage or probers; 0 if there was none.
  Micros stateSince(const std::string& zone) const;
  /// Fraction of all listed endpoints in each zone.
  std::map<std::string, double> endpointFractions() const;
  /// Drops old statistics and starts checks of failing zones. Must be called about once a second.
  void expire(Micros now);

 private:
  using EndpointEntry = EndpointIndex::Entry;
  struct AttemptIdHash {
    std::size_t operator()(const AttemptId& id) const;
  };

  const ZoneState& stateOf(const std::string& zone) const;
  void applyState(const std::string& zone, const ZoneState& before, const ZoneState& next, Micros now);
  void resetEndpoints(const std::string& zone, ZonePhase before, ZonePhase next, Micros now);
  ZoneBaseline measureBaseline(const std::string& zone, Micros now) const;
  double allowedRate(const Endpoint& endpoint, const ZoneState& state) const;
  TokenBucket& bucketOf(const Endpoint& endpoint, Micros now);
  bool isHidden(const Endpoint& endpoint, Micros now) const;
  bool admitToRecoveringZone(const Endpoint& endpoint, const ZoneState& state, bool idempotent, Micros now);
  void openHealthCheckWindows(Micros now);
  void openHealthCheckWindows(const std::string& zone, Micros now);
  /// Appends the endpoint if its visible state has changed.
  void appendIfChanged(const std::string& id, Micros now, std::vector<std::string>& changed);
  ZoneVote voteOn(const std::string& zone, Micros now, const Regions& regions) const;
  void keepTrafficBeforeFailure(const std::string& zone, ZoneVote& vote);

  std::string name_;
  ZoneStates states_;
  std::map<std::string, Micros> state_since_;  // by zone
  bool lease_valid_ = true;
  ZoneHealthMonitor health_;
  EndpointIndex endpoints_;
  std::set<std::string> changed_zones_;  // since the last takeChangedEndpoints()
  std::map<std::string, ZoneBaseline> baselines_;
  TrafficBaseline restored_baseline_;
  std::map<std::string, TokenBucket> buckets_;  // by endpoint
  std::map<std::string, EndpointState>
      visible_states_;  // by endpoint, where it may differ from the listed state
  std::unordered_map<AttemptId, EndpointEntry, AttemptIdHash> attempts_;
  std::set<std::string> healthy_;  // endpoints with a success while their zone was recovering
  HealthCheckSchedule health_checks_;
  std::map<std::string, double> traffic_before_failure_;  // by active zone, as of its last healthy vote
};

}  // namespace grademux::zones
