#include "decision_state.h"

namespace grademux::decision {

TargetState& DecisionState::limitScope(EndpointEntry& endpoint) {
  return hasSeparateRoutes(endpoint) ? endpoint.target : endpoint.destination->target;
}

bool DecisionState::isCold(const TargetState& target) const {
  return target.outlier.is_down || now - target.outlier.warming_since < settings.slow_start_time;
}

double DecisionState::readyEndpointCount(const Destination& destination) const {
  const auto ready_count = std::count_if(destination.endpoints.begin(), destination.endpoints.end(),
                                         [this](EndpointEntry* endpoint) { return isReady(*endpoint); });
  return std::max(1.0, static_cast<double>(ready_count));
}

Micros DecisionState::retentionTime() const {
  return 1 + std::max(2 * settings.overload_collapse_time,
                      static_cast<Micros>(kRetentionSpans * rateSpanSeconds() * kSecond));
}

double DecisionState::collapseTime() const {
  return static_cast<double>(std::max<Micros>(1, settings.overload_collapse_time));
}

double DecisionState::rateSpanSeconds() const {
  return static_cast<double>(std::max<Micros>(1, settings.slow_start_time)) / kSecond;
}

double DecisionState::expectedLatency(const EndpointEntry& endpoint) const {
  if (endpoint.target.outlier.latency_samples > 0)
    return endpoint.target.outlier.typical_latency;
  if (endpoint.destination->target.outlier.latency_samples > 0)
    return endpoint.destination->target.outlier.typical_latency;
  return mean_latency_samples > 0 ? mean_latency : shortest_objective / kTimeoutRatio;
}

}  // namespace grademux::decision
