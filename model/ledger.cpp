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

double worthAt(const MessageClass& c, LateRule late, Micros age) {
  if (age <= c.aim)
    return c.worth;
  if (age > c.deadline)
    return 0;
  const double over = static_cast<double>(age - c.aim);
  if (late == LateRule::halves)
    return c.worth *
           std::max(c.late_worth, std::exp2(-over / static_cast<double>(std::max<Micros>(1, c.aim))));
  const double span = static_cast<double>(std::max<Micros>(1, c.deadline - c.aim));
  return c.worth * (1 - (1 - c.late_worth) * over / span);
}

void Ledger::close(const MessageClass& c, Micros born, const Parts& parts, double left, Cause how) {
  ++messages;
  offered += c.worth;
  delivered += left;
  const std::size_t second = static_cast<std::size_t>(std::max<Micros>(0, born) / 1'000'000);
  if (offered_at.size() <= second) {
    offered_at.resize(second + 1);
    delivered_at.resize(second + 1);
    lost_at.resize(second + 1);
  }
  offered_at[second] += c.worth;
  delivered_at[second] += left;
  const double lost_here = c.worth - left;
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
