// Configuration of a sender on a platform; see config.h.
#include "config.h"

#include <cmath>
#include <cstdlib>
#include <random>

#include "../config/json_file.h"
#include "../decision/settings_check.h"
#include "../net/address.h"
#include "../operate/admin_server.h"
#include "memory_budget.h"

namespace grademux {
namespace {

constexpr double kDefaultMemoryMegabytes = 1024;
constexpr double kDefaultDiskMegabytes = 3;
constexpr double kDefaultDescriptors = 1024;
constexpr double kBytesPerMegabyte = 1 << 20;
constexpr double kBytesPerDiskMegabyte = 1e6;
constexpr double kMaxMegabytes = 1e9;
constexpr double kMaxDescriptors = 1e9;

// Parts of the file that take effect only at the next start.
constexpr const char* kRestartKeys[] = {"name", "listen", "mgmt", "limits"};

std::string environmentVariable(const char* name, const std::string& default_value) {
  const char* value = std::getenv(name);
  return value && *value ? value : default_value;
}

std::uint64_t readSeed(const json& document) {
  if (!document.contains("seed"))
    return randomSeed();
  const json& seed = field(document, "seed");
  if (seed.is_number_unsigned())
    return seed.get<std::uint64_t>();
  const std::string hex = text(document, "seed");
  if (hex.empty() || hex.size() > 16 || hex.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
    bad("not a hexadecimal number: seed");
  return std::stoull(hex, nullptr, 16);
}

// The text of an optional key; `fallback` if the file lacks the key.
std::string optionalText(const json& document, const char* key, const std::string& fallback) {
  return document.contains(key) ? text(document, key) : fallback;
}

// A limit of the file, at most `max_value`; `fallback` if the file lacks the key.
double readLimit(const json& limits, const char* key, double fallback, double max_value) {
  if (!limits.contains(key))
    return fallback;
  const double limit = number(limits, key);
  if (limit <= 0 || limit > max_value)
    bad(std::string("out of range: limits.") + key);
  return limit;
}

void readLimits(const json& document, Config& config) {
  const json& limits = document.contains("limits") ? object(document, "limits") : json::object();
  config.disk_bytes = static_cast<std::uint64_t>(
      readLimit(limits, "disk_mb", kDefaultDiskMegabytes, kMaxMegabytes) * kBytesPerDiskMegabyte);
  config.memory_bytes = static_cast<std::uint64_t>(
      readLimit(limits, "memory_mb", kDefaultMemoryMegabytes, kMaxMegabytes) * kBytesPerMegabyte);
  const double descriptors = readLimit(limits, "sockets", kDefaultDescriptors, kMaxDescriptors);
  if (descriptors != std::floor(descriptors))
    bad("not a whole number: limits.sockets");
  config.max_descriptors = static_cast<std::int64_t>(descriptors);
}

// The platform keeps the listening socket open while one process replaces another, and passes the socket on.
int inheritedSocket() {
  const std::string number = environmentVariable("GW_PASSED_SOCKET", "");
  if (number.empty())
    return -1;
  if (number.size() > 6 || number.find_first_not_of("0123456789") != std::string::npos)
    bad("GW_PASSED_SOCKET: the number of a descriptor is expected, not " + number);
  return std::stoi(number);
}

}  // namespace

std::int64_t reservedDescriptors(const Config& config) {
  return kReservedDescriptors +
         (config.admin_address.empty() ? 0 : static_cast<std::int64_t>(operate::kMaxAdminConnections) + 2);
}

Settings readSettingsFile(const std::string& path) {
  Settings settings = readSettings(object(readJsonFile(path), "settings"), SettingsSource::file);
  validate(settings);
  return settings;
}

std::uint64_t randomSeed() {
  std::random_device device;
  const std::uint64_t high_bits = device();
  return high_bits << 32 | device();
}

Config readConfig() {
  const std::string path = environmentVariable("GW_CONFIG", "");
  if (path.empty())
    bad("GW_CONFIG is not set");
  const json document = readJsonFile(path);
  Config config;
  config.path = path;
  config.name = environmentVariable("GW_NAME", optionalText(document, "name", ""));
  config.listen = environmentVariable("GW_LISTEN", optionalText(document, "listen", ""));
  // The file takes precedence: a reload can read a new address from the file alone, and the next start must
  // use that address, too.
  config.discovery = optionalText(document, "discovery", "");
  if (config.discovery.empty())
    config.discovery = environmentVariable("GW_DISCOVERY", "");
  config.admin_address = environmentVariable("GW_MGMT", optionalText(document, "mgmt", ""));
  parseAddress(config.listen);
  parseAddress(config.discovery);
  if (!config.admin_address.empty())
    parseAddress(config.admin_address);
  config.inherited_socket = inheritedSocket();
  config.state_folder = environmentVariable("GW_STATE", "");
  if (config.state_folder.empty())
    bad("GW_STATE is not set");
  config.seed = readSeed(document);
  readLimits(document, config);
  if (!absent(document, "known"))
    config.configured_list = object(document, "known");
  config.settings = readSettings(object(document, "settings"), SettingsSource::file);
  validate(config.settings);
  checkMemoryLimit(config.memory_bytes, "limits.memory_mb");
  if (config.max_descriptors - reservedDescriptors(config) - config.settings.max_in_flight < 8)
    bad("limits.sockets is too small");
  config.document = document;
  return config;
}

namespace {

// The platform's specification makes these keys of a class optional.
bool isOptional(const std::string& key) {
  return key == "AimStretch" || key == "KeepOrder";
}

// The path of a key of `old` that `fresh` lacks, below `path`; empty if there is none.
std::string findMissing(const json& old, const json& fresh, const std::string& path) {
  for (const auto& [key, value] : old.items()) {
    std::string key_path = path;
    if (!path.empty())
      key_path += '.';
    key_path += key;
    const auto found = fresh.find(key);
    if (found == fresh.end() && !isOptional(key))
      return key_path;
    if (found == fresh.end() || key == "Categories")
      continue;
    if (value.is_object()) {
      if (!found->is_object())
        return key_path;
      std::string nested = findMissing(value, *found, key_path);
      if (!nested.empty())
        return nested;
    }
  }
  return "";
}

}  // namespace

std::string missingSetting(const Config& old, const Config& fresh) {
  const json& old_settings = object(old.document, "settings");
  const json& fresh_settings = object(fresh.document, "settings");
  std::string missing_key = findMissing(old_settings, fresh_settings, "");
  if (!missing_key.empty())
    return missing_key;
  // Each new class must have the keys that all classes in force have.
  const json& classes = array(old_settings, "Categories");
  json common_keys = classes.at(0);
  for (const json& message_class : classes)
    for (auto it = common_keys.begin(); it != common_keys.end();)
      it = message_class.contains(it.key()) ? std::next(it) : common_keys.erase(it);
  const json& fresh_classes = array(fresh_settings, "Categories");
  for (std::size_t i = 0; i < fresh_classes.size(); ++i) {
    std::string missing_class_key =
        findMissing(common_keys, fresh_classes[i], "Categories[" + std::to_string(i) + "]");
    if (!missing_class_key.empty())
      return missing_class_key;
  }
  return "";
}

std::string partsNeedingRestart(const Config& old, const Config& fresh) {
  std::string names;
  for (const char* name : kRestartKeys)
    if (old.document.value(name, json()) != fresh.document.value(name, json()))
      names += (names.empty() ? "" : ", ") + std::string(name);
  return names;
}

void retainPartsNeedingRestart(const Config& old, Config& fresh) {
  for (const char* name : kRestartKeys) {
    if (old.document.contains(name))
      fresh.document[name] = old.document[name];
    else
      fresh.document.erase(name);
  }
  fresh.name = old.name;
  fresh.listen = old.listen;
  fresh.admin_address = old.admin_address;
  fresh.inherited_socket = old.inherited_socket;
  fresh.state_folder = old.state_folder;
  fresh.seed = old.seed;
  fresh.disk_bytes = old.disk_bytes;
  fresh.memory_bytes = old.memory_bytes;
  fresh.max_descriptors = old.max_descriptors;
}

}  // namespace grademux
