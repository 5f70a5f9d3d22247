#include "settings.h"

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace grademux {

namespace {

// Largest duration, in milliseconds: some 30 years.
constexpr double kMaxDurationMs = 1e12;

constexpr int kDefaultMaxOpenMessages = 20'000;

// Whether a file must have the field. The simulator may leave out every field that has a default.
enum class Presence : std::uint8_t { required, optional };

// Describes how one field of a JSON object is read into a member of `Owner`. Members of type Micros are read
// from milliseconds, all other members without conversion.
template <class Owner>
struct Field {
  using Reader = void (*)(const json& value, const char* name, Owner& owner);
  using Target = std::variant<int Owner::*, double Owner::*, bool Owner::*, Micros Owner::*,
                              std::string Owner::*, Reader>;

  const char* name;
  Target target;
  Presence presence = Presence::required;
  // Whether the simulator must give the field, too.
  bool has_default = true;
};

double asNumber(const json& value, const char* name) {
  if (!value.is_number())
    bad(std::string("not a number: ") + name);
  return value.get<double>();
}

int asWholeNumber(const json& value, const char* name) {
  const double number = asNumber(value, name);
  if (number != std::floor(number))
    bad(std::string("not a whole number: ") + name);
  if (std::abs(number) > std::numeric_limits<int>::max())
    bad(std::string("out of range: ") + name);
  return static_cast<int>(number);
}

bool asTruth(const json& value, const char* name) {
  if (!value.is_boolean())
    bad(std::string("not true or false: ") + name);
  return value.get<bool>();
}

std::string asText(const json& value, const char* name) {
  if (!value.is_string())
    bad(std::string("not a text: ") + name);
  return value.get<std::string>();
}

const json& asArray(const json& value, const char* name) {
  if (!value.is_array())
    bad(std::string("not an array: ") + name);
  return value;
}

void readValue(const json& value, const char* name, int& target) {
  target = asWholeNumber(value, name);
}

void readValue(const json& value, const char* name, double& target) {
  target = asNumber(value, name);
}

void readValue(const json& value, const char* name, bool& target) {
  target = asTruth(value, name);
}

void readValue(const json& value, const char* name, Micros& target) {
  const double duration = asNumber(value, name);
  if (std::abs(duration) > kMaxDurationMs)
    bad(std::string("out of range: ") + name);
  target = toMicros(duration);
}

void readValue(const json& value, const char* name, std::string& target) {
  target = asText(value, name);
}

// Null if the object lacks the field. In the simulator's events an absent value is null; in a file null is a
// value of the wrong type.
const json* findField(const json& object, const char* name, SettingsSource source) {
  const auto found = object.find(name);
  if (found == object.end() || (source == SettingsSource::simulator && found->is_null()))
    return nullptr;
  return &*found;
}

template <class Owner>
void readField(const json& object, const Field<Owner>& field, SettingsSource source, Owner& owner) {
  const json* value = findField(object, field.name, source);
  if (!value) {
    if (!field.has_default || (source == SettingsSource::file && field.presence == Presence::required))
      bad(std::string("missing field ") + field.name);
    return;
  }
  const auto read = [&](const auto& target) {
    if constexpr (std::is_same_v<std::decay_t<decltype(target)>, typename Field<Owner>::Reader>)
      target(*value, field.name, owner);
    else
      readValue(*value, field.name, owner.*target);
  };
  std::visit(read, field.target);
}

template <class Owner, std::size_t size>
void readFields(const json& object, const Field<Owner> (&fields)[size], SettingsSource source, Owner& owner) {
  for (const Field<Owner>& field : fields)
    readField(object, field, source, owner);
}

void readIdempotency(const json& value, const char* name, MessageClass& message_class) {
  message_class.idempotency = oneOf<Idempotency>(asText(value, name),
                                                 {{"idempotent", Idempotency::idempotent},
                                                  {"deduplicated", Idempotency::idempotency_key},
                                                  {"at_most_once", Idempotency::non_idempotent}},
                                                 name);
}

void readIdempotencyScope(const json& value, const char* name, MessageClass& message_class) {
  message_class.idempotency_scope = oneOf<IdempotencyScope>(
      asText(value, name),
      {{"all", IdempotencyScope::all}, {"zone", IdempotencyScope::zone}, {"cell", IdempotencyScope::cell}},
      name);
}

void readZones(const json& value, const char* name, Settings& settings) {
  for (const json& zone : asArray(value, name))
    settings.zones.push_back(asText(zone, name));
}

void readWeightKind(const json& value, const char* name, Settings& settings) {
  settings.weight_kind = oneOf<WeightKind>(asText(value, name),
                                           {{"silent", WeightKind::none},
                                            {"nominal", WeightKind::nominal},
                                            {"rough", WeightKind::rough},
                                            {"live", WeightKind::none}},
                                           name);
}

void readListMode(const json& value, const char* name, Settings& settings) {
  settings.list_mode =
      oneOf<ListMode>(asText(value, name), {{"push", ListMode::push}, {"ask", ListMode::poll}}, name);
}

void readLatenessPenalty(const json& value, const char* name, Settings& settings) {
  settings.lateness_penalty = oneOf<LatenessPenalty>(
      asText(value, name), {{"line", LatenessPenalty::linear}, {"halves", LatenessPenalty::halving}}, name);
}

void readZoneCosts(const json& value, const char* name, Settings& settings) {
  for (const json& cost : asArray(value, name))
    settings.zone_cost.push_back(asNumber(cost, name));
}

void readKinds(const json& value, const char* name, Settings& settings) {
  for (const json& kind : asArray(value, name))
    settings.kinds.push_back({asText(kind, name), false, 1});
}

// The platform's names of the settings, in the order in which they are read. These names are used only in
// this file.

constexpr Field<MessageClass> kClassFields[] = {
    {"Name", &MessageClass::name, Presence::required, false},
    {"AimMs", &MessageClass::latency_objective, Presence::required, false},
    {"DeadlineMs", &MessageClass::deadline, Presence::required, false},
    {"AimStretch", &MessageClass::latency_objective_stretch, Presence::optional},
    {"Worth", &MessageClass::priority_weight},
    {"LateWorth", &MessageClass::late_weight_fraction},
    {"Idempotency", &readIdempotency, Presence::required, false},
    {"Group", &readIdempotencyScope},
    {"MemorySpanMs", &MessageClass::idempotency_window},
    {"KeepOrder", &MessageClass::ordered, Presence::optional},
};

constexpr Field<Tenant> kTenantFields[] = {
    {"Name", &Tenant::name, Presence::required, false},
    {"QuotaRps", &Tenant::quota},
    {"Share", &Tenant::share, Presence::optional},
};

constexpr Field<Settings> kTopLevelFields[] = {
    {"Azs", &readZones, Presence::optional},
    {"Kinds", &readKinds, Presence::optional},
    {"WeightKind", &readWeightKind},
    {"Discovery", &readListMode, Presence::optional},
    {"Balancers", &Settings::sender_count},
    {"TickMs", &Settings::min_decide_interval},
    {"OverShareWorth", &Settings::over_quota_weight, Presence::optional},
};

constexpr Field<Settings> kDomainFields[] = {
    {"CallSlots", &Settings::max_in_flight},
    {"Late", &readLatenessPenalty, Presence::optional},
    {"ZoneFee", &readZoneCosts, Presence::optional},
};

constexpr Field<Settings> kCeilingFields[] = {
    {"MaxOpen", &Settings::max_open_messages},          {"MaxAttempts", &Settings::max_attempts},
    {"MayCancel", &Settings::cancel_allowed},           {"ParallelTries", &Settings::hedging_allowed},
    {"RetryAfter", &Settings::retry_after_supported},   {"DialTimeoutMs", &Settings::connect_timeout},
    {"ConnIdleMs", &Settings::idle_connection_timeout}, {"MaxRetryAfterMs", &Settings::max_retry_after},
};

constexpr Field<Settings> kRuleFields[] = {
    {"AskWithinMs", &Settings::poll_notified_within, Presence::optional},
    {"DrainGraceMs", &Settings::drain_grace},
    {"FallMs", &Settings::overload_collapse_time},
    {"RampTimeMs", &Settings::slow_start_time},
    {"OrderPauseMs", &Settings::ordering_backoff, Presence::optional},
    {"ColdShare", &Settings::cold_capacity_fraction},
    {"OverloadFactor", &Settings::overload_factor},
};

// Reads an array of objects. An error names the position of the object.
template <class Item, std::size_t size>
std::vector<Item> readItems(const json& value, const char* name, const Field<Item> (&fields)[size],
                            SettingsSource source) {
  std::vector<Item> items;
  for (const json& entry : asArray(value, name)) {
    const std::string position = std::string(name) + "[" + std::to_string(items.size()) + "]";
    if (!entry.is_object())
      bad("not an object: " + position);
    try {
      Item item;
      readFields(entry, fields, source, item);
      items.push_back(std::move(item));
    } catch (const BadInput& error) {
      bad(position + ": " + error.what());
    }
  }
  return items;
}

// The value of a property of the destination kind at `index`, from an array in the order of the kinds; null
// if the domain lacks the property.
const json* findKindProperty(const json& domain, const char* name, std::size_t index, SettingsSource source) {
  const json* values = findField(domain, name, source);
  if (!values)
    return nullptr;
  if (index < asArray(*values, name).size())
    return &(*values)[index];
  if (source == SettingsSource::file)
    bad(std::string("a value for each kind is expected: ") + name);
  return nullptr;
}

// The kinds are listed by name; their properties are in arrays of the section `Domain`, in the same order.
void readKindProperties(const json& domain, SettingsSource source, Settings& settings) {
  for (const char* name : {"RoutesApart", "PerCall"})
    if (const json* values = findField(domain, name, source))
      asArray(*values, name);
  for (std::size_t i = 0; i < settings.kinds.size(); ++i) {
    if (const json* separate = findKindProperty(domain, "RoutesApart", i, source))
      settings.kinds[i].has_separate_routes = asTruth(*separate, "RoutesApart");
    if (const json* per_call = findKindProperty(domain, "PerCall", i, source))
      settings.kinds[i].messages_per_call = asWholeNumber(*per_call, "PerCall");
  }
}

// A section of the settings; an empty object if the simulator leaves it out.
const json& readSection(const json& settings_json, const char* name, SettingsSource source) {
  return source == SettingsSource::file ? object(settings_json, name) : optionalObject(settings_json, name);
}

}  // namespace

Settings readSettings(const json& settings_json, SettingsSource source) {
  Settings settings;
  settings.max_open_messages = kDefaultMaxOpenMessages;
  settings.classes = readItems(field(settings_json, "Categories"), "Categories", kClassFields, source);
  if (const json* tenants = findField(settings_json, "Tenants", source))
    settings.tenants = readItems(*tenants, "Tenants", kTenantFields, source);
  readFields(settings_json, kTopLevelFields, source, settings);
  const json& domain = readSection(settings_json, "Domain", source);
  readFields(domain, kDomainFields, source, settings);
  readKindProperties(domain, source, settings);
  readFields(readSection(settings_json, "Ceilings", source), kCeilingFields, source, settings);
  const json& rules = readSection(settings_json, "Rules", source);
  readFields(rules, kRuleFields, source, settings);
  if (source == SettingsSource::file && settings.list_mode == ListMode::poll)
    field(rules, "AskWithinMs");
  return settings;
}

}  // namespace grademux
