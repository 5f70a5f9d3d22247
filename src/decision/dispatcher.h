// Dispatch: starts attempts while calls are free, in the order of the fair queue.
#pragma once

#include <unordered_map>

#include "attempt_tracker.h"
#include "connection_policy.h"
#include "fair_queue.h"
#include "message_table.h"
#include "outlier_detector.h"
#include "rate_limiter.h"
#include "retry_policy.h"

namespace grademux::decision {

constexpr double kMaxUnknownOutcomeFraction = 0.3;  // above this share non-idempotent messages wait

class Dispatcher {
 public:
  // The modules that a dispatch consults and changes.
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
  };

  explicit Dispatcher(const Modules& modules);

  // Starts all attempts that may start now. Called once in each call of decide().
  void dispatchMessages();
  // Number of queued messages at the destinations that could start no attempt in the last dispatch.
  std::size_t blockedMessages() const { return blocked_messages_; }

 private:
  // A message and the endpoint for its next attempt; null: no attempt may start.
  struct Selection {
    Message* message = nullptr;
    EndpointEntry* endpoint = nullptr;
  };
  // A call that was started in this dispatch, and the number of messages that it can still take.
  struct OpenCall {
    std::uint64_t call_id = 0;
    int room = 0;
  };

  Selection chooseMessage(Destination& destination);
  EndpointEntry* chooseEndpoint(Destination& destination, const Message& message);
  bool isEndpointEligible(EndpointEntry& endpoint, const Message& message);
  bool mayStart(const Selection& selection) const;
  void requestTimers(const Destination& destination);
  AttemptPacing pacingOf(EndpointEntry& endpoint) const;
  double zoneCost(const EndpointEntry& endpoint) const;
  void startAttempt(Message& message, EndpointEntry& endpoint, bool by_global_tag);
  void startCall(Destination& destination, EndpointEntry& endpoint);
  void fillBatch(Destination& destination, EndpointEntry& endpoint);

  DecisionContext& context_;
  const LatencyStatistics& latency_;
  FairQueue& fair_queue_;
  RateLimiter& rate_limiter_;
  AttemptTracker& attempts_;
  OutlierDetector& outlier_detector_;
  MessageTable& messages_;
  ConnectionPolicy& connections_;
  const RetryPolicy& retry_policy_;
  std::unordered_map<EndpointEntry*, OpenCall> open_calls_;  // of this dispatch
  std::size_t blocked_messages_ = 0;
};

}  // namespace grademux::decision
