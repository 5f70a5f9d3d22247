// grademux zones: one sender's part in leaving a zone and coming back to it: how the module is to see the
// endpoints, which calls may begin, and what was seen. No I/O, no clock. The sender's loop alone uses it.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "../core/message.h"
#include "token_bucket.h"
#include "zone_health_monitor.h"

namespace grademux::zones {

// The module chooses an endpoint that failed last only where it has no other, and one that is seldom open
// less than others. So for as long, at each turn of such an endpoint, the others of its partner are hidden
// from it, until a call there has gone well and this sender has seen enough for a word on the stage.
constexpr Micros kHealthCheckTime = 50'000, kHealthCheckInterval = 1'000'000;
// A zone that is in, and that this sender has seen fail at two partners or more, is looked at in the same
// way, so that neither its failure nor its health is forgotten: sooner than Evidence forgets the last
// failure.
constexpr Micros kFailedZoneCheckInterval = 4'000'000;
constexpr double kProbeRate = 4;  // calls a second into a zone in its trial, of the whole fleet

class ZoneTrafficController {
 public:
  explicit ZoneTrafficController(std::string name) : name_(std::move(name)) {}

  // The fleet stands so from now on. True: otherwise than before.
  bool applyStates(const ZoneStates& states, Micros now);
  // What an earlier process of this sender used to send to zones that the fleet had left; before the first
  // follow(). Without it a zone on its way back gets nothing from here.
  void restoreBaseline(TrafficBaseline parts) { restored_ = std::move(parts); }
  // Of the zones that are not in, to be kept for the next process.
  TrafficBaseline baseline() const;
  // Calls into zones on their way back need a lease that runs; without one they are seen as out.
  void setLeaseValid(bool runs) { lease_valid_ = runs; }
  // An entry of the list, new, changed or gone.
  void onEndpointListed(const Endpoint& e);

  EndpointState visibleState(const Endpoint& e, Micros now);
  // A call is about to begin. False: not there, now. `repeatable`: it may run twice.
  bool admitAttempt(const AttemptId& id, const Endpoint& e, bool repeatable, Micros now);
  // Asked again before its first byte.
  bool isSendAllowed(const std::string& endpoint) const;
  void onAttemptFinished(const AttemptOutcome& o, Micros now);

  // Endpoints that the module is to see otherwise than it was last told by shows().
  std::vector<std::string> takeChangedEndpoints(Micros now);
  bool isRecovering() const;  // some zone is on its way back, or not seen well since it came
  bool isRecovering(const std::string& zone) const { return stateOf(zone).phase == ZonePhase::recovering; }
  bool hasStates() const { return !states_.empty(); }

  std::map<std::string, ZoneVote> votes(Micros now, const Regions& regions = {});
  Micros stateSince(const std::string& zone) const;         // when it came to stand so
  std::map<std::string, double> endpointFractions() const;  // of the listed endpoints, by zone
  void expire(Micros now);                                  // each second or so

 private:
  // Of zones that are not in: what this sender used to send, from before they were left.
  struct ZoneBaseline {
    std::map<std::string, BaselineRate> endpoints;
    std::map<std::int64_t, std::pair<double, int>> destinations;  // sum, and of how many endpoints
    double all = 0;
  };
  const ZoneState& stateOf(const std::string& zone) const;
  ZoneBaseline baselineOf(const std::string& zone, Micros now) const;
  double rateOf(const Endpoint& e, const ZoneState& s) const;
  bool isHidden(const Endpoint& e, Micros now) const;
  void startHealthChecks(Micros now);
  void startHealthChecks(const Endpoint& e, Micros now, Micros again = kHealthCheckInterval);
  void onHealthCheckEnded(const Endpoint& e, Micros now);
  // Adds the endpoint if the module is to see it otherwise than it was told last.
  void appendIfChanged(const std::string& id, Micros now, std::vector<std::string>& changed);
  TokenBucket& bucketOf(const Endpoint& e, Micros now);

  std::string name_;
  ZoneStates states_;
  std::map<std::string, Micros> since_;
  bool lease_valid_ = true;
  ZoneHealthMonitor health_;
  // Shared with the calls that are out: each keeps it as it was when it began, and copies nothing.
  using Listed = std::shared_ptr<const Endpoint>;
  std::unordered_map<std::string, Listed> listed_;
  std::map<std::string, std::set<std::string>> by_zone_;
  std::set<std::string> unsettled_zones_;  // zones to look at though they are in again
  std::map<std::string, ZoneBaseline> baselines_;
  TrafficBaseline restored_;
  std::map<std::string, TokenBucket> buckets_;
  std::map<std::string, EndpointState> visible_states_;  // of endpoints of zones that are not in
  struct OfCall {
    std::size_t operator()(const AttemptId& c) const {
      return std::hash<std::string>()(c.message_id) ^
             static_cast<std::size_t>(c.attempt) * 0x9e3779b97f4a7c15;
    }
  };
  std::unordered_map<AttemptId, Listed, OfCall> out_;
  std::map<std::int64_t, std::set<std::string>> by_destination_;
  std::set<std::string> healthy_;  // endpoints of returning zones that have answered well since
  // Of zones that are in again and did not, or that failed last: how often they are knocked at.
  std::map<std::string, Micros> health_check_intervals_;
  std::map<std::string, double>
      traffic_before_failure_;  // traffic of zones that are in, from when they were last seen well
  struct HealthCheck {
    Micros begun = 0, until = 0;
  };
  std::map<std::int64_t, HealthCheck> health_checks_;  // by destination
};

}  // namespace grademux::zones
