// Retry policy: whether another attempt of a message is safe, and how long the attempt may take. The class
// has no state of its own.
#pragma once

#include "decision_context.h"
#include "latency_statistics.h"

namespace grademux::decision {

constexpr double kNonIdempotentTimeoutFactor = 2;  // messages that cannot be retried get a longer time-out

class RetryPolicy {
 public:
  RetryPolicy(const DecisionContext& context, const LatencyStatistics& latency)
      : context_(context), latency_(latency) {}

  // Whether an attempt at the endpoint is safe. After an attempt that may have been executed: idempotent
  // messages always, those with an idempotency key inside its scope and window, non-idempotent ones never.
  // Attempts in flight at the same time only with Settings::hedging_allowed.
  bool isAttemptAllowed(const Message& message, const EndpointEntry& endpoint) const;
  // Whether another attempt is safe at any endpoint; also true for a first attempt while there is no
  // endpoint.
  bool isAttemptPossible(const Message& message) const;
  // End of the idempotency window, which starts with the first attempt that may have been executed; kNever if
  // there is no such attempt.
  Micros retryAllowedUntil(const Message& message) const;
  // Whether the message may be rejected: the client may then submit it again without a second effect.
  bool mayReject(const Message& message) const;
  // Time-out of an attempt in microseconds: several expected latencies, more during a slowdown, and at most
  // until the message's deadline.
  Micros attemptTimeout(const Message& message, const EndpointEntry& endpoint) const;

 private:
  static bool mayHaveExecuted(const Message& message);

  const DecisionContext& context_;
  const LatencyStatistics& latency_;
};

}  // namespace grademux::decision
