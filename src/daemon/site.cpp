// grademux: a program that stands alone; see site.h.
#include "site.h"

#include <algorithm>
#include <filesystem>
#include <map>
#include <random>

#include "../decision/settings_check.h"
#include "../membership/partner_file.h"
#include "../replay/stream_codec.h"

namespace grademux {

std::string placed(const std::string& path, const std::string& daemon_file) {
  const std::filesystem::path p(path);
  if (path.empty() || p.is_absolute())
    return path;
  return (std::filesystem::path(daemon_file).parent_path() / p).lexically_normal().string();
}

namespace {

constexpr Micros kMs = 1000, kSecond = 1'000'000, kDay = 24LL * 3600 * kSecond;
constexpr std::int64_t kMiB = 1 << 20;

MessageClass readClass(Table& t) {
  MessageClass c;
  c.name = t.text("name", "");
  const std::string effect = t.word("effect", {"safe", "keyed", "unsafe"});
  c.idempotency = effect == "safe"    ? Idempotency::idempotent
                  : effect == "keyed" ? Idempotency::idempotency_key
                                      : Idempotency::non_idempotent;
  c.latency_objective = t.span("aim", 5 * kSecond, kMs, kDay);
  c.deadline = t.span("deadline", 60 * kSecond, kMs, kDay);
  if (c.deadline < c.latency_objective)
    t.expected("deadline", "no less than aim is expected");
  c.priority_weight = t.real("worth", 1, 0, 1e9);
  c.late_weight_fraction = t.real("late_worth", 0.3, 0, 1);
  c.idempotency_window = t.span("memory", 0, 0, 30 * kDay);
  if (c.idempotency == Idempotency::idempotency_key && c.idempotency_window == 0)
    t.expected("memory",
               "how long partners drop repeats of a key is expected in a class of effect \"keyed\"");
  c.ordered = t.truth("ordered", false);
  t.unknown(" in a class");
  return c;
}

void readDns(Table& t, SourcesSpec& sources) {
  DnsServers& d = sources.dns;
  d.servers = t.texts("servers");
  for (const std::string& a : d.servers)
    if (!isEndpointAddress(a))
      t.expected("servers", "an address and a port are expected, not \"" + a + "\"");
  d.timeout = t.span("timeout", d.timeout, 10 * kMs, 60 * kSecond);
  d.tries = static_cast<int>(t.whole("tries", d.tries, 1, 10));
  DnsLimits& l = sources.dns_limits;
  l.least_ttl = t.span("least_ttl", l.least_ttl, 100 * kMs, kDay);
  l.most_ttl = t.span("most_ttl", l.most_ttl, 100 * kMs, kDay);
  if (l.most_ttl < l.least_ttl)
    t.expected("most_ttl", "no less than least_ttl is expected");
  l.least_retry = t.span("least_retry", l.least_retry, 100 * kMs, kDay);
  l.most_retry = t.span("most_retry", std::max(l.most_retry, l.least_retry), 100 * kMs, kDay);
  if (l.most_retry < l.least_retry)
    t.expected("most_retry", "no less than least_retry is expected");
  sources.defaults.allow = t.texts("allow");
  checkNetworks(t, "allow", sources.defaults.allow);
  t.unknown(" in dns");
}

FolderSpec readSource(Table& t, const std::string& daemon_file) {
  FolderSpec f;
  f.folder = t.word("kind", {"folder", "file"}) != "file";
  f.path = placed(t.text("path", ""), daemon_file);
  while (f.path.size() > 1 && f.path.back() == '/')
    f.path.pop_back();
  f.rescan = t.span("rescan", f.rescan, 100 * kMs, kDay);
  t.unknown(" in a source");
  return f;
}

void readLimits(Table& t, Site& site) {
  Settings& s = site.settings;
  s.max_open_messages = static_cast<int>(t.whole("max_open", 20'000, 1, 10'000'000));
  s.max_in_flight = static_cast<int>(t.whole("calls", 64, 1, 10'000));
  s.max_attempts = static_cast<int>(t.whole("max_attempts", 12, 1, 1000));
  s.max_retry_after = t.span("longest_pause", 3 * kSecond, 0, kDay);
  s.connect_timeout = t.span("connect", kSecond, kMs, kDay);
  s.idle_connection_timeout = t.span("idle", 10 * kSecond, 0, kDay);
  s.overload_collapse_time = t.span("fall", 2 * kSecond, kMs, kDay);
  s.slow_start_time = t.span("ramp", 11 * kSecond, 0, kDay);
  s.cold_capacity_fraction = t.real("cold_share", 0.3, 0.001, 1);
  s.overload_factor = t.real("overload_factor", 1.5, 0.001, 1000);
  site.sockets = t.whole("sockets", 1024, 64, 1'000'000);
  if (site.sockets - kSpareSockets - s.max_in_flight < 8)
    t.expected("sockets", "at least calls + " + std::to_string(kSpareSockets + 8) + " is expected");
  t.unknown(" in limits");
}

}  // namespace

bool readSite(Table& top, const std::string& path, Site& site, std::vector<Mistake>& mistakes,
              std::vector<Effective>* effective) {
  static const toml::table none;
  const auto section = [&](const char* key) -> const toml::table* {
    const toml::node* n = top.node(key);
    if (!n || n->is_table())
      return n ? n->as_table() : &none;
    top.expected(key, "a table is expected, begun by [" + std::string(key) + "]");
    return &none;
  };
  const toml::table *limits = section("limits"), *journal = section("journal"), *dns = section("dns");
  const auto classes = top.tables("class"), partners = top.tables("partner"), sources = top.tables("source");
  if (!top.node("limits") && !top.node("journal") && !top.node("dns") && !top.node("class") &&
      !top.node("partner") && !top.node("source"))
    return false;

  Settings& s = site.settings;
  s.kinds = {{"partner", false, 1}};
  s.zones = {""};
  s.min_decide_interval = kMs;
  s.drain_grace = 250 * kMs;
  s.ordering_backoff = 500 * kMs;
  s.cancel_allowed = s.retry_after_supported = true;
  s.weight_kind = WeightKind::nominal;  // a partner's rate; without one its weight tells nothing
  Table l(*limits, "limits", mistakes, effective), j(*journal, "journal", mistakes, effective),
      d(*dns, "dns", mistakes, effective);
  readLimits(l, site);
  readDns(d, site.sources);
  site.folder = j.text("folder", "grademux-state");
  site.disk_bytes = static_cast<std::uint64_t>(j.size("disk", 256 * kMiB, kMiB, 1024LL * 1024 * kMiB));
  j.unknown(" in journal");
  std::set<std::string> names;
  for (const toml::table* c : classes) {
    Table t(*c, "class", mistakes, effective);
    s.classes.push_back(readClass(t));
    if (!names.insert(s.classes.back().name).second)
      t.expected("name", "another class has this name");
  }
  site.sources.partners = readPartners(partners, site.sources.defaults, mistakes, effective);
  for (const toml::table* f : sources) {
    Table t(*f, "source", mistakes, effective);
    FolderSpec spec = readSource(t, path);
    for (const FolderSpec& other : site.sources.folders)
      if (other.path == spec.path)
        t.expected("path", "another source has this path");
    site.sources.folders.push_back(std::move(spec));
  }
  if (classes.empty())
    top.mistake("a program that stands alone needs a [[class]]");
  if (partners.empty() && sources.empty())
    top.mistake("a program that stands alone needs a [[partner]], or a [[source]] of them");
  return true;
}

Config configOf(const Site& site, const std::string& path) {
  Config c;
  c.path = path;
  c.name = "alone";
  const std::filesystem::path folder = placed(site.folder, path);
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

bool sameSettings(const Site& old, const Site& fresh) {
  return replay::headLine(old.settings, 0) == replay::headLine(fresh.settings, 0);
}

std::string needsRestart(const Site& old, const Site& fresh) {
  std::string names;
  const auto add = [&](bool differs, const char* name) {
    if (differs)
      names += (names.empty() ? "" : ", ") + std::string(name);
  };
  add(old.sockets != fresh.sockets, "limits.sockets");
  add(old.folder != fresh.folder || old.disk_bytes != fresh.disk_bytes, "journal");
  return names;
}

const char* const starter_file =
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
kind = "http"                  # curl and any HTTP client: docs/operate/listeners.md
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
# dns = "shop.example:9001"    # instead of endpoints: what a name server says

# [[source]]                   # more partners, in files that are watched: docs/operate/membership.md
# kind = "folder"              # each *.toml in it
# path = "partners"

# [log]                        # docs/operate/log.md
# form = "json"
# file = "grademux.log"        # else standard error; opened anew on SIGHUP
)";

}  // namespace grademux
