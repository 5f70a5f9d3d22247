// Learned state: exports what this process has learned of destinations to the next process of this sender,
// and restores what the previous process exported. src/knowledge judges the age of restored state.
#pragma once

#include <string>

#include "connection_policy.h"
#include "endpoint_table.h"
#include "latency_statistics.h"

namespace grademux::decision {

class LearnedState {
 public:
  LearnedState(DecisionContext& context, LatencyStatistics& latency, RateLimiter& rate_limiter,
               EndpointTable& endpoint_table, ConnectionPolicy& connections)
      : context_(context),
        latency_(latency),
        rate_limiter_(rate_limiter),
        endpoint_table_(endpoint_table),
        connections_(connections) {}

  // Adds a LearnedEndpoint action for each destination and endpoint of the requested range, then
  // LearnedExported.
  void onExportLearned(const ExportLearned& request);
  // Restores the learned state of a destination or endpoint, unless this process has received an outcome from
  // there. Ignores an unlisted endpoint.
  void onLearnedEndpoint(const LearnedEndpoint& learned);
  void onLearnedPool(const LearnedPool& pool);
  // Restores the health of a destination, or of an endpoint with its own route.
  void onDestinationHealth(const DestinationHealth& health);

 private:
  void exportLearned(const TargetState& target, const std::string& endpoint, const Destination& destination);

  DecisionContext& context_;
  LatencyStatistics& latency_;
  RateLimiter& rate_limiter_;
  EndpointTable& endpoint_table_;
  ConnectionPolicy& connections_;
};

}  // namespace grademux::decision
