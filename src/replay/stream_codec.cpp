// See stream_codec.h. Each type has one table of fields, which serves encoding and decoding.
#include "stream_codec.h"

#include <limits>
#include <type_traits>

#include "../core/json_fields.h"
#include "stream_fields.h"

namespace grademux::replay {

namespace {

constexpr const char* kEventNames[] = {"arrival", "resumed", "ailment",    "stopping", "gone",
                                       "outcome", "list",    "wake",       "lesson",   "pool",
                                       "survey",  "retuned", "order_rest", "set_aside"};
constexpr const char* kActionNames[] = {"send", "cancel",  "refuse", "fail",     "watch",     "close_idle",
                                        "wake", "ailment", "lesson", "surveyed", "order_rest"};
static_assert(std::size(kEventNames) == std::variant_size_v<Event>);
static_assert(std::size(kActionNames) == std::variant_size_v<Action>);

// ---- encoding and decoding

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
  // A field that recordings of earlier versions lack: an absent field has the default value, which is not
  // written.
  template <class T>
  void optionalField(const char* name, const T& x) {
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

[[noreturn]] void badField(const char* name) {
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
  void optionalField(const char* name, T& x) {
    const auto at = in.find(name);
    if (at != in.end())
      decode(*at, name, x);
  }
};

template <class T>
void decode(const json& in, const char* name, std::vector<T>& all) {
  if (!in.is_array())
    badField(name);
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
      badField(name);
    x = in.get<bool>();
  } else if constexpr (std::is_enum_v<T>) {
    if (!in.is_number_integer() || in < 0 || in > static_cast<int>(lastValue(T{})))
      badField(name);
    x = static_cast<T>(in.get<int>());
  } else if constexpr (std::is_floating_point_v<T>) {
    if (!in.is_number())
      badField(name);
    x = in.get<T>();
  } else if constexpr (std::is_integral_v<T>) {
    if (!in.is_number_integer() || in.get<std::int64_t>() > std::numeric_limits<T>::max() ||
        in.get<std::int64_t>() < std::numeric_limits<T>::min())
      badField(name);
    x = in.get<T>();
  } else if constexpr (std::is_same_v<T, std::string>) {
    if (!in.is_string())
      badField(name);
    x = in.get<std::string>();
  } else {
    if (!in.is_object())
      badField(name);
    Decoder d{in};
    Fields<T>::visit(d, x);
  }
}

// A variant is an object with one member, whose name is the kind of the value.
template <class V>
json encodeVariant(const V& v, const char* const* names) {
  return {{names[v.index()], std::visit([](const auto& x) { return encode(x); }, v)}};
}
template <class V, std::size_t I = 0>
V decodeVariant(const json& in, const char* const* names) {
  if constexpr (I == std::variant_size_v<V>) {
    bad("unknown kind: " + (in.is_object() && !in.empty() ? in.begin().key() : std::string("none")));
  } else {
    if (!in.is_object() || !in.contains(names[I]))
      return decodeVariant<V, I + 1>(in, names);
    std::variant_alternative_t<I, V> x;
    decode(in[names[I]], names[I], x);
    return x;
  }
}

std::string dump(const json& j) {
  return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::string headLine(const Settings& settings, std::uint64_t seed) {
  // The seed is a string, as not every JSON parser reads a number over 2^63.
  return dump(
      {{"grademux_decisions", kFormat}, {"seed", std::to_string(seed)}, {"settings", encode(settings)}});
}

std::string iterationLine(Micros now, const std::vector<Event>& events, const std::vector<Action>& actions) {
  json e = json::array(), a = json::array();
  for (const Event& x : events)
    e.push_back(encodeVariant(x, kEventNames));
  for (const Action& x : actions)
    a.push_back(actionJson(x));
  return dump({{"now", now}, {"events", std::move(e)}, {"actions", std::move(a)}});
}

json actionJson(const Action& a) {
  return encodeVariant(a, kActionNames);
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
    badField("seed");
  h.seed = std::stoull(seed);
  decode(field(line, "settings"), "settings", h.settings);
  return h;
}

Iteration readIteration(const json& line) {
  if (!line.is_object())
    bad("expected an object for an iteration");
  Iteration t;
  t.now = integer(line, "now");
  for (const json& e : array(line, "events"))
    t.events.push_back(decodeVariant<Event>(e, kEventNames));
  for (const json& a : array(line, "actions"))
    t.actions.push_back(decodeVariant<Action>(a, kActionNames));
  return t;
}

}  // namespace grademux::replay
