// grademux, decision: what the module remembers, and what all of its sections ask of it. The sections stand
// on one another: state, 1 tags, 2 bound, 3 health, 4 attempts, 5 admission, 6 membership, logic.cpp (turn).
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "class_versions.h"
#include "containers.h"
#include "grademux/sender.h"

namespace grademux::decision {

constexpr double kSecond = 1e6;
constexpr Micros kNever = INT64_MAX / 4;

struct FairQueueTag {
  double local = 0, global = 0;
};

// Health of a target (a destination, a route, or one endpoint), as its attempt outcomes show it.
struct OutlierState {
  bool is_down = false;
  Micros warming_since =
      -kNever;  // slow start counts from here: the last moment the target was not known to be up
  double typical_latency = 0;   // microseconds, slow moving average
  double latency_ratio = 1;     // recent latency over the typical one
  int latency_samples = 0;      // successful answers in typical_latency
  double failure_fraction = 0;  // moving share of outcomes that failed
  double unknown_outcome_fraction =
      0;                           // moving share of outcomes that leave open whether the attempt executed
  int consecutive_failures = 0;    // since the last success
  int consecutive_rejections = 0;  // since the last success
  Micros last_success_at = -kNever;
  Micros first_failure_at = kNever;  // the first failure or rejection since the last success
  Micros last_outcome_at = -kNever;
  int overdue_attempts = 0;  // long unanswered attempts, with no success since they were sent
};

// Send rate limit of a target and the quota of it that this sender uses.
struct RateLimitState {
  double limit = 0;                // calls a second from all senders; 0: none known
  bool limit_is_reported = false;  // by an answer, not listed or estimated
  double quota_fraction = 1;       // of the limit that this sender uses
  Micros quota_updated_at = 0;
  Micros quota_reduced_at = -kNever;  // last reduction after a rejection
  double upper_bound_tag = 0;    // the paper's u: microseconds at which the next call conforms to the rate
  Micros retry_after_until = 0;  // end of the reported Retry-After; 0: none
  Rate send_rate;                // calls of this sender
};

// What is known of a destination, a route, or one endpoint of a destination.
struct TargetState {
  RateLimitState rate_limit;
  OutlierState outlier;
  Micros exported_warming_since = -kNever;  // as in the last DestinationHealth action
  Micros exported_retry_after_until = 0;    // as in the last DestinationHealth action
};

struct Destination;
struct EndpointEntry {
  std::string id, zone;
  Destination* destination = nullptr;
  const DestinationKind* kind = nullptr;
  EndpointState state = EndpointState::gone;
  double weight = 0;
  int calls_in_flight = 0;  // calls out
  int open_attempts = 0;    // of messages that are not over, out or not
  Micros removed_at = 0;
  Micros last_used_at = -kNever;
  Micros connect_failed_at = -kNever;    // the last connect that failed
  Micros stale_connection_at = -kNever;  // a kept connection was found dead by a call
  std::deque<Micros> idle_since;         // since when each connection of this sender idles, oldest first
  TargetState target;
};

struct Attempt {
  EndpointEntry* endpoint = nullptr;
  Micros sent_at = 0;
  std::uint64_t call_id = 0, sequence = 0;
  bool in_flight = true, may_have_executed = true;
  Micros connection_idle_time = -1;  // how long its connection had idled; -1: a fresh one
  bool is_overdue = false;           // counted as overdue
  bool cancel_requested = false;
};

struct Message {
  std::string id, ordering_key;
  ClassVersion class_version;
  int tenant = -1;
  Destination* destination = nullptr;
  Micros submitted_at = 0, deadline = 0, not_before = 0, latency_objective = 0;
  std::uint64_t sequence = 0, queue_sequence = 0;  // when it came, and came to be held, among all
  std::vector<Attempt> attempts;
  bool is_queued = false, is_finished = false;
  int attempts_in_flight = 0;
};

struct Destination {
  std::int64_t id = 0;
  std::vector<EndpointEntry*> endpoints;
  OrderedList<Message, &Message::queue_sequence> queue;
  std::multiset<double> queued_objectives;  // of the classes of the held ones
  std::deque<FairQueueTag> tags;  // one for each held message, in order; what is worth most takes the first
  double last_local_tag = -1e18, last_global_tag = -1e18;  // l_prev, g_prev
  double global_tag_raise = 0;                             // added to the global tags of all held ones
  double local_tag_interval = 1;                           // 1/M
  Rate message_rate;                                       // own messages
  Micros lost_after_idle = -1;  // a call was lost on a connection that had idled so long, none answered since
  int open_messages = 0;        // known ones, held or not
  std::uint64_t blocked_in_iteration = 0;  // the turn in which nothing could leave
  TargetState target;
};

struct OrderingQueue {
  std::deque<Message*> messages;
  Micros blocked_until = 0;
};

// Tuned values, here and in the sections: ratios of settings and observations, never absolute times or rates.
constexpr double kRareSenderFraction = 0.05;  // of a limit: with less traffic there a sender is one of many
constexpr double kTimeoutRatio = 8;           // a call may take so many usual latencies
constexpr double kRetentionSpans = 3;         // times RampTimeMs: what is gone is remembered at least so long

struct DecisionState {
  Settings settings;
  std::vector<ClassVersion> class_versions;  // of the settings
  std::mt19937_64 random;
  Micros now = 0;
  std::vector<Action> actions;
  std::map<std::string, Message> messages;  // also ended ones with an attempt out
  std::map<std::string, EndpointEntry> endpoints;
  std::map<std::int64_t, Destination> destinations;
  std::map<std::string, OrderingQueue> ordering_queues;
  std::set<std::pair<Micros, std::string>> deadlines;
  std::unordered_map<std::uint64_t, int> attempts_per_call;  // attempts out in each call
  std::unordered_map<EndpointEntry*, std::pair<std::uint64_t, int>>
      calls_with_room;  // this turn's calls with room
  std::vector<Rate> tenant_rates;
  // What is listed no more, and order keys without a message: see retention.h.
  RevisitQueue<std::string> removed_endpoints, idle_ordering_keys;
  RevisitQueue<std::int64_t> unlisted_destinations;
  // Running sets, so that a turn costs what changed or is out, not what is listed.
  TwoKeyIndex<Destination> backlog;  // destinations with held messages, by their first local and global tags
  std::map<std::uint64_t, std::pair<Message*, std::size_t>> attempts_in_flight;  // attempts out, oldest first
  RecentMedian<EndpointEntry*> latency_ratios;  // recent over usual latency, of those with a recent outcome
  double mean_latency = 0;                      // mean latency of all answered calls
  int mean_latency_samples = 0;
  double global_tag_shift = 0;  // added to every stored global tag
  std::uint64_t next_message_sequence = 0, next_queue_sequence = 0, next_call_id = 0,
                next_attempt_sequence = 0, iteration = 0;
  std::size_t queued_messages = 0,
              blocked_messages = 0;  // messages; of them those that nothing of can leave in this turn
  int open_messages = 0;
  Micros timer_at = kNever, next_timer_at = kNever;
  Micros poll_at = 0;
  Micros shutdown_at = kNever;  // no outcome is heard later than this
  int poll_failures = 0;
  double common_slowdown = 1, shortest_objective = 0;
  double stale_connection_score = 0;  // signs of connections that die idle, decayed; the shortest that died
  Micros stale_after_idle = kNever, stale_observed_at = -kNever;
  DestinationKind default_kind;
  DecisionState(Settings initial_settings, std::uint64_t seed)
      : settings(std::move(initial_settings)), random(seed) {
    tenant_rates.resize(settings.tenants.size());
    class_versions = makeClassVersions(settings);
    shortest_objective = shortestLatencyObjective(settings);
    poll_at = settings.list_mode == ListMode::poll ? 0 : kNever;
  }

  bool hasSeparateRoutes(const EndpointEntry& endpoint) const { return endpoint.kind->has_separate_routes; }
  TargetState& limitScope(EndpointEntry& endpoint);

  // The list told of a drain or removal: nothing new goes there from that moment, well inside the grace.
  bool isReady(const EndpointEntry& endpoint) const { return endpoint.state == EndpointState::ready; }
  bool isCold(const TargetState& target) const;

  bool isLargeFleet() const { return kRareSenderFraction * settings.sender_count > 1; }
  double readyEndpointCount(const Destination& destination) const;

  // What is gone is remembered at least so long: an id that returns before finds its state.
  Micros retentionTime() const;

  double collapseTime() const;

  double rateSpanSeconds() const;

  double perSecond(const Rate& rate) const { return rate.perSecond(now, rateSpanSeconds()); }
  void countEvent(Rate& rate) { rate.count(now, rateSpanSeconds()); }
  double expectedLatency(const EndpointEntry& endpoint) const;
};

}  // namespace grademux::decision
