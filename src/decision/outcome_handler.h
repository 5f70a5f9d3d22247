// Handles attempt outcomes: passes the evidence to the modules that learn from it, and finishes or retries
// the message.
#pragma once

#include "admission_control.h"
#include "attempt_tracker.h"
#include "connection_policy.h"
#include "fair_queue.h"
#include "message_table.h"
#include "outlier_detector.h"
#include "rate_limiter.h"
#include "retry_policy.h"

namespace grademux::decision {

class OutcomeHandler {
 public:
  // The modules that the handler consults and changes.
  struct Modules {
    DecisionContext& context;
    const LatencyStatistics& latency;
    FairQueue& fair_queue;
    RateLimiter& rate_limiter;
    AttemptTracker& attempts;
    OutlierDetector& outlier_detector;
    MessageTable& messages;
    ConnectionPolicy& connections;
    const RetryPolicy& retry_policy;
    AdmissionControl& admission;
  };

  explicit OutcomeHandler(const Modules& modules) : modules_(modules) {}

  // Of attempts that are not in flight here only what concerns other messages counts: the order of a key, and
  // a Retry-After of the destination.
  void onAttemptOutcome(const AttemptOutcome& outcome);
  // The attempt is not overdue, as its endpoint has answered something, and a Retry-After counts at once.
  void onResponseSetAside(const ResponseSetAside& response);

 private:
  // The attempt in flight; null if it is unknown or has ended.
  Attempt* findInFlight(const std::string& message_id, int attempt);
  void onInheritedOutcome(const AttemptOutcome& outcome);
  void recordEvidence(const AttemptOutcome& outcome, Attempt& attempt);
  void scheduleRetry(Message& message, EndpointEntry& endpoint);

  Modules modules_;
};

}  // namespace grademux::decision
