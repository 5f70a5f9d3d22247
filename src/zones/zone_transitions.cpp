#include "zone_transitions.h"

#include <algorithm>
#include <optional>

namespace grademux::zones {

namespace {

// Weight of a sender with little or no traffic in the zone.
constexpr double kMinVoteWeight = 0.01;
constexpr int kMaxBackoffDoublings = 20;

struct VoteTotals {
  double failing = 0;
  double healthy = 0;
  int failing_destinations = 0;

  double total() const { return failing + healthy; }
};

VoteTotals countVotes(const std::vector<Observer>& voters) {
  VoteTotals totals;
  for (const Observer& voter : voters) {
    if (!voter.live)
      continue;
    const double weight = std::max(voter.vote.traffic, kMinVoteWeight);
    if (voter.vote.observation == Observation::failing) {
      totals.failing += weight;
      totals.failing_destinations = std::max(totals.failing_destinations, voter.vote.failing_destinations);
    }
    if (voter.vote.observation == Observation::healthy)
      totals.healthy += weight;
  }
  return totals;
}

std::string failingReason(const VoteTotals& votes) {
  constexpr double kSmallestTotal = 1e-9;
  const int percent = static_cast<int>(100 * votes.failing / std::max(votes.total(), kSmallestTotal));
  return std::to_string(percent) + "% of the traffic there sees it fail";
}

// ---- Evacuation

double evacuatedFraction(const ZoneReports& zones) {
  double fraction = 0;
  for (const auto& [name, zone] : zones)
    if (zone.state.phase != ZonePhase::active)
      fraction += zone.endpoint_fraction;
  return fraction;
}

bool reachesEvacuationQuorum(const VoteTotals& votes, const ZonePolicy& policy) {
  return votes.failing > 0 && votes.failing >= policy.evacuate_quorum * votes.total() &&
         votes.failing_destinations >= policy.min_failing_destinations;
}

// Whether a zone of the region's standby, or of a region that it stands by for, is not active. A region and
// its standby must not lose zones at the same time.
bool isStandbyAffected(const std::string& name, const ZoneReports& zones, const ZonePolicy& policy) {
  return std::any_of(zones.begin(), zones.end(), [&](const auto& other) {
    return other.second.state.phase != ZonePhase::active && policy.regions.areStandbys(name, other.first);
  });
}

ZoneTransitions decideEvacuations(const ZoneReports& zones, const ZonePolicy& policy) {
  double evacuated = evacuatedFraction(zones);
  ZoneTransitions evacuations;
  for (const auto& [name, zone] : zones) {
    if (zone.state.phase != ZonePhase::active || zone.state.pinned_by_operator)
      continue;
    const VoteTotals votes = countVotes(zone.voters);
    if (!reachesEvacuationQuorum(votes, policy) ||
        evacuated + zone.endpoint_fraction > policy.max_evacuated_fraction)
      continue;
    if (!evacuations.empty() && !policy.regions.sameRegion(name, evacuations.begin()->first))
      continue;
    if (isStandbyAffected(name, zones, policy))
      continue;
    evacuated += zone.endpoint_fraction;
    ZoneState next;
    next.phase = ZonePhase::evacuated;
    next.reason = failingReason(votes);
    evacuations[name] = next;
  }
  return evacuations;
}

// ---- Recovery: each step returns the zone's next state, or nothing if the state does not change.

std::optional<ZoneState> startRecovery(const ZoneReport& zone, const ZonePolicy& policy,
                                       const ProberRank& rank) {
  const int doublings = std::min(zone.state.failed_recoveries, kMaxBackoffDoublings);
  const Micros backoff = std::min(policy.max_evacuation_backoff, policy.min_evacuation_time << doublings);
  if (zone.since < backoff)
    return std::nullopt;
  const std::set<std::string> probers = chooseProbers(zone.voters, policy, rank);
  if (probers.empty())
    return std::nullopt;
  ZoneState next = zone.state;
  next.phase = ZonePhase::recovering;
  next.stage = 0;
  next.traffic_fraction = 0;
  next.probers = probers;
  next.reason = "out for " + std::to_string(zone.since / 1'000'000) + " s";
  return next;
}

// In the probe stage only the votes of the probers count.
VoteTotals countRecoveryVotes(const ZoneReport& zone) {
  if (zone.state.stage != 0)
    return countVotes(zone.voters);
  std::vector<Observer> probers;
  for (const Observer& voter : zone.voters)
    if (zone.state.probers.count(voter.name))
      probers.push_back(voter);
  return countVotes(probers);
}

ZoneState abortRecovery(const ZoneReport& zone, const VoteTotals& votes) {
  ZoneState next = zone.state;
  next.phase = ZonePhase::evacuated;
  next.stage = 0;
  next.traffic_fraction = 0;
  next.probers.clear();
  ++next.failed_recoveries;
  next.reason = failingReason(votes);
  return next;
}

std::optional<ZoneState> replaceProbers(const ZoneReport& zone, const ZonePolicy& policy,
                                        const ProberRank& rank) {
  ZoneState next = zone.state;
  next.probers = chooseProbers(zone.voters, policy, rank);
  if (next.probers.empty() || next.probers == zone.state.probers)
    return std::nullopt;
  next.reason = "those who tried have told nothing";
  return next;
}

ZoneState advanceStage(const ZoneReport& zone, const ZonePolicy& policy) {
  const int stage = zone.state.stage + 1;
  if (stage > policy.stage_count) {
    ZoneState active;
    active.reason = "back";
    return active;
  }
  ZoneState next = zone.state;
  next.probers.clear();
  next.stage = stage;
  next.traffic_fraction = trafficFraction(policy, stage);
  next.reason = "the stage before was clean";
  return next;
}

std::optional<ZoneState> continueRecovery(const ZoneReport& zone, const ZonePolicy& policy,
                                          const ProberRank& rank) {
  const VoteTotals votes = countRecoveryVotes(zone);
  if (votes.failing > 0 && votes.failing >= policy.abort_quorum * votes.total())
    return abortRecovery(zone, votes);
  const Micros prober_timeout = policy.prober_timeout_stages * policy.min_stage_time;
  if (zone.state.stage == 0 && votes.healthy <= 0 && zone.since >= prober_timeout)
    return replaceProbers(zone, policy, rank);
  if (zone.since < policy.min_stage_time || votes.healthy <= 0)
    return std::nullopt;
  return advanceStage(zone, policy);
}

// At most one zone takes a recovery step at a time.
ZoneTransitions decideRecoveryStep(const ZoneReports& zones, const ZonePolicy& policy,
                                   const ProberRank& rank) {
  for (const auto& [name, zone] : zones) {
    if (zone.state.phase == ZonePhase::active || zone.state.pinned_by_operator)
      continue;
    const std::optional<ZoneState> next = zone.state.phase == ZonePhase::evacuated
                                              ? startRecovery(zone, policy, rank)
                                              : continueRecovery(zone, policy, rank);
    if (next)
      return {{name, *next}};
  }
  return {};
}

}  // namespace

double trafficFraction(const ZonePolicy& policy, int stage) {
  return policy.cold_capacity_fraction +
         (1 - policy.cold_capacity_fraction) * (stage - 1) / policy.stage_count;
}

void apply(const ZoneTransitions& transitions, ZoneStates& states) {
  for (const auto& [zone, state] : transitions) {
    if (state == ZoneState())
      states.erase(zone);
    else
      states[zone] = state;
  }
}

std::set<std::string> chooseProbers(const std::vector<Observer>& voters, const ZonePolicy& policy,
                                    const ProberRank& rank) {
  std::vector<std::string> candidates;
  for (const Observer& voter : voters)
    if (voter.live && voter.vote.traffic > 0)
      candidates.push_back(voter.name);
  if (candidates.empty())
    for (const Observer& voter : voters)
      if (voter.live)
        candidates.push_back(voter.name);
  std::sort(candidates.begin(), candidates.end(),
            [&](const std::string& left, const std::string& right) { return rank(left) < rank(right); });
  const std::size_t count = std::min(candidates.size(), policy.prober_count);
  return {candidates.begin(), candidates.begin() + static_cast<long>(count)};
}

ZoneTransitions decideTransitions(const ZoneReports& zones, const ZonePolicy& policy,
                                  const ProberRank& rank) {
  ZoneTransitions evacuations = decideEvacuations(zones, policy);
  if (!evacuations.empty())
    return evacuations;
  return decideRecoveryStep(zones, policy, rank);
}

}  // namespace grademux::zones
