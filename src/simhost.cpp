// puffinhill: the adapter between the simulator's wire (lines of JSON on standard input and output) and the
// decision module. It translates and keeps many isolated instances; it decides nothing.
#include <algorithm>
#include <cmath>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "puffinhill/sender.h"

using nlohmann::json;
using namespace puffinhill;

namespace {

struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

[[noreturn]] void bad(const std::string& what) { throw BadInput(what); }

const json& field(const json& o, const char* name) {
  auto it = o.find(name);
  if (it == o.end()) bad(std::string("missing field ") + name);
  return *it;
}

bool absent(const json& o, const char* name) {
  auto it = o.find(name);
  return it == o.end() || it->is_null();
}

double number(const json& o, const char* name) {
  const json& v = field(o, name);
  if (!v.is_number()) bad(std::string("not a number: ") + name);
  return v.get<double>();
}
double number(const json& o, const char* name, double otherwise) {
  return absent(o, name) ? otherwise : number(o, name);
}
std::int64_t integer(const json& o, const char* name) {
  const json& v = field(o, name);
  if (!v.is_number_integer()) bad(std::string("not a whole number: ") + name);
  return v.get<std::int64_t>();
}
std::string text(const json& o, const char* name) {
  const json& v = field(o, name);
  if (!v.is_string()) bad(std::string("not a text: ") + name);
  return v.get<std::string>();
}
std::string text(const json& o, const char* name, const char* otherwise) {
  return absent(o, name) ? otherwise : text(o, name);
}
bool truth(const json& o, const char* name) {
  const json& v = field(o, name);
  if (!v.is_boolean()) bad(std::string("not true or false: ") + name);
  return v.get<bool>();
}
bool truth(const json& o, const char* name, bool otherwise) {
  return absent(o, name) ? otherwise : truth(o, name);
}
const json& array(const json& o, const char* name) {
  const json& v = field(o, name);
  if (!v.is_array()) bad(std::string("not an array: ") + name);
  return v;
}
const json& object(const json& o, const char* name) {
  const json& v = field(o, name);
  if (!v.is_object()) bad(std::string("not an object: ") + name);
  return v;
}
const json& optionalObject(const json& o, const char* name) {
  static const json none = json::object();
  return absent(o, name) ? none : object(o, name);
}

Micros toMicros(double ms) { return static_cast<Micros>(std::llround(ms * 1000.0)); }
Micros span(const json& o, const char* name) { return toMicros(number(o, name)); }
Micros span(const json& o, const char* name, Micros otherwise) {
  return absent(o, name) ? otherwise : span(o, name);
}
double toMs(Micros t) { return static_cast<double>(t) / 1000.0; }

template <class T>
T oneOf(const std::string& word, std::initializer_list<std::pair<const char*, T>> words, const char* name) {
  for (const auto& [w, value] : words)
    if (word == w) return value;
  bad(std::string("unknown value of ") + name + ": " + word);
}

MessageClass readClass(const json& c) {
  MessageClass m;
  m.name = text(c, "Name");
  m.aim = span(c, "AimMs");
  m.deadline = span(c, "DeadlineMs");
  m.aim_stretch = number(c, "AimStretch", 0);
  m.worth = number(c, "Worth", 1);
  m.late_worth = number(c, "LateWorth", 0);
  m.effect = oneOf<Effect>(
      text(c, "Idempotency"),
      {{"idempotent", Effect::safe}, {"deduplicated", Effect::keyed}, {"at_most_once", Effect::unsafe}},
      "Idempotency");
  m.group = oneOf<RepeatGroup>(
      text(c, "Group", "all"),
      {{"all", RepeatGroup::all}, {"zone", RepeatGroup::zone}, {"cell", RepeatGroup::cell}}, "Group");
  m.memory = span(c, "MemorySpanMs", 0);
  m.ordered = truth(c, "KeepOrder", false);
  return m;
}

void readDomain(const json& o, Settings& s) {
  const json& d = optionalObject(o, "Domain");
  s.slots = static_cast<int>(number(d, "CallSlots", 1));
  s.late = oneOf<LateRule>(text(d, "Late", "line"), {{"line", LateRule::line}, {"halves", LateRule::halves}},
                           "Late");
  s.price_refused = number(d, "RefusalCost", 0);
  if (!absent(d, "ZoneFee"))
    for (const json& z : array(d, "ZoneFee")) s.zone_fee.push_back(z.is_number() ? z.get<double>() : 0);
  if (!absent(o, "Kinds"))
    for (const json& k : array(o, "Kinds"))
      s.kinds.push_back({k.is_string() ? k.get<std::string>() : "", false, 1});
  for (std::size_t i = 0; i < s.kinds.size(); ++i) {
    if (!absent(d, "RoutesApart") && i < array(d, "RoutesApart").size() && d["RoutesApart"][i].is_boolean())
      s.kinds[i].routes_apart = d["RoutesApart"][i].get<bool>();
    if (!absent(d, "PerCall") && i < array(d, "PerCall").size() && d["PerCall"][i].is_number())
      s.kinds[i].per_call = d["PerCall"][i].get<int>();
  }
}

void readLimits(const json& o, Settings& s) {
  const json& c = optionalObject(o, "Ceilings");
  s.max_open = static_cast<int>(number(c, "MaxOpen", 20000));
  s.max_attempts = static_cast<int>(number(c, "MaxAttempts", 1));
  s.may_cancel = truth(c, "MayCancel", false);
  s.may_probe = truth(c, "Probes", false);
  s.may_copy = truth(c, "ParallelTries", false);
  s.told_pause = truth(c, "RetryAfter", false);
  s.dial_timeout = span(c, "DialTimeoutMs", 0);
  s.conn_idle = span(c, "ConnIdleMs", 0);
  s.max_pause = span(c, "MaxRetryAfterMs", 0);
  const json& r = optionalObject(o, "Rules");
  s.answer_slack = span(r, "AnswerSlackMs", 0);
  s.ask_within = span(r, "AskWithinMs", 0);
  s.drain_grace = span(r, "DrainGraceMs", 0);
  s.fall_span = span(r, "FallMs", 0);
  s.ramp_time = span(r, "RampTimeMs", 0);
  s.order_pause = span(r, "OrderPauseMs", 0);
  s.cold_share = number(r, "ColdShare", 1);
  s.overload_factor = number(r, "OverloadFactor", 1);
  const json& f = optionalObject(o, "Fees");
  s.price_waste = number(f, "Waste", 0);
  s.price_handshake = number(f, "Handshake", 0);
  s.price_probe = number(f, "Probe", 0);
  s.price_late = number(f, "LateFail", 0);
}

Settings readSettings(const json& o) {
  Settings s;
  for (const json& c : array(o, "Categories")) s.classes.push_back(readClass(c));
  if (!absent(o, "Tenants"))
    for (const json& t : array(o, "Tenants"))
      s.tenants.push_back({text(t, "Name"), number(t, "QuotaRps", 0), number(t, "Share", 0)});
  if (!absent(o, "Azs"))
    for (const json& z : array(o, "Azs")) s.zones.push_back(z.is_string() ? z.get<std::string>() : "");
  s.weights = oneOf<WeightKind>(text(o, "WeightKind", "silent"),
                                {{"silent", WeightKind::none},
                                 {"nominal", WeightKind::nominal},
                                 {"rough", WeightKind::rough},
                                 {"live", WeightKind::none}},
                                "WeightKind");
  s.list = oneOf<ListMode>(text(o, "Discovery", "push"), {{"push", ListMode::push}, {"ask", ListMode::ask}},
                           "Discovery");
  s.senders = static_cast<int>(number(o, "Balancers", 1));
  s.position = static_cast<int>(number(o, "Position", 0));
  s.tick = span(o, "TickMs", 0);
  s.over_share_worth = number(o, "OverShareWorth", 1);
  readDomain(o, s);
  readLimits(o, s);
  return s;
}

Result readResult(const json& o) {
  return oneOf<Result>(text(o, "How"),
                       {{"success", Result::ok},
                        {"failure", Result::error},
                        {"overloaded", Result::full},
                        {"timed_out", Result::timeout},
                        {"unreachable", Result::connect_failed},
                        {"broken", Result::reset},
                        {"withdrawn", Result::cancelled},
                        {"void", Result::not_sent}},
                       "How");
}

struct Instance {
  explicit Instance(Settings s, std::uint64_t seed, int left_at, int limit_at)
      : sender(std::move(s), seed), x0(left_at), x1(limit_at) {}
  Sender sender;
  int x0, x1;  // where the load report holds them, -1: nowhere
  std::vector<Event> events;
  std::int64_t label = 0;
};

class Host {
 public:
  std::string turn(const std::string& line) {
    json batch = json::parse(line, nullptr, false);
    if (batch.is_discarded()) bad("not JSON");
    if (!batch.is_object()) bad("not an object");
    const Micros now = span(batch, "SimTimeMs");
    touched_.clear();
    faults_.clear();
    for (const json& e : array(batch, "arrivals")) take(e);
    json cmds = json::array();
    for (std::int64_t who : touched_) answer(who, now, cmds);
    for (const auto& [who, words] : faults_) cmds.push_back({{"Fatal", {{"Who", who}, {"Words", words}}}});
    return json{{"cmds", std::move(cmds)}}.dump();
  }

