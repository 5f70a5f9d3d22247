// grademux, decision 3, health: what outcomes tell of a destination, and the slots that sick ones may hold.
#pragma once

#include "rate_limiter.h"

namespace grademux::decision {

constexpr double kOutlierCallFraction =
    0.5;  // of the slots, for all sick destinations together (1 slot at least)
constexpr double kMaxFailureFraction = 0.5;  // a larger share of failed calls is an outage
constexpr double kFailureGain = 0.25;        // weight of the newest outcome in that share
constexpr int kConsecutiveFailureThreshold =
    3;  // so many failures in a row are an outage; among many senders just one
constexpr double kSlowLatencyRatio = 4;       // recent over usual latency, against the common slowdown: sick
constexpr double kRecentLatencyGain = 0.25;   // weight of the newest latency in the recent one
constexpr double kTypicalLatencyGain = 0.04;  // and in the usual one
constexpr double kOverdueRatio = 4;           // unanswered for so many usual latencies: overdue

struct OutlierDetector : RateLimiter {
  using RateLimiter::RateLimiter;
  bool isSlow(const TargetState& target) const;

  // The last that was seen of it is no answer: a call out far too long, or a failed one.
  bool isStalled(const TargetState& target) const;

  bool isOutlier(const TargetState& target) const;

  bool isOutlier(const EndpointEntry& endpoint) const;

  // Calls that stay out far too long are evidence before any time-out: guards against a hanging destination
  // that fills the slots meanwhile. Harm: a chance long call shifts it into the lane until one is answered.
  void countOverdueAttempts();

  void recordLatency(TargetState& target, double rtt, bool ended_well);

  // Failures, time-outs, failed connects and unbroken refusals are one kind of evidence: it does not serve.
  // Also guards against pushing over whatever returns. Harm: chance failures start a ramp.
  void recordOutcome(TargetState& target, AttemptResult result, bool hard);

  // A kept connection that turns out dead tells of the path; the next call on a fresh one of the endpoint. A
  // told wait counts whatever became of the rest of its answer, or of the call.
  void onAttemptResult(EndpointEntry& endpoint, AttemptResult result, Micros rtt, Micros wait, bool stale);

  // What a restart must not forget: the next process resumes a backlog, and would push over what is cold.
  void exportHealth(EndpointEntry& endpoint, bool was_down);

  void onDestinationHealth(const DestinationHealth& health);

  int outlierCallLimit() const;

  int outlierCallsInFlight() const;

  // Calls that were out when their destination fell sick may hold more than the lane. With no slot left for
  // the healthy the most overdue are called off, those first that may go again. Harm: a slow answer is lost.
  void cancelOverdueAttempts();
};

}  // namespace grademux::decision
