// grademux: what one process of a sender has learned and the next may know. Types only, as in settings.h; how
// far it is trusted after a time is decided in src/knowledge/ageing.h.
#pragma once

#include <cstdint>
#include <string>

#include "grademux/settings.h"

namespace grademux {

// The health of a destination, or of an endpoint that is a route apart, for the next process of this sender:
// asked to be kept as an action, given back as an event. cold_since in the far past: healthy.
struct DestinationHealth {
  std::string endpoint;  // empty: the destination
  std::int64_t destination = 0;
  bool down = false;
  Micros warming_since = 0;
  Micros retry_after_until = 0;  // told to wait; 0: not
  Micros observed_at = 0;        // when this was so
};
// What was learned of a destination, or of one of its endpoints, besides its health: given where a Survey
// asks, taken by the next process. 0: unknown. How far it is trusted after a time is decided outside.
struct LearnedEndpoint {
  std::string endpoint;  // empty: the destination
  std::int64_t destination = 0;
  double rate_limit = 0;                // calls a second from all senders, told or learned from refusals
  bool limit_is_reported = false;       // by answers
  double quota_fraction = 0;            // of it that this sender takes
  Micros typical_latency = 0;           // latency
  int samples = 0;                      // answers that it stands on
  double unknown_outcome_fraction = 0;  // share of calls that ended in the unknown
  double message_rate = 0;              // own messages a second; of destinations alone
  Micros last_outcome_at = 0, last_message_at = 0;  // the last outcome, the last message
};
// The same of all destinations together: the mean latency, connections that die idle.
struct LearnedPool {
  double mean_latency = 0;
  int latency_samples = 0;
  double stale_connection_score = 0;
  Micros stale_after_idle = 0, stale_observed_at = 0, last_outcome_at = 0;
};
// Asks what was learned of so many destinations with numbers above `after`; the answer ends in
// LearnedExported.
struct ExportLearned {
  std::int64_t after = INT64_MIN;
  int max_destinations = 0;
};
struct LearnedExported {
  std::int64_t after = INT64_MIN;  // where the next Survey goes on
  bool complete = false;           // there are no more
  LearnedPool pool;
};

}  // namespace grademux
