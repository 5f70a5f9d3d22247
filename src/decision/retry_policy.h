// Retry rules: whether another attempt of a message is safe, and how long it may take. No state of its own.
#pragma once

#include "decision_context.h"
#include "latency_statistics.h"

namespace grademux::decision {

constexpr double kNonIdempotentTimeoutFactor = 2;  // longer time-out of messages that cannot be retried

class RetryPolicy {
 public:
  RetryPolicy(const DecisionContext& context, const LatencyStatistics& latency)
      : context_(context), latency_(latency) {}

  // Whether an attempt at the endpoint is safe. After an attempt that may have been executed: idempotent
  // messages always, those with an idempotency key inside its scope and window, non-idempotent ones never.
  // Attempts in flight at the same time only with Settings::hedging_allowed.
  bool isAttemptAllowed(const Message& message, const EndpointEntry& endpoint) const;
  // Whether any endpoint allows another attempt; also true for a first attempt while there is no endpoint.
  bool isAttemptPossible(const Message& message) const;
  // End of the idempotency window, which starts with the first attempt that may have been executed; kNever:
  // none was.
  Micros retryAllowedUntil(const Message& message) const;
  // Whether the message may be rejected: the client may then submit it again without a second effect.
  bool mayReject(const Message& message) const;
  // Time-out of an attempt, microseconds: several expected latencies, and more during a slowdown. Until the
  // message's deadline at most.
  Micros attemptTimeout(const Message& message, const EndpointEntry& endpoint) const;

 private:
  static bool mayHaveExecuted(const Message& message);

  const DecisionContext& context_;
  const LatencyStatistics& latency_;
};

}  // namespace grademux::decision
