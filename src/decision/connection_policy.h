// Connection policy: decides which calls reuse an idle connection, and which idle connections are closed.
// Networks may drop idle connections silently: a call on such a connection is lost.
#pragma once

#include "decision_context.h"

namespace grademux::decision {

constexpr double kStaleConnectionThreshold = 2.5;  // idle connections count as stale above this score
constexpr Micros kStaleConnectionSpans = 3;        // evidence is valid for this many slow start times
constexpr double kMinExpectedReuses = 2;           // connections with fewer expected reuses are closed ...
constexpr double kReuseSenderCount = 10;  // ... with this many senders; proportional for other counts

class ConnectionPolicy {
 public:
  // Evidence that idle connections go stale.
  struct StaleEvidence {
    double score = 0;            // observations, decayed over the slow start time
    Micros after_idle = kNever;  // shortest idle time of a lost connection
    Micros observed_at = -kNever;
  };

  explicit ConnectionPolicy(DecisionContext& context) : context_(context) {}

  // Reserves an idle connection for a call of the message, or closes the idle connections that are no longer
  // trusted. Returns the idle time of the reserved connection in microseconds; -1: the call opens a new one.
  Micros reserveConnection(EndpointEntry& endpoint, const Message& message);
  // Records that the connection of an answered call is idle. Closes the idle connections if few reuses are
  // expected or the endpoint's connection table is full.
  void returnConnection(EndpointEntry& endpoint);
  // Learns from a call whether idle connections go stale. The evidence is a call lost on a reused connection
  // that is followed by a successful call on a new one. `idle_time`: as returned by reserveConnection().
  void recordConnectionUse(Destination& destination, Micros idle_time, bool lost);

  const StaleEvidence& staleEvidence() const { return evidence_; }
  // Restores the evidence of an earlier process, unless this process has observed its own.
  void restoreStaleEvidence(const StaleEvidence& evidence);

 private:
  Micros staleIdleThreshold() const;

  DecisionContext& context_;
  StaleEvidence evidence_;
};

}  // namespace grademux::decision
