// grademux zones: what the fleet does about a zone, from its states and from what the senders saw. A pure
// function, the same at every sender; whoever comes to a verdict writes it into the plan by compare-and-swap.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "regions.h"
#include "zone_state.h"

namespace grademux::zones {

struct ZonePolicy {
  double evacuate_quorum =
      0.5;  // leave: share of the traffic there, of those who have a say, that sees it fail
  int min_failing_destinations = 2;     // leave: that somebody must see struck
  double max_evacuated_fraction = 0.5;  // share of the endpoints that may be out at once
  double abort_quorum = 0.25;           // back: share of the traffic that sees it fail and sends it out again
  Micros min_evacuation_time = 10'000'000,
         max_evacuation_backoff = 320'000'000;  // doubles with each return that failed
  Micros min_stage_time = 3'000'000;            // the least time of each
  int stage_count = 3;                          // after the trial, before it is in
  int prober_timeout_stages = 5;  // of such times without a word from those who try; then others do
  double cold_capacity_fraction =
      0.3;                       // that an endpoint bears right after an outage; grows to 1 over the stages
  std::size_t prober_count = 3;  // of the trial
  Regions regions;
};

// Of a stage, from 1: what endpoints bear when it begins, had they come back with the first.
inline double trafficFraction(const ZonePolicy& r, int stage) {
  return r.cold_capacity_fraction + (1 - r.cold_capacity_fraction) * (stage - 1) / r.stage_count;
}

struct Observer {
  std::string name;
  ZoneVote vote;
  bool live = false;  // its session stands
};
struct ZoneReport {
  ZoneState state;
  std::vector<Observer> voters;  // reports that were made under `state`
  Micros since = 0;              // how long it has been so
  double endpoint_fraction = 0;  // of all that are listed, the share that stands in this zone
};

using ZoneTransitions = ZoneStates;  // the zones that are to stand otherwise than now, `in` among them

inline void apply(const ZoneTransitions& v, ZoneStates& states) {
  for (const auto& [zone, s] : v) {
    if (s == ZoneState())
      states.erase(zone);
    else
      states[zone] = s;
  }
}

namespace detail {
struct VoteTotals {
  double failing = 0, healthy = 0;
  int failing_destinations = 0;
};
inline VoteTotals countVotes(const std::vector<Observer>& voters) {
  VoteTotals s;
  for (const Observer& v : voters) {
    if (!v.live)
      continue;
    const double weight = std::max(v.vote.traffic, 0.01);  // who sends little has a small say, not none
    if (v.vote.observation == Observation::failing)
      s.failing += weight,
          s.failing_destinations = std::max(s.failing_destinations, v.vote.failing_destinations);
    if (v.vote.observation == Observation::healthy)
      s.healthy += weight;
  }
  return s;
}
inline std::string percent(double part, double whole) {
  return std::to_string(static_cast<int>(100 * part / std::max(whole, 1e-9))) + "%";
}
}  // namespace detail

// Who is to try: some of those who live, of those who send there if anybody does. `rank` orders them: the
// same at all senders, another with each plan.
template <class Rank>
std::set<std::string> chooseProbers(const std::vector<Observer>& voters, const ZonePolicy& rules,
                                    const Rank& rank) {
  std::vector<std::string> all;
  for (const Observer& v : voters)
    if (v.live && v.vote.traffic > 0)
      all.push_back(v.name);
  if (all.empty())
    for (const Observer& v : voters)
      if (v.live)
        all.push_back(v.name);
  const auto by_rank = [&](const std::string& a, const std::string& b) { return rank(a) < rank(b); };
  std::sort(all.begin(), all.end(), by_rank);
  return {all.begin(), all.begin() + static_cast<long>(std::min(all.size(), rules.prober_count))};
}

// Empty: all stays as it is. `rank`: see carriers(). Zones of one region that fail are left together; each
// comes back for itself.
template <class Rank>
ZoneTransitions decideTransitions(const std::map<std::string, ZoneReport>& zones, const ZonePolicy& rules,
                                  const Rank& rank) {
  double out = 0;
  for (const auto& [name, z] : zones)
    if (z.state.phase != ZonePhase::active)
      out += z.endpoint_fraction;
  ZoneTransitions leave;  // comes before returning
  for (const auto& [name, z] : zones) {
    if (z.state.phase != ZonePhase::active || z.state.pinned_by_operator)
      continue;
    const detail::VoteTotals s = detail::countVotes(z.voters);
    if (s.failing <= 0 || s.failing < rules.evacuate_quorum * (s.failing + s.healthy) ||
        s.failing_destinations < rules.min_failing_destinations ||
        out + z.endpoint_fraction > rules.max_evacuated_fraction)
      continue;
    if (!leave.empty() && !rules.regions.sameRegion(name, leave.begin()->first))
      continue;
    // A region and the one that stands by for it are never away both, not even in part.
    if (std::any_of(zones.begin(), zones.end(), [&, &zone = name](const auto& other) {
          return other.second.state.phase != ZonePhase::active &&
                 rules.regions.areStandbys(zone, other.first);
        }))
      continue;
    out += z.endpoint_fraction;
    ZoneState next;
    next.phase = ZonePhase::evacuated;
    next.reason = detail::percent(s.failing, s.failing + s.healthy) + " of the traffic there sees it fail";
    leave[name] = next;
  }
  if (!leave.empty())
    return leave;
  for (const auto& [name, z] : zones) {
    if (z.state.phase == ZonePhase::active || z.state.pinned_by_operator)
      continue;
    ZoneState next = z.state;
    next.reason.clear();
    if (z.state.phase == ZonePhase::evacuated) {
      const Micros pause = std::min(rules.max_evacuation_backoff,
                                    rules.min_evacuation_time << std::min(z.state.failed_recoveries, 20));
      if (z.since < pause)
        continue;
      const auto able = chooseProbers(z.voters, rules, rank);
      if (able.empty())
        continue;
      next.phase = ZonePhase::recovering;
      next.stage = 0;
      next.traffic_fraction = 0;
      next.probers = able;
      next.reason = "out for " + std::to_string(z.since / 1'000'000) + " s";
      return {{name, next}};
    }
    std::vector<Observer> asked = z.voters;
    if (z.state.stage == 0)
      asked.erase(std::remove_if(asked.begin(), asked.end(),
                                 [&](const Observer& v) { return !z.state.probers.count(v.name); }),
                  asked.end());
    const detail::VoteTotals s = detail::countVotes(asked);
    if (s.failing > 0 && s.failing >= rules.abort_quorum * (s.failing + s.healthy)) {
      next.phase = ZonePhase::evacuated;
      next.stage = 0;
      next.traffic_fraction = 0;
      next.probers.clear();
      ++next.failed_recoveries;
      next.reason = detail::percent(s.failing, s.failing + s.healthy) + " of the traffic there sees it fail";
      return {{name, next}};
    }
    if (z.state.stage == 0 && s.healthy <= 0 &&
        z.since >= rules.prober_timeout_stages * rules.min_stage_time) {
      next.probers = chooseProbers(z.voters, rules, rank);
      if (next.probers.empty() || next.probers == z.state.probers)
        continue;
      next.reason = "those who tried have told nothing";
      return {{name, next}};
    }
    if (z.since < rules.min_stage_time || s.healthy <= 0)
      continue;
    next.probers.clear();
    next.stage = z.state.stage + 1;
    if (next.stage > rules.stage_count) {
      next = ZoneState();
      next.reason = "back";
    } else {
      next.traffic_fraction = trafficFraction(rules, next.stage);
      next.reason = "the stage before was clean";
    }
    return {{name, next}};
  }
  return {};
}

}  // namespace grademux::zones