 private:
  void take(const json& e) {
    if (!e.is_object() || e.size() != 1) bad("an event is an object of one key");
    const std::string name = e.begin().key();
    try {
      takeNamed(name, e.begin().value());
    } catch (const BadInput& b) { bad(name + ": " + b.what()); }
  }

  void takeNamed(const std::string& name, const json& f) {
    if (!f.is_object()) bad("not an object");
    if (name == "Roster") return roster(f);
    const std::int64_t who = integer(f, "Who");
    if (name == "Attach") return attach(who, f);
    auto it = instances_.find(who);
    if (it == instances_.end()) bad("instance never attached: " + std::to_string(who));
    if (name == "PowerOff") {
      instances_.erase(it);
      return;
    }
    Instance& i = it->second;
    if (std::find(touched_.begin(), touched_.end(), who) == touched_.end()) touched_.push_back(who);
    if (name == "Members") {
      i.events.push_back(members(f));
    } else if (name == "Call") {
      i.events.push_back(call(f));
    } else if (name == "TimeoutFired") {
      integer(f, "Label");
      i.events.push_back(Wake{});
    } else if (name == "CheckResult") {
      i.events.push_back(Probed{text(f, "Endpoint"), readResult(f), span(f, "RttMs"), gauge(i, f)});
    } else if (name == "Established") {
      i.events.push_back(Started{text(f, "OpId"), static_cast<int>(integer(f, "Attempt"))});
    } else if (name == "Left") {
      i.events.push_back(Gone{text(f, "OpId")});
    } else if (name == "Reply") {
      i.events.push_back(reply(i, f));
    } else if (name != "Whisper") {
      bad("unknown event");
    }
  }

