// grademux, decision 5, admission: what is taken on, resumed, turned away, given up.
#pragma once

#include "retry_policy.h"

namespace grademux::decision {

constexpr double kMaxQueueTimeFraction = 0.5;  // of the shortest aim may the wait for a slot be ...
constexpr double kMinRetainedPriority =
    0.9;  // ... for messages that lose more than the rest of their worth by it
constexpr double kOpenMessageReserve = 0.06;  // of MaxOpen is kept free for better messages

struct AdmissionControl : RetryPolicy {
  using RetryPolicy::RetryPolicy;
  void onMessageArrival(const MessageArrival& arrival, ClassVersion class_version = nullptr);

  // What an earlier process of this sender took on. Its attempts count as made; one whose end was not heard
  // may have run, or is out still. Guards against a second effect after a restart.
  void onRecoveredMessage(const RecoveredMessage& recovered);

  // Near MaxOpen the least worth is refused, so that better messages are not turned away at the door. Worth
  // is what is left when the destination's backlog has drained: the queues of dead destinations go first.
  // With all slots busy so are those that would come late, down to a short queue. Only for one of many: of
  // few senders all are busy in an outage only. Harm: refused in a short burst.
  void shedLoad();

  // Everything is answered before its time is up, whatever is full, silent or not listed.
  void failExpired();
};

}  // namespace grademux::decision
