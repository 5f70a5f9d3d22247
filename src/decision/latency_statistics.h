// Latency statistics over all destinations: the mean, and the slowdown that is common to all endpoints.
#pragma once

#include "decision_context.h"

namespace grademux::decision {

class LatencyStatistics {
 public:
  explicit LatencyStatistics(DecisionContext& context) : context_(context) {}

  // Adds a successful answer to the mean, microseconds.
  void addAnswer(Micros round_trip);
  // Sets the latest ratio of an endpoint's recent latency to its typical one.
  void setRatio(EndpointEntry& endpoint, double ratio) { ratios_.set(&endpoint, ratio, context_.now); }
  // Recomputes commonSlowdown() from the recent ratios. Called once in each call of decide().
  void updateCommonSlowdown();
  // Restores the mean of an earlier process, unless this process has measured answers.
  void restoreMean(double mean, int samples);

  // Expected latency of a call to the endpoint in microseconds: of the endpoint, else of its destination,
  // else the mean of all destinations, else derived from the shortest latency objective.
  double expectedLatency(const EndpointEntry& endpoint) const;
  // Median ratio of recent to typical latency over all endpoints, 1 at least. A common slowdown is no
  // evidence against a single endpoint.
  double commonSlowdown() const { return common_slowdown_; }
  double mean() const { return mean_; }  // microseconds
  int samples() const { return samples_; }

 private:
  DecisionContext& context_;
  RecentMedian<EndpointEntry*> ratios_;
  double mean_ = 0;
  int samples_ = 0;
  double common_slowdown_ = 1;
};

inline double LatencyStatistics::expectedLatency(const EndpointEntry& endpoint) const {
  if (endpoint.target.outlier.latency_samples > 0)
    return endpoint.target.outlier.typical_latency;
  if (endpoint.destination->target.outlier.latency_samples > 0)
    return endpoint.destination->target.outlier.typical_latency;
  return samples_ > 0 ? mean_ : context_.shortest_objective / kTimeoutRatio;
}

}  // namespace grademux::decision
