// grademux: the interface of the decision module. Types only: no decision and no tuned value stands here.
// One Sender decides for one sending process. It does no I/O and reads no clock: the host hands it what
// happened (events) and carries out what it answers (actions).
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
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
};

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

enum class EndpointState { ready, draining, gone };

struct Endpoint {
  std::string id;
  std::string zone;
  std::string kind;
  std::int64_t destination = 0;
  EndpointState state = EndpointState::ready;
  double weight = 0;  // calls a second that the destination (or route) takes, see WeightKind
};

struct LimitReport {  // what an answer told of the destination's limit
  double left = 0;    // share of the allowance left
  double limit = 0;   // calls a second; 0: no limit
};

enum class Result { ok, error, full, timeout, connect_failed, reset, cancelled, not_sent };

// ---- events
struct Arrival {
  std::string id, message_class, tenant, order_key;
  std::int64_t destination = 0;
  Micros give_up_at = 0;
  Micros estimate = 0;  // guess of its own work, 0: none
  bool repeat = false;  // a client's next try, or held before by a sender that died
};
// A message that this sender had taken on before its process ended, with its attempts, all over by now.
struct PastAttempt {
  std::string endpoint;  // may be listed no more, or unknown
  Micros sent = 0;       // may be before the first turn
  bool may_have_run = true;
};
struct Resumed {
  Arrival message;
  std::vector<PastAttempt> attempts;
};
// The health of a destination, or of an endpoint that is a route apart, for the next process of this sender:
// asked to be kept as an action, given back as an event. cold_since in the far past: healthy.
struct Ailment {
  std::string endpoint;  // empty: the destination
  std::int64_t destination = 0;
  bool down = false;
  Micros cold_since = 0;
};
// This process ends at `at`: an outcome that comes later is not heard.
struct Stopping {
  Micros at = 0;
};
struct Gone {
  std::string id;
};  // nobody wants it any more
struct Started {
  std::string id;
  int attempt = 0;
};  // a streamed answer has begun
struct Outcome {
  std::string id;
  int attempt = 0;
  Result result = Result::ok;
  bool finished = false;
  Micros wait = 0;  // full: nothing to this destination for so long; 0: none told
  Micros rtt = 0;
  std::optional<LimitReport> report;
};
struct Probed {
  std::string endpoint;
  Result result = Result::ok;
  Micros rtt = 0;
  std::optional<LimitReport> report;
};
enum class ListKind { delta, full, cached, failed };
struct ListUpdate {
  ListKind kind = ListKind::full;
  std::vector<Endpoint> endpoints;
};
struct Wake {};
using Event =
    std::variant<Arrival, Resumed, Ailment, Stopping, Gone, Started, Outcome, Probed, ListUpdate, Wake>;

// ---- actions
struct Send {
  std::string id, endpoint;
  Micros timeout = 0;
};
struct Cancel {
  std::string id;
  int attempt = 0;
};
struct Refuse {
  std::string id;
  Micros pause = 0;
};  // final: handing it in again is harmless
struct Fail {
  std::string id;
};                // final: no such promise
struct Watch {};  // subscribe to membership changes
struct CloseIdle {
  std::string endpoint;
};
struct WakeIn {
  Micros span = 0;
};
using Action = std::variant<Send, Cancel, Refuse, Fail, Watch, CloseIdle, WakeIn, Ailment>;

class Sender {
 public:
  // Throws std::invalid_argument naming the field when the settings can't be.
  Sender(Settings settings, std::uint64_t seed);
  ~Sender();
  Sender(Sender&&) noexcept;
  Sender& operator=(Sender&&) noexcept;

  // All that happened at `now`, in order; answers what to do at the same moment. `now` never goes back.
  std::vector<Action> decide(Micros now, const std::vector<Event>& events);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace grademux
