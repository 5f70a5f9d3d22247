// grademux: recorded decisions; see stream_codec.h. One table of fields for each type serves both directions.
#include "stream_codec.h"

#include <limits>
#include <type_traits>

#include "../core/json_fields.h"

namespace grademux::replay {

namespace {

constexpr const char* kEvents[] = {"arrival", "resumed", "ailment", "stopping", "gone",   "outcome",
                                   "list",    "wake",    "lesson",  "pool",     "survey", "retuned"};
constexpr const char* kActions[] = {"send",       "cancel", "refuse",  "fail",   "watch",
                                    "close_idle", "wake",   "ailment", "lesson", "surveyed"};
static_assert(std::size(kEvents) == std::variant_size_v<Event>);
static_assert(std::size(kActions) == std::variant_size_v<Action>);

// ---- the tables: what is visited is written, or read, under that name

template <class T>
struct Fields;
#define GRADEMUX_FIELDS(Type)   \
  template <>                   \
  struct Fields<Type> {         \
    template <class V, class T> \
    static void visit([[maybe_unused]] V& v, [[maybe_unused]] T& x)
#define GRADEMUX_END }

GRADEMUX_FIELDS(MessageClass) {
  v("name", x.name);
  v("aim", x.aim);
  v("deadline", x.deadline);
  v("aim_stretch", x.aim_stretch);
  v("worth", x.worth);
  v("late_worth", x.late_worth);
  v("effect", x.effect);
  v("group", x.group);
  v("memory", x.memory);
  v("ordered", x.ordered);
  v.later("max_attempts", x.max_attempts);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Tenant) {
  v("name", x.name);
  v("quota", x.quota);
  v("share", x.share);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Kind) {
  v("name", x.name);
  v("routes_apart", x.routes_apart);
  v("per_call", x.per_call);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Settings) {
  v("classes", x.classes);
  v("tenants", x.tenants);
  v("kinds", x.kinds);
  v("zone_fee", x.zone_fee);
  v("zones", x.zones);
  v("late", x.late);
  v("weights", x.weights);
  v("list", x.list);
  v("senders", x.senders);
  v("slots", x.slots);
  v("max_open", x.max_open);
  v("max_attempts", x.max_attempts);
  v("may_cancel", x.may_cancel);
  v("may_copy", x.may_copy);
  v("told_pause", x.told_pause);
  v("tick", x.tick);
  v("ask_within", x.ask_within);
  v("drain_grace", x.drain_grace);
  v("fall_span", x.fall_span);
  v("ramp_time", x.ramp_time);
  v("order_pause", x.order_pause);
  v("dial_timeout", x.dial_timeout);
  v("conn_idle", x.conn_idle);
  v("max_pause", x.max_pause);
  v("cold_share", x.cold_share);
  v("overload_factor", x.overload_factor);
  v("over_share_worth", x.over_share_worth);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Endpoint) {
  v("id", x.id);
  v("zone", x.zone);
  v("kind", x.kind);
  v("destination", x.destination);
  v("state", x.state);
  v("weight", x.weight);
}
GRADEMUX_END;
GRADEMUX_FIELDS(LimitReport) {
  v("left", x.left);
  v("limit", x.limit);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Arrival) {
  v("id", x.id);
  v("class", x.message_class);
  v("tenant", x.tenant);
  v("order_key", x.order_key);
  v("destination", x.destination);
  v("give_up_at", x.give_up_at);
  v("estimate", x.estimate);
  v("repeat", x.repeat);
}
GRADEMUX_END;
GRADEMUX_FIELDS(PastAttempt) {
  v("endpoint", x.endpoint);
  v("sent", x.sent);
  v("may_have_run", x.may_have_run);
  v.later("out", x.out);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Resumed) {
  v("message", x.message);
  v("attempts", x.attempts);
  v.later("rules", x.rules);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Ailment) {
  v("endpoint", x.endpoint);
  v("destination", x.destination);
  v("down", x.down);
  v("cold_since", x.cold_since);
  v.later("wait_until", x.wait_until);
  v.later("noted", x.noted);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Lesson) {
  v("endpoint", x.endpoint);
  v("destination", x.destination);
  v("limit", x.limit);
  v("told", x.told);
  v("part", x.part);
  v("usual", x.usual);
  v("samples", x.samples);
  v("risk", x.risk);
  v("traffic", x.traffic);
  v("heard", x.heard);
  v("came", x.came);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Experience) {
  v("typical", x.typical);
  v("typical_of", x.typical_of);
  v("dead_score", x.dead_score);
  v("dead_least", x.dead_least);
  v("dead_at", x.dead_at);
  v("heard", x.heard);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Survey) {
  v("after", x.after);
  v("most", x.most);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Surveyed) {
  v("after", x.after);
  v("all", x.all);
  v("pool", x.pool);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Stopping) {
  v("at", x.at);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Gone) {
  v("id", x.id);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Retuned) {
  v("settings", x.settings);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Outcome) {
  v("id", x.id);
  v("attempt", x.attempt);
  v("result", x.result);
  v("finished", x.finished);
  v("wait", x.wait);
  v("rtt", x.rtt);
  v("report", x.report);
  v.later("stale", x.stale);
}
GRADEMUX_END;
GRADEMUX_FIELDS(ListUpdate) {
  v("kind", x.kind);
  v("endpoints", x.endpoints);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Wake) {}
GRADEMUX_END;
GRADEMUX_FIELDS(Send) {
  v("id", x.id);
  v("endpoint", x.endpoint);
  v("timeout", x.timeout);
  v.later("write_within", x.write_within);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Cancel) {
  v("id", x.id);
  v("attempt", x.attempt);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Refuse) {
  v("id", x.id);
  v("pause", x.pause);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Fail) {
  v("id", x.id);
}
GRADEMUX_END;
GRADEMUX_FIELDS(Watch) {}
GRADEMUX_END;
GRADEMUX_FIELDS(CloseIdle) {
  v("endpoint", x.endpoint);
}
GRADEMUX_END;
GRADEMUX_FIELDS(WakeIn) {
  v("span", x.span);
}
GRADEMUX_END;

#undef GRADEMUX_FIELDS
#undef GRADEMUX_END

// The last of each enumeration.
constexpr Effect lastOf(Effect) {
  return Effect::unsafe;
}
constexpr RepeatGroup lastOf(RepeatGroup) {
  return RepeatGroup::cell;
}
constexpr LateRule lastOf(LateRule) {
  return LateRule::halves;
}
constexpr WeightKind lastOf(WeightKind) {
  return WeightKind::rough;
}
constexpr ListMode lastOf(ListMode) {
  return ListMode::ask;
}
constexpr EndpointState lastOf(EndpointState) {
  return EndpointState::gone;
}
constexpr Result lastOf(Result) {
  return Result::not_sent;
}
constexpr ListKind lastOf(ListKind) {
  return ListKind::failed;
}

// ---- both directions

template <class T>
json encode(const T& x);
template <class T>
json encode(const std::vector<T>& all);
template <class T>
json encode(const std::optional<T>& x);
json encode(const ClassVersion& x);

struct Encoder {
  json out = json::object();
  template <class T>
  void operator()(const char* name, const T& x) {
    out[name] = encode(x);
  }
  // A field that records of earlier versions lack: absent is as new.
  template <class T>
  void later(const char* name, const T& x) {
    if (x != T{})
      out[name] = encode(x);
  }
};

template <class T>
json encode(const std::vector<T>& all) {
  json a = json::array();
  for (const T& x : all)
    a.push_back(encode(x));
  return a;
}
template <class T>
json encode(const std::optional<T>& x) {
  return x ? encode(*x) : json();
}
json encode(const ClassVersion& x) {
  return x ? encode(*x) : json();
}
template <class T>
json encode(const T& x) {
  if constexpr (std::is_enum_v<T>) {
    return static_cast<int>(x);
  } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
    return x;
  } else {
    Encoder e;
    Fields<T>::visit(e, x);
    return std::move(e.out);
  }
}

[[noreturn]] void unfit(const char* name) {
  bad(std::string("can't be used: ") + name);
}

template <class T>
void decode(const json& in, const char* name, T& x);
template <class T>
void decode(const json& in, const char* name, std::vector<T>& all);
template <class T>
void decode(const json& in, const char* name, std::optional<T>& x);
void decode(const json& in, const char* name, ClassVersion& x);

struct Decoder {
  const json& in;
  template <class T>
  void operator()(const char* name, T& x) {
    decode(field(in, name), name, x);
  }
  template <class T>
  void later(const char* name, T& x) {
    const auto at = in.find(name);
    if (at != in.end())
      decode(*at, name, x);
  }
};

template <class T>
void decode(const json& in, const char* name, std::vector<T>& all) {
  if (!in.is_array())
    unfit(name);
  all.clear();
  for (const json& i : in)
    decode(i, name, all.emplace_back());
}
template <class T>
void decode(const json& in, const char* name, std::optional<T>& x) {
  x.reset();
  if (!in.is_null())
    decode(in, name, x.emplace());
}
void decode(const json& in, const char* name, ClassVersion& x) {
  MessageClass c;
  decode(in, name, c);
  x = std::make_shared<const MessageClass>(std::move(c));
}
template <class T>
void decode(const json& in, const char* name, T& x) {
  if constexpr (std::is_same_v<T, bool>) {
    if (!in.is_boolean())
      unfit(name);
    x = in.get<bool>();
  } else if constexpr (std::is_enum_v<T>) {
    if (!in.is_number_integer() || in < 0 || in > static_cast<int>(lastOf(T{})))
      unfit(name);
    x = static_cast<T>(in.get<int>());
  } else if constexpr (std::is_floating_point_v<T>) {
    if (!in.is_number())
      unfit(name);
    x = in.get<T>();
  } else if constexpr (std::is_integral_v<T>) {
    if (!in.is_number_integer() || in.get<std::int64_t>() > std::numeric_limits<T>::max() ||
        in.get<std::int64_t>() < std::numeric_limits<T>::min())
      unfit(name);
    x = in.get<T>();
  } else if constexpr (std::is_same_v<T, std::string>) {
    if (!in.is_string())
      unfit(name);
    x = in.get<std::string>();
  } else {
    if (!in.is_object())
      unfit(name);
    Decoder d{in};
    Fields<T>::visit(d, x);
  }
}

// A variant is an object with one member, which is named after its kind.
template <class V>
json encodeKind(const V& v, const char* const* names) {
  return {{names[v.index()], std::visit([](const auto& x) { return encode(x); }, v)}};
}
template <class V, std::size_t I = 0>
V decodeKind(const json& in, const char* const* names) {
  if constexpr (I == std::variant_size_v<V>) {
    bad("unknown kind: " + (in.is_object() && !in.empty() ? in.begin().key() : std::string("none")));
  } else {
    if (!in.is_object() || !in.contains(names[I]))
      return decodeKind<V, I + 1>(in, names);
    std::variant_alternative_t<I, V> x;
    decode(in[names[I]], names[I], x);
    return x;
  }
}

std::string lineOf(const json& j) {
  return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::string headLine(const Settings& settings, std::uint64_t seed) {
  // As text: a number over 2^63 is not read back by every reader of JSON.
  return lineOf(
      {{"grademux_decisions", kFormat}, {"seed", std::to_string(seed)}, {"settings", encode(settings)}});
}

std::string turnLine(Micros now, const std::vector<Event>& events, const std::vector<Action>& actions) {
  json e = json::array(), a = json::array();
  for (const Event& x : events)
    e.push_back(encodeKind(x, kEvents));
  for (const Action& x : actions)
    a.push_back(actionJson(x));
  return lineOf({{"now", now}, {"events", std::move(e)}, {"actions", std::move(a)}});
}

json actionJson(const Action& a) {
  return encodeKind(a, kActions);
}

bool isHead(const json& line) {
  return line.is_object() && line.contains("grademux_decisions");
}

Head readHead(const json& line) {
  const std::int64_t format = integer(line, "grademux_decisions");
  if (format != kFormat)
    bad("format " + std::to_string(format) + " is not known, only " + std::to_string(kFormat));
  Head h;
  const std::string seed = text(line, "seed");
  if (seed.empty() || seed.size() > 20 || seed.find_first_not_of("0123456789") != std::string::npos)
    unfit("seed");
  h.seed = std::stoull(seed);
  decode(field(line, "settings"), "settings", h.settings);
  return h;
}

Turn readTurn(const json& line) {
  if (!line.is_object())
    bad("a turn is not an object");
  Turn t;
  t.now = integer(line, "now");
  for (const json& e : array(line, "events"))
    t.events.push_back(decodeKind<Event>(e, kEvents));
  for (const json& a : array(line, "actions"))
    t.actions.push_back(decodeKind<Action>(a, kActions));
  return t;
}

}  // namespace grademux::replay
