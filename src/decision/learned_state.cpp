#include "learned_state.h"

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
    learned.message_rate = perSecond(destination.message_rate);
    learned.last_message_at = destination.message_rate.latest();
  }
  if (learned.last_outcome_at > 0 || learned.last_message_at > 0)
    actions.push_back(std::move(learned));
}

void LearnedState::onExportLearned(const ExportLearned& request) {
  LearnedExported end;
  end.after = request.after;
  auto it = destinations.upper_bound(request.after);
  for (int left = request.max_destinations; it != destinations.end() && left > 0; ++it, --left) {
    end.after = it->first;
    exportLearned(it->second.target, "", it->second);
    for (const EndpointEntry* endpoint : it->second.endpoints)
      exportLearned(endpoint->target, endpoint->id, it->second);
  }
  end.complete = it == destinations.end();
  end.pool = {mean_latency,
              mean_latency_samples,
              stale_connection_score,
              stale_connection_score > 0 ? stale_after_idle : 0,
              std::max<Micros>(0, stale_observed_at),
              now};
  actions.push_back(end);
}

void LearnedState::onLearnedEndpoint(const LearnedEndpoint& learned) {
  const auto endpoint = endpoints.find(learned.endpoint);
  const bool whole = learned.endpoint.empty();
  if (!whole && (endpoint == endpoints.end() || endpoint->second.destination->id != learned.destination))
    return;
  Destination& destination = destinations[learned.destination];
  destination.id = learned.destination;
  if (destination.endpoints.empty())
    unlisted_destinations.schedule(now + retentionTime(), destination.id);
  TargetState& target = whole ? destination.target : endpoint->second.target;
  if (target.outlier.last_outcome_at != -kNever)
    return;
  if (learned.rate_limit > 0 && (learned.limit_is_reported || target.rate_limit.limit <= 0)) {
    target.rate_limit.limit = learned.rate_limit;
    target.rate_limit.limit_is_reported = learned.limit_is_reported;
  }
  if (learned.quota_fraction > 0) {
    target.rate_limit.quota_fraction =
        std::min(learned.quota_fraction, target.rate_limit.limit_is_reported ? 1.0 : 1e3);
    target.rate_limit.quota_updated_at = now;
  }
  if (learned.samples > 0 && learned.typical_latency > 0) {
    target.outlier.typical_latency = static_cast<double>(learned.typical_latency);
    target.outlier.latency_samples = learned.samples;
  }
  target.outlier.unknown_outcome_fraction = std::clamp(learned.unknown_outcome_fraction, 0.0, 1.0);
  if (whole && learned.message_rate > 0 && destination.message_rate.latest() == 0)
    destination.message_rate.set(now, learned.message_rate);
}

void LearnedState::onLearnedPool(const LearnedPool& pool) {
  if (mean_latency_samples == 0 && pool.latency_samples > 0) {
    mean_latency = pool.mean_latency;
    mean_latency_samples = pool.latency_samples;
  }
  if (stale_connection_score > 0 || pool.stale_connection_score <= 0)
    return;
  stale_connection_score = pool.stale_connection_score;
  stale_after_idle = pool.stale_after_idle;
  stale_observed_at = pool.stale_observed_at;
}

}  // namespace grademux::decision