  void attach(std::int64_t who, const json& f) {
    const json& seed = field(f, "RandomSeed");
    if (!seed.is_number_integer()) bad("not a whole number: RandomSeed");
    const json& o = object(f, "Options");
    int x0 = -1, x1 = -1, at = 0;
    const json& stats = optionalObject(o, "Stats");
    if (!absent(stats, "Fields"))
      for (const json& n : array(stats, "Fields")) {
        if (n == "x0") x0 = at;
        if (n == "x1") x1 = at;
        ++at;
      }
    Settings s = readSettings(o);
    instances_.erase(who);
    try {
      instances_.emplace(std::piecewise_construct, std::forward_as_tuple(who),
                         std::forward_as_tuple(std::move(s), seed.get<std::uint64_t>(), x0, x1));
    } catch (const std::invalid_argument& e) { bad(e.what()); }
  }

  void roster(const json& f) {
    std::vector<Endpoint> list;
    for (const json& m : array(f, "Members")) {
      Endpoint e;
      e.id = text(m, "Endpoint");
      e.zone = text(m, "Hall", "");
      e.kind = text(m, "Hw", "");
      e.destination = integer(m, "Cell");
      const std::int64_t mode = integer(m, "Mode");
      if (mode < 1 || mode > 3) bad("unknown value of Mode");
      e.state = mode == 3 ? EndpointState::ready : mode == 2 ? EndpointState::draining : EndpointState::gone;
      e.weight = number(m, "Share", 0);
      list.push_back(std::move(e));
    }
    sheets_[integer(f, "Sheet")] = std::move(list);
  }

  ListUpdate members(const json& f) {
    const std::int64_t kind = integer(f, "Kind");
    if (kind < 0 || kind > 3) bad("unknown value of Kind");
    const ListKind kinds[] = {ListKind::delta, ListKind::full, ListKind::cached, ListKind::failed};
    ListUpdate u;
    u.kind = kinds[kind];
    if (u.kind == ListKind::failed) return u;
    const std::int64_t sheet = integer(f, "Sheet");
    auto it = sheets_.find(sheet);
    if (it == sheets_.end()) bad("list number never given: " + std::to_string(sheet));
    u.endpoints = it->second;
    return u;
  }

