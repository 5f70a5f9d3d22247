// grademux: the configuration; see config.h.
#include "config.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "../decision/settings_check.h"
#include "../net/address.h"
#include "../operate/admin_server.h"

namespace grademux {
namespace {

constexpr const char* kAtStart[] = {"name", "listen", "mgmt", "limits"};

std::string variable(const char* name, const std::string& otherwise) {
  const char* v = std::getenv(name);
  return v && *v ? v : otherwise;
}

std::uint64_t seedOf(const json& o) {
  if (absent(o, "seed"))
    return 0;
  const json& s = field(o, "seed");
  if (s.is_number_unsigned())
    return s.get<std::uint64_t>();
  const std::string hex = text(o, "seed");
  if (hex.empty() || hex.size() > 16 || hex.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
    bad("not a hexadecimal number: seed");
  return std::stoull(hex, nullptr, 16);
}

json readFile(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    bad("can't be read: " + path);
  std::stringstream all;
  all << file.rdbuf();
  json o = json::parse(all.str(), nullptr, false);
  if (!o.is_object())
    bad("not a JSON object: " + path);
  return o;
}

// The platform holds the listening socket over processes that replace one another.
int passedSocket() {
  const std::string number = variable("GW_PASSED_SOCKET", "");
  if (number.empty())
    return -1;
  if (number.size() > 6 || number.find_first_not_of("0123456789") != std::string::npos)
    bad("GW_PASSED_SOCKET: the number of a descriptor is expected, not " + number);
  return std::stoi(number);
}

}  // namespace

std::int64_t spareSockets(const Config& c) {
  return kSpareSockets + (c.mgmt.empty() ? 0 : static_cast<std::int64_t>(operate::kMaxAdminConnections) + 2);
}

Settings readSettingsOf(const std::string& path) {
  Settings s = readSettings(object(readFile(path), "settings"));
  validate(s);
  return s;
}

Config readConfig() {
  const std::string path = variable("GW_CONFIG", "");
  if (path.empty())
    bad("GW_CONFIG is not set");
  const json o = readFile(path);
  Config c;
  c.path = path;
  c.name = variable("GW_NAME", text(o, "name", ""));
  c.listen = variable("GW_LISTEN", text(o, "listen", ""));
  // The file is replaced while the program runs, the environment can't be: it holds at the next start, too.
  c.discovery = text(o, "discovery", "");
  if (c.discovery.empty())
    c.discovery = variable("GW_DISCOVERY", "");
  c.mgmt = variable("GW_MGMT", text(o, "mgmt", ""));
  parseAddress(c.listen);
  parseAddress(c.discovery);
  if (!c.mgmt.empty())
    parseAddress(c.mgmt);
  c.passed = passedSocket();
  c.state = variable("GW_STATE", "");
  if (c.state.empty())
    bad("GW_STATE is not set");
  c.seed = seedOf(o);
  const json& limits = optionalObject(o, "limits");
  c.disk_bytes = static_cast<std::uint64_t>(std::max(0.0, number(limits, "disk_mb", 3)) * 1e6);
  c.sockets = static_cast<std::int64_t>(number(limits, "sockets", 1024));
  if (!absent(o, "known"))
    c.known = object(o, "known");
  c.settings = readSettings(object(o, "settings"));
  validate(c.settings);
  if (c.sockets - spareSockets(c) - c.settings.max_in_flight < 8)
    bad("limits.sockets is too small");
  c.file = o;
  return c;
}

namespace {

// Optional by the platform's page: a class may have them or not.
bool mayLack(const std::string& key) {
  return key == "AimStretch" || key == "KeepOrder";
}

std::string missing(const json& old, const json& fresh, const std::string& path) {
  for (const auto& [key, value] : old.items()) {
    std::string named = path;
    if (!path.empty())
      named += '.';
    named += key;
    const auto there = fresh.find(key);
    if (there == fresh.end() && !mayLack(key))
      return named;
    if (there == fresh.end() || key == "Categories")
      continue;
    if (value.is_object()) {
      if (!there->is_object())
        return named;
      std::string deeper = missing(value, *there, named);
      if (!deeper.empty())
        return deeper;
    }
  }
  return "";
}

}  // namespace

std::string missingSetting(const Config& old, const Config& fresh) {
  const json& had = object(old.file, "settings");
  const json& has = object(fresh.file, "settings");
  std::string other = missing(had, has, "");
  if (!other.empty())
    return other;
  // Of a class is expected what every class has that is in force.
  const json& classes = array(had, "Categories");
  json common = classes.at(0);
  for (const json& c : classes)
    for (auto it = common.begin(); it != common.end();)
      it = c.contains(it.key()) ? std::next(it) : common.erase(it);
  const json& now = array(has, "Categories");
  for (std::size_t i = 0; i < now.size(); ++i) {
    std::string lacks = missing(common, now[i], "Categories[" + std::to_string(i) + "]");
    if (!lacks.empty())
      return lacks;
  }
  return "";
}

std::string needsRestart(const Config& old, const Config& fresh) {
  std::string names;
  for (const char* name : kAtStart)
    if (old.file.value(name, json()) != fresh.file.value(name, json()))
      names += (names.empty() ? "" : ", ") + std::string(name);
  return names;
}

void keepUntilRestart(const Config& old, Config& fresh) {
  for (const char* name : kAtStart) {
    if (old.file.contains(name))
      fresh.file[name] = old.file[name];
    else
      fresh.file.erase(name);
  }
  fresh.name = old.name;
  fresh.listen = old.listen;
  fresh.mgmt = old.mgmt;
  fresh.passed = old.passed;
  fresh.state = old.state;
  fresh.seed = old.seed;
  fresh.disk_bytes = old.disk_bytes;
  fresh.sockets = old.sockets;
}

}  // namespace grademux
