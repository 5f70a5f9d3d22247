#include "outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>
#include <vector>

namespace grademux::decision {

namespace {

constexpr int kMinLatencySamples = 5;  // a latency ratio needs this many samples

}  // namespace

bool OutlierDetector::isSlow(const TargetState& target) const {
  return target.outlier.latency_samples >= kMinLatencySamples &&
         target.outlier.latency_ratio > kSlowLatencyRatio * latency_.commonSlowdown();
}

// Whether the latest evidence is an overdue attempt or a failure.
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
  for (const auto& [sequence, reference] : attempts_.inFlight()) {
    EndpointEntry& endpoint = *reference.attempt().endpoint;
    endpoint.target.outlier.overdue_attempts = 0;
    endpoint.destination->target.outlier.overdue_attempts = 0;
  }
  for (const auto& [sequence, reference] : attempts_.inFlight()) {
    Attempt& attempt = reference.attempt();
    EndpointEntry& endpoint = *attempt.endpoint;
    const double overdue_after =
        kOverdueRatio * latency_.commonSlowdown() * latency_.expectedLatency(endpoint);
    if (attempt.response_set_aside || static_cast<double>(context_.now - attempt.sent_at) < overdue_after)
      continue;
    attempt.is_overdue = true;
    OutlierState& state = endpoint.target.outlier;
    state.overdue_attempts += state.last_success_at < attempt.sent_at;
    if (hasSeparateRoutes(endpoint))
      continue;
    OutlierState& destination_state = endpoint.destination->target.outlier;
    destination_state.overdue_attempts += destination_state.last_success_at < attempt.sent_at;
  }
}

// `round_trip` is in microseconds. A failure counts only if it was slow: a quick failure is no evidence of
// latency.
void OutlierDetector::recordLatency(TargetState& target, double round_trip, bool success) {
  OutlierState& state = target.outlier;
  if (state.latency_samples == 0) {
    if (!success)
      return;
    state.typical_latency = round_trip;
  }
  const double ratio = round_trip / std::max(1.0, state.typical_latency);
  if (!success && ratio < state.latency_ratio)
    return;
  state.latency_ratio += kRecentLatencyGain * (ratio - state.latency_ratio);
  if (success && !isOutlier(target)) {
    const double gain = std::max(kTypicalLatencyGain, 1.0 / (state.latency_samples + 1));
    state.typical_latency +=
        gain * (std::min(round_trip, kSlowLatencyRatio * state.typical_latency) - state.typical_latency);
  }
  if (success)
    ++state.latency_samples;
}

// Failures, time-outs, failed connects and persistent rejections are the same evidence: the target serves no
// requests.
void OutlierDetector::recordOutcome(TargetState& target, const TargetDemand& demand, AttemptResult result,
                                    bool is_failure) {
  OutlierState& state = target.outlier;
  state.last_outcome_at = context_.now;
  const bool is_unknown =
      result == AttemptResult::error || result == AttemptResult::timeout || result == AttemptResult::reset;
  state.unknown_outcome_fraction +=
      kFailureGain * ((is_unknown ? 1.0 : 0.0) - state.unknown_outcome_fraction);
  if (result == AttemptResult::ok)
    return recordSuccess(target, demand);
  if (state.first_failure_at == kNever)
    state.first_failure_at = context_.now;
  if (is_failure) {
    ++state.consecutive_failures;
    state.failure_fraction += kFailureGain * (1 - state.failure_fraction);
  } else {
    ++state.consecutive_rejections;
  }
  markDownIfFailing(target, is_failure);
}

// Whether an outage may have lain between the last success and the one that has arrived now.
bool OutlierDetector::mayEndOutage(const OutlierState& state) const {
  const double shortest_outage = kMinOutageFraction * context_.collapseTime();
  return (state.is_down || state.consecutive_failures > 0) &&
         static_cast<double>(context_.now - state.last_success_at) >= shortest_outage;
}

