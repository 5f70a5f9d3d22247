// grademux zones: what the fleet does about a zone, from its states and from what the senders saw. A pure
// function, the same at every sender; whoever comes to a verdict writes it into the plan by compare-and-swap.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "regions.h"
#include "state.h"

namespace grademux::zones {

struct Rules {
  double agree = 0.5;     // leave: share of the traffic there, of those who have a say, that sees it fail
  int destinations = 2;   // leave: that somebody must see struck
  double most_out = 0.5;  // share of the endpoints that may be out at once
  double stay = 0.25;     // back: share of the traffic that sees it fail and sends it out again
  Micros least_out = 10'000'000, most_pause = 320'000'000;  // doubles with each return that failed
  Micros stage = 3'000'000;                                 // the least time of each
  int stages = 3;                                           // after the trial, before it is in
  int patience = 5;          // of such times without a word from those who try; then others do
  double cold_share = 0.3;   // that an endpoint bears right after an outage; grows to 1 over the stages
  std::size_t carriers = 3;  // of the trial
  Regions regions;
};

// Of a stage, from 1: what endpoints bear when it begins, had they come back with the first.
inline double shareOf(const Rules& r, int stage) {
  return r.cold_share + (1 - r.cold_share) * (stage - 1) / r.stages;
}

struct Voter {
  std::string name;
  Vote vote;
  bool live = false;  // its session stands
};
struct Zone {
  State state;
  std::vector<Voter> voters;  // reports that were made under `state`
  Micros since = 0;           // how long it has been so
  double endpoints = 0;       // of all that are listed, the share that stands in this zone
};

using Verdict = States;  // the zones that are to stand otherwise than now, `in` among them

inline void apply(const Verdict& v, States& states) {
  for (const auto& [zone, s] : v) {
    if (s == State())
      states.erase(zone);
    else
      states[zone] = s;
  }
}

namespace detail {
struct Sum {
  double failing = 0, fine = 0;
  int struck = 0;
};
inline Sum sumOf(const std::vector<Voter>& voters) {
  Sum s;
  for (const Voter& v : voters) {
    if (!v.live)
      continue;
    const double weight = std::max(v.vote.traffic, 0.01);  // who sends little has a small say, not none
    if (v.vote.sight == Sight::failing)
      s.failing += weight, s.struck = std::max(s.struck, v.vote.struck);
    if (v.vote.sight == Sight::fine)
      s.fine += weight;
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
std::set<std::string> carriers(const std::vector<Voter>& voters, const Rules& rules, const Rank& rank) {
  std::vector<std::string> all;
  for (const Voter& v : voters)
    if (v.live && v.vote.traffic > 0)
      all.push_back(v.name);
  if (all.empty())
    for (const Voter& v : voters)
      if (v.live)
        all.push_back(v.name);
  const auto by_rank = [&](const std::string& a, const std::string& b) { return rank(a) < rank(b); };
  std::sort(all.begin(), all.end(), by_rank);
  return {all.begin(), all.begin() + static_cast<long>(std::min(all.size(), rules.carriers))};
}

// Empty: all stays as it is. `rank`: see carriers(). Zones of one region that fail are left together; each
// comes back for itself.
template <class Rank>
Verdict verdict(const std::map<std::string, Zone>& zones, const Rules& rules, const Rank& rank) {
  double out = 0;
  for (const auto& [name, z] : zones)
    if (z.state.way != Way::in)
      out += z.endpoints;
  Verdict leave;  // comes before returning
  for (const auto& [name, z] : zones) {
    if (z.state.way != Way::in || z.state.held)
      continue;
    const detail::Sum s = detail::sumOf(z.voters);
    if (s.failing <= 0 || s.failing < rules.agree * (s.failing + s.fine) || s.struck < rules.destinations ||
        out + z.endpoints > rules.most_out)
      continue;
    if (!leave.empty() && !rules.regions.together(name, leave.begin()->first))
      continue;
    // A region and the one that stands by for it are never away both, not even in part.
    if (std::any_of(zones.begin(), zones.end(), [&, &zone = name](const auto& other) {
          return other.second.state.way != Way::in && rules.regions.paired(zone, other.first);
        }))
      continue;
    out += z.endpoints;
    State next;
    next.way = Way::out;
    next.why = detail::percent(s.failing, s.failing + s.fine) + " of the traffic there sees it fail";
    leave[name] = next;
  }
  if (!leave.empty())
    return leave;
  for (const auto& [name, z] : zones) {
    if (z.state.way == Way::in || z.state.held)
      continue;
    State next = z.state;
    next.why.clear();
    if (z.state.way == Way::out) {
      const Micros pause = std::min(rules.most_pause, rules.least_out << std::min(z.state.failed, 20));
      if (z.since < pause)
        continue;
      const auto able = carriers(z.voters, rules, rank);
      if (able.empty())
        continue;
      next.way = Way::back;
      next.stage = 0;
      next.share = 0;
      next.carriers = able;
      next.why = "out for " + std::to_string(z.since / 1'000'000) + " s";
      return {{name, next}};
    }
    std::vector<Voter> asked = z.voters;
    if (z.state.stage == 0)
      asked.erase(std::remove_if(asked.begin(), asked.end(),
                                 [&](const Voter& v) { return !z.state.carriers.count(v.name); }),
                  asked.end());
    const detail::Sum s = detail::sumOf(asked);
    if (s.failing > 0 && s.failing >= rules.stay * (s.failing + s.fine)) {
      next.way = Way::out;
      next.stage = 0;
      next.share = 0;
      next.carriers.clear();
      ++next.failed;
      next.why = detail::percent(s.failing, s.failing + s.fine) + " of the traffic there sees it fail";
      return {{name, next}};
    }
    if (z.state.stage == 0 && s.fine <= 0 && z.since >= rules.patience * rules.stage) {
      next.carriers = carriers(z.voters, rules, rank);
      if (next.carriers.empty() || next.carriers == z.state.carriers)
        continue;
      next.why = "those who tried have told nothing";
      return {{name, next}};
    }
    if (z.since < rules.stage || s.fine <= 0)
      continue;
    next.carriers.clear();
    next.stage = z.state.stage + 1;
    if (next.stage > rules.stages) {
      next = State();
      next.why = "back";
    } else {
      next.share = shareOf(rules, next.stage);
      next.why = "the stage before was clean";
    }
    return {{name, next}};
  }
  return {};
}

}  // namespace grademux::zones
