#include "retry_policy.h"

#include <algorithm>

namespace grademux::decision {

bool RetryPolicy::mayHaveExecuted(const Message& message) {
  return std::any_of(message.attempts.begin(), message.attempts.end(),
                     [](const Attempt& attempt) { return attempt.may_have_executed; });
}

bool RetryPolicy::isAttemptAllowed(const Message& message, const EndpointEntry& endpoint) const {
  if (static_cast<int>(message.attempts.size()) >= message.class_version->max_attempts)
    return false;
  if (message.attempts_in_flight > 0 && !context_.settings.hedging_allowed)
    return false;
  if (message.class_version->idempotency == Idempotency::idempotent || !mayHaveExecuted(message))
    return true;
  if (message.class_version->idempotency == Idempotency::non_idempotent)
    return false;
  for (const Attempt& attempt : message.attempts) {
    if (!attempt.may_have_executed)
      continue;
    if (message.class_version->idempotency_scope != IdempotencyScope::all &&
        (!attempt.endpoint || attempt.endpoint->zone != endpoint.zone))
      return false;
    if (message.class_version->idempotency_scope == IdempotencyScope::cell &&
        attempt.endpoint->destination != endpoint.destination)
      return false;
  }
  return context_.now <= retryAllowedUntil(message);
}

Micros RetryPolicy::retryAllowedUntil(const Message& message) const {
  Micros until = kNever;
  for (const Attempt& attempt : message.attempts)
    if (attempt.may_have_executed)
      until = std::min(until, attempt.sent_at + message.class_version->idempotency_window -
                                  2 * context_.settings.min_decide_interval);
  return until;
}

bool RetryPolicy::mayReject(const Message& message) const {
  if (message.class_version->idempotency == Idempotency::idempotent || !mayHaveExecuted(message))
    return true;
  return message.class_version->idempotency == Idempotency::idempotency_key &&
         message.class_version->idempotency_scope == IdempotencyScope::all;
}

bool RetryPolicy::isAttemptPossible(const Message& message) const {
  for (const EndpointEntry* endpoint : message.destination->endpoints)
    if (isAttemptAllowed(message, *endpoint))
      return true;
  return message.attempts.empty();
}

Micros RetryPolicy::attemptTimeout(const Message& message, const EndpointEntry& endpoint) const {
  const Micros time_left = message.deadline - context_.now;
  const TargetState& target = endpoint.target;
  const double slowness = std::max({1.0, latency_.commonSlowdown(),
                                    target.outlier.latency_samples > 0 ? target.outlier.latency_ratio : 1.0});
  const double timeout_factor =
      message.class_version->idempotency == Idempotency::non_idempotent ? kNonIdempotentTimeoutFactor : 1;
  const double timeout = kTimeoutRatio * timeout_factor * latency_.expectedLatency(endpoint) * slowness;
  return static_cast<Micros>(std::clamp(timeout, 1.0, static_cast<double>(std::max<Micros>(1, time_left))));
}

}  // namespace grademux::decision
