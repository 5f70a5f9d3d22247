// State of the destinations, endpoints and messages in the decision module. Plain data without rules: the
// modules of this folder own and change it. Like the whole decision module, not thread-safe.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "containers.h"
#include "grademux/sender.h"

namespace grademux::decision {

constexpr double kSecond = 1e6;           // microseconds
constexpr Micros kNever = INT64_MAX / 4;  // later than any time; negative: earlier

// The pair of real-time tags that a queued message adds to its destination (RePAIR, RBFQ): microseconds.
struct FairQueueTag {
  double local = 0, global = 0;
};

// Health of a target (a destination, a route, or one endpoint), derived from its attempt outcomes.
struct OutlierState {
  bool is_down = false;
  Micros warming_since =
      -kNever;  // start of slow start: the last time at which the target was not known to be up
  Micros warming_before_outage = -kNever;  // warming_since as it was before the target went down
  double typical_latency = 0;              // microseconds, slow moving average
  double latency_ratio = 1;                // recent latency over the typical one
  int latency_samples = 0;                 // successful answers in typical_latency
  double failure_fraction = 0;             // moving share of outcomes that failed
  double unknown_outcome_fraction =
      0;                         // moving share of outcomes that do not show whether the attempt was executed
  int consecutive_failures = 0;  // since the last success
  int consecutive_rejections = 0;  // since the last success
  Micros last_success_at = -kNever;
  Micros first_failure_at = kNever;  // the first failure or rejection since the last success
  Micros last_outcome_at = -kNever;
  int overdue_attempts = 0;  // overdue attempts that were sent after the last success
};

// Send rate limit of a target and the quota of it that this sender uses.
struct RateLimitState {
  double limit = 0;                // calls a second from all senders; 0: none known
  bool limit_is_reported = false;  // reported by an answer, not listed or estimated
  double quota_fraction = 1;       // of the limit that this sender uses
  Micros quota_updated_at = 0;
  Micros quota_reduced_at = -kNever;  // last reduction after a rejection
  double upper_bound_tag = 0;    // the paper's u: microseconds at which the next call conforms to the rate
  Micros retry_after_until = 0;  // end of the reported Retry-After; 0: none
  Rate send_rate;                // rate of this sender's calls
};

// State of a target: a destination, a route, or one endpoint of a destination.
struct TargetState {
  RateLimitState rate_limit;
  OutlierState outlier;
  Micros exported_warming_since = -kNever;  // as in the last DestinationHealth action
  Micros exported_retry_after_until = 0;    // as in the last DestinationHealth action
};

struct Destination;

// An endpoint of the endpoint list, present or removed.
struct EndpointEntry {
  std::string id, zone;
  Destination* destination = nullptr;
  const DestinationKind* kind = nullptr;  // of the settings, or DecisionContext::default_kind
  EndpointState state = EndpointState::gone;
  double weight = 0;
  int calls_in_flight = 0;
  int open_attempts = 0;  // attempts of known messages, in flight or not
  Micros removed_at = 0;
  Micros last_used_at = -kNever;
  Micros connect_failed_at = -kNever;    // last failed connect
  Micros stale_connection_at = -kNever;  // last call that found its reused connection stale
  std::deque<Micros> idle_since;         // one entry for each idle connection of this sender, oldest first
  TargetState target;
};

// One attempt of a message.
struct Attempt {
  EndpointEntry* endpoint = nullptr;  // null: a recovered attempt at an unknown endpoint
  Micros sent_at = 0;
  std::uint64_t call_id = 0, sequence = 0;
  bool in_flight = true;
  bool may_have_executed = true;
  Micros connection_idle_time = -1;  // idle time of the reused connection; -1: a new connection
  bool is_overdue = false;           // counted in OutlierState::overdue_attempts
  bool cancel_requested = false;
  bool response_set_aside = false;  // a response has arrived, which may be a late copy of an earlier one
};

// A message from its arrival until its last attempt has ended.
struct Message {
  std::string id, ordering_key;
  ClassVersion class_version;
  int tenant = -1;  // position in Settings::tenants; -1: none
  Destination* destination = nullptr;
  Micros submitted_at = 0;
  Micros deadline = 0;    // the final outcome is decided by then
  Micros not_before = 0;  // backoff of the next attempt
  Micros latency_objective = 0;
  std::uint64_t sequence = 0;        // order of arrival
  std::uint64_t queue_sequence = 0;  // order in the queue of its destination
  std::vector<Attempt> attempts;
  bool is_queued = false;
  bool is_finished = false;  // the final outcome is decided
  int attempts_in_flight = 0;
};

// A destination: its endpoints, the state of the limit that they share, and the queue of its messages.
struct Destination {
  std::int64_t id = 0;
  std::vector<EndpointEntry*> endpoints;
  OrderedList<Message, &Message::queue_sequence> queue;
  std::multiset<double> queued_objectives;  // latency objectives of the queued messages' classes
  std::deque<FairQueueTag> tags;  // one for each queued message; the next started message uses up the first
  double last_local_tag = -1e18, last_global_tag = -1e18;  // the paper's l_prev and g_prev
  double global_tag_raise = 0;                             // added to the global tags of all queued messages
  double local_tag_interval = 1;                           // the paper's 1/M, microseconds
  Rate message_rate;                                       // rate of this sender's messages
  Micros lost_after_idle =
      -1;                 // idle time of the connection that lost a call, until a call succeeds; -1: none
  int open_messages = 0;  // known messages, queued or not
  std::uint64_t blocked_in_iteration = 0;  // the last iteration that could start no attempt here
  TargetState target;
};

// Messages with the same ordering key, in the order of arrival. Only the first may be attempted.
struct OrderingQueue {
  std::deque<Message*> messages;
  Micros blocked_until =
      0;  // until then the next message waits, as an attempt of the previous one may still be executing
  // Attempts of a message that an earlier process has in flight and that are no attempts of a known message
  // here: the next message waits for their outcomes.
  std::string inherited_message;
  int inherited_attempts = 0;
  // As in the last OrderingKeyBlocked action.
  Micros exported_until = 0;
  std::string exported_message;
};

// Largest quota fraction: an estimated limit may be too low, a reported limit is exact.
inline double maxQuota(const RateLimitState& rate_limit) {
  return rate_limit.limit_is_reported ? 1.0 : 1e3;
}

// Whether each endpoint of this kind has its own limit, Retry-After and outages.
inline bool hasSeparateRoutes(const EndpointEntry& endpoint) {
  return endpoint.kind->has_separate_routes;
}

// Returns the state with the limit that applies to the endpoint: its own state or that of its destination.
inline TargetState& limitScope(EndpointEntry& endpoint) {
  return hasSeparateRoutes(endpoint) ? endpoint.target : endpoint.destination->target;
}

// Whether an attempt with this outcome may have been executed.
inline bool mayHaveExecuted(const AttemptOutcome& outcome) {
  return outcome.is_unverified ||
         (outcome.result != AttemptResult::rejected && outcome.result != AttemptResult::connect_failed &&
          outcome.result != AttemptResult::not_sent);
}

// Whether an attempt with this outcome may still be executing.
inline bool mayBeExecuting(const AttemptOutcome& outcome) {
  return mayHaveExecuted(outcome) && outcome.result != AttemptResult::ok &&
         outcome.result != AttemptResult::error;
}

// Whether the endpoint may get new attempts; draining and removed endpoints may not.
inline bool isReady(const EndpointEntry& endpoint) {
  return endpoint.state == EndpointState::ready;
}

// Number of ready endpoints of the destination, 1 at least.
inline double readyEndpointCount(const Destination& destination) {
  const auto ready_count = std::count_if(destination.endpoints.begin(), destination.endpoints.end(),
                                         [](EndpointEntry* endpoint) { return isReady(*endpoint); });
  return std::max(1.0, static_cast<double>(ready_count));
}

}  // namespace grademux::decision
