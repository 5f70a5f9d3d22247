// State that a process of a sender has learned and passes to the next process of the same sender. Types only;
// src/knowledge stores the state and decides how long it is trusted.
#pragma once

#include <cstdint>
#include <string>

#include "grademux/settings.h"

namespace grademux {

// Health of a destination, or of an endpoint with its own route. As an action it requests storage; as an
// event it restores the stored health in the next process of this sender. A `warming_since` in the far past
// means healthy.
struct DestinationHealth {
  std::string endpoint;  // empty: the destination
  std::int64_t destination = 0;
  bool down = false;
  Micros warming_since = 0;
  Micros retry_after_until = 0;  // end of a reported Retry-After; 0: none
  Micros observed_at = 0;
};
// Learned state of a destination or of one of its endpoints, except its health. Exported as an action after
// ExportLearned, restored as an event in the next process. 0 means unknown.
struct LearnedEndpoint {
  std::string endpoint;  // empty: the destination
  std::int64_t destination = 0;
  double rate_limit = 0;           // calls a second from all senders, reported or estimated from rejections
  bool limit_is_reported = false;  // an answer reported rate_limit
  double quota_fraction = 0;       // of the limit that this sender uses
  Micros typical_latency = 0;
  int samples = 0;                      // answers in typical_latency
  double unknown_outcome_fraction = 0;  // share of attempts that may or may not have been executed
  double message_rate = 0;              // messages of this sender a second; destinations only
  Micros last_outcome_at = 0, last_message_at = 0;
};
// Learned state of all destinations together: mean latency, and evidence that idle connections go stale.
struct LearnedPool {
  double mean_latency = 0;
  int latency_samples = 0;
  double stale_connection_score = 0;
  Micros stale_after_idle = 0, stale_observed_at = 0, last_outcome_at = 0;
};
// Event: requests the learned state of the next `max_destinations` destinations with ids above `after`. The
// last of the resulting actions is LearnedExported.
struct ExportLearned {
  std::int64_t after = INT64_MIN;
  int max_destinations = 0;
};
struct LearnedExported {
  std::int64_t after = INT64_MIN;  // ExportLearned::after of the next request
  bool complete = false;           // no destinations remain
  LearnedPool pool;
};

}  // namespace grademux
