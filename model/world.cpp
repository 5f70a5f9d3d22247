// grademux model: reading worlds; see world.h.
#include "world.h"

#include <algorithm>
#include <filesystem>
#include <functional>
#include <optional>
#include <stdexcept>

namespace grademux::model {

namespace {

constexpr double kHour = 3600e6;
constexpr std::pair<TroubleKind, const char*> kTroubles[] = {{TroubleKind::refuse, "refuse"},
                                                             {TroubleKind::hang, "hang"},
                                                             {TroubleKind::shut, "shut"},
                                                             {TroubleKind::slow, "slow"},
                                                             {TroubleKind::common_slow, "common_slow"},
                                                             {TroubleKind::cut, "cut"},
                                                             {TroubleKind::limit, "limit"},
                                                             {TroubleKind::leave, "leave"},
                                                             {TroubleKind::kill, "kill"},
                                                             {TroubleKind::stop, "stop"}};

Range range(TomlTable& t, const char* key, Range otherwise, double least, double most) {
  const auto [a, b] = t.numberRange(key, {otherwise.least, otherwise.most}, least, most);
  return {a, b};
}
Range spans(TomlTable& t, const char* key, Range otherwise, Micros least, Micros most) {
  const auto [a, b] = t.durationRange(
      key, {static_cast<Micros>(otherwise.least), static_cast<Micros>(otherwise.most)}, least, most);
  return {static_cast<double>(a), static_cast<double>(b)};
}

// The tables of a section, or one empty one that stands for the defaults.
std::vector<const toml::table*> tablesOr(TomlTable& t, const char* key, const toml::table& otherwise) {
  auto all = t.tables(key);
  if (all.empty())
    all.push_back(&otherwise);
  return all;
}

class Reader {
 public:
  Reader(const toml::table& file, Reading& out) : out_(out), w_(out.world), top_(file, "", out.mistakes) {}

  void read() {
    if (top_.node("base"))
      top_.string("base", "");
    w_.name = top_.node("name") ? top_.string("name", "") : w_.path;
    section("run", true, [this](TomlTable& t) { readRun(t); });
    section("fleet", true, [this](TomlTable& t) { readFleet(t); });
    section("traffic", true, [this](TomlTable& t) { readTraffic(t); });
    section("network", false, [this](TomlTable& t) { readNetwork(t); });
    section("rules", false, [this](TomlTable& t) { readRules(t); });
    for (const toml::table* k : tablesOr(top_, "kind", none_))
      readKind(*k);
    for (const toml::table* c : tablesOr(top_, "class", none_))
      readClass(*c);
    for (const toml::table* t : top_.tables("trouble"))
      readTrouble(*t);
    top_.reportUnknownKeys("");
    w_.settings.zones = {"a"};
    w_.settings.list_mode = ListMode::push;
    w_.settings.weight_kind = w_.listed_off < 0 ? WeightKind::none : WeightKind::rough;
    w_.settings.sender_count = w_.senders;
  }

 private:
  template <class Read>
  void section(const char* key, bool needed, Read read) {
    const toml::node* n = top_.node(key);
    if (n && !n->is_table())
      return top_.reportExpected(key, "a table is expected, begun by [" + std::string(key) + "]");
    if (!n && needed)
      top_.reportMistake("[" + std::string(key) + "] is expected");
    TomlTable t(n ? *n->as_table() : none_, key, out_.mistakes);
    read(t);
    t.reportUnknownKeys(" in " + std::string(key));
  }
  void needed(TomlTable& t, const char* key, const char* what) {
    if (!t.node(key))
      t.reportExpected(key, std::string("it must be there: ") + what);
  }

