// grademux: a program that stands alone; see site.h.
#include "site.h"

#include <algorithm>
#include <filesystem>
#include <map>
#include <random>

#include "../decision/check.h"
#include "../net/address.h"
#include "../replay/stream_codec.h"

namespace grademux {

namespace {

constexpr Micros kMs = 1000, kSecond = 1'000'000, kDay = 24 * 3600 * kSecond;
constexpr std::int64_t kMiB = 1 << 20;

MessageClass readClass(Table& t) {
  MessageClass c;
  c.name = t.text("name", "");
  const std::string effect = t.word("effect", {"safe", "keyed", "unsafe"});
  c.effect = effect == "safe" ? Effect::safe : effect == "keyed" ? Effect::keyed : Effect::unsafe;
  c.aim = t.span("aim", 5 * kSecond, kMs, kDay);
  c.deadline = t.span("deadline", 60 * kSecond, kMs, kDay);
  if (c.deadline < c.aim) t.expected("deadline", "no less than aim is expected");
  c.worth = t.real("worth", 1, 0, 1e9);
  c.late_worth = t.real("late_worth", 0.3, 0, 1);
  c.memory = t.span("memory", 0, 0, 30 * kDay);
  if (c.effect == Effect::keyed && c.memory == 0)
    t.expected("memory",
               "how long partners drop repeats of a key is expected in a class of effect \"keyed\"");
  c.ordered = t.truth("ordered", false);
  t.unknown(" in a class");
  return c;
}

bool isAddress(const std::string& s) {
  try {
    return parseAddress(s).port() != 0;
  } catch (const std::invalid_argument&) { return false; }
}

Partner readPartner(Table& t) {
  Partner p;
  p.name = t.text("name", "");
  const bool number = std::all_of(p.name.begin(), p.name.end(), [](char c) { return c >= '0' && c <= '9'; });
  if (!p.name.empty() && (number || !usableToken(p.name) || p.name.find_first_of("@,=") != std::string::npos))
    t.expected("name", "printable characters without space, @, comma and =, not digits alone, are expected");
  p.number = t.whole("number", numberOfName(p.name), 0, 1LL << 53);
  p.endpoints = t.texts("endpoints");
  p.draining = t.texts("draining");
  if (p.endpoints.empty())
    t.expected("endpoints", "one address and port at least is expected, as [\"127.0.0.1:9001\"]");
  std::set<std::string> once;
  for (const std::string& e : p.endpoints) {
    if (!isAddress(e)) t.expected("endpoints", "an address and a port are expected, not \"" + e + "\"");
    if (!once.insert(e).second) t.expected("endpoints", e + " stands there twice");
  }
  for (const std::string& e : p.draining)
    if (!once.count(e)) t.expected("draining", e + " is not one of the endpoints");
  p.rate = t.real("rate", 0, 0, 1e7);
  t.unknown(" in a partner");
  return p;
}

void readLimits(Table& t, Site& site) {
  Settings& s = site.settings;
  s.max_open = static_cast<int>(t.whole("max_open", 20'000, 1, 10'000'000));
  s.slots = static_cast<int>(t.whole("calls", 64, 1, 10'000));
  s.max_attempts = static_cast<int>(t.whole("max_attempts", 12, 1, 1000));
  s.max_pause = t.span("longest_pause", 3 * kSecond, 0, kDay);
  s.dial_timeout = t.span("connect", kSecond, kMs, kDay);
  s.conn_idle = t.span("idle", 10 * kSecond, 0, kDay);
  s.fall_span = t.span("fall", 2 * kSecond, kMs, kDay);
  s.ramp_time = t.span("ramp", 11 * kSecond, 0, kDay);
  s.cold_share = t.real("cold_share", 0.3, 0.001, 1);
  s.overload_factor = t.real("overload_factor", 1.5, 0.001, 1000);
  site.sockets = t.whole("sockets", 1024, 64, 1'000'000);
  if (site.sockets - kSpareSockets - s.slots < 8)
    t.expected("sockets", "at least calls + " + std::to_string(kSpareSockets + 8) + " is expected");
  t.unknown(" in limits");
}

}  // namespace

bool readSite(Table& top, Site& site, std::vector<Mistake>& mistakes) {
  static const toml::table none;
  const auto section = [&](const char* key) -> const toml::table* {
    const toml::node* n = top.node(key);
    if (!n || n->is_table()) return n ? n->as_table() : &none;
    top.expected(key, "a table is expected, begun by [" + std::string(key) + "]");
    return &none;
  };
  const toml::table *limits = section("limits"), *journal = section("journal");
  const auto classes = top.tables("class"), partners = top.tables("partner");
  if (!top.node("limits") && !top.node("journal") && !top.node("class") && !top.node("partner")) return false;

  Settings& s = site.settings;
  s.kinds = {{"partner", false, 1}};
  s.zones = {""};
  s.tick = kMs;
  s.drain_grace = 250 * kMs;
  s.order_pause = 500 * kMs;
  s.may_cancel = s.told_pause = true;
  Table l(*limits, "limits", mistakes), j(*journal, "journal", mistakes);
  readLimits(l, site);
  site.folder = j.text("folder", "grademux-state");
  site.disk_bytes = static_cast<std::uint64_t>(j.size("disk", 256 * kMiB, kMiB, 1024LL * 1024 * kMiB));
  j.unknown(" in journal");
  std::set<std::string> names;
  for (const toml::table* c : classes) {
    Table t(*c, "class", mistakes);
    s.classes.push_back(readClass(t));
    if (!names.insert(s.classes.back().name).second) t.expected("name", "another class has this name");
  }
  names.clear();
  std::map<std::int64_t, std::string> numbers;
  std::map<std::string, std::string> addresses;
  for (const toml::table* p : partners) {
    Table t(*p, "partner", mistakes);
    Partner x = readPartner(t);
    s.weights = x.rate > 0 ? WeightKind::nominal : s.weights;
    if (!names.insert(x.name).second) t.expected("name", "another partner has this name");
    else if (const auto other = numbers.emplace(x.number, x.name); !other.second)
      t.expected("number", "a number of its own is expected, " + other.first->second + " has " +
                               std::to_string(x.number));
    for (const std::string& e : x.endpoints)
      if (const auto other = addresses.emplace(e, x.name); !other.second && other.first->second != x.name)
        t.expected("endpoints", e + " is an endpoint of " + other.first->second);
    site.partners.push_back(std::move(x));
  }
  if (classes.empty()) top.mistake("a program that stands alone needs a [[class]]");
  if (partners.empty()) top.mistake("a program that stands alone needs a [[partner]]");
  return true;
}

Config configOf(const Site& site, const std::string& path) {
  Config c;
  c.path = path;
  const std::filesystem::path folder = std::filesystem::path(path).parent_path() / site.folder;
  std::error_code e;
  std::filesystem::create_directories(folder, e);
  if (e)
    throw std::runtime_error("the journal's folder " + folder.string() + " can't be made: " + e.message());
  c.state = folder.string();
  c.seed = std::random_device()() | static_cast<std::uint64_t>(std::random_device()()) << 32;
  c.disk_bytes = site.disk_bytes;
  c.sockets = site.sockets;
  c.settings = site.settings;
  validate(c.settings);
  return c;
}

std::string needsRestart(const Site& old, const Site& fresh) {
  const auto shown = [](const Settings& s) { return replay::headLine(s, 0); };
  std::string names;
  const auto add = [&](bool differs, const char* name) {
    if (differs) names += (names.empty() ? "" : ", ") + std::string(name);
  };
  add(shown(old.settings) != shown(fresh.settings) || old.sockets != fresh.sockets, "classes and limits");
  add(old.folder != fresh.folder || old.disk_bytes != fresh.disk_bytes, "journal");
  return names;
}

const char* const kStarter =
    R"(# A grademux sender that stands alone. Check it with `grademux_sender check FILE`, run it with
# `grademux_sender run --daemon FILE`; SIGHUP rereads doors and partners.

[journal]                      # what was taken on outlasts the process
folder = "grademux-state"      # from this file's folder
disk = "256 MiB"               # at most; new messages are refused when it is full

[limits]
calls = 64                     # at once, to all partners
max_open = 20000               # messages held, sent or not
max_attempts = 12              # of one message

[[door]]
kind = "http"                  # curl and any HTTP client: docs/operate/doors.md
listen = "127.0.0.1:8080"

[[door]]
kind = "resp"                  # any Redis client: MSG.PUT, MSG.GET, MSG.WAIT
listen = "127.0.0.1:6390"

[[class]]
name = "notice"
effect = "safe"                # may be sent again at will
aim = "5 s"                    # worth all until then
deadline = "5 min"             # given up after it

[[class]]
name = "order"
effect = "keyed"               # may be sent again: the partner drops repeats of its key
memory = "10 min"              # for so long
aim = "5 s"
deadline = "5 min"

[[class]]
name = "payment"
effect = "unsafe"              # never sent again once it may have run
aim = "10 s"
deadline = "2 min"
worth = 4                      # beside 1 of the others

[[partner]]
name = "print-shop"            # what messages name as their destination
endpoints = ["127.0.0.1:9001"] # POST /hook goes there
# rate = 50                    # calls a second that it takes
# draining = []                # of the endpoints: nothing new goes there
)";

}  // namespace grademux
