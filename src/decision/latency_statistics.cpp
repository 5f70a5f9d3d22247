#include "latency_statistics.h"

namespace grademux::decision {

void LatencyStatistics::addAnswer(Micros round_trip) {
  mean_ += (static_cast<double>(round_trip) - mean_) / ++samples_;
}

void LatencyStatistics::updateCommonSlowdown() {
  ratios_.expire(context_.now - 2 * context_.settings.overload_collapse_time);
  common_slowdown_ = ratios_.size() < 3 ? 1 : std::max(1.0, ratios_.median());
}

void LatencyStatistics::restoreMean(double mean, int samples) {
  if (samples_ > 0 || samples <= 0)
    return;
  mean_ = mean;
  samples_ = samples;
}

double LatencyStatistics::expectedLatency(const EndpointEntry& endpoint) const {
  if (endpoint.target.outlier.latency_samples > 0)
    return endpoint.target.outlier.typical_latency;
  if (endpoint.destination->target.outlier.latency_samples > 0)
    return endpoint.destination->target.outlier.typical_latency;
  return samples_ > 0 ? mean_ : context_.shortest_objective / kTimeoutRatio;
}

}  // namespace grademux::decision
