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

}  // namespace grademux::decision