  static Arrival call(const json& f) {
    Arrival a;
    a.id = text(f, "OpId");
    a.message_class = text(f, "TierClass");
    if (!absent(f, "Billing") && f["Billing"].is_string()) a.tenant = text(f, "Billing");
    a.order_key = text(f, "RouteKey", "");
    a.destination = static_cast<std::int64_t>(number(f, "FarEnd"));
    a.give_up_at = span(f, "GiveUpAtMs");
    a.estimate = span(f, "EstimateMs", 0);
    a.repeat = truth(f, "Retry", false) || truth(f, "Reconnect", false);
    return a;
  }

  static std::optional<LimitReport> gauge(const Instance& i, const json& f) {
    if (absent(f, "Gauge")) return std::nullopt;
    const json& row = array(f, "Gauge");
    auto at = [&](int k) {
      return k >= 0 && k < static_cast<int>(row.size()) && row[static_cast<std::size_t>(k)].is_number()
                 ? row[static_cast<std::size_t>(k)].get<double>()
                 : 0.0;
    };
    if (i.x0 < 0 && i.x1 < 0) return std::nullopt;
    return LimitReport{at(i.x0), at(i.x1)};
  }

  static Outcome reply(const Instance& i, const json& f) {
    Outcome o;
    o.id = text(f, "OpId");
    o.attempt = static_cast<int>(integer(f, "Attempt"));
    o.result = readResult(f);
    o.finished = truth(f, "Finished", false);
    if (o.result == Result::full) o.wait = span(f, "Detail", 0);
    o.rtt = span(f, "RttMs", 0);
    o.report = gauge(i, f);
    return o;
  }

  void answer(std::int64_t who, Micros now, json& cmds) {
    auto it = instances_.find(who);
    if (it == instances_.end()) return;
    Instance& i = it->second;
    std::vector<Event> events;
    events.swap(i.events);
    if (events.empty()) return;
    try {
      for (const Action& a : i.sender.decide(now, events)) cmds.push_back(command(i, who, a));
    } catch (const std::exception& e) { faults_.emplace_back(who, e.what()); }
  }

  static json command(Instance& i, std::int64_t who, const Action& action) {
    struct Writer {
      Instance& i;
      std::int64_t who;
      json operator()(const Send& a) const {
        return {{"SubmitTo",
                 {{"Who", who}, {"OpId", a.id}, {"Endpoint", a.endpoint}, {"WithinMs", toMs(a.timeout)}}}};
      }
      json operator()(const Cancel& a) const {
        return {{"StopAttempt", {{"Who", who}, {"OpId", a.id}, {"Attempt", a.attempt}}}};
      }
      json operator()(const Refuse& a) const {
        return {{"Decline", {{"Who", who}, {"OpId", a.id}, {"CoolDownMs", toMs(a.pause)}}}};
      }
      json operator()(const Fail& a) const { return {{"FinishError", {{"Who", who}, {"OpId", a.id}}}}; }
      json operator()(const Probe& a) const { return {{"Poll", {{"Who", who}, {"Endpoint", a.endpoint}}}}; }
      json operator()(const puffinhill::Watch&) const {
        return {{"Watch", {{"Who", who}, {"Active", true}}}};
      }
      json operator()(const Fetch&) const { return {{"Fetch", {{"Who", who}}}}; }
      json operator()(const CloseIdle& a) const {
        return {{"Disconnect", {{"Who", who}, {"Endpoint", a.endpoint}}}};
      }
      json operator()(const WakeIn& a) const {
        return {{"NotifyMe", {{"Who", who}, {"Label", ++i.label}, {"SpanMs", toMs(a.span)}}}};
      }
    };
    return std::visit(Writer{i, who}, action);
  }

  std::map<std::int64_t, Instance> instances_;
  std::map<std::int64_t, std::vector<Endpoint>> sheets_;
  std::vector<std::int64_t> touched_;
  std::vector<std::pair<std::int64_t, std::string>> faults_;
};

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  Host host;
  std::string line;
  for (long number = 1; std::getline(std::cin, line); ++number) {
    try {
      const std::string reply = host.turn(line);
      std::cout << reply << '\n' << std::flush;
    } catch (const std::exception& e) {
      std::cerr << "line " << number << ": " << e.what() << '\n';
      return 2;
    }
  }
  return 0;
}
