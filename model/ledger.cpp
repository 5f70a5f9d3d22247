// grademux model: where worth went; see ledger.h.
#include "ledger.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace grademux::model {

const char* nameOf(Cause c) {
  static constexpr const char* kNames[kCauses] = {"client", "slot",    "limit",       "told_wait",
                                                  "away",   "cold",    "failed_call", "process",
                                                  "answer", "refused", "may_have_run"};
  return kNames[static_cast<std::size_t>(c)];
}

double worthAt(const MessageClass& c, LatenessPenalty late, Micros age) {
  if (age <= c.latency_objective)
    return c.priority_weight;
  if (age > c.deadline)
    return 0;
  const double over = static_cast<double>(age - c.latency_objective);
  if (late == LatenessPenalty::halving)
    return c.priority_weight *
           std::max(c.late_weight_fraction,
                    std::exp2(-over / static_cast<double>(std::max<Micros>(1, c.latency_objective))));
  const double span = static_cast<double>(std::max<Micros>(1, c.deadline - c.latency_objective));
  return c.priority_weight * (1 - (1 - c.late_weight_fraction) * over / span);
}

void Ledger::close(const MessageClass& c, Micros born, const Parts& parts, double left, Cause how) {
  ++messages;
  offered += c.priority_weight;
  delivered += left;
  const std::size_t second = static_cast<std::size_t>(std::max<Micros>(0, born) / 1'000'000);
  if (offered_at.size() <= second) {
    offered_at.resize(second + 1);
    delivered_at.resize(second + 1);
    lost_at.resize(second + 1);
  }
  offered_at[second] += c.priority_weight;
  delivered_at[second] += left;
  const double lost_here = c.priority_weight - left;
  if (left <= 0)
    ++undelivered;
  else if (lost_here > 0)
    ++late;
  else
    ++in_time;
  if (lost_here <= 0)
    return;
  const std::size_t cause =
      how != Cause::count
          ? static_cast<std::size_t>(how)
          : static_cast<std::size_t>(std::max_element(parts.begin(), parts.end()) - parts.begin());
  lost[cause] += lost_here;
  lost_at[second][cause] += lost_here;
}

double Ledger::lostInAll() const {
  return std::accumulate(lost.begin(), lost.end(), 0.0);
}

}  // namespace grademux::model
