// grademux: the configuration; see config.h.
#include "config.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "../decision/check.h"
#include "../net/address.h"

namespace grademux {
namespace {

std::string variable(const char* name, const std::string& otherwise) {
  const char* v = std::getenv(name);
  return v && *v ? v : otherwise;
}

std::uint64_t seedOf(const json& o) {
  if (absent(o, "seed")) return 0;
  const json& s = field(o, "seed");
  if (s.is_number_unsigned()) return s.get<std::uint64_t>();
  const std::string hex = text(o, "seed");
  if (hex.empty() || hex.size() > 16 || hex.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
    bad("not a hexadecimal number: seed");
  return std::stoull(hex, nullptr, 16);
}

}  // namespace

Config readConfig() {
  const std::string path = variable("GW_CONFIG", "");
  if (path.empty()) bad("GW_CONFIG is not set");
  std::ifstream file(path);
  if (!file) bad("can't be read: " + path);
  std::stringstream all;
  all << file.rdbuf();
  const json o = json::parse(all.str(), nullptr, false);
  if (!o.is_object()) bad("not a JSON object: " + path);
  Config c;
  c.path = path;
  c.name = variable("GW_NAME", text(o, "name", ""));
  c.listen = variable("GW_LISTEN", text(o, "listen", ""));
  // The file is replaced while the program runs, the environment can't be: it holds at the next start, too.
  c.discovery = text(o, "discovery", "");
  if (c.discovery.empty()) c.discovery = variable("GW_DISCOVERY", "");
  parseAddress(c.listen);
  parseAddress(c.discovery);
  c.state = variable("GW_STATE", "");
  if (c.state.empty()) bad("GW_STATE is not set");
  c.seed = seedOf(o);
  const json& limits = optionalObject(o, "limits");
  c.disk_bytes = static_cast<std::uint64_t>(std::max(0.0, number(limits, "disk_mb", 3)) * 1e6);
  c.sockets = static_cast<std::int64_t>(number(limits, "sockets", 1024));
  if (!absent(o, "known")) c.known = object(o, "known");
  c.settings = readSettings(object(o, "settings"));
  validate(c.settings);
  if (c.sockets - kSpareSockets - c.settings.slots < 8) bad("limits.sockets is too small");
  c.file = o;
  return c;
}

std::string needsRestart(const Config& old, const Config& fresh) {
  std::string names;
  for (const char* name : {"name", "listen", "limits", "settings"})
    if (old.file.value(name, json()) != fresh.file.value(name, json()))
      names += (names.empty() ? "" : ", ") + std::string(name);
  return names;
}

}  // namespace grademux