// Slow start follows an outage. Failures between two successes that are too close for an outage change
// nothing: a slow start that they interrupted goes on.
void OutlierDetector::recordSuccess(TargetState& target, const TargetDemand& demand) {
  OutlierState& state = target.outlier;
  const bool outage_ends = mayEndOutage(state);
  const bool was_down = std::exchange(state.is_down, false);
  state.failure_fraction -= kFailureGain * state.failure_fraction;
  if (outage_ends)
    state.warming_since = context_.now;
  else if (was_down)
    state.warming_since = state.warming_before_outage;
  if (was_down)
    rate_limiter_.resumePacing(target, demand);
  state.consecutive_failures = 0;
  state.consecutive_rejections = 0;
  state.first_failure_at = kNever;
  state.last_success_at = context_.now;
}

// The more senders there are, the fewer of the calls that fail in an outage are this sender's.
int OutlierDetector::consecutiveFailureThreshold() const {
  const int failures =
      (kFleetFailureThreshold + context_.settings.sender_count - 1) / context_.settings.sender_count;
  return std::min(failures, kConsecutiveFailureThreshold);
}

void OutlierDetector::markDownIfFailing(TargetState& target, bool is_failure) {
  OutlierState& state = target.outlier;
  const Micros collapse_time = context_.settings.overload_collapse_time;
  const Micros failing_for = context_.now - std::max(state.last_success_at, state.first_failure_at);
  const bool rejects_all =
      state.consecutive_rejections >= std::max(kMinRejections, consecutiveFailureThreshold()) &&
      failing_for > collapse_time / 2;
  const bool fails_all =
      state.consecutive_failures > 0 &&
      (state.consecutive_failures >= consecutiveFailureThreshold() || failing_for > collapse_time);
  if (state.failure_fraction <= kMaxFailureFraction && !rejects_all && !fails_all)
    return;
  if (rejects_all && !is_failure)
    state.consecutive_failures = std::max(state.consecutive_failures, 1);
  startOutage(state);
}

void OutlierDetector::startOutage(OutlierState& state) {
  if (!state.is_down)
    state.warming_before_outage = state.warming_since;
  state.is_down = true;
  state.warming_since = context_.now;
}

void OutlierDetector::onAttemptResult(EndpointEntry& endpoint, AttemptResult result, Micros round_trip,
                                      Micros retry_after, bool stale_connection) {
  const bool no_evidence =
      result == AttemptResult::cancelled || result == AttemptResult::not_sent || stale_connection;
  if (no_evidence && retry_after == 0)
    return;
  const bool was_down = limitScope(endpoint).outlier.is_down;
  if (result == AttemptResult::ok)
    latency_.addAnswer(round_trip);
  if (!no_evidence) {
    learnFrom(endpoint, endpoint.target, result, round_trip);
    if (!hasSeparateRoutes(endpoint))
      learnFrom(endpoint, endpoint.destination->target, result, round_trip);
    if (endpoint.target.outlier.latency_samples >= kMinLatencySamples)
      latency_.setRatio(endpoint, endpoint.target.outlier.latency_ratio);
  }
  if (result == AttemptResult::rejected && !limitScope(endpoint).outlier.is_down)
    rate_limiter_.onRejected(endpoint, retry_after > 0);
  TargetState& scope = limitScope(endpoint);
  applyRetryAfter(scope, rate_limiter_.demandOf(endpoint, scope), retry_after);
  exportHealth(scope, hasSeparateRoutes(endpoint) ? endpoint.id : "", endpoint.destination->id, was_down);
}

void OutlierDetector::onRetryAfter(EndpointEntry& endpoint, Micros retry_after) {
  if (retry_after == 0)
    return;
  TargetState& scope = limitScope(endpoint);
  const bool was_down = scope.outlier.is_down;
  applyRetryAfter(scope, rate_limiter_.demandOf(endpoint, scope), retry_after);
  exportHealth(scope, hasSeparateRoutes(endpoint) ? endpoint.id : "", endpoint.destination->id, was_down);
}

void OutlierDetector::onRetryAfter(Destination& destination, Micros retry_after) {
  const auto& endpoints = destination.endpoints;
  if (std::any_of(endpoints.begin(), endpoints.end(),
                  [](const EndpointEntry* endpoint) { return hasSeparateRoutes(*endpoint); }))
    return;
  const bool was_down = destination.target.outlier.is_down;
  applyRetryAfter(destination.target, rate_limiter_.demandOf(destination), retry_after);
  exportHealth(destination.target, "", destination.id, was_down);
}

