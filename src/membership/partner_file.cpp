// See partner_file.h.
#include "partner_file.h"

#include <algorithm>
#include <map>
#include <set>
#include <stdexcept>

#include "../core/message.h"
#include "name_memory.h"

namespace grademux {

namespace {

constexpr Micros kHour = 3600 * 1'000'000LL;
constexpr std::size_t kMaxHostNameLength = 253;  // of a host name, bytes (RFC 1035, 2.3.4)

bool isHostName(const std::string& s) {
  if (s.empty() || s.size() > kMaxHostNameLength)
    return false;
  std::size_t label = 0;
  for (const char c : s) {
    if (c == '.') {
      if (label == 0)
        return false;
      label = 0;
      continue;
    }
    const bool valid =
        (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    if (!valid || ++label > 63)
      return false;
  }
  return true;
}

bool isPartnerName(const std::string& s) {
  const bool number = std::all_of(s.begin(), s.end(), [](char c) { return c >= '0' && c <= '9'; });
  return !number && isValidToken(s) && s.find_first_of("@,=") == std::string::npos;
}

void readDns(TomlTable& t, Partner& p, const PartnerDefaults& defaults) {
  NameSpec dns;
  const bool host = t.node("dns") != nullptr;
  if (host && t.node("srv"))
    t.reportExpected("srv", "dns or srv is expected, not both");
  if (host) {
    const std::string at = t.string("dns", "");
    const std::size_t colon = at.rfind(':');
    dns.host = at.substr(0, colon);
    const std::string port = colon == std::string::npos ? "" : at.substr(colon + 1);
    const bool digits =
        !port.empty() && port.size() <= 5 && port.find_first_not_of("0123456789") == std::string::npos;
    dns.port = digits ? std::stoi(port) : 0;
    if (!isHostName(dns.host) || dns.port < 1 || dns.port > 65535)
      t.reportExpected("dns", "a name and a port are expected, as \"shop.example:9001\"");
  } else {
    dns.srv = t.string("srv", "");
    if (!isHostName(dns.srv))
      t.reportExpected("srv", "a name is expected, as \"_print._tcp.shop.example\"");
  }
  const std::string family = t.oneOf("family", {"any", "ipv4", "ipv6"}, "any");
  dns.family = family == "ipv4"   ? NameSpec::Family::ipv4
               : family == "ipv6" ? NameSpec::Family::ipv6
                                  : NameSpec::Family::any;
  dns.allow = t.node("allow") ? t.strings("allow") : defaults.allow;
  checkNetworks(t, "allow", dns.allow);
  dns.keep = t.duration("keep", 0, 0, 24 * kHour);
  p.dns = std::move(dns);
}

// Reads `zone`, for all endpoints, and `zones`, a table of the endpoints in each zone.
void readZones(TomlTable& t, Partner& p, const PartnerDefaults& defaults, std::vector<Mistake>& mistakes,
               std::vector<EffectiveValue>* effective) {
  const auto check_zone = [&](TomlTable& in, const char* key, const std::string& zone) {
    if (zone.empty() || defaults.regions.empty() || defaults.regions.contains(zone))
      return;
    std::vector<std::string> names;
    for (const auto& [name, region] : defaults.regions.region_by_zone)
      names.push_back(name);
    const std::string suggestion = nearestName(zone, names);
    in.reportExpected(key, "a zone of a [[region]] is expected, not \"" + zone + "\"" +
                               (suggestion.empty() ? "" : "; " + suggestion + "?"));
  };
  if (t.node("zone"))
    p.zone = t.string("zone", "");
  check_zone(t, "zone", p.zone);
  const toml::node* n = t.node("zones");
  if (!n)
    return;
  if (!n->is_table())
    return t.reportExpected("zones", "a table is expected, as { a = [\"127.0.0.1:9001\"] }");
  TomlTable z(*n->as_table(), "partner.zones", mistakes, effective);
  for (const auto& [key, list] : *n->as_table()) {
    const std::string zone(key.str());
    check_zone(z, zone.c_str(), zone);
    for (const std::string& e : z.strings(zone.c_str())) {
      if (p.dns || std::find(p.endpoints.begin(), p.endpoints.end(), e) == p.endpoints.end())
        z.reportExpected(zone.c_str(), e + " is not one of the endpoints");
      else if (const auto other = p.zones.emplace(e, zone); !other.second && other.first->second != zone)
        z.reportExpected(zone.c_str(), e + " stands in " + other.first->second);
    }
  }
}

Partner readPartner(TomlTable& t, const PartnerDefaults& defaults, std::vector<Mistake>& mistakes,
                    std::vector<EffectiveValue>* effective) {
  Partner p;
  p.name = t.string("name", "");
  constexpr const char* kNameExpected =
      "printable characters without space, @, comma and =, not digits alone, are expected";
  if (!p.name.empty() && !isPartnerName(p.name))
    t.reportExpected("name", kNameExpected);
  if (t.node("formerly")) {
    p.formerly = t.string("formerly", "");
    if (!p.formerly.empty() && !isPartnerName(p.formerly))
      t.reportExpected("formerly", kNameExpected);
    if (!p.name.empty() && p.formerly == p.name)
      t.reportExpected("formerly", "a name other than the partner's current name is expected");
  }
  p.number = t.integer("number", numberOfName(p.base()), 0, 1LL << 53);
  p.rate = t.number("rate", 0, 0, 1e7);
  if (t.node("dns") || t.node("srv")) {
    for (const char* key : {"endpoints", "draining"})
      if (t.node(key))
        t.reportExpected(key, "a partner has a list of endpoints or a name in DNS, not both");
    readDns(t, p, defaults);
  } else {
    p.endpoints = t.strings("endpoints");
    p.draining = t.strings("draining");
    if (p.endpoints.empty())
      t.reportExpected("endpoints",
                       "one address and port at least is expected, as [\"127.0.0.1:9001\"], or dns, or srv");
    std::set<std::string> unique;
    for (const std::string& e : p.endpoints) {
      if (!isEndpointAddress(e))
        t.reportExpected("endpoints", "an address and a port are expected, not \"" + e + "\"");
      if (!unique.insert(e).second)
        t.reportExpected("endpoints", e + " is listed twice");
    }
    for (const std::string& e : p.draining)
      if (!unique.count(e))
        t.reportExpected("draining", e + " is not one of the endpoints");
    for (const char* key : {"family", "allow", "keep"})
      if (t.node(key))
        t.reportExpected(key, "only a partner with dns or srv can have this key");
  }
  readZones(t, p, defaults, mistakes, effective);
  t.reportUnknownKeys(" in a partner");
  return p;
}

}  // namespace

void checkNetworks(TomlTable& t, const char* key, const std::vector<std::string>& networks) {
  for (const std::string& n : networks) {
    try {
      Networks({n});
    } catch (const std::invalid_argument&) {
      t.reportExpected(key, "networks are expected, as \"10.0.0.0/8\", not \"" + n + "\"");
    }
  }
}

std::vector<Partner> readPartners(const std::vector<const toml::table*>& tables,
                                  const PartnerDefaults& defaults, std::vector<Mistake>& mistakes,
                                  std::vector<EffectiveValue>* effective) {
  std::vector<Partner> all;
  std::set<std::string> names;
  std::map<std::int64_t, std::string> numbers;
  std::map<std::string, std::string> addresses;
  for (const toml::table* p : tables) {
    TomlTable t(*p, "partner", mistakes, effective);
    Partner partner = readPartner(t, defaults, mistakes, effective);
    if (!names.insert(partner.name).second)
      t.reportExpected("name", "another partner has this name");
    else if (const auto other = numbers.emplace(partner.number, partner.name); !other.second)
      t.reportExpected("number", "a number of its own is expected, " + other.first->second + " has " +
                                     std::to_string(partner.number));
    for (const std::string& e : partner.endpoints)
      if (const auto other = addresses.emplace(e, partner.name);
          !other.second && other.first->second != partner.name)
        t.reportExpected("endpoints", e + " is an endpoint of " + other.first->second);
    all.push_back(std::move(partner));
  }
  return all;
}

std::vector<Partner> readPartnerText(const std::string& text, const std::string& path,
                                     const PartnerDefaults& defaults, std::vector<Mistake>& mistakes) {
  std::vector<Partner> all;
  try {
    const toml::table root = toml::parse(text, path);
    TomlTable top(root, "", mistakes);
    all = readPartners(top.tables("partner"), defaults, mistakes);
    if (all.empty() && mistakes.empty())
      mistakes.push_back({1, 1, "one [[partner]] at least is expected"});
    top.reportUnknownKeys(" in a partners' file");
  } catch (const toml::parse_error& e) {
    mistakes.push_back({e.source().begin.line, e.source().begin.column,
                        "TOML is expected: " + std::string(e.description())});
  }
  return all;
}

}  // namespace grademux
