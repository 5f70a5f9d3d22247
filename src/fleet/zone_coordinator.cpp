#include "zone_coordinator.h"

#include <algorithm>

#include "../core/clock.h"
#include "../core/file.h"
#include "../log/log.h"
#include "state_files.h"

namespace grademux::fleet {

namespace {

constexpr Micros kRefreshInterval = 20'000;  // for endpoints whose token bucket has a token again
constexpr Micros kEvaluationInterval = 1'000'000;
// Average number of senders that read all reports in one interval; a single one suffices to write a decision.
constexpr double kEvaluatingSenders = 4;

}  // namespace

ZoneCoordinator::ZoneCoordinator(boost::asio::io_context& io, Worker& worker, const CallbackScope& scope,
                                 Store& store, const FleetConfig& config, const PlanCompliance& compliance,
                                 Backoff& backoff, const std::string& folder, Callbacks callbacks)
    : io_(io),
      worker_(worker),
      scope_(scope),
      store_(store),
      config_(config),
      compliance_(compliance),
      backoff_(backoff),
      callbacks_(std::move(callbacks)),
      refresh_timer_(io),
      evaluation_timer_(io),
      traffic_baseline_path_(trafficBaselineFilePath(folder)),
      traffic_(config.name),
      traffic_baseline_(loadTrafficBaseline(traffic_baseline_path_)) {
  traffic_.restoreBaseline(traffic_baseline_);
}

void ZoneCoordinator::cancelTimers() {
  refresh_timer_.cancel();
  evaluation_timer_.cancel();
}

// A zone that a newer plan evacuates is evacuated at once, whatever else that plan requires.
void ZoneCoordinator::applyZoneStates() {
  traffic_.setLeaseValid(compliance_.hasValidLease(boottimeNow()));
  zones::ZoneStates states = compliance_.acting().zones;
  for (const auto& [zone, state] : compliance_.newest().zones)
    if (state.phase == zones::ZonePhase::evacuated)
      states[zone] = state;
  if (traffic_.applyStates(states, monotonicNow())) {
    json states_json = json::object();
    for (const auto& [zone, state] : states) {
      states_json[zone] = zones::toJson(state);
      log::write(log::Event::fleet_zone_changed, {{"zone", zone}, {"state", zones::toString(state)}});
    }
    callbacks_.write_audit_record(
        {{"kind", "zones"}, {"plan", compliance_.newest().number}, {"zones", std::move(states_json)}});
    votes_ = traffic_.votes(monotonicNow(), callbacks_.zone_policy().regions);
    storeTrafficBaseline();
  }
  refreshEndpoints();
}

// For the next process of this sender: without a baseline it would send nothing to a recovering zone, and if
// every sender had restarted, the recovery would stop.
void ZoneCoordinator::storeTrafficBaseline() {
  zones::TrafficBaseline current = traffic_.baseline();
  if (current == traffic_baseline_)
    return;
  traffic_baseline_ = std::move(current);
  worker_.run([baseline = traffic_baseline_, path = traffic_baseline_path_]() -> std::function<void()> {
    const std::string error = replaceFile(path, serializeTrafficBaseline(baseline));
    return [error] {
      if (!error.empty())
        log::write(log::Event::fleet_baseline_write_failed, {{"cause", error}});
    };
  });
}

void ZoneCoordinator::refreshEndpoints() {
  refresh_posted_ = false;
  const std::vector<std::string> changed = traffic_.takeChangedEndpoints(monotonicNow());
  if (!changed.empty())
    callbacks_.refresh_endpoints(changed);
  if (traffic_.isRecovering())
    scope_.runAfter(refresh_timer_, kRefreshInterval, [this] { refreshEndpoints(); });
}

// ---- Evaluation

void ZoneCoordinator::evaluate() {
  scope_.runAfter(evaluation_timer_, kEvaluationInterval, [this] { evaluate(); });
  const Micros now = monotonicNow();
  traffic_.expire(now);
  votes_ = traffic_.votes(now, callbacks_.zone_policy().regions);
  callbacks_.publish_report();
  if (!needsEvaluation())
    return;
  // Spreads the reads over the fleet, whatever its size.
  constexpr Micros kDraws = 1000;
  const double chance = kDraws * kEvaluatingSenders / std::max(1, callbacks_.sender_count());
  if (static_cast<double>(backoff_.randomWithin(kDraws)) >= chance)
    return;
  evaluating_ = true;
  store_.listPrefix(config_.sendersPrefix(),
                    scope_.wrap([this, plan = compliance_.newest(),
                                 modify_index = callbacks_.plan_modify_index()](const StoreResult& result) {
                      evaluating_ = false;
                      if (result.has_value() && plan.number == compliance_.newest().number)
                        evaluateReports(result.value().entries, plan, modify_index);
                    }));
}

// Only a sender that acts under the newest plan knows how long each zone has been in its state.
bool ZoneCoordinator::needsEvaluation() const {
  const std::int64_t newest = compliance_.newest().number;
  if (!config_.evacuate_zones || evaluating_ || !callbacks_.can_evaluate() || newest == 0 ||
      compliance_.acting().number != newest)
    return false;
  const bool sees_failure = std::any_of(votes_.begin(), votes_.end(), [](const auto& entry) {
    return entry.second.observation == zones::Observation::failing;
  });
  return sees_failure || traffic_.hasStates();
}

zones::ZoneReports ZoneCoordinator::collectVotes(const std::vector<StoreEntry>& entries,
                                                 const Plan& plan) const {
  zones::ZoneReports reports;
  for (const auto& [zone, fraction] : traffic_.endpointFractions())
    reports[zone].endpoint_fraction = fraction;
  for (const auto& [zone, state] : plan.zones)
    reports[zone].state = state;
  for (auto& [zone, report] : reports)
    report.since = monotonicNow() - traffic_.stateSince(zone);
  for (const StoreEntry& entry : entries) {
    try {
      const SenderReport sender = parseReport(json::parse(entry.value));
      if (sender.versions.plan != plan.number)
        continue;  // This sender voted under another plan.
      for (const auto& [zone, vote] : sender.zones)
        if (const auto report = reports.find(zone); report != reports.end())
          report->second.voters.push_back({sender.name, vote, !entry.session.empty()});
    } catch (const std::exception&) {
      continue;  // Not a report.
    }
  }
  return reports;
}

void ZoneCoordinator::evaluateReports(const std::vector<StoreEntry>& entries, const Plan& plan,
                                      std::int64_t modify_index) {
  const zones::ZoneTransitions transitions =
      zones::decideTransitions(collectVotes(entries, plan), callbacks_.zone_policy(),
                               [&](const std::string& name) { return probeRank(plan.number, name); });
  if (!transitions.empty())
    proposeTransitions(transitions, plan, modify_index);
}

void ZoneCoordinator::proposeTransitions(const zones::ZoneTransitions& transitions, const Plan& plan,
                                         std::int64_t modify_index) {
  std::string reason;
  for (const auto& [zone, state] : transitions)
    reason += (reason.empty() ? "zone " : "; zone ") + zone + ": " + zones::toString(state);
  Plan next = nextPlan(plan, config_.name, reason, unixNow());
  zones::apply(transitions, next.zones);
  if (!checkTransition(plan, next).has_value())
    return;
  evaluating_ = true;
  store_.compareAndSwap(
      config_.planKey(), toJson(next).dump(), modify_index,
      scope_.wrap([this, next](const StoreResult& result) {
        evaluating_ = false;
        if (wasApplied(result))
          callbacks_.write_audit_record({{"kind", "verdict"}, {"plan", next.number}, {"why", next.reason}});
      }));
}

// ---- Attempts

EndpointState ZoneCoordinator::visibleState(const Endpoint& endpoint) {
  traffic_.onEndpointListed(endpoint);
  return endpoint.state == EndpointState::gone ? endpoint.state
                                               : traffic_.visibleState(endpoint, monotonicNow());
}

bool ZoneCoordinator::admitAttempt(const AttemptId& id, const Endpoint& endpoint, bool idempotent) {
  const bool admitted = traffic_.admitAttempt(id, endpoint, idempotent, monotonicNow());
  // The decision module sees at once that the endpoint has no token left.
  if (traffic_.isRecovering(endpoint.zone) && !std::exchange(refresh_posted_, true))
    boost::asio::post(io_, scope_.wrap([this] { refreshEndpoints(); }));
  return admitted;
}

void ZoneCoordinator::onAttemptFinished(const AttemptOutcome& outcome) {
  traffic_.onAttemptFinished(outcome, monotonicNow());
}

}  // namespace grademux::fleet
