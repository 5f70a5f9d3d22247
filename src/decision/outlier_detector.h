// Outlier detection: which destinations and endpoints are down, slow or stalled, from the outcomes of their
// attempts, and the part of the calls in flight that these may use.
#pragma once

#include "attempt_tracker.h"
#include "latency_statistics.h"
#include "rate_limiter.h"

namespace grademux::decision {

constexpr double kOutlierCallFraction = 0.5;     // of the calls in flight, for all outliers together
constexpr double kMaxFailureFraction = 0.5;      // a larger share of failures is an outage
constexpr double kFailureGain = 0.25;            // weight of the newest outcome in that share
constexpr int kConsecutiveFailureThreshold = 3;  // so many failures are an outage; 1 in a large fleet
constexpr double kSlowLatencyRatio = 4;          // recent over typical latency of a slow target
constexpr double kRecentLatencyGain = 0.25;      // weight of the newest latency in the recent one
constexpr double kTypicalLatencyGain = 0.04;     // weight of the newest latency in the typical one
constexpr double kOverdueRatio = 4;              // an overdue attempt has taken so many expected latencies

// Changes OutlierState, and the health that was last exported.
class OutlierDetector {
 public:
  OutlierDetector(DecisionContext& context, LatencyStatistics& latency, AttemptTracker& attempts,
                  RateLimiter& rate_limiter)
      : context_(context), latency_(latency), attempts_(attempts), rate_limiter_(rate_limiter) {}

  // Down, slow or stalled; the endpoint itself, or the destination whose limit it shares.
  bool isOutlier(const EndpointEntry& endpoint) const;

  // Learns from the outcome of an attempt, or of a cancelled one that reported a Retry-After (`retry_after`).
  // `stale_connection`: the reused connection was dead, which is no evidence against the endpoint.
  void onAttemptResult(EndpointEntry& endpoint, AttemptResult result, Micros round_trip, Micros retry_after,
                       bool stale_connection);
  // Recounts the overdue attempts of all targets: evidence before their time-out.
  void countOverdueAttempts();
  // With all calls in use, cancels the overdue attempts by which the outliers exceed their part: idempotent
  // messages first.
  void cancelOverdueAttempts();

  // Calls in flight that outliers may use together; 1 at least.
  int outlierCallLimit() const;
  int outlierCallsInFlight() const;

 private:
  bool isSlow(const TargetState& target) const;
  bool isStalled(const TargetState& target) const;
  bool isOutlier(const TargetState& target) const;
  void recordLatency(TargetState& target, double round_trip, bool success);
  void recordOutcome(TargetState& target, AttemptResult result, bool is_failure);
  void recordSuccess(TargetState& target);
  void markDownIfFailing(TargetState& target, bool is_failure);
  void learnFrom(EndpointEntry& endpoint, TargetState& target, AttemptResult result, Micros round_trip);
  void applyRetryAfter(EndpointEntry& endpoint, Micros retry_after);
  void exportHealth(EndpointEntry& endpoint, bool was_down);

  DecisionContext& context_;
  LatencyStatistics& latency_;
  AttemptTracker& attempts_;
  RateLimiter& rate_limiter_;
};

}  // namespace grademux::decision
