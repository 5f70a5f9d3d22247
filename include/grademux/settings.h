// Settings of the decision module: message classes, tenants, kinds of destinations, limits and rules. Types
// only; src/decision/settings_check.h checks them.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace grademux {

using Micros = std::int64_t;  // a point in time or a duration, in whole microseconds

enum class Idempotency {
  idempotent,
  idempotency_key,
  non_idempotent
};  // retry always, retry inside scope and window, never retry after a possible execution
enum class IdempotencyScope { all, zone, cell };  // idempotency_key: which endpoints recognise the key
enum class LatenessPenalty {
  linear,
  halving
};  // how the priority of a message falls after its latency objective
enum class WeightKind { none, nominal, rough };  // meaning of Endpoint::weight
enum class ListMode { push, poll };              // how the endpoint list arrives

struct MessageClass {
  std::string name;
  Micros latency_objective = 0;  // a message delivered within this time has full priority
  Micros deadline = 0;           // a message fails after this time
  double latency_objective_stretch = 0;
  double priority_weight = 1;
  double late_weight_fraction = 0;  // share of the priority that remains at the deadline
  Idempotency idempotency = Idempotency::idempotent;
  IdempotencyScope idempotency_scope = IdempotencyScope::all;
  Micros idempotency_window = 0;  // idempotency_key: how long endpoints recognise the key
  bool ordered = false;           // messages with the same ordering key are sent one at a time
  int max_attempts = 0;           // per message; 0: Settings::max_attempts
};
// A class as of the acceptance of a message. The message keeps this version until its final outcome, even if
// the settings change.
using ClassVersion = std::shared_ptr<const MessageClass>;

struct Tenant {
  std::string name;
  double quota = 0;  // messages a second at full priority, over all senders
  double share = 0;
};

struct DestinationKind {
  std::string name;
  bool has_separate_routes = false;  // each endpoint has its own limit, Retry-After and outages
  int messages_per_call = 1;         // most messages that share a call
};

struct Settings {
  std::vector<MessageClass> classes;
  std::vector<Tenant> tenants;
  std::vector<DestinationKind> kinds;
  std::vector<double> zone_cost;  // by position in zones
  std::vector<std::string> zones;
  LatenessPenalty lateness_penalty = LatenessPenalty::linear;
  WeightKind weight_kind = WeightKind::none;
  ListMode list_mode = ListMode::push;
  int sender_count = 1;       // how many senders share the destinations
  int max_in_flight = 1;      // calls in flight
  int max_open_messages = 1;  // accepted messages without a final outcome
  int max_attempts = 1;
  bool cancel_allowed = false;
  bool hedging_allowed = false;        // two attempts of a message in flight at once
  bool retry_after_supported = false;  // clients receive RejectMessage::retry_after
  Micros min_decide_interval = 0;      // shortest gap between two calls of Sender::decide()
  Micros poll_notified_within = 0;     // with ListMode::poll: how long a polled list is current
  Micros drain_grace = 0;
  Micros overload_collapse_time = 0;  // a cold destination fails after an overload of this duration
  Micros slow_start_time = 0;         // a destination is warm after this time at the latest
  Micros ordering_backoff = 0;
  Micros connect_timeout = 0;
  Micros idle_connection_timeout = 0;
  Micros max_retry_after = 0;         // longest Retry-After that a client honours
  double cold_capacity_fraction = 1;  // share of the capacity right after an outage
  double overload_factor = 1;         // overload that makes a destination fail, in current capacities
  double over_quota_weight = 1;
};

// Event: replaces all settings. Open messages keep their class version.
struct SettingsChanged {
  Settings settings;
};

}  // namespace grademux
