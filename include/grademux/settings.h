// grademux: what a site tells the decision module: classes of messages, tenants, kinds of destinations,
// limits and rules. Types only; src/decision/settings_check.h checks them.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace grademux {

using Micros = std::int64_t;  // a point in time or a span, in whole microseconds

enum class Idempotency {
  idempotent,
  idempotency_key,
  non_idempotent
};  // repeat at will, repeat inside group and memory, never twice
enum class IdempotencyScope { all, zone, cell };  // keyed: which endpoints of the destination drop repeats
enum class LatenessPenalty { linear, halving };   // how worth falls once the aim has passed
enum class WeightKind { none, nominal, rough };   // what Endpoint::weight tells
enum class ListMode { push, poll };               // does membership come by itself?

struct MessageClass {
  std::string name;
  Micros latency_objective = 0;  // full worth when delivered within this
  Micros deadline = 0;           // given up after this
  double latency_objective_stretch = 0;
  double priority_weight = 1;
  double late_weight_fraction = 0;  // share of the worth left at the deadline
  Idempotency idempotency = Idempotency::idempotent;
  IdempotencyScope idempotency_scope = IdempotencyScope::all;
  Micros idempotency_window = 0;  // keyed: how long a repeat is dropped
  bool ordered = false;           // one at a time per order key
  int max_attempts = 0;           // of one message; 0: Settings::max_attempts
};
// A class as it was when a message was taken on: the message keeps it to its end, whatever the settings say
// by then. Those of one turn to the other are shared.
using ClassVersion = std::shared_ptr<const MessageClass>;

struct Tenant {
  std::string name;
  double quota = 0;  // messages a second inside its share, over all senders
  double share = 0;
};

struct DestinationKind {  // a kind of destination
  std::string name;
  bool has_separate_routes = false;  // each endpoint has its own limit, waits and outages
  int messages_per_call = 1;         // messages that may share a call
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
  int max_in_flight = 1;      // calls out at once
  int max_open_messages = 1;  // messages held, sent or not
  int max_attempts = 1;
  bool cancel_allowed = false;
  bool hedging_allowed = false;        // two attempts of a message out at once
  bool retry_after_supported = false;  // does a client hear Refuse::pause?
  Micros min_decide_interval = 0;      // shortest gap between two calls of decide
  Micros poll_notified_within = 0;     // list by asking: unasked for this long, the list counts as told
  Micros drain_grace = 0;
  Micros overload_collapse_time = 0;  // a cold destination overloaded for this long falls over
  Micros slow_start_time = 0;         // warm after this at the latest
  Micros ordering_backoff = 0;
  Micros connect_timeout = 0;
  Micros idle_connection_timeout = 0;
  Micros max_retry_after = 0;         // the longest pause that a client honours
  double cold_capacity_fraction = 1;  // share of capacity right after an outage
  double overload_factor = 1;         // times present capacity that makes it fall
  double over_quota_weight = 1;
};

// An event: from now on these settings hold. Messages that are open keep the class they were taken on under.
struct SettingsChanged {
  Settings settings;
};

}  // namespace grademux
