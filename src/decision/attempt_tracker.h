// Tracks the attempts in flight and the calls that carry them. A call to a batching endpoint carries several
// attempts.
#pragma once

#include <map>
#include <unordered_map>
#include <utility>

#include "decision_context.h"

namespace grademux::decision {

class AttemptTracker {
 public:
  // An attempt in flight: a message and the position of the attempt in it.
  struct Reference {
    Message* message = nullptr;
    std::size_t index = 0;
    Attempt& attempt() const { return message->attempts[index]; }
  };
  using InFlight = std::map<std::uint64_t, Reference>;

  explicit AttemptTracker(DecisionContext& context) : context_(context) {}

  std::uint64_t newCallId() { return ++last_call_id_; }
  // Adds an attempt that is in flight. `connection_idle_time`: see Attempt.
  void recordAttempt(Message& message, EndpointEntry& endpoint, std::uint64_t call_id, Micros sent_at,
                     Micros connection_idle_time);
  // Marks the attempt as no longer in flight. The last attempt of a call ends the call.
  void finishAttempt(Message& message, Attempt& attempt);

  int callsInFlight() const { return static_cast<int>(attempts_per_call_.size()); }
  const InFlight& inFlight() const { return in_flight_; }  // oldest first

 private:
  DecisionContext& context_;
  std::unordered_map<std::uint64_t, int> attempts_per_call_;  // attempts in flight, by call id
  InFlight in_flight_;
  std::uint64_t last_call_id_ = 0, last_sequence_ = 0;
};

}  // namespace grademux::decision
