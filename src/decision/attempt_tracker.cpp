#include "attempt_tracker.h"

namespace grademux::decision {

void AttemptTracker::recordAttempt(Message& message, EndpointEntry& endpoint, std::uint64_t call_id,
                                   Micros sent_at, Micros connection_idle_time) {
  ++attempts_per_call_[call_id];
  ++endpoint.open_attempts;
  endpoint.last_used_at = context_.now;
  in_flight_[++last_sequence_] = {&message, message.attempts.size()};
  message.attempts.push_back(
      {&endpoint, sent_at, call_id, last_sequence_, true, true, connection_idle_time, false, false});
  ++message.attempts_in_flight;
}

void AttemptTracker::finishAttempt(Message& message, Attempt& attempt) {
  attempt.in_flight = false;
  --message.attempts_in_flight;
  in_flight_.erase(attempt.sequence);
  // OutlierDetector::countOverdueAttempts() recounts in each call of decide(), but only endpoints with
  // attempts in flight.
  attempt.endpoint->target.outlier.overdue_attempts = 0;
  attempt.endpoint->destination->target.outlier.overdue_attempts = 0;
  const auto call = attempts_per_call_.find(attempt.call_id);
  if (--call->second > 0)
    return;
  attempts_per_call_.erase(call);
  --attempt.endpoint->calls_in_flight;
}

}  // namespace grademux::decision
