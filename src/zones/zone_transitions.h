// Decides which zones are evacuated and which recover, from the zones' states in the plan and the senders'
// votes. Pure functions: every sender computes the same result from the same input. Any sender that reaches a
// decision writes the decision into the plan by compare-and-swap.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "regions.h"
#include "zone_state.h"

namespace grademux::zones {

/// Thresholds and durations of evacuation and recovery.
struct ZonePolicy {
  /// Fraction of the traffic (of senders with a vote) that must see the zone fail to evacuate it.
  double evacuate_quorum = 0.5;
  /// Failing destinations that at least one sender must see to evacuate.
  int min_failing_destinations = 2;
  /// Fraction of all listed endpoints that may be in evacuated or recovering zones.
  double max_evacuated_fraction = 0.5;
  /// Fraction of the traffic that sees the zone fail which aborts a recovery.
  double abort_quorum = 0.25;
  /// Least duration of an evacuation; doubles with each failed recovery.
  Micros min_evacuation_time = 10'000'000;
  Micros max_evacuation_backoff = 320'000'000;
  Micros min_stage_time = 3'000'000;
  /// Recovery stages after the probe stage.
  int stage_count = 3;
  /// After this many min_stage_time without a healthy vote from the probers, other probers are chosen.
  int prober_timeout_stages = 5;
  /// Fraction of its usual load that an endpoint can take right after an outage; grows to 1 over the stages.
  double cold_capacity_fraction = 0.3;
  std::size_t prober_count = 3;
  Regions regions;
};

/// Fraction of the baseline traffic that is allowed in a recovery stage, counted from 1.
double trafficFraction(const ZonePolicy& policy, int stage);

/// One sender's vote on a zone.
struct Observer {
  std::string name;
  ZoneVote vote;
  bool live = false;  ///< Whether its store session is valid; the vote of a sender without one doesn't count.
};

/// Input of a decision about one zone.
struct ZoneReport {
  ZoneState state;
  std::vector<Observer> voters;  ///< Votes that were cast under `state`.
  Micros since = 0;              ///< How long the zone has been in `state`.
  double endpoint_fraction = 0;  ///< Fraction of all listed endpoints that are in this zone.
};
using ZoneReports = std::map<std::string, ZoneReport>;  // by zone

/// The new states of the zones that change, active ones included.
using ZoneTransitions = ZoneStates;

/// Applies decided transitions to the states in a plan.
void apply(const ZoneTransitions& transitions, ZoneStates& states);

/// Sort key of a prober candidate by its name: the same at every sender, different for each plan.
using ProberRank = std::function<std::string(const std::string& name)>;

/// Returns the senders that probe a zone: the first live ones by rank. Senders without traffic to the zone
/// are chosen only if no live sender has any.
std::set<std::string> chooseProbers(const std::vector<Observer>& voters, const ZonePolicy& policy,
                                    const ProberRank& rank);

/// Returns the transitions that are due now; empty if every zone keeps its state. Evacuations come before
/// recovery steps. Failing zones of one region are evacuated together; each zone recovers on its own.
ZoneTransitions decideTransitions(const ZoneReports& zones, const ZonePolicy& policy, const ProberRank& rank);

}  // namespace grademux::zones