void OutlierDetector::learnFrom(EndpointEntry& endpoint, TargetState& target, AttemptResult result,
                                Micros round_trip) {
  const bool is_failure = result != AttemptResult::ok && result != AttemptResult::rejected;
  if (result == AttemptResult::ok || result == AttemptResult::timeout)
    recordLatency(target, static_cast<double>(round_trip), result == AttemptResult::ok);
  const TargetDemand demand = rate_limiter_.demandOf(endpoint, target);
  const bool was_down = target.outlier.is_down;
  const bool was_cold = context_.isCold(target);
  recordOutcome(target, demand, result, is_failure);
  const bool outage_starts = !was_down && target.outlier.is_down;
  const bool slow_start_starts = !was_cold && context_.isCold(target);
  // The slow start budget is that of the target that has the limit.
  if ((outage_starts || slow_start_starts) && &target == &limitScope(endpoint))
    rate_limiter_.spreadNextCall(target, demand, context_.now);
}

// A Retry-After blocks the target until it has passed. A long Retry-After counts as an outage: calls spread
// from its end on, which several responses may report.
void OutlierDetector::applyRetryAfter(TargetState& target, const TargetDemand& demand, Micros retry_after) {
  if (retry_after <= 0)
    return;
  const Micros until = context_.now + retry_after;
  if (retry_after > context_.settings.overload_collapse_time / 2) {
    startOutage(target.outlier);
    if (target.rate_limit.upper_bound_tag <= static_cast<double>(until))
      rate_limiter_.spreadNextCall(target, demand, until);
  }
  target.rate_limit.retry_after_until = std::max(target.rate_limit.retry_after_until, until);
}

// Exports health that has changed, so that the next process of this sender does not send at full rate to a
// cold target.
void OutlierDetector::exportHealth(TargetState& target, const std::string& endpoint, std::int64_t destination,
                                   bool was_down) {
  const Micros retry_after_until = target.rate_limit.retry_after_until;
  const bool is_new_retry_after =
      retry_after_until > context_.now && retry_after_until > target.exported_retry_after_until;
  const bool is_down = target.outlier.is_down;
  const Micros warming_since = target.outlier.warming_since;
  if (!is_new_retry_after && is_down == was_down &&
      std::abs(warming_since - target.exported_warming_since) <= context_.settings.overload_collapse_time / 2)
    return;
  target.exported_warming_since = warming_since;
  target.exported_retry_after_until = retry_after_until > context_.now ? retry_after_until : 0;
  context_.actions.push_back(DestinationHealth{endpoint, destination, is_down, warming_since,
                                               target.exported_retry_after_until, context_.now});
}

int OutlierDetector::outlierCallLimit() const {
  return std::max(1, static_cast<int>(kOutlierCallFraction * context_.settings.max_in_flight));
}

int OutlierDetector::outlierCallsInFlight() const {
  std::set<std::uint64_t> call_ids;  // several attempts may share a call
  for (const auto& [sequence, reference] : attempts_.inFlight())
    if (isOutlier(*reference.attempt().endpoint))
      call_ids.insert(reference.attempt().call_id);
  return static_cast<int>(call_ids.size());
}

void OutlierDetector::cancelOverdueAttempts() {
  if (!context_.settings.cancel_allowed || attempts_.callsInFlight() < context_.settings.max_in_flight)
    return;
  int excess = outlierCallsInFlight() - outlierCallLimit();
  std::vector<AttemptTracker::Reference> overdue;
  for (const auto& [sequence, reference] : attempts_.inFlight()) {
    const Attempt& attempt = reference.attempt();
    if (attempt.cancel_requested)
      --excess;
    else if (attempt.is_overdue && !attempt.response_set_aside && isOutlier(*attempt.endpoint))
      overdue.push_back(reference);
  }
  std::stable_sort(overdue.begin(), overdue.end(), [](const auto& left, const auto& right) {
    return left.message->class_version->idempotency < right.message->class_version->idempotency;
  });
  for (const AttemptTracker::Reference& reference : overdue) {
    if (excess-- <= 0)
      return;
    reference.attempt().cancel_requested = true;
    context_.actions.push_back(CancelAttempt{reference.message->id, static_cast<int>(reference.index)});
  }
}

}  // namespace grademux::decision
