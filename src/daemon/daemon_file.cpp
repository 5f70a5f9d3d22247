// grademux: the daemon file; see daemon_file.h.
#include "daemon_file.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace grademux {

namespace {

using boost::asio::ip::tcp;

bool sameAddress(const tcp::endpoint& a, const tcp::endpoint& b) {
  return a.port() == b.port() &&
         (a.address() == b.address() || a.address().is_unspecified() || b.address().is_unspecified());
}

void readDoor(const toml::table& t, DaemonFile& file, std::vector<Mistake>& mistakes) {
  Table door(t, "door", mistakes, &file.effective);
  ListenerConfig spec;
  const std::string kind = door.word("kind", {"http", "resp"});
  spec.kind = kind == "resp" ? ListenerKind::resp : ListenerKind::http;
  const bool placed = door.listen("listen", spec.listen);
  auto size = [&](const char* key, std::size_t& value, std::int64_t least, std::int64_t most) {
    value = static_cast<std::size_t>(door.whole(key, static_cast<std::int64_t>(value), least, most));
  };
  auto seconds = [&](const char* key, Micros& value, std::int64_t least, std::int64_t most) {
    value = door.whole(key, value / 1'000'000, least, most) * 1'000'000;
  };
  spec.limits.connections = 128;
  size("max_connections", spec.limits.connections, 1, 100'000);
  if (kind != "resp") {
    size("pipeline", spec.limits.pipeline, 1, 1024);
    size("batch_window", spec.limits.batch_window, 1, 4096);
    size("max_request_bytes", spec.limits.request_bytes, 1024, 1 << 20);
    seconds("max_wait_s", spec.limits.max_wait, 0, 3600);
    seconds("idle_s", spec.limits.idle_timeout, 1, 3600);
  }
  door.unknown(kind == "resp" ? " in a door of kind resp" : " in a door");
  if (!placed)
    return;
  for (const ListenerConfig& other : file.listeners)
    if (sameAddress(other.listen, spec.listen))
      return door.mistake(t.get("listen")->source(),
                          "door.listen: an address of its own is expected, another door listens there");
  file.listeners.push_back(spec);
}

void readLog(const toml::table& table, DaemonFile& file, std::vector<Mistake>& mistakes) {
  Table t(table, "log", mistakes, &file.effective);
  log::Spec& l = file.log;
  const auto level = [](Table& of, const char* key, log::Level otherwise) {
    const std::string name =
        of.word(key, {"debug", "info", "warning", "error", "off"}, log::nameOf(otherwise));
    log::levelOf(name, otherwise);
    return otherwise;
  };
  l.json = t.word("form", {"text", "json"}, "text") == "json";
  if (t.node("file"))
    l.file = placed(t.text("file", ""), file.path);
  l.level = level(t, "level", l.level);
  l.rate = t.real("rate", l.rate, 0, 1e6);
  l.burst = t.real("burst", l.burst, 1, 1e6);
  if (const toml::node* parts = t.node("parts")) {
    if (!parts->is_table()) {
      t.expected("parts", "a table is expected, begun by [log.parts]");
    } else {
      Table p(*parts->as_table(), "log.parts", mistakes, &file.effective);
      std::set<std::string> known;
      for (const log::EventSpec& e : log::kEvents)
        known.insert(std::string(e.name).substr(0, std::string(e.name).find('.')));
      for (const std::string& part : known)
        if (p.node(part.c_str()))
          l.parts[part] = level(p, part.c_str(), l.level);
      p.unknown(" in log.parts");
    }
  }
  t.unknown(" in log");
}

// Kept where the program stands alone, unless it says otherwise; on a platform only if it says so.
void readKnowledge(Table& top, bool alone, DaemonFile& file, std::vector<Mistake>& mistakes) {
  static const toml::table none;
  const toml::node* n = top.node("knowledge");
  if (n && !n->is_table())
    return top.expected("knowledge", "a table is expected, begun by [knowledge]");
  Table t(n ? *n->as_table() : none, "knowledge", mistakes, &file.effective);
  knowledge::LearnedStateConfig& k = file.knowledge;
  k.enabled = t.truth("keep", alone);
  k.interval = t.span("interval", k.interval, 100'000, 24LL * 3600 * 1'000'000);
  k.max_bytes =
      static_cast<std::uint64_t>(t.size("size", static_cast<std::int64_t>(k.max_bytes), 4096, 256LL << 20));
  t.unknown(" in knowledge");
}

void readOperators(Table& top, DaemonFile& file, std::vector<Mistake>& mistakes) {
  const toml::node* n = top.node("operators");
  if (!n)
    return;
  if (!n->is_table())
    return top.expected("operators", "a table is expected, begun by [operators]");
  Table t(*n->as_table(), "operators", mistakes, &file.effective);
  tcp::endpoint listen;
  const bool placed = t.listen("listen", listen);
  t.unknown(" in operators");
  if (!placed)
    return;
  for (const ListenerConfig& door : file.listeners)
    if (sameAddress(door.listen, listen))
      return t.expected("listen", "an address of its own is expected, a door listens there");
  file.operators = listen;
}

void readFleet(Table& top, DaemonFile& file, std::vector<Mistake>& mistakes) {
  const toml::node* n = top.node("fleet");
  if (!n)
    return;
  if (!n->is_table())
    return top.expected("fleet", "a table is expected, begun by [fleet]");
  Table t(*n->as_table(), "fleet", mistakes, &file.effective);
  fleet::FleetConfig f;
  f.name = t.text("name", "");
  if (f.name.find_first_of("/ \t\n") != std::string::npos)
    t.expected("name", "a name without spaces and slashes is expected");
  f.store = t.texts("store");
  if (f.store.empty())
    t.expected("store", "addresses of the store are expected, as [\"127.0.0.1:8500\"]");
  for (const std::string& a : f.store)
    if (!isEndpointAddress(a))
      t.expected("store", "an address and a port are expected, not \"" + a + "\"");
  f.prefix = t.text("prefix", f.prefix);
  // By the store's specification: 10 s to a day.
  f.session_ttl = t.span("session", f.session_ttl, 10'000'000, 24LL * 3600 * 1'000'000);
  f.send_version_header = t.truth("stamp", f.send_version_header);
  f.evacuate_zones = t.truth("judge_zones", f.evacuate_zones);
  f.min_evacuation_time = t.span("zone_pause", f.min_evacuation_time, 1'000'000, 3600LL * 1'000'000);
  f.audit_budget.bytes = static_cast<std::uint64_t>(
      t.size("trail", static_cast<std::int64_t>(f.audit_budget.bytes), 65536, 1LL << 40));
  f.audit_budget.age = t.span("trail_age", f.audit_budget.age, 60'000'000, 3650LL * 24 * 3600 * 1'000'000);
  t.unknown(" in fleet");
  file.fleet = std::move(f);
}

// [[region]]: a name, the zones that make it up, and the region that takes its load over.
void readRegions(Table& top, DaemonFile& file, std::vector<Mistake>& mistakes) {
  const auto tables = top.tables("region");
  std::set<std::string> names;
  for (const toml::table* r : tables)
    if (const auto name = (*r)["name"].value<std::string>())
      names.insert(*name);
  std::set<std::string> read;
  for (const toml::table* r : tables) {
    Table t(*r, "region", mistakes, &file.effective);
    const std::string name = t.text("name", "");
    if (!read.insert(name).second)
      t.expected("name", "another region has this name");
    const auto zones = t.texts("zones");
    if (zones.empty())
      t.expected("zones", "names of zones are expected, as [\"a\", \"b\"]");
    for (const std::string& z : zones) {
      const auto other = file.regions.region_by_zone.emplace(z, name);
      if (!other.second)
        t.expected("zones", z + " is a zone of " + other.first->second);
    }
    if (t.node("stand_by")) {
      const std::string other = t.text("stand_by", "");
      if (other == name || !names.count(other))
        t.expected("stand_by", "the name of another [[region]] is expected");
      else
        file.regions.standby_by_region[name] = other;
    }
    t.unknown(" in a region");
  }
}

}  // namespace

std::string DaemonFile::shared() const {
  static const std::set<std::string> own_keys = {"door.listen", "operators.listen", "journal.folder",
                                                 "log.file",    "fleet.name",       "fleet.store"};
  std::string all;
  for (const Effective& e : effective)
    if (!own_keys.count(e.key))
      all += e.key + " = " + e.value + "\n";
  return all;
}

std::int64_t DaemonFile::connections() const {
  std::int64_t sum = 0;
  for (const ListenerConfig& d : listeners)
    sum += static_cast<std::int64_t>(d.limits.connections);
  return sum;
}

DaemonFile readDaemonText(const std::string& text, const std::string& path, std::vector<Mistake>& mistakes) {
  DaemonFile file;
  file.path = path;
  try {
    const toml::table root = toml::parse(text, path);
    Table top(root, "", mistakes);
    for (const toml::table* d : top.tables("door"))
      readDoor(*d, file, mistakes);
    if (const toml::node* n = top.node("log")) {
      if (n->is_table())
        readLog(*n->as_table(), file, mistakes);
      else
        top.expected("log", "a table is expected, begun by [log]");
    }
    readRegions(top, file, mistakes);
    Site site;
    site.sources.defaults.regions = file.regions;
    if (readSite(top, path, site, mistakes, &file.effective)) {
      if (file.listeners.empty())
        top.mistake("a program that stands alone needs a [[door]]");
      file.site = std::move(site);
    }
    readKnowledge(top, file.site.has_value(), file, mistakes);
    readOperators(top, file, mistakes);
    readFleet(top, file, mistakes);
    top.unknown("");
  } catch (const toml::parse_error& e) {
    mistakes.push_back({e.source().begin.line, e.source().begin.column,
                        "TOML is expected: " + std::string(e.description())});
  }
  std::stable_sort(mistakes.begin(), mistakes.end(), [](const Mistake& a, const Mistake& b) {
    return std::tie(a.line, a.column) < std::tie(b.line, b.column);
  });
  return file;
}

DaemonFile readDaemonFile(const std::string& path, std::vector<Mistake>& mistakes) {
  std::ifstream in(path, std::ios::binary);
  std::stringstream all;
  if (in)
    all << in.rdbuf();
  if (!in || in.bad()) {
    mistakes.push_back({0, 0, "a file that can be read is expected"});
    return {};
  }
  return readDaemonText(all.str(), path, mistakes);
}

}  // namespace grademux
