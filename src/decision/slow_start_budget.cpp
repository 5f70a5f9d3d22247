#include "slow_start_budget.h"

#include <algorithm>

namespace grademux::decision {

double SlowStartBudget::callRate(const TargetState& target, const TargetDemand& demand) const {
  return kPlannedBudgetFraction * context_.settings.overload_factor * capacityFraction(target) *
         claimedRate(demand);
}

double SlowStartBudget::callGap(const TargetState& target, const TargetDemand& demand) const {
  return kSecond / callRate(target, demand);
}

// Share of its capacity that the target surely has now: it grows linearly in the slow start time.
double SlowStartBudget::capacityFraction(const TargetState& target) const {
  const double cold_fraction = context_.settings.cold_capacity_fraction;
  if (target.outlier.is_down)
    return cold_fraction;
  const double warm_for = static_cast<double>(context_.now - target.outlier.warming_since) / kSecond;
  const double warmth = std::min(1.0, warm_for / context_.rateSpanSeconds());
  return cold_fraction + (1 - cold_fraction) * warmth;
}

// Calls a second that this sender claims of a warm target. The demands of all senders add up to the limit at
// most, and the even parts do so, too; hence any weighted mean of the two does.
double SlowStartBudget::claimedRate(const TargetDemand& demand) const {
  const double senders = context_.settings.sender_count;
  const double min_demand = std::max(kMinSenderDemand, kMinFleetDemand / senders);
  const double own_rate = std::max(demand.own_rate, min_demand / context_.rateSpanSeconds());
  if (demand.limit <= 0)
    return own_rate;
  const double even_part = demand.limit / senders;
  if (even_part >= kMaxDemandFraction * demand.limit)
    return even_part;
  const double demanded_part = std::min(own_rate, kMaxDemandFraction * demand.limit);
  return kEvenClaimFraction * even_part + (1 - kEvenClaimFraction) * demanded_part;
}

}  // namespace grademux::decision
