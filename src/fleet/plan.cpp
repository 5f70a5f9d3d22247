// grademux fleet: the plan; see plan.h.
#include "plan.h"

#include <xxhash.h>

#include <algorithm>
#include <cinttypes>
#include <cstdio>

namespace grademux::fleet {

namespace {

json shownNeeds(const PlanRequirements& n) {
  json o = json::object();
  if (!n.settings.empty())
    o["settings"] = n.settings;
  if (!n.daemon.empty())
    o["daemon"] = n.daemon;
  if (!n.program.empty())
    o["program"] = n.program;
  if (n.list_version >= 0)
    o["list"] = n.list_version;
  return o;
}

PlanRequirements readNeeds(const json& o, const std::string& path, std::vector<std::string>& unknown) {
  PlanRequirements n;
  n.settings = text(o, "settings", "");
  n.daemon = text(o, "daemon", "");
  n.program = text(o, "program", "");
  if (!absent(o, "list"))
    n.list_version = integer(o, "list");
  for (const auto& [key, value] : o.items())
    if (key != "settings" && key != "daemon" && key != "program" && key != "list")
      unknown.push_back(path + "." + key);
  return n;
}

constexpr const char* kFields[] = {"number", "needs",    "before", "strict", "lease_ms", "binds_after_ms",
                                   "by",     "shut_out", "halted", "zones",  "why",      "most_shut_out",
                                   "at_us"};

}  // namespace

std::string planDigest(const std::string& canonical) {
  char hex[17];
  std::snprintf(hex, sizeof hex, "%016" PRIx64,
                static_cast<std::uint64_t>(XXH3_64bits(canonical.data(), canonical.size())));
  return hex;
}

Plan parsePlan(const json& o) {
  if (!o.is_object())
    bad("the plan is not an object");
  Plan p;
  p.number = integer(o, "number");
  if (p.number < 1)
    bad("number: 1 or more is expected");
  p.requirements = readNeeds(object(o, "needs"), "needs", p.unknown_fields);
  std::vector<std::string> past;  // what a plan that is over asked for binds nobody
  p.previous_requirements = readNeeds(optionalObject(o, "before"), "before", past);
  p.strict = truth(o, "strict");
  p.lease = span(o, "lease_ms");
  p.effective_after = span(o, "binds_after_ms");
  if (p.lease < kLeastLease || p.lease > kMostLease)
    bad("lease_ms: 1000 to 3600000 is expected");
  if (p.effective_after < 0)
    bad("binds_after_ms: no less than 0 is expected");
  p.max_fenced_fraction = number(o, "most_shut_out", 0.25);
  if (!(p.max_fenced_fraction >= 0 && p.max_fenced_fraction <= 1))
    bad("most_shut_out: 0 to 1 is expected");
  if (!absent(o, "shut_out"))
    for (const json& name : array(o, "shut_out")) {
      if (!name.is_string())
        bad("shut_out: names are expected");
      p.fenced.insert(name.get<std::string>());
    }
  p.halted = truth(o, "halted", false);
  for (const auto& [zone, state] : optionalObject(o, "zones").items())
    p.zones[zone] = zones::parseState(state);
  p.author = text(o, "by", "");
  p.reason = text(o, "why", "");
  if (!absent(o, "at_us"))
    p.changed_at = integer(o, "at_us");
  for (const auto& [key, value] : o.items())
    if (std::none_of(std::begin(kFields), std::end(kFields), [&](const char* f) { return key == f; }))
      p.unknown_fields.push_back(key);
  return p;
}

json toJson(const Plan& p) {
  json states = json::object();
  for (const auto& [zone, s] : p.zones)
    states[zone] = zones::toJson(s);
  return {{"number", p.number},
          {"needs", shownNeeds(p.requirements)},
          {"before", shownNeeds(p.previous_requirements)},
          {"strict", p.strict},
          {"lease_ms", p.lease / 1000},
          {"binds_after_ms", p.effective_after / 1000},
          {"most_shut_out", p.max_fenced_fraction},
          {"shut_out", p.fenced},
          {"halted", p.halted},
          {"zones", std::move(states)},
          {"by", p.author},
          {"why", p.reason},
          {"at_us", p.changed_at}};
}

std::string planDigest(const Plan& p) {
  return planDigest(toJson(p).dump());
}

std::string transitionError(const Plan& now, const Plan& next) {
  if (next.number != now.number + 1)
    return "its number is " + std::to_string(next.number) + ", " + std::to_string(now.number + 1) +
           " would follow";
  // Whoever acts by a lenient plan does not stop: there is no lease to wait for.
  if (next.strict && now.strict && next.effective_after < now.lease)
    return "it would bind after " + std::to_string(next.effective_after / 1000) +
           " ms: a sender that is cut off acts on for the " + std::to_string(now.lease / 1000) +
           " ms of its lease";
  return "";
}

Plan nextPlan(const Plan& now, const std::string& by, const std::string& why, Micros at) {
  Plan p = now;
  ++p.number;
  if (!now.halted)
    p.previous_requirements = now.requirements;
  p.halted = false;
  p.effective_after = std::max(now.effective_after, now.strict ? now.lease : 0);
  p.author = by;
  p.reason = why;
  p.changed_at = at;
  p.unknown_fields.clear();
  return p;
}

Plan haltedPlan(const Plan& now, const std::string& by, const std::string& why, Micros at) {
  Plan p = nextPlan(now, by, why, at);
  p.requirements = p.previous_requirements = now.previous_requirements;
  p.halted = true;
  return p;
}

json toJson(const RunningVersions& o) {
  return {{"program", o.program},
          {"settings", o.settings},
          {"daemon", o.daemon},
          {"list", o.list_version},
          {"plan", o.plan}};
}
RunningVersions parseRunningVersions(const json& o) {
  return {text(o, "program", ""), text(o, "settings", ""), text(o, "daemon", ""),
          absent(o, "list") ? -1 : integer(o, "list"), absent(o, "plan") ? 0 : integer(o, "plan")};
}

bool isOlderVersion(const std::string& a, const std::string& b) {
  std::size_t i = 0, j = 0;
  const auto part = [](const std::string& s, std::size_t& at) {
    std::int64_t n = 0;
    for (; at < s.size() && s[at] >= '0' && s[at] <= '9'; ++at)
      n = n * 10 + (s[at] - '0');
    while (at < s.size() && (s[at] < '0' || s[at] > '9'))
      ++at;
    return n;
  };
  while (i < a.size() || j < b.size()) {
    const std::int64_t x = part(a, i), y = part(b, j);
    if (x != y)
      return x < y;
  }
  return false;
}

std::vector<MissingRequirement> missingRequirements(const RunningVersions& own, const Plan& plan,
                                                    const std::string& name) {
  std::vector<MissingRequirement> all;
  const auto add = [&](MissingRequirement::Kind what, std::string says) {
    all.push_back({what, std::move(says)});
  };
  if (plan.fenced.count(name))
    add(MissingRequirement::Kind::word, "shut out by " + plan.author + ": " + plan.reason);
  for (const std::string& f : plan.unknown_fields)
    add(MissingRequirement::Kind::field, "program " + own.program + " does not know " + f);
  const PlanRequirements& n = plan.requirements;
  if (!n.program.empty() && isOlderVersion(own.program, n.program))
    add(MissingRequirement::Kind::program,
        "program " + own.program + ", " + n.program + " or newer is asked for");
  if (!n.settings.empty() && n.settings != own.settings)
    add(MissingRequirement::Kind::settings, "settings " + own.settings + ", " + n.settings + " is asked for");
  if (!n.daemon.empty() && n.daemon != own.daemon)
    add(MissingRequirement::Kind::daemon, "daemon file " + own.daemon + ", " + n.daemon + " is asked for");
  if (n.list_version > own.list_version)
    add(MissingRequirement::Kind::list_version, "list " + std::to_string(own.list_version) + ", " +
                                                    std::to_string(n.list_version) +
                                                    " or newer is asked for");
  return all;
}

std::string toString(const std::vector<MissingRequirement>& lacks) {
  std::string all;
  for (const MissingRequirement& l : lacks)
    all += (all.empty() ? "" : "; ") + l.description;
  return all;
}

json toJson(const SenderReport& r) {
  json past = json::array(), votes = json::object();
  for (const auto& [zone, v] : r.zones)
    votes[zone] = zones::toJson(v);
  for (const ActionPeriod& a : r.action_history)
    past.push_back({a.from, a.plan, a.allowed});
  json all{{"name", r.name},
           {"standing", r.compliance},
           {"why", r.reason},
           {"host", r.host},
           {"own", toJson(r.versions)},
           {"heard", r.newest_plan},
           {"lease_ms", r.lease / 1000},
           {"strict", r.strict},
           {"since_us", r.since},
           {"at_us", r.at},
           {"epoch", r.epoch},
           {"process", r.process},
           {"zones", std::move(votes)},
           {"past", std::move(past)}};
  if (!r.regions.empty())
    all["regions"] = r.regions;
  return all;
}
SenderReport parseReport(const json& o) {
  if (!o.is_object())
    bad("a report is not an object");
  SenderReport r;
  r.name = text(o, "name");
  r.compliance = text(o, "standing", "");
  r.reason = text(o, "why", "");
  r.host = text(o, "host", "");
  r.process = text(o, "process", "");
  r.versions = parseRunningVersions(object(o, "own"));
  r.newest_plan = absent(o, "heard") ? 0 : integer(o, "heard");
  r.strict = truth(o, "strict", false);
  r.lease = absent(o, "lease_ms") ? 0 : span(o, "lease_ms");
  r.since = absent(o, "since_us") ? 0 : integer(o, "since_us");
  r.at = absent(o, "at_us") ? 0 : integer(o, "at_us");
  r.epoch = absent(o, "epoch") ? 0 : integer(o, "epoch");
  for (const auto& [zone, v] : optionalObject(o, "zones").items())
    r.zones[zone] = zones::parseVote(v);
  for (const auto& [zone, region] : optionalObject(o, "regions").items()) {
    if (!region.is_string())
      bad("not a text: regions." + zone);
    r.regions[zone] = region;
  }
  if (absent(o, "past"))
    return r;
  const json& past = field(o, "past");
  if (!past.is_array())
    bad("not a list: past");
  for (const json& a : past) {
    if (!a.is_array() || a.size() != 3 || !a[0].is_number_integer() || !a[1].is_number_integer() ||
        !a[2].is_boolean())
      bad("past: [time, plan, may] are expected");
    r.action_history.push_back({a[0], a[1], a[2]});
  }
  return r;
}

std::string probeRank(std::int64_t plan, const std::string& name) {
  return planDigest(std::to_string(plan) + " " + name);
}

bool tooManyLagging(const Plan& plan, const std::vector<SenderReport>& senders, std::string& names) {
  // What a halt asks for was in force: one that can't be followed either is the operator's to mend.
  if (!plan.strict || plan.halted)
    return false;
  std::size_t all = 0, behind = 0;
  for (const SenderReport& r : senders) {
    const bool out = r.compliance == kFencedName && r.newest_plan >= plan.number;  // and holds no session
    if ((!r.live && !out) || plan.fenced.count(r.name))
      continue;  // a word is the operator's to count
    ++all;
    if (r.versions.plan >= plan.number || missingRequirements(r.versions, plan, r.name).empty())
      continue;
    ++behind;
    names += (names.empty() ? "" : ", ") + r.name;
  }
  return static_cast<double>(behind) > plan.max_fenced_fraction * static_cast<double>(all);
}

}  // namespace grademux::fleet