  void readRun(TomlTable& t) {
    needed(t, "length", "how long clients hand in, as \"60 s\"");
    w_.length = t.duration("length", 60'000'000, 1'000'000, static_cast<Micros>(24 * kHour));
    w_.most_steps = static_cast<std::uint64_t>(
        t.integer("most_steps", static_cast<std::int64_t>(w_.most_steps), 1000, 10'000'000'000));
  }
  void readFleet(TomlTable& t) {
    needed(t, "senders", "how many");
    needed(t, "partners", "how many");
    w_.senders = static_cast<int>(t.integer("senders", 2, 1, 10'000));
    w_.partners = static_cast<int>(t.integer("partners", 12, 1, 100'000));
    w_.sender_skew = t.number("sender_skew", w_.sender_skew, 0, 2);
    w_.endpoints = t.number("endpoints", w_.endpoints, 1, 4);
    w_.slots_room = t.number("slots_room", w_.slots_room, 0.1, 100);
    w_.least_slots = static_cast<int>(t.integer("least_slots", w_.least_slots, 1, 10'000));
    w_.hold = t.number("hold_s", w_.hold, 0.1, 3600);
    w_.least_open = static_cast<int>(t.integer("least_open", w_.least_open, 1, 1'000'000));
    w_.keeps_knowledge = t.boolean("keeps_knowledge", w_.keeps_knowledge);
    w_.listed_off = t.number("listed_off", w_.listed_off, -1, 20);
  }
  void readTraffic(TomlTable& t) {
    needed(t, "rate", "messages a second");
    w_.rate = t.number("rate", 60, 0.01, 1e6);
    w_.load = range(t, "load", w_.load, 0.01, 10);
    w_.zipf = range(t, "zipf", w_.zipf, 0, 3);
    w_.clumps = range(t, "clumps", w_.clumps, 0, 1);
    w_.clump = range(t, "clump_s", w_.clump, 0.1, 60);
    w_.client_tries = static_cast<int>(t.integer("tries_again", w_.client_tries, 0, 100));
    w_.again = spans(t, "again", w_.again, 1000, 600'000'000);
    w_.heed = t.number("heed", w_.heed, 0, 1);
  }
  void readNetwork(TomlTable& t) {
    w_.front = spans(t, "front", w_.front, 0, 10'000'000);
    w_.way = spans(t, "way", w_.way, 0, 10'000'000);
    w_.notice = spans(t, "notice", w_.notice, 0, 600'000'000);
  }
  void readRules(TomlTable& t) {
    Settings& s = w_.settings;
    s.min_decide_interval = t.duration("tick", 5'000, 100, 1'000'000);
    s.max_attempts = static_cast<int>(t.integer("max_attempts", 12, 1, 100));
    s.cancel_allowed = t.boolean("may_cancel", true);
    s.hedging_allowed = t.boolean("may_copy", true);
    s.retry_after_supported = t.boolean("told_pause", true);
    s.max_retry_after = t.duration("max_pause", 3'000'000, 0, 600'000'000);
    s.connect_timeout = t.duration("dial_timeout", 1'000'000, 1000, 60'000'000);
    s.idle_connection_timeout = t.duration("conn_idle", 5'000'000, 1000, 600'000'000);
    s.drain_grace = t.duration("drain_grace", 250'000, 0, 60'000'000);
    s.overload_collapse_time = t.duration("fall_span", 2'000'000, 100'000, 60'000'000);
    s.slow_start_time = t.duration("ramp_time", 11'000'000, 100'000, 600'000'000);
    s.cold_capacity_fraction = t.number("cold_share", 0.29, 0.01, 1);
    s.overload_factor = t.number("overload_factor", 1.5, 1, 100);
    s.poll_notified_within = 10'000'000;
    s.ordering_backoff = t.duration("order_pause", 0, 0, 60'000'000);
    s.lateness_penalty = t.oneOf("late", {"line", "halves"}, "line") == "halves" ? LatenessPenalty::halving
                                                                                 : LatenessPenalty::linear;
  }
  void readKind(const toml::table& table) {
    TomlTable t(table, "kind", out_.mistakes);
    PartnerKind k;
    k.name = t.string("name", "partner");
    k.share = t.number("share", k.share, 0, 1);
    k.window = t.oneOf("limit", {"rate", "window"}, "rate") == "window";
    k.headroom = range(t, "headroom", k.headroom, 0.05, 1000);
    k.least_rate = range(t, "least_rate", k.least_rate, 0.01, 1e6);
    k.spare = range(t, "spare", k.spare, 1, 100);
    k.depth = spans(t, "depth", k.depth, 0, 60'000'000);
    k.tells_wait = range(t, "tells_wait", k.tells_wait, 0, 1);
    k.wait = spans(t, "wait", k.wait, 1000, 60'000'000);
    k.refused_count = t.boolean("refused_count", k.refused_count);
    k.conns = t.number("conns", k.conns, 0, 1000);
    k.least_conns = static_cast<int>(t.integer("least_conns", k.least_conns, 1, 100'000));
    t.reportUnknownKeys(" in a kind");
    w_.settings.kinds.push_back({k.name, false, 1});
    w_.kinds.push_back(std::move(k));
  }
  void readClass(const toml::table& table) {
    TomlTable t(table, "class", out_.mistakes);
    ClassSpec c;
    c.rule.name = t.string("name", "message");
    c.share = t.number("share", c.share, 0, 1);
    c.service = spans(t, "service", c.service, 100, 600'000'000);
    const std::string effect = t.oneOf("effect", {"safe", "keyed", "unsafe"}, "safe");
    c.rule.idempotency = effect == "unsafe"  ? Idempotency::non_idempotent
                         : effect == "keyed" ? Idempotency::idempotency_key
                                             : Idempotency::idempotent;
    c.rule.latency_objective = t.duration("aim", 4'000'000, 1000, 3'600'000'000);
    c.rule.deadline = t.duration("deadline", 28'000'000, 1000, 3'600'000'000);
    if (c.rule.deadline < c.rule.latency_objective)
      t.reportExpected("deadline", "it must not come before the aim");
    c.rule.priority_weight = t.number("worth", 1, 0, 1e6);
    c.rule.late_weight_fraction = t.number("late_worth", 0.3, 0, 1);
    c.rule.idempotency_window = t.duration("memory", 12'000'000, 0, 3'600'000'000);
    c.rule.ordered = t.boolean("ordered", false);
    t.reportUnknownKeys(" in a class");
    w_.settings.classes.push_back(c.rule);
    w_.classes.push_back(std::move(c));
  }
  void readTrouble(const toml::table& table) {
    TomlTable t(table, "trouble", out_.mistakes);
    Trouble x;
    const std::string kind = t.oneOf(
        "kind", {"refuse", "hang", "shut", "slow", "common_slow", "cut", "limit", "leave", "kill", "stop"});
    for (const auto& [k, name] : kTroubles)
      if (kind == name)
        x.kind = k;
    if (t.node("at"))
      x.at = t.duration("at", 0, 0, static_cast<Micros>(24 * kHour));
    if (x.at > w_.length)
      t.reportExpected("at", "a moment before the end of [run] length is expected");
    x.length = spans(t, "length", x.length, 0, static_cast<Micros>(24 * kHour));
    x.part = range(t, "part", x.part, 0, 1);
    x.size = range(t, "size", x.size, 0.01, 1000);
    if (t.node("partners")) {
      x.partners = t.string("partners", "");
      std::vector<std::string> names;
      for (const PartnerKind& k : w_.kinds)
        names.push_back(k.name);
      if (std::find(names.begin(), names.end(), x.partners) == names.end()) {
        const std::string meant = nearestName(x.partners, names);
        t.reportExpected("partners", "the name of a [[kind]] is expected" +
                                         (meant.empty() ? "" : "; \"" + meant + "\" may be meant"));
      }
    }
    t.reportUnknownKeys(" in a trouble");
    w_.troubles.push_back(std::move(x));
  }

  Reading& out_;
  World& w_;
  TomlTable top_;
  const toml::table none_;
};

// What the file leaves open is as in its base, table by table; a list is one or the other's.
void fill(toml::table& file, const toml::table& base) {
  for (const auto& [key, value] : base) {
    toml::node* own = file.get(key.str());
    if (!own)
      file.insert(key.str(), value);
    else if (own->is_table() && value.is_table())
      fill(*own->as_table(), *value.as_table());
  }
}

constexpr int kMaxBases = 8;  // in a chain of files; a longer one is taken for a cycle

// Fills the file from its base, the base's own base and so on.
void fillFromBases(toml::table& file, const std::filesystem::path& folder) {
  std::filesystem::path base_folder = folder;
  std::optional<std::string> base_name = file["base"].value<std::string>();
  for (int count = 0; base_name; ++count) {
    if (count == kMaxBases)
      throw std::runtime_error("the base files of \"" + *base_name + "\" form a cycle, or are too many");
    const std::filesystem::path path = base_folder / *base_name;
    const toml::table base = toml::parse_file(path.string());
    fill(file, base);
    base_folder = path.parent_path();
    base_name = base["base"].value<std::string>();
  }
}

Reading parsed(const std::string& path, const std::function<toml::table()>& parse) {
  Reading r;
  r.world.path = path;
  try {
    toml::table file = parse();
    fillFromBases(file, std::filesystem::path(path).parent_path());
    Reader(file, r).read();
  } catch (const toml::parse_error& e) {
    r.mistakes.push_back({e.source().begin.line, e.source().begin.column, std::string(e.description())});
  } catch (const std::runtime_error& e) {
    r.mistakes.push_back({0, 0, e.what()});
  }
  return r;
}

}  // namespace

const char* nameOf(TroubleKind kind) {
  for (const auto& [k, name] : kTroubles)
    if (k == kind)
      return name;
  return "";
}

Reading readWorld(const std::string& path) {
  return parsed(path, [&] { return toml::parse_file(path); });
}
Reading readWorldText(const std::string& text, const std::string& path) {
  return parsed(path, [&] { return toml::parse(text, path); });
}

}  // namespace grademux::model
