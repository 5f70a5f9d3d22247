// Configuration of a standalone program; see site.h.
#include "site.h"

#include <algorithm>
#include <filesystem>
#include <map>

#include "../decision/settings_check.h"
#include "../membership/partner_file.h"
#include "../replay/stream_codec.h"
#include "memory_budget.h"

namespace grademux {

std::string resolvePath(const std::string& path, const std::string& daemon_file) {
  const std::filesystem::path given_path(path);
  if (path.empty() || given_path.is_absolute())
    return path;
  return (std::filesystem::path(daemon_file).parent_path() / given_path).lexically_normal().string();
}

namespace {

constexpr Micros kMs = 1000, kSecond = 1'000'000, kDay = 24LL * 3600 * kSecond;
constexpr std::int64_t kMiB = 1 << 20;
constexpr std::int64_t kDefaultMemoryBytes = 1024 * kMiB, kMaxMemoryBytes = 1024LL * 1024 * kMiB;

MessageClass readClass(TomlTable& table) {
  MessageClass message_class;
  message_class.name = table.string("name", "");
  const std::string effect = table.oneOf("effect", {"safe", "keyed", "unsafe"});
  message_class.idempotency = effect == "safe"    ? Idempotency::idempotent
                              : effect == "keyed" ? Idempotency::idempotency_key
                                                  : Idempotency::non_idempotent;
  message_class.latency_objective = table.duration("aim", 5 * kSecond, kMs, kDay);
  message_class.deadline = table.duration("deadline", 60 * kSecond, kMs, kDay);
  if (message_class.deadline < message_class.latency_objective)
    table.reportExpected("deadline", "no less than aim is expected");
  message_class.priority_weight = table.number("worth", 1, 0, 1e9);
  message_class.late_weight_fraction = table.number("late_worth", 0.3, 0, 1);
  message_class.idempotency_window = table.duration("memory", 0, 0, 30 * kDay);
  if (message_class.idempotency == Idempotency::idempotency_key && message_class.idempotency_window == 0)
    table.reportExpected(
        "memory", "how long partners drop repeats of a key is expected in a class of effect \"keyed\"");
  message_class.ordered = table.boolean("ordered", false);
  table.reportUnknownKeys(" in a class");
  return message_class;
}

void readDns(TomlTable& table, SourcesSpec& sources) {
  DnsServers& dns = sources.dns;
  dns.servers = table.strings("servers");
  for (const std::string& address : dns.servers)
    if (!isEndpointAddress(address))
      table.reportExpected("servers", "an address and a port are expected, not \"" + address + "\"");
  dns.timeout = table.duration("timeout", dns.timeout, 10 * kMs, 60 * kSecond);
  dns.tries = static_cast<int>(table.integer("tries", dns.tries, 1, 10));
  DnsLimits& limits = sources.dns_limits;
  limits.least_ttl = table.duration("least_ttl", limits.least_ttl, 100 * kMs, kDay);
  limits.most_ttl = table.duration("most_ttl", limits.most_ttl, 100 * kMs, kDay);
  if (limits.most_ttl < limits.least_ttl)
    table.reportExpected("most_ttl", "no less than least_ttl is expected");
  limits.least_retry = table.duration("least_retry", limits.least_retry, 100 * kMs, kDay);
  limits.most_retry =
      table.duration("most_retry", std::max(limits.most_retry, limits.least_retry), 100 * kMs, kDay);
  if (limits.most_retry < limits.least_retry)
    table.reportExpected("most_retry", "no less than least_retry is expected");
  sources.defaults.allow = table.strings("allow");
  checkNetworks(table, "allow", sources.defaults.allow);
  table.reportUnknownKeys(" in dns");
}

FolderSpec readSource(TomlTable& table, const std::string& daemon_file) {
  FolderSpec source;
  source.folder = table.oneOf("kind", {"folder", "file"}) != "file";
  source.path = resolvePath(table.string("path", ""), daemon_file);
  while (source.path.size() > 1 && source.path.back() == '/')
    source.path.pop_back();
  source.rescan = table.duration("rescan", source.rescan, 100 * kMs, kDay);
  table.reportUnknownKeys(" in a source");
  return source;
}

void readLimits(TomlTable& table, StandaloneConfig& standalone) {
  Settings& settings = standalone.settings;
  settings.max_open_messages = static_cast<int>(table.integer("max_open", 20'000, 1, 10'000'000));
  settings.max_in_flight = static_cast<int>(table.integer("calls", 64, 1, 10'000));
  settings.max_attempts = static_cast<int>(table.integer("max_attempts", 12, 1, 1000));
  settings.max_retry_after = table.duration("longest_pause", 3 * kSecond, 0, kDay);
  settings.connect_timeout = table.duration("connect", kSecond, kMs, kDay);
  settings.idle_connection_timeout = table.duration("idle", 10 * kSecond, 0, kDay);
  settings.overload_collapse_time = table.duration("fall", 2 * kSecond, kMs, kDay);
  settings.slow_start_time = table.duration("ramp", 11 * kSecond, 0, kDay);
  settings.cold_capacity_fraction = table.number("cold_share", 0.3, 0.001, 1);
  settings.overload_factor = table.number("overload_factor", 1.5, 0.001, 1000);
  standalone.memory_bytes = static_cast<std::uint64_t>(
      table.byteSize("memory", kDefaultMemoryBytes, kMinMemoryBytes, kMaxMemoryBytes));
  standalone.max_descriptors = table.integer("sockets", 1024, 64, 1'000'000);
  if (standalone.max_descriptors - kReservedDescriptors - settings.max_in_flight < 8)
    table.reportExpected("sockets",
                         "at least calls + " + std::to_string(kReservedDescriptors + 8) + " is expected");
  table.reportUnknownKeys(" in limits");
}

}  // namespace

bool readStandaloneConfig(TomlTable& top, const std::string& path, StandaloneConfig& standalone,
                          std::vector<Mistake>& mistakes, std::vector<EffectiveValue>* effective) {
  static const toml::table empty_table;
  const auto section = [&](const char* key) -> const toml::table* {
    const toml::node* node = top.node(key);
    if (!node || node->is_table())
      return node ? node->as_table() : &empty_table;
    top.reportExpected(key, "a table is expected, begun by [" + std::string(key) + "]");
    return &empty_table;
  };
  const toml::table *limits = section("limits"), *journal = section("journal"), *dns = section("dns");
  const auto classes = top.tables("class"), partners = top.tables("partner"), sources = top.tables("source");
  if (!top.node("limits") && !top.node("journal") && !top.node("dns") && !top.node("class") &&
      !top.node("partner") && !top.node("source"))
    return false;

  Settings& settings = standalone.settings;
  settings.kinds = {{"partner", false, 1}};
  settings.zones = {""};
  settings.min_decide_interval = kMs;
  settings.drain_grace = 250 * kMs;
  settings.ordering_backoff = 500 * kMs;
  settings.cancel_allowed = settings.retry_after_supported = true;
  settings.weight_kind = WeightKind::nominal;  // a partner's rate; meaningless for a partner without a rate
  TomlTable limits_table(*limits, "limits", mistakes, effective),
      journal_table(*journal, "journal", mistakes, effective), dns_table(*dns, "dns", mistakes, effective);
  readLimits(limits_table, standalone);
  readDns(dns_table, standalone.sources);
  standalone.journal_folder = journal_table.string("folder", "grademux-state");
  standalone.disk_bytes =
      static_cast<std::uint64_t>(journal_table.byteSize("disk", 256 * kMiB, kMiB, 1024LL * 1024 * kMiB));
  journal_table.reportUnknownKeys(" in journal");
  std::set<std::string> names;
  for (const toml::table* section_table : classes) {
    TomlTable class_table(*section_table, "class", mistakes, effective);
    settings.classes.push_back(readClass(class_table));
    if (!names.insert(settings.classes.back().name).second)
      class_table.reportExpected("name", "another class has this name");
  }
  standalone.sources.partners = readPartners(partners, standalone.sources.defaults, mistakes, effective);
  for (const toml::table* section_table : sources) {
    TomlTable source_table(*section_table, "source", mistakes, effective);
    FolderSpec source = readSource(source_table, path);
    for (const FolderSpec& other : standalone.sources.folders)
      if (other.path == source.path)
        source_table.reportExpected("path", "another source has this path");
    standalone.sources.folders.push_back(std::move(source));
  }
  if (classes.empty())
    top.reportMistake("a standalone sender needs a [[class]]");
  if (partners.empty() && sources.empty())
    top.reportMistake("a standalone sender needs a [[partner]], or a [[source]] of partners");
  return true;
}

Config makeConfig(const StandaloneConfig& standalone, const std::string& path) {
  Config config;
  config.path = path;
  config.name = "alone";
  const std::filesystem::path folder = resolvePath(standalone.journal_folder, path);
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error)
    throw std::runtime_error("the journal's folder " + folder.string() +
                             " can't be created: " + error.message());
  config.state_folder = folder.string();
  config.seed = randomSeed();
  config.disk_bytes = standalone.disk_bytes;
  config.memory_bytes = standalone.memory_bytes;
  config.max_descriptors = standalone.max_descriptors;
  config.settings = standalone.settings;
  validate(config.settings);
  return config;
}

bool haveSameSettings(const StandaloneConfig& old, const StandaloneConfig& fresh) {
  return replay::headLine(old.settings, 0) == replay::headLine(fresh.settings, 0);
}

std::string partsNeedingRestart(const StandaloneConfig& old, const StandaloneConfig& fresh) {
  std::string names;
  const auto add = [&](bool differs, const char* name) {
    if (differs)
      names += (names.empty() ? "" : ", ") + std::string(name);
  };
  add(old.memory_bytes != fresh.memory_bytes, "limits.memory");
  add(old.max_descriptors != fresh.max_descriptors, "limits.sockets");
  add(old.journal_folder != fresh.journal_folder || old.disk_bytes != fresh.disk_bytes, "journal");
  return names;
}

const char* const starter_file =
    R"(# A standalone grademux sender. Check this file with `grademux_sender check FILE`, run the sender
# with `grademux_sender run --daemon FILE`. SIGHUP reloads listeners, classes and partners.

[journal]                      # accepted messages survive a restart
folder = "grademux-state"      # relative to this file's folder
disk = "256 MiB"               # limit; new messages are rejected beyond it

[limits]
calls = 64                     # attempts in flight, to all partners
max_open = 20000               # messages without a final outcome
max_attempts = 12              # for each message
memory = "1 GiB"               # limit of the process; clients are cut off beyond it

[[door]]
kind = "http"                  # curl and any HTTP client: docs/operate/listeners.md
listen = "127.0.0.1:8080"

[[door]]
kind = "resp"                  # any Redis client: MSG.PUT, MSG.GET, MSG.WAIT
listen = "127.0.0.1:6390"

[[class]]
name = "notice"
effect = "safe"                # idempotent: may be sent more than once
aim = "5 s"                    # latency objective: full priority weight until then
deadline = "5 min"             # the message fails after that time

[[class]]
name = "order"
effect = "keyed"               # may be sent again: the partner ignores a repeated idempotency key
memory = "10 min"              # for this time
aim = "5 s"
deadline = "5 min"

[[class]]
name = "payment"
effect = "unsafe"              # not idempotent: not sent again if it may have been executed
aim = "10 s"
deadline = "2 min"
worth = 4                      # priority weight; the default is 1

[[partner]]
name = "print-shop"            # the destination in messages
endpoints = ["127.0.0.1:9001"] # messages are sent there as POST /hook
# rate = 50                    # calls per second that the partner accepts
# draining = []                # endpoints that get no new messages
# dns = "shop.example:9001"    # instead of endpoints: a name that DNS resolves

# [[source]]                   # more partners, in watched files: docs/operate/membership.md
# kind = "folder"              # each *.toml in the folder
# path = "partners"

# [log]                        # docs/operate/log.md
# form = "json"
# file = "grademux.log"        # default: standard error; SIGHUP reopens the file
)";

}  // namespace grademux
