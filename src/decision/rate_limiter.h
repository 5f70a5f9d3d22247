// Send rate limits: how fast this sender may send to a destination or endpoint. A limit is shared by all
// senders without coordination: each uses a quota of it, reduced by rejections and grown again slowly.
#pragma once

#include <optional>

#include "decision_context.h"
#include "latency_statistics.h"

namespace grademux::decision {

constexpr double kBurstSeconds = 0.5;           // calls of this time at the limit may leave at once
constexpr double kMaxQuotaFraction = 0.25;      // largest share of a limit that a busy sender counts on
constexpr double kInitialQuotaShares = 2;       // first quota, in shares of the limit
constexpr double kRejectionQuotaFactor = 0.75;  // quota after a rejection
constexpr double kLowAllowanceQuotaFactor =
    0.93;                                      // quota after a report of a low allowance, in a large fleet
constexpr double kLowAllowanceFraction = 0.1;  // of the allowance is left when it is low
constexpr double kMinQuotaShares = 0.5;        // smallest quota, in shares
constexpr double kQuotaGrowthShares = 0.15;    // quota growth in each overload collapse time, in shares
constexpr double kMaxGapStretch = 4;           // longest gap after consecutive rejections, in usual gaps
constexpr double kTrialGapFraction = 0.25;  // longest gap between trials of a down target, in collapse times

// Changes RateLimitState alone.
class RateLimiter {
 public:
  RateLimiter(DecisionContext& context, const LatencyStatistics& latency)
      : context_(context), latency_(latency) {}

  // Share of a limit that this sender counts on: an even one, or more for what it wants (`want`, calls a
  // second).
  double quotaShare(double limit, double want) const;
  // Calls a second that this sender may send, and updates the quota. `limit`: of the whole destination;
  // `own`: this sender's messages a second there.
  double allowedRate(TargetState& target, double limit, double own);
  // A random delay, microseconds, so that the senders do not return to a down target at once; 0 if it is up.
  double returnJitter(const TargetState& target, const Destination& destination);
  // The earliest time at which a call to the endpoint conforms to its limits. In a large fleet the first
  // attempt of `message` ignores pacing that would outlast its deadline; null: any message.
  Micros earliestSendAt(EndpointEntry& endpoint, const Message* message) const;
  // Counts a call, and moves the upper-bound tag by its gap.
  void chargeSend(TargetState& target, double limit, double own);
  void applyLimitReport(EndpointEntry& endpoint, const std::optional<LimitReport>& report);
  // Reduces the quota after a rejection; estimates a limit where none is known. `has_retry_after`: the
  // rejection reported when to return, which takes the place of a longer gap.
  void onRejected(EndpointEntry& endpoint, bool has_retry_after);
  // Time to send all queued messages of the destination, microseconds; Settings::min_decide_interval at
  // least.
  Micros queueDrainTime(Destination& destination);

 private:
  void reduceQuota(TargetState& target, double cut, double own);
  double slowStartRate(const TargetState& target, double limit, double own) const;
  Micros targetOpensAt(const TargetState& target, Micros must_by) const;
  double ownMessageRate(const EndpointEntry& endpoint) const;

  DecisionContext& context_;
  const LatencyStatistics& latency_;
};

}  // namespace grademux::decision
