// Admission control: decides which messages are accepted, rejected while they are queued, and failed at their
// deadline.
#pragma once

#include "attempt_tracker.h"
#include "dispatcher.h"
#include "endpoint_table.h"
#include "fair_queue.h"
#include "message_table.h"
#include "rate_limiter.h"
#include "retry_policy.h"

namespace grademux::decision {

constexpr double kMaxQueueTimeFraction = 0.5;  // of the shortest latency objective; longer waits shed load
constexpr double kMinRetainedPriority = 0.9;   // messages whose priority falls below this share are shed
constexpr double kOpenMessageReserve = 0.06;   // share of Settings::max_open_messages that is kept free

class AdmissionControl {
 public:
  // The modules that admission consults and changes.
  struct Modules {
    DecisionContext& context;
    const LatencyStatistics& latency;
    FairQueue& fair_queue;
    RateLimiter& rate_limiter;
    AttemptTracker& attempts;
    EndpointTable& endpoint_table;
    MessageTable& messages;
    const RetryPolicy& retry_policy;
    const Dispatcher& dispatcher;
  };

  explicit AdmissionControl(const Modules& modules);

  // Accepts and queues the message, and rejects it if too many messages are open. Ignores a known id. A
  // message of an unknown class fails. If `class_version` is null, the class of the current settings applies.
  void onMessageArrival(const MessageArrival& arrival, const ClassVersion& class_version = nullptr);
  // Accepts a message of an earlier process of this sender. The past attempts count towards max_attempts.
  void onRecoveredMessage(const RecoveredMessage& recovered);
  void onMessageWithdrawn(const MessageWithdrawn& withdrawn);

  // Rejects the queued messages with the lowest priority while too many messages are open. In a large fleet
  // with all calls in use, also rejects the queued messages that would be late.
  void shedLoad();
  // Fails the messages whose deadline has passed.
  void failExpired();
  // Decides the final outcome: rejected if `may_reject` and it is safe to submit the message again, else
  // failed.
  void finishMessage(Message& message, bool may_reject);

 private:
  ClassVersion findClass(const std::string& name) const;
  int findTenant(const std::string& name) const;
  void recoverAttempt(Message& message, const PastAttempt& past_attempt);
  void finishAndErase(Message& message, bool may_reject);

  DecisionContext& context_;
  const LatencyStatistics& latency_;
  FairQueue& fair_queue_;
  RateLimiter& rate_limiter_;
  AttemptTracker& attempts_;
  EndpointTable& endpoint_table_;
  MessageTable& messages_;
  const RetryPolicy& retry_policy_;
  const Dispatcher& dispatcher_;
};

}  // namespace grademux::decision
