#include "learned_state.h"

#include <algorithm>
#include <utility>

namespace grademux::decision {

void LearnedState::exportLearned(const TargetState& target, const std::string& endpoint,
                                 const Destination& destination) {
  LearnedEndpoint learned;
  learned.endpoint = endpoint;
  learned.destination = destination.id;
  learned.rate_limit = target.rate_limit.limit;
  learned.limit_is_reported = target.rate_limit.limit_is_reported;
  learned.quota_fraction = target.rate_limit.limit > 0 ? target.rate_limit.quota_fraction : 0;
  learned.typical_latency =
      target.outlier.latency_samples > 0 ? static_cast<Micros>(target.outlier.typical_latency) : 0;
  learned.samples = target.outlier.latency_samples;
  learned.unknown_outcome_fraction = target.outlier.unknown_outcome_fraction;
  learned.last_outcome_at = std::max<Micros>(0, target.outlier.last_outcome_at);
  if (endpoint.empty()) {
    learned.message_rate = context_.perSecond(destination.message_rate);
    learned.last_message_at = destination.message_rate.latest();
  }
  if (learned.last_outcome_at > 0 || learned.last_message_at > 0)
    context_.actions.push_back(std::move(learned));
}

void LearnedState::onExportLearned(const ExportLearned& request) {
  LearnedExported exported;
  exported.after = request.after;
  const auto& destinations = endpoint_table_.destinations();
  auto next = destinations.upper_bound(request.after);
  for (int left = request.max_destinations; next != destinations.end() && left > 0; ++next, --left) {
    const Destination& destination = next->second;
    exported.after = next->first;
    exportLearned(destination.target, "", destination);
    for (const EndpointEntry* endpoint : destination.endpoints)
      exportLearned(endpoint->target, endpoint->id, destination);
  }
  exported.complete = next == destinations.end();
  const ConnectionPolicy::StaleEvidence& evidence = connections_.staleEvidence();
  exported.pool = {latency_.mean(),
                   latency_.samples(),
                   evidence.score,
                   evidence.score > 0 ? evidence.after_idle : 0,
                   std::max<Micros>(0, evidence.observed_at),
                   context_.now};
  context_.actions.push_back(exported);
}

void LearnedState::onLearnedEndpoint(const LearnedEndpoint& learned) {
  const bool is_destination = learned.endpoint.empty();
  EndpointEntry* endpoint = endpoint_table_.find(learned.endpoint);
  if (!is_destination && (!endpoint || endpoint->destination->id != learned.destination))
    return;
  Destination& destination = endpoint_table_.destination(learned.destination);
  if (destination.endpoints.empty())
    endpoint_table_.retainUnlisted(destination.id);
  TargetState& target = is_destination ? destination.target : endpoint->target;
  if (target.outlier.last_outcome_at != -kNever)
    return;
  RateLimitState& rate_limit = target.rate_limit;
  if (learned.rate_limit > 0 && (learned.limit_is_reported || rate_limit.limit <= 0)) {
    rate_limit.limit = learned.rate_limit;
    rate_limit.limit_is_reported = learned.limit_is_reported;
  }
  if (learned.quota_fraction > 0) {
    rate_limit.quota_fraction = std::min(learned.quota_fraction, maxQuota(rate_limit));
    rate_limit.quota_updated_at = context_.now;
  }
  if (learned.samples > 0 && learned.typical_latency > 0) {
    target.outlier.typical_latency = static_cast<double>(learned.typical_latency);
    target.outlier.latency_samples = learned.samples;
  }
  target.outlier.unknown_outcome_fraction = std::clamp(learned.unknown_outcome_fraction, 0.0, 1.0);
  if (is_destination && learned.message_rate > 0 && destination.message_rate.latest() == 0)
    destination.message_rate.set(context_.now, learned.message_rate);
}

void LearnedState::onLearnedPool(const LearnedPool& pool) {
  latency_.restoreMean(pool.mean_latency, pool.latency_samples);
  connections_.restoreStaleEvidence(
      {pool.stale_connection_score, pool.stale_after_idle, pool.stale_observed_at});
}

void LearnedState::onDestinationHealth(const DestinationHealth& health) {
  EndpointEntry* endpoint = endpoint_table_.find(health.endpoint);
  if (!health.endpoint.empty() && !endpoint)
    return;
  Destination& destination = endpoint_table_.destination(health.destination);
  endpoint_table_.retainUnlisted(health.destination);
  TargetState& target = health.endpoint.empty() ? destination.target : endpoint->target;
  OutlierState& state = target.outlier;
  state.is_down = health.down;
  state.warming_since = health.warming_since;
  target.exported_warming_since = health.warming_since;
  target.rate_limit.retry_after_until = health.retry_after_until;
  target.exported_retry_after_until = health.retry_after_until;
  // The earlier process is likely to have called just before its end.
  if (context_.isCold(target))
    rate_limiter_.spreadNextCall(
        target, endpoint ? rate_limiter_.demandOf(*endpoint, target) : rate_limiter_.demandOf(destination),
        std::max(context_.now, health.retry_after_until));
  if (!health.down)
    return;
  state.consecutive_failures = std::max(state.consecutive_failures, 1);
  // The first failure is dated back so that the outage does not count as brief and slow start follows it.
  state.first_failure_at =
      std::min(state.first_failure_at, health.warming_since - context_.settings.overload_collapse_time);
}

}  // namespace grademux::decision
