// Rate limiter: how fast this sender may send to a destination or endpoint. All senders share a limit without
// coordination: each uses a quota of the limit, which rejections reduce and which grows again slowly.
#pragma once

#include <optional>

#include "decision_context.h"
#include "latency_statistics.h"
#include "slow_start_budget.h"

namespace grademux::decision {

constexpr double kBurstSeconds = 0.5;       // calls that the limit allows in this time may be sent at once
constexpr double kMaxQuotaFraction = 0.25;  // largest share of a limit that a busy sender claims
constexpr double kInitialQuotaShares = 2;   // first quota, in shares of the limit
constexpr double kRejectionQuotaFactor = 0.75;  // quota factor after a rejection
constexpr double kLowAllowanceQuotaFactor =
    0.93;  // quota factor after a report of a low allowance, in a large fleet
constexpr double kLowAllowanceFraction = 0.1;  // the allowance is low below this remaining share
constexpr double kMinQuotaShares = 0.5;        // smallest quota, in shares
constexpr double kQuotaGrowthShares = 0.15;    // quota growth in each overload collapse time, in shares
constexpr double kMaxGapStretch = 4;  // longest gap after consecutive rejections, in gaps at the allowed rate
constexpr double kTrialGapFraction = 0.25;  // longest gap between trials of a down target, in collapse times

// Changes only RateLimitState.
class RateLimiter {
 public:
  RateLimiter(DecisionContext& context, const LatencyStatistics& latency)
      : context_(context), latency_(latency), slow_start_(context) {}

  // Share of a limit that this sender claims: an even share, or more if its demand (calls a second) is
  // larger.
  double quotaShare(double limit, double demand) const;
  // Updates the quota, and returns the calls a second that this sender may send.
  double allowedRate(TargetState& target, const TargetDemand& demand);
  // The limit and this sender's demand that apply to a target of the endpoint: to the endpoint itself, or to
  // its destination.
  TargetDemand demandOf(const EndpointEntry& endpoint, const TargetState& target) const;
  TargetDemand demandOf(const Destination& destination) const;
  // Sets the next call to a cold target to a random moment of the gap between two calls, from `from` on. All
  // senders learn of an outage, of its end or of their own restart at about the same time; so their calls
  // spread evenly over the gap.
  void spreadNextCall(TargetState& target, const TargetDemand& demand, Micros from);
  // Ends the longer gaps between the trials of a down target: from now on the gap of slow start applies.
  void resumePacing(TargetState& target, const TargetDemand& demand);
  // The earliest time at which a call to the endpoint conforms to its limits. In a large fleet the first
  // attempt of `message` ignores pacing that would outlast its deadline, unless the target is cold. A null
  // `message` stands for any message.
  Micros earliestSendAt(EndpointEntry& endpoint, const Message* message) const;
  // Counts a call and advances the upper-bound tag by the gap to the next call.
  void chargeSend(TargetState& target, const TargetDemand& demand);
  void applyLimitReport(EndpointEntry& endpoint, const std::optional<LimitReport>& report);
  // Reduces the quota after a rejection, and estimates a limit if none is known. `has_retry_after`: the
  // rejection reported a Retry-After, which replaces the longer gap.
  void onRejected(EndpointEntry& endpoint, bool has_retry_after);
  // Time to send all queued messages of the destination in microseconds, at least
  // Settings::min_decide_interval.
  Micros queueDrainTime(Destination& destination);

 private:
  void reduceQuota(TargetState& target, double factor, double own_rate);
  // Limits the quota to what a sender may use once it has been rejected.
  void limitReducedQuota(TargetState& target, double own_rate);
  void adoptReportedLimit(TargetState& target, const TargetDemand& demand);
  Micros earliestSendToTarget(const TargetState& target, Micros latest_send_at) const;

  DecisionContext& context_;
  const LatencyStatistics& latency_;
  SlowStartBudget slow_start_;
};

}  // namespace grademux::decision
