// grademux: reads the settings; see settings.h.
#include "settings.h"

namespace grademux {
namespace {

MessageClass readClass(const json& c) {
  MessageClass m;
  m.name = text(c, "Name");
  m.latency_objective = span(c, "AimMs");
  m.deadline = span(c, "DeadlineMs");
  m.latency_objective_stretch = number(c, "AimStretch", 0);
  m.priority_weight = number(c, "Worth", 1);
  m.late_weight_fraction = number(c, "LateWorth", 0);
  m.idempotency = oneOf<Idempotency>(text(c, "Idempotency"),
                                     {{"idempotent", Idempotency::idempotent},
                                      {"deduplicated", Idempotency::idempotency_key},
                                      {"at_most_once", Idempotency::non_idempotent}},
                                     "Idempotency");
  m.idempotency_scope = oneOf<IdempotencyScope>(
      text(c, "Group", "all"),
      {{"all", IdempotencyScope::all}, {"zone", IdempotencyScope::zone}, {"cell", IdempotencyScope::cell}},
      "Group");
  m.idempotency_window = span(c, "MemorySpanMs", 0);
  m.ordered = truth(c, "KeepOrder", false);
  return m;
}

void readDomain(const json& o, Settings& s) {
  const json& d = optionalObject(o, "Domain");
  s.max_in_flight = static_cast<int>(number(d, "CallSlots", 1));
  s.lateness_penalty = oneOf<LatenessPenalty>(
      text(d, "Late", "line"), {{"line", LatenessPenalty::linear}, {"halves", LatenessPenalty::halving}},
      "Late");
  if (!absent(d, "ZoneFee"))
    for (const json& z : array(d, "ZoneFee"))
      s.zone_cost.push_back(z.is_number() ? z.get<double>() : 0);
  if (!absent(o, "Kinds"))
    for (const json& k : array(o, "Kinds"))
      s.kinds.push_back({k.is_string() ? k.get<std::string>() : "", false, 1});
  for (std::size_t i = 0; i < s.kinds.size(); ++i) {
    if (!absent(d, "RoutesApart") && i < array(d, "RoutesApart").size() && d["RoutesApart"][i].is_boolean())
      s.kinds[i].has_separate_routes = d["RoutesApart"][i].get<bool>();
    if (!absent(d, "PerCall") && i < array(d, "PerCall").size() && d["PerCall"][i].is_number())
      s.kinds[i].messages_per_call = d["PerCall"][i].get<int>();
  }
}

void readLimits(const json& o, Settings& s) {
  const json& c = optionalObject(o, "Ceilings");
  s.max_open_messages = static_cast<int>(number(c, "MaxOpen", 20000));
  s.max_attempts = static_cast<int>(number(c, "MaxAttempts", 1));
  s.cancel_allowed = truth(c, "MayCancel", false);
  s.hedging_allowed = truth(c, "ParallelTries", false);
  s.retry_after_supported = truth(c, "RetryAfter", false);
  s.connect_timeout = span(c, "DialTimeoutMs", 0);
  s.idle_connection_timeout = span(c, "ConnIdleMs", 0);
  s.max_retry_after = span(c, "MaxRetryAfterMs", 0);
  const json& r = optionalObject(o, "Rules");
  s.poll_notified_within = span(r, "AskWithinMs", 0);
  s.drain_grace = span(r, "DrainGraceMs", 0);
  s.overload_collapse_time = span(r, "FallMs", 0);
  s.slow_start_time = span(r, "RampTimeMs", 0);
  s.ordering_backoff = span(r, "OrderPauseMs", 0);
  s.cold_capacity_fraction = number(r, "ColdShare", 1);
  s.overload_factor = number(r, "OverloadFactor", 1);
}

}  // namespace

Settings readSettings(const json& o) {
  Settings s;
  for (const json& c : array(o, "Categories")) {
    try {
      s.classes.push_back(readClass(c));
    } catch (const BadInput& e) {
      bad("Categories[" + std::to_string(s.classes.size()) + "]: " + e.what());
    }
  }
  if (!absent(o, "Tenants"))
    for (const json& t : array(o, "Tenants"))
      s.tenants.push_back({text(t, "Name"), number(t, "QuotaRps", 0), number(t, "Share", 0)});
  if (!absent(o, "Azs"))
    for (const json& z : array(o, "Azs"))
      s.zones.push_back(z.is_string() ? z.get<std::string>() : "");
  s.weight_kind = oneOf<WeightKind>(text(o, "WeightKind", "silent"),
                                    {{"silent", WeightKind::none},
                                     {"nominal", WeightKind::nominal},
                                     {"rough", WeightKind::rough},
                                     {"live", WeightKind::none}},
                                    "WeightKind");
  s.list_mode = oneOf<ListMode>(text(o, "Discovery", "push"),
                                {{"push", ListMode::push}, {"ask", ListMode::poll}}, "Discovery");
  s.sender_count = static_cast<int>(number(o, "Balancers", 1));
  s.min_decide_interval = span(o, "TickMs", 0);
  s.over_quota_weight = number(o, "OverShareWorth", 1);
  readDomain(o, s);
  readLimits(o, s);
  return s;
}

}  // namespace grademux
