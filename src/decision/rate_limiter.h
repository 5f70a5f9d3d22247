// grademux, decision 2, upper bound: how fast this sender may send to a destination.
#pragma once

#include <optional>

#include "fair_queue.h"

namespace grademux::decision {

constexpr double kBurstSeconds = 0.5;  // of a second's calls under a limit may leave at once
constexpr double kMaxQuotaFraction =
    0.25;  // of a limit is the most that a busy one of many senders counts on
constexpr double kInitialQuotaShares =
    2;  // portions of a limit that a sender starts from; half where many do
constexpr double kRejectionQuotaFactor = 0.75;  // this sender's part of a limit after a refusal ...
constexpr double kLowAllowanceQuotaFactor =
    0.93;                                      // ... among many after an answer that told no more than ...
constexpr double kLowAllowanceFraction = 0.1;  // ... this of the allowance left ...
constexpr double kMinQuotaShares = 0.5;        // ... but at least this much of a portion
constexpr double kQuotaGrowthShares = 0.15;    // and it grows by so much of a portion each FallMs without one
constexpr double kMaxGapStretch = 4;           // refusals in a row stretch the gap up to so many times
constexpr double kTrialGapFraction =
    0.25;  // of FallMs: trials of a dead destination are stretched up to this gap

struct RateLimiter : FairQueue {
  using FairQueue::FairQueue;
  // What this sender may count on of a limit: an even part, or what it wants up to a fixed part. Guards busy
  // ones of many against starving on even parts. Harm: if all are busy the limit is overrun until refusals.
  double quotaShare(double limit, double want) const;

  // Of a limit that is used up. Among many each meets it seldom: who begins above an even part learns too
  // late, and refused calls alone may use it up, for all and for long.
  void reduceQuota(TargetState& target, double cut, double own);

  // Calls a second that a guard lets this sender send. The limit is the whole destination's, `own` this
  // sender's traffic there; an endpoint that shares them counts on its part of both.
  double allowedRate(TargetState& target, double limit, double own);

  // Fail-back rule: what all senders together send stays inside cold share x factor x what they usually send,
  // each by its own traffic; it grows as the destination warms. Even parts would let the busy starve and the
  // rare never try. Harm: a destination that was never away is slowed for RampTimeMs.
  double slowStartRate(const TargetState& target, double limit, double own) const;

  // How much later this sender comes back to a destination that is away, so that all do not come as one.
  double returnJitter(const TargetState& target, const Destination& destination);

  // When a guard next lets a call pass; `must_by` is set for a first try that may pass pacing, see below.
  Micros targetOpensAt(const TargetState& target, Micros must_by) const;

  // One of many: first tries pass pacing that would outlast the message, but not while the destination is
  // down. Guards against ramps and parts that last for rare senders. Harm: calls above a limit.
  Micros earliestSendAt(EndpointEntry& endpoint, const Message* message);

  void chargeSend(TargetState& target, double limit, double own);

  double ownMessageRate(const EndpointEntry& endpoint) const;

  void applyLimitReport(EndpointEntry& endpoint, const std::optional<LimitReport>& report);

  // Refused: take a smaller part. Guards against many that each think theirs harmless, and untold limits.
  void onRejected(EndpointEntry& endpoint, bool told_wait);
};

}  // namespace grademux::decision
