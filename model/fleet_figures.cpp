// grademux model: the figures of a run; see fleet.h.
#include <algorithm>
#include <cmath>

#include "fleet.h"

namespace grademux::model {

namespace {

double rounded(double x) {
  return std::round(x * 1e6) / 1e6;
}

}  // namespace

json Fleet::figures() {
  json lost = json::object(), broken = json::object(), shown = json::array();
  for (std::size_t i = 0; i < kCauses; ++i)
    if (ledger.lost[i] > 0)
      lost[nameOf(static_cast<Cause>(i))] = rounded(ledger.lost[i]);
  for (std::size_t i = 0; i < kRules; ++i)
    if (checker.broken[i] > 0)
      broken[nameOf(static_cast<Rule>(i))] = checker.broken[i];
  for (const Checker::Break& b : checker.first)
    shown.push_back(
        {{"rule", nameOf(b.rule)}, {"what", b.what}, {"at_s", static_cast<double>(b.at - kBegin) / 1e6}});
  json over_time = json::array();
  for (std::size_t s = 0; s < ledger.offered_at.size(); ++s)
    over_time.push_back({rounded(ledger.offered_at[s]), rounded(ledger.delivered_at[s])});
  json lost_over_time = json::object();
  for (std::size_t i = 0; i < kCauses; ++i) {
    if (ledger.lost[i] <= 0)
      continue;
    json row = json::array();
    for (const auto& at : ledger.lost_at)
      row.push_back(rounded(at[i]));
    lost_over_time[nameOf(static_cast<Cause>(i))] = std::move(row);
  }
  double slow_start_peak = 0;
  for (const auto& partner : partners)
    slow_start_peak = std::max(slow_start_peak, partner->peakBudgetUsed());
  const double offered = std::max(1e-9, ledger.offered);
  return {{"world", world.name},
          {"policy", choice.policy->name},
          {"seed", choice.seed},
          {"worth", rounded(ledger.delivered / offered)},
          {"offered", rounded(ledger.offered)},
          {"delivered", rounded(ledger.delivered)},
          {"messages", ledger.messages},
          {"in_time", ledger.in_time},
          {"late", ledger.late},
          {"undelivered", ledger.undelivered},
          {"calls", calls},
          {"refusals", refusals},
          {"handshakes", handshakes},
          {"cold_calls",
           {{"rate_limit", cold_calls[AttemptPacing::rate_limit]},
            {"outage_trial", cold_calls[AttemptPacing::outage_trial]},
            {"slow_start", cold_calls[AttemptPacing::slow_start]},
            {"unpaced", cold_calls[AttemptPacing::unpaced]}}},
          {"slow_start_peak", rounded(slow_start_peak)},
          {"steps", clock.steps()},
          {"lost", lost},
          {"broken", checker.total()},
          {"rules", broken},
          {"breaks", shown},
          {"slots", settings.max_in_flight},
          {"max_open", settings.max_open_messages},
          {"over_time", over_time},
          {"lost_over_time", lost_over_time}};
}

}  // namespace grademux::model
