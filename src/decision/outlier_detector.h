// Outlier detection: determines from attempt outcomes which destinations and endpoints are down, slow or
// stalled, and limits the share of the calls in flight that these outliers may use.
#pragma once

#include "attempt_tracker.h"
#include "latency_statistics.h"
#include "rate_limiter.h"

namespace grademux::decision {

constexpr double kOutlierCallFraction = 0.5;     // of the calls in flight, for all outliers together
constexpr double kMaxFailureFraction = 0.5;      // a larger share of failures counts as an outage
constexpr double kFailureGain = 0.25;            // weight of the newest outcome in the share of failures
constexpr double kMinOutageFraction = 0.25;      // shortest outage that counts, in overload collapse times
constexpr int kConsecutiveFailureThreshold = 3;  // this many failures of a sender count as an outage, or
constexpr int kMinRejections = 2;                // one rejection is no outage: the limit may be used up
constexpr int kFleetFailureThreshold = 12;       // its even part of this many failures of all senders
constexpr double kSlowLatencyRatio = 4;          // a target with a larger recent over typical latency is slow
constexpr double kRecentLatencyGain = 0.25;      // weight of the newest latency in the recent latency
constexpr double kTypicalLatencyGain = 0.04;     // weight of the newest latency in the typical latency
constexpr double kOverdueRatio = 4;              // an attempt is overdue after this many expected latencies

// Changes OutlierState, and the health that was last exported.
class OutlierDetector {
 public:
  OutlierDetector(DecisionContext& context, LatencyStatistics& latency, AttemptTracker& attempts,
                  RateLimiter& rate_limiter)
      : context_(context), latency_(latency), attempts_(attempts), rate_limiter_(rate_limiter) {}

  // Whether the endpoint, or the destination whose limit the endpoint shares, is down, slow or stalled.
  bool isOutlier(const EndpointEntry& endpoint) const;

  // Learns from the outcome of an attempt. A cancelled attempt only counts if it reported a Retry-After
  // (`retry_after`). `stale_connection`: the reused connection was stale, which is no evidence against the
  // endpoint.
  void onAttemptResult(EndpointEntry& endpoint, AttemptResult result, Micros round_trip, Micros retry_after,
                       bool stale_connection);
  // Applies a Retry-After that came before the outcome of its attempt; 0: none.
  void onRetryAfter(EndpointEntry& endpoint, Micros retry_after);
  // Applies a Retry-After of an endpoint of the destination that is not listed any more. Without effect where
  // the destination's endpoints have separate routes: it concerned that endpoint alone.
  void onRetryAfter(Destination& destination, Micros retry_after);
  // Recounts the overdue attempts of all targets, which are evidence before the attempts time out.
  void countOverdueAttempts();
  // If all calls are in use, cancels as many overdue attempts as the outliers exceed their call limit by;
  // attempts of idempotent messages first.
  void cancelOverdueAttempts();

  // Number of calls in flight that all outliers together may use, 1 at least.
  int outlierCallLimit() const;
  int outlierCallsInFlight() const;

 private:
  bool isSlow(const TargetState& target) const;
  bool isStalled(const TargetState& target) const;
  bool isOutlier(const TargetState& target) const;
  void recordLatency(TargetState& target, double round_trip, bool success);
  void recordOutcome(TargetState& target, const TargetDemand& demand, AttemptResult result, bool is_failure);
  int consecutiveFailureThreshold() const;
  bool mayEndOutage(const OutlierState& state) const;
  void startOutage(OutlierState& state);
  void recordSuccess(TargetState& target, const TargetDemand& demand);
  void markDownIfFailing(TargetState& target, bool is_failure);
  void learnFrom(EndpointEntry& endpoint, TargetState& target, AttemptResult result, Micros round_trip);
  void applyRetryAfter(TargetState& target, const TargetDemand& demand, Micros retry_after);
  // `endpoint`: the target's id if it is an endpoint; empty if it is the destination.
  void exportHealth(TargetState& target, const std::string& endpoint, std::int64_t destination,
                    bool was_down);

  DecisionContext& context_;
  LatencyStatistics& latency_;
  AttemptTracker& attempts_;
  RateLimiter& rate_limiter_;
};

}  // namespace grademux::decision
