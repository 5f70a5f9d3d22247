#include "outlier_detector.h"

namespace grademux::decision {

bool OutlierDetector::isSlow(const TargetState& target) const {
  return target.outlier.latency_samples > 4 &&
         target.outlier.latency_ratio > kSlowLatencyRatio * common_slowdown;
}

bool OutlierDetector::isStalled(const TargetState& target) const {
  return target.outlier.overdue_attempts > 0 || target.outlier.consecutive_failures > 0;
}

bool OutlierDetector::isOutlier(const TargetState& target) const {
  return target.outlier.is_down || isSlow(target) || isStalled(target);
}

bool OutlierDetector::isOutlier(const EndpointEntry& endpoint) const {
  return isOutlier(endpoint.target) ||
         (!hasSeparateRoutes(endpoint) && isOutlier(endpoint.destination->target));
}

void OutlierDetector::countOverdueAttempts() {
  for (auto& [order, o] : attempts_in_flight) {
    EndpointEntry& endpoint = *o.first->attempts[o.second].endpoint;
    endpoint.target.outlier.overdue_attempts = endpoint.destination->target.outlier.overdue_attempts = 0;
  }
  for (auto& [order, o] : attempts_in_flight) {
    Attempt& attempt = o.first->attempts[o.second];
    EndpointEntry& endpoint = *attempt.endpoint;
    if (static_cast<double>(now - attempt.sent_at) <
        kOverdueRatio * common_slowdown * expectedLatency(endpoint))
      continue;
    attempt.is_overdue = true;
    endpoint.target.outlier.overdue_attempts += endpoint.target.outlier.last_success_at < attempt.sent_at;
    if (!hasSeparateRoutes(endpoint))
      endpoint.destination->target.outlier.overdue_attempts +=
          endpoint.destination->target.outlier.last_success_at < attempt.sent_at;
  }
}

void OutlierDetector::recordLatency(TargetState& target, double rtt, bool ended_well) {
  if (target.outlier.latency_samples == 0) {
    if (!ended_well)
      return;
    target.outlier.typical_latency = rtt;
  }
  const double ratio = rtt / std::max(1.0, target.outlier.typical_latency);
  if (!ended_well && ratio < target.outlier.latency_ratio)
    return;  // a quick failure says nothing of pace
  target.outlier.latency_ratio += kRecentLatencyGain * (ratio - target.outlier.latency_ratio);
  if (ended_well && !isOutlier(target)) {
    const double gain = std::max(kTypicalLatencyGain, 1.0 / (target.outlier.latency_samples + 1));
    target.outlier.typical_latency +=
        gain *
        (std::min(rtt, kSlowLatencyRatio * target.outlier.typical_latency) - target.outlier.typical_latency);
  }
  if (ended_well)
    ++target.outlier.latency_samples;
}

void OutlierDetector::recordOutcome(TargetState& target, AttemptResult result, bool hard) {
  target.outlier.last_outcome_at = now;
  const bool unknown =
      result == AttemptResult::error || result == AttemptResult::timeout || result == AttemptResult::reset;
  target.outlier.unknown_outcome_fraction +=
      kFailureGain * ((unknown ? 1.0 : 0.0) - target.outlier.unknown_outcome_fraction);
  if (result == AttemptResult::ok) {
    const bool brief = target.outlier.failure_fraction <= kMaxFailureFraction &&
                       now - target.outlier.first_failure_at < settings.overload_collapse_time / 2;
    target.outlier.failure_fraction -= kFailureGain * target.outlier.failure_fraction;
    if (target.outlier.is_down) {
      target.outlier.is_down = false;
      target.outlier.warming_since = brief ? -kNever : now;
      target.rate_limit.upper_bound_tag =
          static_cast<double>(now);  // trials of a dead one were paced far apart
    } else if (target.outlier.consecutive_failures > 0 && target.outlier.first_failure_at != kNever &&
               now - target.outlier.last_success_at > settings.overload_collapse_time) {
      target.outlier.warming_since = now;
    }
    target.outlier.consecutive_failures = target.outlier.consecutive_rejections = 0;
    target.outlier.first_failure_at = kNever;
    target.outlier.last_success_at = now;
    return;
  }
  if (target.outlier.first_failure_at == kNever)
    target.outlier.first_failure_at = now;
  if (hard) {
    ++target.outlier.consecutive_failures;
    target.outlier.failure_fraction += kFailureGain * (1 - target.outlier.failure_fraction);
  } else {
    ++target.outlier.consecutive_rejections;
  }
  const Micros bad_for = now - std::max(target.outlier.last_success_at, target.outlier.first_failure_at);
  const bool shut = target.outlier.consecutive_rejections >= kConsecutiveFailureThreshold &&
                    bad_for > settings.overload_collapse_time / 2;
  const bool dead = target.outlier.consecutive_failures > 0 &&
                    (isLargeFleet() || target.outlier.consecutive_failures >= kConsecutiveFailureThreshold ||
                     bad_for > settings.overload_collapse_time);
  if (target.outlier.failure_fraction > kMaxFailureFraction || shut || dead) {
    if (shut && !hard)
      target.outlier.consecutive_failures = std::max(target.outlier.consecutive_failures, 1);
    target.outlier.is_down = true;
    target.outlier.warming_since = now;
    target.rate_limit.upper_bound_tag = std::max(target.rate_limit.upper_bound_tag, static_cast<double>(now));
  }
}

void OutlierDetector::onAttemptResult(EndpointEntry& endpoint, AttemptResult result, Micros rtt, Micros wait,
                                      bool stale) {
  const bool mute = result == AttemptResult::cancelled || result == AttemptResult::not_sent || stale;
  if (mute && wait == 0)
    return;
  const bool hard = result != AttemptResult::ok && result != AttemptResult::rejected,
             was_down = limitScope(endpoint).outlier.is_down;
  if (result == AttemptResult::ok)
    mean_latency += (static_cast<double>(rtt) - mean_latency) / ++mean_latency_samples;
  for (TargetState* candidate : {&endpoint.target, &endpoint.destination->target}) {
    if (mute || (hasSeparateRoutes(endpoint) && candidate != &endpoint.target))
      continue;
    if (result == AttemptResult::ok || result == AttemptResult::timeout)
      recordLatency(*candidate, static_cast<double>(rtt), result == AttemptResult::ok);
    recordOutcome(*candidate, result, hard);
    if (isLargeFleet() && hard && candidate->outlier.is_down)
      candidate->rate_limit.upper_bound_tag =
          std::max(candidate->rate_limit.upper_bound_tag,
                   static_cast<double>(now) + returnJitter(*candidate, *endpoint.destination));
  }
  if (endpoint.target.outlier.latency_samples > 4 && !mute)
    latency_ratios.set(&endpoint, endpoint.target.outlier.latency_ratio, now);
  TargetState& target = limitScope(endpoint);
  if (result == AttemptResult::rejected && !target.outlier.is_down)
    onRejected(endpoint, wait > 0);
  // Nothing goes there before a told wait is over; after a long one, an outage, each adds its spread.
  double spread = 0;
  if (wait > settings.overload_collapse_time / 2) {
    target.outlier.is_down = true;
    target.outlier.warming_since = now;
    spread = returnJitter(target, *endpoint.destination);
  }
  if (wait > 0)
    target.rate_limit.retry_after_until =
        std::max(target.rate_limit.retry_after_until, now + wait + static_cast<Micros>(spread));
  exportHealth(endpoint, was_down);
}

void OutlierDetector::exportHealth(EndpointEntry& endpoint, bool was_down) {
  TargetState& target = limitScope(endpoint);
  const bool waits = target.rate_limit.retry_after_until > now &&
                     target.rate_limit.retry_after_until > target.exported_retry_after_until;
  if (!waits && target.outlier.is_down == was_down &&
      std::abs(target.outlier.warming_since - target.exported_warming_since) <=
          settings.overload_collapse_time / 2)
    return;
  target.exported_warming_since = target.outlier.warming_since;
  target.exported_retry_after_until =
      target.rate_limit.retry_after_until > now ? target.rate_limit.retry_after_until : 0;
  actions.push_back(DestinationHealth{hasSeparateRoutes(endpoint) ? endpoint.id : "",
                                      endpoint.destination->id, target.outlier.is_down,
                                      target.outlier.warming_since, target.exported_retry_after_until, now});
}

void OutlierDetector::onDestinationHealth(const DestinationHealth& health) {
  auto endpoint = endpoints.find(health.endpoint);
  if (!health.endpoint.empty() && endpoint == endpoints.end())
    return;
  TargetState& target =
      health.endpoint.empty() ? destinations[health.destination].target : endpoint->second.target;
  destinations[health.destination].id = health.destination;
  unlisted_destinations.schedule(now + retentionTime(), health.destination);
  target.outlier.is_down = health.down;
  target.outlier.warming_since = target.exported_warming_since = health.warming_since;
  target.rate_limit.retry_after_until = target.exported_retry_after_until = health.retry_after_until;
  if (!health.down)
    return;
  target.outlier.consecutive_failures = std::max(target.outlier.consecutive_failures, 1);
  target.outlier.first_failure_at =
      std::min(target.outlier.first_failure_at,
               health.warming_since - settings.overload_collapse_time);  // no brief one: it ends in a ramp
}

int OutlierDetector::outlierCallLimit() const {
  return std::max(1, static_cast<int>(kOutlierCallFraction * settings.max_in_flight));
}

int OutlierDetector::outlierCallsInFlight() const {
  std::set<std::uint64_t> used;  // calls, not messages: several may share one
  for (auto& [order, o] : attempts_in_flight)
    if (isOutlier(*o.first->attempts[o.second].endpoint))
      used.insert(o.first->attempts[o.second].call_id);
  return static_cast<int>(used.size());
}

void OutlierDetector::cancelOverdueAttempts() {
  if (!settings.cancel_allowed || static_cast<int>(attempts_per_call.size()) < settings.max_in_flight)
    return;
  int excess = outlierCallsInFlight() - outlierCallLimit();
  std::vector<std::pair<Message*, std::size_t>> late;
  for (auto& [order, o] : attempts_in_flight) {
    const Attempt& attempt = o.first->attempts[o.second];
    if (attempt.cancel_requested)
      --excess;
    else if (attempt.is_overdue && isOutlier(*attempt.endpoint))
      late.push_back(o);
  }
  std::stable_sort(late.begin(), late.end(), [](const auto& left, const auto& right) {
    return left.first->class_version->idempotency < right.first->class_version->idempotency;
  });
  for (auto& [m, i] : late) {
    if (excess-- <= 0)
      return;
    m->attempts[i].cancel_requested = true;
    actions.push_back(CancelAttempt{m->id, static_cast<int>(i)});
  }
}

}  // namespace grademux::decision
