// grademux: reads the settings; see settings.h.
#include "settings.h"

namespace grademux {
namespace {

MessageClass readClass(const json& c) {
  MessageClass m;
  m.name = text(c, "Name");
  m.aim = span(c, "AimMs");
  m.deadline = span(c, "DeadlineMs");
  m.aim_stretch = number(c, "AimStretch", 0);
  m.worth = number(c, "Worth", 1);
  m.late_worth = number(c, "LateWorth", 0);
  m.effect = oneOf<Effect>(
      text(c, "Idempotency"),
      {{"idempotent", Effect::safe}, {"deduplicated", Effect::keyed}, {"at_most_once", Effect::unsafe}},
      "Idempotency");
  m.group = oneOf<RepeatGroup>(
      text(c, "Group", "all"),
      {{"all", RepeatGroup::all}, {"zone", RepeatGroup::zone}, {"cell", RepeatGroup::cell}}, "Group");
  m.memory = span(c, "MemorySpanMs", 0);
  m.ordered = truth(c, "KeepOrder", false);
  return m;
}

void readDomain(const json& o, Settings& s) {
  const json& d = optionalObject(o, "Domain");
  s.slots = static_cast<int>(number(d, "CallSlots", 1));
  s.late = oneOf<LateRule>(text(d, "Late", "line"), {{"line", LateRule::line}, {"halves", LateRule::halves}},
                           "Late");
  if (!absent(d, "ZoneFee"))
    for (const json& z : array(d, "ZoneFee"))
      s.zone_fee.push_back(z.is_number() ? z.get<double>() : 0);
  if (!absent(o, "Kinds"))
    for (const json& k : array(o, "Kinds"))
      s.kinds.push_back({k.is_string() ? k.get<std::string>() : "", false, 1});
  for (std::size_t i = 0; i < s.kinds.size(); ++i) {
    if (!absent(d, "RoutesApart") && i < array(d, "RoutesApart").size() && d["RoutesApart"][i].is_boolean())
      s.kinds[i].routes_apart = d["RoutesApart"][i].get<bool>();
    if (!absent(d, "PerCall") && i < array(d, "PerCall").size() && d["PerCall"][i].is_number())
      s.kinds[i].per_call = d["PerCall"][i].get<int>();
  }
}

void readLimits(const json& o, Settings& s) {
  const json& c = optionalObject(o, "Ceilings");
  s.max_open = static_cast<int>(number(c, "MaxOpen", 20000));
  s.max_attempts = static_cast<int>(number(c, "MaxAttempts", 1));
  s.may_cancel = truth(c, "MayCancel", false);
  s.may_copy = truth(c, "ParallelTries", false);
  s.told_pause = truth(c, "RetryAfter", false);
  s.dial_timeout = span(c, "DialTimeoutMs", 0);
  s.conn_idle = span(c, "ConnIdleMs", 0);
  s.max_pause = span(c, "MaxRetryAfterMs", 0);
  const json& r = optionalObject(o, "Rules");
  s.ask_within = span(r, "AskWithinMs", 0);
  s.drain_grace = span(r, "DrainGraceMs", 0);
  s.fall_span = span(r, "FallMs", 0);
  s.ramp_time = span(r, "RampTimeMs", 0);
  s.order_pause = span(r, "OrderPauseMs", 0);
  s.cold_share = number(r, "ColdShare", 1);
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
  s.weights = oneOf<WeightKind>(text(o, "WeightKind", "silent"),
                                {{"silent", WeightKind::none},
                                 {"nominal", WeightKind::nominal},
                                 {"rough", WeightKind::rough},
                                 {"live", WeightKind::none}},
                                "WeightKind");
  s.list = oneOf<ListMode>(text(o, "Discovery", "push"), {{"push", ListMode::push}, {"ask", ListMode::ask}},
                           "Discovery");
  s.senders = static_cast<int>(number(o, "Balancers", 1));
  s.tick = span(o, "TickMs", 0);
  s.over_share_worth = number(o, "OverShareWorth", 1);
  readDomain(o, s);
  readLimits(o, s);
  return s;
}

}  // namespace grademux
