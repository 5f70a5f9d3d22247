// grademux: what a site tells the decision module: classes of messages, tenants, kinds of destinations,
// limits and rules. Types only; src/decision/check.h checks them.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace grademux {

using Micros = std::int64_t;  // a point in time or a span, in whole microseconds

enum class Effect { safe, keyed, unsafe };   // repeat at will, repeat inside group and memory, never twice
enum class RepeatGroup { all, zone, cell };  // keyed: which endpoints of the destination drop repeats
enum class LateRule { line, halves };        // how worth falls once the aim has passed
enum class WeightKind { none, nominal, rough };  // what Endpoint::weight tells
enum class ListMode { push, ask };               // does membership come by itself?

struct MessageClass {
  std::string name;
  Micros aim = 0;       // full worth when delivered within this
  Micros deadline = 0;  // given up after this
  double aim_stretch = 0;
  double worth = 1;
  double late_worth = 0;  // share of the worth left at the deadline
  Effect effect = Effect::safe;
  RepeatGroup group = RepeatGroup::all;
  Micros memory = 0;     // keyed: how long a repeat is dropped
  bool ordered = false;  // one at a time per order key
  int max_attempts = 0;  // of one message; 0: Settings::max_attempts
};
// A class as it was when a message was taken on: the message keeps it to its end, whatever the settings say
// by then. Those of one turn to the other are shared.
using ClassVersion = std::shared_ptr<const MessageClass>;

struct Tenant {
  std::string name;
  double quota = 0;  // messages a second inside its share, over all senders
  double share = 0;
};

struct Kind {  // a kind of destination
  std::string name;
  bool routes_apart = false;  // each endpoint has its own limit, waits and outages
  int per_call = 1;           // messages that may share a call
};

struct Settings {
  std::vector<MessageClass> classes;
  std::vector<Tenant> tenants;
  std::vector<Kind> kinds;
  std::vector<double> zone_fee;  // by position in zones
  std::vector<std::string> zones;
  LateRule late = LateRule::line;
  WeightKind weights = WeightKind::none;
  ListMode list = ListMode::push;
  int senders = 1;   // how many senders share the destinations
  int slots = 1;     // calls out at once
  int max_open = 1;  // messages held, sent or not
  int max_attempts = 1;
  bool may_cancel = false;
  bool may_copy = false;    // two attempts of a message out at once
  bool told_pause = false;  // does a client hear Refuse::pause?
  Micros tick = 0;          // shortest gap between two calls of decide
  Micros ask_within = 0;    // list by asking: unasked for this long, the list counts as told
  Micros drain_grace = 0;
  Micros fall_span = 0;  // a cold destination overloaded for this long falls over
  Micros ramp_time = 0;  // warm after this at the latest
  Micros order_pause = 0;
  Micros dial_timeout = 0;
  Micros conn_idle = 0;
  Micros max_pause = 0;        // the longest pause that a client honours
  double cold_share = 1;       // share of capacity right after an outage
  double overload_factor = 1;  // times present capacity that makes it fall
  double over_share_worth = 1;
};

// An event: from now on these settings hold. Messages that are open keep the class they were taken on under.
struct Retuned {
  Settings settings;
};

}  // namespace grademux
