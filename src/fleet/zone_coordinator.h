// One sender's part in zone evacuation: applies the plan's zone states to its traffic, stores its traffic
// baseline, and evaluates the votes of all senders. Used on the loop thread only; refers to its owner's
// scope, store, configuration and compliance.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "../core/backoff.h"
#include "../core/worker.h"
#include "../zones/zone_traffic_controller.h"
#include "../zones/zone_transitions.h"
#include "callback_scope.h"
#include "fleet_config.h"
#include "plan_compliance.h"
#include "store.h"

namespace grademux::fleet {

class ZoneCoordinator {
 public:
  struct Callbacks {
    std::function<void(const std::vector<std::string>&)> refresh_endpoints;  ///< Their visible state changed.
    std::function<const zones::ZonePolicy&()> zone_policy;
    std::function<int()> sender_count;                ///< Approximate size of the fleet.
    std::function<bool()> can_evaluate;               ///< Whether this sender may change the plan now.
    std::function<std::int64_t()> plan_modify_index;  ///< Of the newest plan's entry at the store.
    std::function<void(json)> write_audit_record;
    std::function<void()> publish_report;
  };
  /// `folder`: where the traffic baseline is stored. `backoff` is shared with the other calls to the store.
  ZoneCoordinator(boost::asio::io_context& io, Worker& worker, const CallbackScope& scope, Store& store,
                  const FleetConfig& config, const PlanCompliance& compliance, Backoff& backoff,
                  const std::string& folder, Callbacks callbacks);

  /// Applies the zone states of the plan that this sender acts under, and the evacuations of the newest plan.
  void applyZoneStates();
  /// Starts the periodic evaluation of votes.
  void evaluate();
  void cancelTimers();

  /// This sender's votes, by zone.
  const std::map<std::string, zones::ZoneVote>& votes() const { return votes_; }

  EndpointState visibleState(const Endpoint& endpoint);
  bool admitAttempt(const AttemptId& id, const Endpoint& endpoint, bool idempotent);
  bool isSendAllowed(const std::string& endpoint) const { return traffic_.isSendAllowed(endpoint); }
  void onAttemptFinished(const AttemptOutcome& outcome);

 private:
  void refreshEndpoints();
  void storeTrafficBaseline();
  bool needsEvaluation() const;
  void evaluateReports(const std::vector<StoreEntry>& entries, const Plan& plan, std::int64_t modify_index);
  zones::ZoneReports collectVotes(const std::vector<StoreEntry>& entries, const Plan& plan) const;
  void proposeTransitions(const zones::ZoneTransitions& transitions, const Plan& plan,
                          std::int64_t modify_index);

  boost::asio::io_context& io_;
  Worker& worker_;
  const CallbackScope& scope_;
  Store& store_;
  const FleetConfig& config_;
  const PlanCompliance& compliance_;
  Backoff& backoff_;
  Callbacks callbacks_;
  boost::asio::steady_timer refresh_timer_;
  boost::asio::steady_timer evaluation_timer_;
  std::string traffic_baseline_path_;
  zones::ZoneTrafficController traffic_;
  zones::TrafficBaseline traffic_baseline_;  // as stored
  std::map<std::string, zones::ZoneVote> votes_;
  bool evaluating_ = false;
  bool refresh_posted_ = false;
};

}  // namespace grademux::fleet
