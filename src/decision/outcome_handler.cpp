#include "outcome_handler.h"

#include <algorithm>
#include <cmath>

namespace grademux::decision {

Attempt* OutcomeHandler::findInFlight(const std::string& message_id, int attempt) {
  Message* message = modules_.messages.find(message_id);
  if (!message || attempt < 0 || attempt >= static_cast<int>(message->attempts.size()))
    return nullptr;
  Attempt& found = message->attempts[static_cast<std::size_t>(attempt)];
  return found.in_flight ? &found : nullptr;
}

void OutcomeHandler::onResponseSetAside(const ResponseSetAside& response) {
  Attempt* attempt = findInFlight(response.id, response.attempt);
  if (!attempt)
    return;
  attempt->response_set_aside = true;
  modules_.outlier_detector.onRetryAfter(*attempt->endpoint, response.retry_after);
}

void OutcomeHandler::onAttemptOutcome(const AttemptOutcome& outcome) {
  Attempt* in_flight = findInFlight(outcome.id, outcome.attempt);
  if (!in_flight)
    return onInheritedOutcome(outcome);
  Message* message = modules_.messages.find(outcome.id);
  Attempt& attempt = *in_flight;
  modules_.attempts.finishAttempt(*message, attempt);
  recordEvidence(outcome, attempt);
  if (mayBeExecuting(outcome) && !message->ordering_key.empty())
    modules_.messages.blockOrderingKey(message->ordering_key);
  if (outcome.already_finished || outcome.result == AttemptResult::ok)
    modules_.messages.closeMessage(*message);
  if (!message->is_finished)
    scheduleRetry(*message, *attempt.endpoint);
  modules_.messages.eraseIfUnused(*message);
}

void OutcomeHandler::onInheritedOutcome(const AttemptOutcome& outcome) {
  modules_.messages.onInheritedOutcome(outcome);
  Destination* destination = modules_.messages.takeUnlistedAttempt(outcome);
  if (destination && outcome.retry_after > 0)
    modules_.outlier_detector.onRetryAfter(*destination, outcome.retry_after);
}

void OutcomeHandler::recordEvidence(const AttemptOutcome& outcome, Attempt& attempt) {
  EndpointEntry& endpoint = *attempt.endpoint;
  const AttemptResult result = outcome.result;
  const Micros now = modules_.context.now;
  if (result == AttemptResult::ok || result == AttemptResult::error || result == AttemptResult::rejected)
    modules_.connections.returnConnection(endpoint);
  const bool lost_overdue =
      attempt.is_overdue && (result == AttemptResult::timeout || attempt.cancel_requested);
  if (result == AttemptResult::ok || lost_overdue)
    modules_.connections.recordConnectionUse(*endpoint.destination, attempt.connection_idle_time,
                                             result != AttemptResult::ok);
  attempt.may_have_executed = mayHaveExecuted(outcome);
  if (result == AttemptResult::connect_failed)
    endpoint.connect_failed_at = now;
  if (outcome.stale_connection)
    endpoint.stale_connection_at = now;
  modules_.rate_limiter.applyLimitReport(endpoint, outcome.limit_report);
  const Micros round_trip = outcome.round_trip > 0 ? outcome.round_trip : now - attempt.sent_at;
  modules_.outlier_detector.onAttemptResult(endpoint, result, round_trip, outcome.retry_after,
                                            outcome.stale_connection);
}

// Queues the next attempt after a backoff that doubles with each attempt, so that the attempts last until the
// deadline. In a large fleet the backoff is at least one latency objective: earlier retries would delay first
// attempts that can still meet their objective.
void OutcomeHandler::scheduleRetry(Message& message, EndpointEntry& endpoint) {
  if (message.is_queued || message.attempts_in_flight > 0)
    return;
  const DecisionContext& context = modules_.context;
  if (context.now >= message.deadline || !modules_.retry_policy.isAttemptPossible(message))
    return modules_.admission.finishMessage(message, context.now < message.deadline);
  const double time_left = static_cast<double>(message.deadline - context.now);
  const int attempts_left = message.class_version->max_attempts - static_cast<int>(message.attempts.size());
  const double min_backoff =
      context.isLargeFleet() ? context.shortest_objective : modules_.latency.expectedLatency(endpoint);
  const double backoff = std::max(min_backoff, time_left * std::exp2(-std::min(attempts_left, 60)));
  modules_.fair_queue.enqueue(message, context.now + static_cast<Micros>(backoff));
}

}  // namespace grademux::decision
