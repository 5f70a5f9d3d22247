#include "connection_policy.h"

#include <algorithm>
#include <cmath>

namespace grademux::decision {

Micros ConnectionPolicy::reserveConnection(EndpointEntry& endpoint, const Message& message) {
  const Micros idle_timeout = context_.settings.idle_connection_timeout;
  // Calls that must not be lost use a new connection for a while after a reused connection was stale.
  const bool avoids_reuse =
      message.class_version->idempotency == Idempotency::non_idempotent || !message.attempts.empty();
  const bool is_stale = avoids_reuse && context_.now - endpoint.stale_connection_at <
                                            kStaleConnectionSpans * context_.settings.slow_start_time;
  while (!endpoint.idle_since.empty() && idle_timeout > 0 &&
         context_.now - endpoint.idle_since.front() >= idle_timeout)
    endpoint.idle_since.pop_front();
  if (!endpoint.idle_since.empty() &&
      (is_stale || context_.now - endpoint.idle_since.front() >= staleIdleThreshold())) {
    context_.actions.push_back(CloseIdleConnections{endpoint.id});
    endpoint.idle_since.clear();
  }
  if (endpoint.idle_since.empty())
    return -1;
  const Micros idle_time = context_.now - endpoint.idle_since.back();
  endpoint.idle_since.pop_back();
  return idle_time;
}

void ConnectionPolicy::returnConnection(EndpointEntry& endpoint) {
  endpoint.idle_since.push_back(context_.now);
  // Messages a second besides the one that used this connection.
  const double other_rate =
      std::max(0.0, context_.perSecond(endpoint.destination->message_rate) - 1 / context_.rateSpanSeconds()) /
      readyEndpointCount(*endpoint.destination);
  const double least_reuses = kMinExpectedReuses * context_.settings.sender_count / kReuseSenderCount;
  // A failed connect in a large fleet suggests that idle connections of many senders fill the endpoint's
  // connection table.
  const bool is_table_full =
      context_.isLargeFleet() &&
      context_.now - endpoint.connect_failed_at < kStaleConnectionSpans * context_.settings.slow_start_time;
  if (!is_table_full &&
      other_rate * static_cast<double>(context_.settings.idle_connection_timeout) / kSecond >= least_reuses)
    return;
  context_.actions.push_back(CloseIdleConnections{endpoint.id});
  endpoint.idle_since.clear();
}

void ConnectionPolicy::recordConnectionUse(Destination& destination, Micros idle_time, bool lost) {
  if (lost) {
    // A call lost on a new connection (-1) is evidence against the destination, not against idle connections.
    destination.lost_after_idle = idle_time;
    return;
  }
  if (destination.lost_after_idle < 0 || (idle_time >= 0 && idle_time < destination.lost_after_idle))
    return;
  if (idle_time < 0) {
    evidence_.score *= std::exp(-static_cast<double>(context_.now - evidence_.observed_at) /
                                static_cast<double>(context_.settings.slow_start_time + 1));
    ++evidence_.score;
    evidence_.after_idle = context_.now - evidence_.observed_at < context_.settings.slow_start_time
                               ? std::min(evidence_.after_idle, destination.lost_after_idle)
                               : destination.lost_after_idle;
    evidence_.observed_at = context_.now;
  }
  destination.lost_after_idle = -1;
}

// Idle time in microseconds from which a connection is not trusted; kNever: all connections are trusted.
Micros ConnectionPolicy::staleIdleThreshold() const {
  const double threshold = kStaleConnectionThreshold / (context_.isLargeFleet() ? 2 : 1);
  const bool is_valid =
      evidence_.score > threshold &&
      context_.now - evidence_.observed_at < kStaleConnectionSpans * context_.settings.slow_start_time;
  return is_valid ? evidence_.after_idle / 2 : kNever;
}

void ConnectionPolicy::restoreStaleEvidence(const StaleEvidence& evidence) {
  if (evidence_.score <= 0 && evidence.score > 0)
    evidence_ = evidence;
}

}  // namespace grademux::decision
