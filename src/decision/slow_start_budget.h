// Slow start budget: how many calls a second all senders together may send to a target that is cold after an
// outage, and how many of them this sender claims. Senders don't communicate, so each claims a part that
// depends only on what it knows itself, chosen so that the parts of all senders add up to no more than the
// budget.
#pragma once

#include "decision_context.h"

namespace grademux::decision {

constexpr double kPlannedBudgetFraction = 0.9;  // of the budget; the rest absorbs random coincidence of calls
constexpr double kEvenClaimFraction =
    0.5;  // of the planned budget, in even parts; the rest follows the demand
constexpr double kMaxDemandFraction = 0.25;  // largest part of the limit that a sender claims for its demand
// Smallest demand in each slow start time where there is any message: of all senders together, in even parts,
// and of each sender.
constexpr double kMinFleetDemand = 12;
constexpr double kMinSenderDemand = 1.0 / 3;

// Where the calls of this sender to a target come from.
struct TargetDemand {
  double limit = 0;     // calls a second that the target takes from all senders; 0: unknown
  double own_rate = 0;  // messages a second of this sender for the target
};

class SlowStartBudget {
 public:
  explicit SlowStartBudget(const DecisionContext& context) : context_(context) {}

  // Calls a second that this sender may send to the cold target now.
  double callRate(const TargetState& target, const TargetDemand& demand) const;
  // Microseconds between two calls at that rate.
  double callGap(const TargetState& target, const TargetDemand& demand) const;

 private:
  double capacityFraction(const TargetState& target) const;
  double claimedRate(const TargetDemand& demand) const;

  const DecisionContext& context_;
};

}  // namespace grademux::decision
