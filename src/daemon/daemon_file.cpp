// Reading of the daemon file; see daemon_file.h.
#include "daemon_file.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace grademux {

namespace {

using boost::asio::ip::tcp;

// True if both addresses can't be bound at the same time.
bool addressesConflict(const tcp::endpoint& first, const tcp::endpoint& second) {
  return first.port() == second.port() &&
         (first.address() == second.address() || first.address().is_unspecified() ||
          second.address().is_unspecified());
}

void readListener(const toml::table& table, DaemonFile& file, std::vector<Mistake>& mistakes) {
  TomlTable door(table, "door", mistakes, &file.effective);
  ListenerConfig listener;
  const std::string kind = door.oneOf("kind", {"http", "resp"});
  listener.kind = kind == "resp" ? ListenerKind::resp : ListenerKind::http;
  const bool is_listen_valid = door.listenAddress("listen", listener.listen);
  auto read_size = [&](const char* key, std::size_t& value, std::int64_t min_value, std::int64_t max_value) {
    value =
        static_cast<std::size_t>(door.integer(key, static_cast<std::int64_t>(value), min_value, max_value));
  };
  auto read_seconds = [&](const char* key, Micros& value, std::int64_t min_value, std::int64_t max_value) {
    value = door.integer(key, value / 1'000'000, min_value, max_value) * 1'000'000;
  };
  listener.limits.connections = 128;
  read_size("max_connections", listener.limits.connections, 1, 100'000);
  if (kind != "resp") {
    read_size("pipeline", listener.limits.pipeline, 1, 1024);
    read_size("batch_window", listener.limits.batch_window, 1, 4096);
    read_size("max_request_bytes", listener.limits.request_bytes, 1024, 1 << 20);
    read_seconds("max_wait_s", listener.limits.max_wait, 0, 3600);
    read_seconds("idle_s", listener.limits.idle_timeout, 1, 3600);
  }
  door.reportUnknownKeys(kind == "resp" ? " in a door of kind resp" : " in a door");
  if (!is_listen_valid)
    return;
  for (const ListenerConfig& other : file.listeners)
    if (addressesConflict(other.listen, listener.listen))
      return door.reportMistake(table.get("listen")->source(),
                                "door.listen: an address of its own is expected, another door listens there");
  file.listeners.push_back(listener);
}

void readLog(const toml::table& table, DaemonFile& file, std::vector<Mistake>& mistakes) {
  TomlTable log_table(table, "log", mistakes, &file.effective);
  log::Config& log_config = file.log;
  const auto read_level = [](TomlTable& source, const char* key, log::Level level) {
    const std::string name =
        source.oneOf(key, {"debug", "info", "warning", "error", "off"}, log::nameOf(level));
    log::levelOf(name, level);
    return level;
  };
  log_config.json = log_table.oneOf("form", {"text", "json"}, "text") == "json";
  if (log_table.node("file"))
    log_config.file = resolvePath(log_table.string("file", ""), file.path);
  log_config.level = read_level(log_table, "level", log_config.level);
  log_config.rate = log_table.number("rate", log_config.rate, 0, 1e6);
  log_config.burst = log_table.number("burst", log_config.burst, 1, 1e6);
  if (const toml::node* parts = log_table.node("parts")) {
    if (!parts->is_table()) {
      log_table.reportExpected("parts", "a table is expected, begun by [log.parts]");
    } else {
      TomlTable parts_table(*parts->as_table(), "log.parts", mistakes, &file.effective);
      std::set<std::string> part_names;
      for (const log::EventSpec& event : log::kEvents)
        part_names.insert(std::string(event.name).substr(0, std::string(event.name).find('.')));
      for (const std::string& part : part_names)
        if (parts_table.node(part.c_str()))
          log_config.parts[part] = read_level(parts_table, part.c_str(), log_config.level);
      parts_table.reportUnknownKeys(" in log.parts");
    }
  }
  log_table.reportUnknownKeys(" in log");
}

// By default a standalone program keeps its learned state over restarts, and a program on a platform doesn't.
void readKnowledge(TomlTable& top, bool is_standalone, DaemonFile& file, std::vector<Mistake>& mistakes) {
  static const toml::table empty_table;
  const toml::node* node = top.node("knowledge");
  if (node && !node->is_table())
    return top.reportExpected("knowledge", "a table is expected, begun by [knowledge]");
  TomlTable knowledge_table(node ? *node->as_table() : empty_table, "knowledge", mistakes, &file.effective);
  knowledge::LearnedStateConfig& config = file.knowledge;
  config.enabled = knowledge_table.boolean("keep", is_standalone);
  config.interval = knowledge_table.duration("interval", config.interval, 100'000, 24LL * 3600 * 1'000'000);
  config.max_bytes = static_cast<std::uint64_t>(
      knowledge_table.byteSize("size", static_cast<std::int64_t>(config.max_bytes), 4096, 256LL << 20));
  knowledge_table.reportUnknownKeys(" in knowledge");
}

void readAdminServer(TomlTable& top, DaemonFile& file, std::vector<Mistake>& mistakes) {
  const toml::node* node = top.node("operators");
  if (!node)
    return;
  if (!node->is_table())
    return top.reportExpected("operators", "a table is expected, begun by [operators]");
  TomlTable admin_table(*node->as_table(), "operators", mistakes, &file.effective);
  tcp::endpoint listen;
  const bool is_listen_valid = admin_table.listenAddress("listen", listen);
  admin_table.reportUnknownKeys(" in operators");
  if (!is_listen_valid)
    return;
  for (const ListenerConfig& door : file.listeners)
    if (addressesConflict(door.listen, listen))
      return admin_table.reportExpected("listen", "an address of its own is expected, a door listens there");
  file.admin_address = listen;
}

void readFleet(TomlTable& top, DaemonFile& file, std::vector<Mistake>& mistakes) {
  const toml::node* node = top.node("fleet");
  if (!node)
    return;
  if (!node->is_table())
    return top.reportExpected("fleet", "a table is expected, begun by [fleet]");
  TomlTable fleet_table(*node->as_table(), "fleet", mistakes, &file.effective);
  fleet::FleetConfig config;
  config.name = fleet_table.string("name", "");
  if (config.name.find_first_of("/ \t\n") != std::string::npos)
    fleet_table.reportExpected("name", "a name without spaces and slashes is expected");
  config.store = fleet_table.strings("store");
  if (config.store.empty())
    fleet_table.reportExpected("store", "addresses of the store are expected, as [\"127.0.0.1:8500\"]");
  for (const std::string& address : config.store)
    if (!isEndpointAddress(address))
      fleet_table.reportExpected("store", "an address and a port are expected, not \"" + address + "\"");
  config.prefix = fleet_table.string("prefix", config.prefix);
  // The store's specification limits a session's TTL to 10 s to 24 h.
  config.session_ttl =
      fleet_table.duration("session", config.session_ttl, 10'000'000, 24LL * 3600 * 1'000'000);
  config.send_version_header = fleet_table.boolean("stamp", config.send_version_header);
  config.evacuate_zones = fleet_table.boolean("judge_zones", config.evacuate_zones);
  config.min_evacuation_time =
      fleet_table.duration("zone_pause", config.min_evacuation_time, 1'000'000, 3600LL * 1'000'000);
  config.audit_budget.bytes = static_cast<std::uint64_t>(
      fleet_table.byteSize("trail", static_cast<std::int64_t>(config.audit_budget.bytes), 65536, 1LL << 40));
  config.audit_budget.age =
      fleet_table.duration("trail_age", config.audit_budget.age, 60'000'000, 3650LL * 24 * 3600 * 1'000'000);
  fleet_table.reportUnknownKeys(" in fleet");
  file.fleet = std::move(config);
}

// [[region]]: a name, the zones that make it up, and the region that takes its load over.
void readRegions(TomlTable& top, DaemonFile& file, std::vector<Mistake>& mistakes) {
  const auto tables = top.tables("region");
  std::set<std::string> names;
  for (const toml::table* table : tables)
    if (const auto name = (*table)["name"].value<std::string>())
      names.insert(*name);
  std::set<std::string> names_read;
  for (const toml::table* table : tables) {
    TomlTable region_table(*table, "region", mistakes, &file.effective);
    const std::string name = region_table.string("name", "");
    if (!names_read.insert(name).second)
      region_table.reportExpected("name", "another region has this name");
    const auto zones = region_table.strings("zones");
    if (zones.empty())
      region_table.reportExpected("zones", "names of zones are expected, as [\"a\", \"b\"]");
    for (const std::string& zone : zones) {
      const auto other = file.regions.region_by_zone.emplace(zone, name);
      if (!other.second)
        region_table.reportExpected("zones", zone + " is a zone of " + other.first->second);
    }
    if (region_table.node("stand_by")) {
      const std::string other = region_table.string("stand_by", "");
      if (other == name || !names.count(other))
        region_table.reportExpected("stand_by", "the name of another [[region]] is expected");
      else
        file.regions.standby_by_region[name] = other;
    }
    region_table.reportUnknownKeys(" in a region");
  }
}

}  // namespace

std::string DaemonFile::sharedText() const {
  static const std::set<std::string> sender_specific_keys = {
      "door.listen", "operators.listen", "journal.folder", "log.file", "fleet.name", "fleet.store"};
  std::string lines;
  for (const EffectiveValue& entry : effective)
    if (!sender_specific_keys.count(entry.key))
      lines += entry.key + " = " + entry.value + "\n";
  return lines;
}

std::int64_t DaemonFile::maxConnections() const {
  std::int64_t sum = 0;
  for (const ListenerConfig& listener : listeners)
    sum += static_cast<std::int64_t>(listener.limits.connections);
  return sum;
}

DaemonFile readDaemonText(const std::string& text, const std::string& path, std::vector<Mistake>& mistakes) {
  DaemonFile file;
  file.path = path;
  try {
    const toml::table root = toml::parse(text, path);
    TomlTable top(root, "", mistakes);
    for (const toml::table* table : top.tables("door"))
      readListener(*table, file, mistakes);
    if (const toml::node* node = top.node("log")) {
      if (node->is_table())
        readLog(*node->as_table(), file, mistakes);
      else
        top.reportExpected("log", "a table is expected, begun by [log]");
    }
    readRegions(top, file, mistakes);
    StandaloneConfig standalone;
    standalone.sources.defaults.regions = file.regions;
    if (readStandaloneConfig(top, path, standalone, mistakes, &file.effective)) {
      if (file.listeners.empty())
        top.reportMistake("a standalone sender needs a [[door]]");
      file.standalone = std::move(standalone);
    }
    readKnowledge(top, file.standalone.has_value(), file, mistakes);
    readAdminServer(top, file, mistakes);
    readFleet(top, file, mistakes);
    top.reportUnknownKeys("");
  } catch (const toml::parse_error& error) {
    mistakes.push_back({error.source().begin.line, error.source().begin.column,
                        "TOML is expected: " + std::string(error.description())});
  }
  std::stable_sort(mistakes.begin(), mistakes.end(), [](const Mistake& a, const Mistake& b) {
    return std::tie(a.line, a.column) < std::tie(b.line, b.column);
  });
  return file;
}

DaemonFile readDaemonFile(const std::string& path, std::vector<Mistake>& mistakes) {
  std::ifstream in(path, std::ios::binary);
  std::stringstream content;
  if (in)
    content << in.rdbuf();
  if (!in || in.bad()) {
    mistakes.push_back({0, 0, "a file that can be read is expected"});
    return {};
  }
  return readDaemonText(content.str(), path, mistakes);
}

}  // namespace grademux
