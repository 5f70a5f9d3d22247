#include "settings.h"

#include <cstddef>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace grademux {

namespace {

// Describes how one field of a JSON object is read into a member of `Owner`. Members of type Micros are read
// from milliseconds, all other members without conversion.
template <class Owner>
struct Field {
  using Reader = void (*)(const json& object, const char* name, Owner& owner);
  using Target = std::variant<int Owner::*, double Owner::*, bool Owner::*, Micros Owner::*,
                              std::string Owner::*, Reader>;

  const char* name;
  Target target;
  // In the unit of the field; without a fallback the field is required.
  std::optional<double> fallback = std::nullopt;
};

void readValue(const json& object, const char* name, std::optional<double> fallback, int& value) {
  value = static_cast<int>(fallback ? number(object, name, *fallback) : number(object, name));
}

void readValue(const json& object, const char* name, std::optional<double> fallback, double& value) {
  value = fallback ? number(object, name, *fallback) : number(object, name);
}

void readValue(const json& object, const char* name, std::optional<double> fallback, bool& value) {
  value = fallback ? truth(object, name, *fallback != 0) : truth(object, name);
}

void readValue(const json& object, const char* name, std::optional<double> fallback, Micros& value) {
  value = fallback ? span(object, name, toMicros(*fallback)) : span(object, name);
}

void readValue(const json& object, const char* name, std::optional<double>, std::string& value) {
  value = text(object, name);
}

template <class Owner>
void readField(const json& object, const Field<Owner>& field, Owner& owner) {
  const auto read = [&](const auto& target) {
    if constexpr (std::is_same_v<std::decay_t<decltype(target)>, typename Field<Owner>::Reader>)
      target(object, field.name, owner);
    else
      readValue(object, field.name, field.fallback, owner.*target);
  };
  std::visit(read, field.target);
}

template <class Owner, std::size_t size>
void readFields(const json& object, const Field<Owner> (&fields)[size], Owner& owner) {
  for (const Field<Owner>& field : fields)
    readField(object, field, owner);
}

void readIdempotency(const json& object, const char* name, MessageClass& message_class) {
  message_class.idempotency = oneOf<Idempotency>(text(object, name),
                                                 {{"idempotent", Idempotency::idempotent},
                                                  {"deduplicated", Idempotency::idempotency_key},
                                                  {"at_most_once", Idempotency::non_idempotent}},
                                                 name);
}

void readIdempotencyScope(const json& object, const char* name, MessageClass& message_class) {
  message_class.idempotency_scope = oneOf<IdempotencyScope>(
      text(object, name, "all"),
      {{"all", IdempotencyScope::all}, {"zone", IdempotencyScope::zone}, {"cell", IdempotencyScope::cell}},
      name);
}

void readZones(const json& object, const char* name, Settings& settings) {
  if (absent(object, name))
    return;
  for (const json& zone : array(object, name))
    settings.zones.push_back(zone.is_string() ? zone.get<std::string>() : "");
}

void readWeightKind(const json& object, const char* name, Settings& settings) {
  settings.weight_kind = oneOf<WeightKind>(text(object, name, "silent"),
                                           {{"silent", WeightKind::none},
                                            {"nominal", WeightKind::nominal},
                                            {"rough", WeightKind::rough},
                                            {"live", WeightKind::none}},
                                           name);
}

void readListMode(const json& object, const char* name, Settings& settings) {
  settings.list_mode =
      oneOf<ListMode>(text(object, name, "push"), {{"push", ListMode::push}, {"ask", ListMode::poll}}, name);
}

void readLatenessPenalty(const json& object, const char* name, Settings& settings) {
  settings.lateness_penalty =
      oneOf<LatenessPenalty>(text(object, name, "line"),
                             {{"line", LatenessPenalty::linear}, {"halves", LatenessPenalty::halving}}, name);
}

void readZoneCosts(const json& object, const char* name, Settings& settings) {
  if (absent(object, name))
    return;
  for (const json& cost : array(object, name))
    settings.zone_cost.push_back(cost.is_number() ? cost.get<double>() : 0);
}

void readTenants(const json& object, const char* name, Settings& settings) {
  if (absent(object, name))
    return;
  for (const json& tenant : array(object, name))
    settings.tenants.push_back(
        {text(tenant, "Name"), number(tenant, "QuotaRps", 0), number(tenant, "Share", 0)});
}

void readClasses(const json& object, const char* name, Settings& settings);

// The platform's names of the settings, in the order in which they are read. These names are used only in
// this file.

constexpr Field<MessageClass> kClassFields[] = {
    {"Name", &MessageClass::name},
    {"AimMs", &MessageClass::latency_objective},
    {"DeadlineMs", &MessageClass::deadline},
    {"AimStretch", &MessageClass::latency_objective_stretch, 0},
    {"Worth", &MessageClass::priority_weight, 1},
    {"LateWorth", &MessageClass::late_weight_fraction, 0},
    {"Idempotency", &readIdempotency},
    {"Group", &readIdempotencyScope},
    {"MemorySpanMs", &MessageClass::idempotency_window, 0},
    {"KeepOrder", &MessageClass::ordered, 0},
};

constexpr Field<Settings> kTopLevelFields[] = {
    {"Categories", &readClasses},
    {"Tenants", &readTenants},
    {"Azs", &readZones},
    {"WeightKind", &readWeightKind},
    {"Discovery", &readListMode},
    {"Balancers", &Settings::sender_count, 1},
    {"TickMs", &Settings::min_decide_interval, 0},
    {"OverShareWorth", &Settings::over_quota_weight, 1},
};

constexpr Field<Settings> kDomainFields[] = {
    {"CallSlots", &Settings::max_in_flight, 1},
    {"Late", &readLatenessPenalty},
    {"ZoneFee", &readZoneCosts},
};

constexpr Field<Settings> kCeilingFields[] = {
    {"MaxOpen", &Settings::max_open_messages, 20000},      {"MaxAttempts", &Settings::max_attempts, 1},
    {"MayCancel", &Settings::cancel_allowed, 0},           {"ParallelTries", &Settings::hedging_allowed, 0},
    {"RetryAfter", &Settings::retry_after_supported, 0},   {"DialTimeoutMs", &Settings::connect_timeout, 0},
    {"ConnIdleMs", &Settings::idle_connection_timeout, 0}, {"MaxRetryAfterMs", &Settings::max_retry_after, 0},
};

constexpr Field<Settings> kRuleFields[] = {
    {"AskWithinMs", &Settings::poll_notified_within, 0}, {"DrainGraceMs", &Settings::drain_grace, 0},
    {"FallMs", &Settings::overload_collapse_time, 0},    {"RampTimeMs", &Settings::slow_start_time, 0},
    {"OrderPauseMs", &Settings::ordering_backoff, 0},    {"ColdShare", &Settings::cold_capacity_fraction, 1},
    {"OverloadFactor", &Settings::overload_factor, 1},
};

void readClasses(const json& object, const char* name, Settings& settings) {
  for (const json& entry : array(object, name)) {
    try {
      MessageClass message_class;
      readFields(entry, kClassFields, message_class);
      settings.classes.push_back(std::move(message_class));
    } catch (const BadInput& error) {
      bad(std::string(name) + "[" + std::to_string(settings.classes.size()) + "]: " + error.what());
    }
  }
}

// The kinds are listed by name; their properties are in arrays of the section `Domain`, in the same order.
void readKinds(const json& settings_json, const json& domain, Settings& settings) {
  if (!absent(settings_json, "Kinds"))
    for (const json& kind : array(settings_json, "Kinds"))
      settings.kinds.push_back({kind.is_string() ? kind.get<std::string>() : "", false, 1});
  for (std::size_t i = 0; i < settings.kinds.size(); ++i) {
    if (!absent(domain, "RoutesApart") && i < array(domain, "RoutesApart").size() &&
        domain["RoutesApart"][i].is_boolean())
      settings.kinds[i].has_separate_routes = domain["RoutesApart"][i].get<bool>();
    if (!absent(domain, "PerCall") && i < array(domain, "PerCall").size() && domain["PerCall"][i].is_number())
      settings.kinds[i].messages_per_call = domain["PerCall"][i].get<int>();
  }
}

}  // namespace

Settings readSettings(const json& settings_json) {
  Settings settings;
  readFields(settings_json, kTopLevelFields, settings);
  const json& domain = optionalObject(settings_json, "Domain");
  readFields(domain, kDomainFields, settings);
  readKinds(settings_json, domain, settings);
  readFields(optionalObject(settings_json, "Ceilings"), kCeilingFields, settings);
  readFields(optionalObject(settings_json, "Rules"), kRuleFields, settings);
  return settings;
}

}  // namespace grademux
