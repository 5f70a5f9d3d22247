// Use of idle connections: which calls reuse one, and which idle connections are closed. Networks may drop
// idle connections silently: a call on such a connection is lost.
#pragma once

#include "decision_context.h"

namespace grademux::decision {

constexpr double kStaleConnectionThreshold = 2.5;  // score from which idle connections are taken to go stale
constexpr Micros kStaleConnectionSpans = 3;        // evidence lasts so many slow start times
constexpr double kMinExpectedReuses = 2;  // an idle connection with fewer expected reuses is closed ...
constexpr double kReuseSenderCount = 10;  // ... with so many senders, in proportion for other counts

class ConnectionPolicy {
 public:
  // Evidence that idle connections go stale.
  struct StaleEvidence {
    double score = 0;            // observations, decayed over the slow start time
    Micros after_idle = kNever;  // shortest idle time of a lost connection
    Micros observed_at = -kNever;
  };

  explicit ConnectionPolicy(DecisionContext& context) : context_(context) {}

  // Reserves an idle connection for a call of the message, or closes the idle ones that are no longer
  // trusted. Returns how long the reserved one has idled, microseconds; -1: a new connection.
  Micros reserveConnection(EndpointEntry& endpoint, const Message& message);
  // The connection of an answered call is idle. Closes the idle ones where few reuses are expected or the
  // endpoint's connection table is full.
  void returnConnection(EndpointEntry& endpoint);
  // Learns from a call whether idle connections go stale: one was lost on a reused connection, and the next
  // one on a new connection succeeded. `idle_time`: as returned by reserveConnection().
  void recordConnectionUse(Destination& destination, Micros idle_time, bool lost);

  const StaleEvidence& staleEvidence() const { return evidence_; }
  // Takes over the evidence of an earlier process, unless this one has its own.
  void restoreStaleEvidence(const StaleEvidence& evidence);

 private:
  Micros staleIdleThreshold() const;

  DecisionContext& context_;
  StaleEvidence evidence_;
};

}  // namespace grademux::decision
