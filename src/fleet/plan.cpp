#include "plan.h"

#include <xxhash.h>

#include <algorithm>
#include <cinttypes>
#include <cstdio>

namespace grademux::fleet {

namespace {

// Names of the stored fields.
constexpr const char* kRequirementFields[] = {"settings", "daemon", "program", "list"};

json requirementsToJson(const PlanRequirements& requirements) {
  json object = json::object();
  if (!requirements.settings.empty())
    object["settings"] = requirements.settings;
  if (!requirements.daemon.empty())
    object["daemon"] = requirements.daemon;
  if (!requirements.program.empty())
    object["program"] = requirements.program;
  if (requirements.list_version >= 0)
    object["list"] = requirements.list_version;
  return object;
}

template <std::size_t N>
void appendUnknownFields(const json& object, const char* const (&known)[N], const std::string& prefix,
                         std::vector<std::string>& unknown) {
  for (const auto& [key, value] : object.items())
    if (std::find(std::begin(known), std::end(known), key) == std::end(known))
      unknown.push_back(prefix + key);
}

PlanRequirements parseRequirements(const json& object) {
  PlanRequirements requirements;
  requirements.settings = text(object, "settings", "");
  requirements.daemon = text(object, "daemon", "");
  requirements.program = text(object, "program", "");
  if (!absent(object, "list"))
    requirements.list_version = integer(object, "list");
  return requirements;
}

std::set<std::string> parseFenced(const json& object) {
  std::set<std::string> fenced;
  if (absent(object, "shut_out"))
    return fenced;
  for (const json& name : array(object, "shut_out")) {
    if (!name.is_string())
      bad("shut_out: names are expected");
    fenced.insert(name.get<std::string>());
  }
  return fenced;
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

Plan parsePlan(const json& object) {
  if (!object.is_object())
    bad("the plan is not an object");
  Plan plan;
  plan.number = integer(object, "number");
  if (plan.number < 1)
    bad("number: 1 or more is expected");
  const json& requirements = grademux::object(object, "needs");
  plan.requirements = parseRequirements(requirements);
  appendUnknownFields(requirements, kRequirementFields, "needs.", plan.unknown_fields);
  // Unknown requirements of the plan before do not apply any more.
  plan.previous_requirements = parseRequirements(optionalObject(object, "before"));
  plan.strict = truth(object, "strict");
  plan.lease = span(object, "lease_ms");
  plan.effective_after = span(object, "binds_after_ms");
  if (plan.lease < kMinLease || plan.lease > kMaxLease)
    bad("lease_ms: 1000 to 3600000 is expected");
  if (plan.effective_after < 0)
    bad("binds_after_ms: no less than 0 is expected");
  plan.max_fenced_fraction = number(object, "most_shut_out", 0.25);
  if (!(plan.max_fenced_fraction >= 0 && plan.max_fenced_fraction <= 1))
    bad("most_shut_out: 0 to 1 is expected");
  plan.fenced = parseFenced(object);
  plan.halted = truth(object, "halted", false);
  for (const auto& [zone, state] : optionalObject(object, "zones").items())
    plan.zones[zone] = zones::parseState(state);
  plan.author = text(object, "by", "");
  plan.reason = text(object, "why", "");
  if (!absent(object, "at_us"))
    plan.changed_at = integer(object, "at_us");
  appendUnknownFields(object, kFields, "", plan.unknown_fields);
  return plan;
}

json toJson(const Plan& plan) {
  json states = json::object();
  for (const auto& [zone, state] : plan.zones)
    states[zone] = zones::toJson(state);
  return {{"number", plan.number},
          {"needs", requirementsToJson(plan.requirements)},
          {"before", requirementsToJson(plan.previous_requirements)},
          {"strict", plan.strict},
          {"lease_ms", plan.lease / 1000},
          {"binds_after_ms", plan.effective_after / 1000},
          {"most_shut_out", plan.max_fenced_fraction},
          {"shut_out", plan.fenced},
          {"halted", plan.halted},
          {"zones", std::move(states)},
          {"by", plan.author},
          {"why", plan.reason},
          {"at_us", plan.changed_at}};
}

std::string planDigest(const Plan& plan) {
  return planDigest(toJson(plan).dump());
}

Result<void, PlanTransitionError> checkTransition(const Plan& now, const Plan& next) {
  if (next.number != now.number + 1)
    return PlanTransitionError{PlanTransitionError::Kind::wrong_number,
                               "its number is " + std::to_string(next.number) + ", " +
                                   std::to_string(now.number + 1) + " would follow"};
  // Under a lenient plan senders do not stop: there is no lease to wait for.
  if (next.strict && now.strict && next.effective_after < now.lease)
    return PlanTransitionError{PlanTransitionError::Kind::effective_before_lease_ends,
                               "it would bind after " + std::to_string(next.effective_after / 1000) +
                                   " ms, but a sender without a connection to the store acts for the " +
                                   std::to_string(now.lease / 1000) + " ms of its lease"};
  return ok();
}

Plan nextPlan(const Plan& now, const std::string& author, const std::string& reason, Micros changed_at) {
  Plan next = now;
  ++next.number;
  if (!now.halted)
    next.previous_requirements = now.requirements;
  next.halted = false;
  next.effective_after = std::max(now.effective_after, now.strict ? now.lease : 0);
  next.author = author;
  next.reason = reason;
  next.changed_at = changed_at;
  next.unknown_fields.clear();
  return next;
}

Plan haltedPlan(const Plan& now, const std::string& author, const std::string& reason, Micros changed_at) {
  Plan halted = nextPlan(now, author, reason, changed_at);
  halted.previous_requirements = now.previous_requirements;
  halted.requirements = now.previous_requirements;
  halted.halted = true;
  return halted;
}

json toJson(const RunningVersions& versions) {
  return {{"program", versions.program},
          {"settings", versions.settings},
          {"daemon", versions.daemon},
          {"list", versions.list_version},
          {"plan", versions.plan}};
}

RunningVersions parseRunningVersions(const json& object) {
  RunningVersions versions;
  versions.program = text(object, "program", "");
  versions.settings = text(object, "settings", "");
  versions.daemon = text(object, "daemon", "");
  versions.list_version = absent(object, "list") ? -1 : integer(object, "list");
  versions.plan = absent(object, "plan") ? 0 : integer(object, "plan");
  return versions;
}

namespace {

bool isDigit(char character) {
  return character >= '0' && character <= '9';
}

// Reads the number at `position` and skips what separates it from the next one; 0 at the end.
std::int64_t nextVersionPart(const std::string& version, std::size_t& position) {
  std::int64_t part = 0;
  for (; position < version.size() && isDigit(version[position]); ++position)
    part = part * 10 + (version[position] - '0');
  while (position < version.size() && !isDigit(version[position]))
    ++position;
  return part;
}

}  // namespace

bool isOlderVersion(const std::string& version, const std::string& other) {
  std::size_t position = 0;
  std::size_t other_position = 0;
  while (position < version.size() || other_position < other.size()) {
    const std::int64_t part = nextVersionPart(version, position);
    const std::int64_t other_part = nextVersionPart(other, other_position);
    if (part != other_part)
      return part < other_part;
  }
  return false;
}

std::vector<MissingRequirement> missingRequirements(const RunningVersions& running, const Plan& plan,
                                                    const std::string& name) {
  using Kind = MissingRequirement::Kind;
  std::vector<MissingRequirement> missing;
  const auto add = [&](Kind kind, std::string description) {
    missing.push_back({kind, std::move(description)});
  };
  if (plan.fenced.count(name))
    add(Kind::fenced_by_operator, "shut out by " + plan.author + ": " + plan.reason);
  for (const std::string& field : plan.unknown_fields)
    add(Kind::unknown_field, "program " + running.program + " does not know " + field);
  const PlanRequirements& required = plan.requirements;
  if (!required.program.empty() && isOlderVersion(running.program, required.program))
    add(Kind::program, "program " + running.program + ", " + required.program + " or newer is asked for");
  if (!required.settings.empty() && required.settings != running.settings)
    add(Kind::settings, "settings " + running.settings + ", " + required.settings + " is asked for");
  if (!required.daemon.empty() && required.daemon != running.daemon)
    add(Kind::daemon, "daemon file " + running.daemon + ", " + required.daemon + " is asked for");
  if (required.list_version > running.list_version)
    add(Kind::list_version, "list " + std::to_string(running.list_version) + ", " +
                                std::to_string(required.list_version) + " or newer is asked for");
  return missing;
}

std::string toString(const std::vector<MissingRequirement>& missing) {
  std::string text;
  for (const MissingRequirement& requirement : missing)
    text += (text.empty() ? "" : "; ") + requirement.description;
  return text;
}

// ---- Reports

json toJson(const SenderReport& report) {
  json votes = json::object();
  for (const auto& [zone, vote] : report.zones)
    votes[zone] = zones::toJson(vote);
  json history = json::array();
  for (const ActionPeriod& period : report.action_history)
    history.push_back({period.from, period.plan, period.allowed});
  json object{{"name", report.name},
              {"standing", report.compliance},
              {"why", report.reason},
              {"host", report.host},
              {"own", toJson(report.versions)},
              {"heard", report.newest_plan},
              {"lease_ms", report.lease / 1000},
              {"strict", report.strict},
              {"since_us", report.since},
              {"at_us", report.at},
              {"epoch", report.epoch},
              {"process", report.process},
              {"zones", std::move(votes)},
              {"past", std::move(history)}};
  if (!report.regions.empty())
    object["regions"] = report.regions;
  return object;
}

namespace {

std::int64_t optionalInteger(const json& object, const char* name) {
  return absent(object, name) ? 0 : integer(object, name);
}

std::map<std::string, std::string> parseRegions(const json& report) {
  std::map<std::string, std::string> regions;
  for (const auto& [zone, region] : optionalObject(report, "regions").items()) {
    if (!region.is_string())
      bad("not a text: regions." + zone);
    regions[zone] = region;
  }
  return regions;
}

std::vector<ActionPeriod> parseActionHistory(const json& report) {
  std::vector<ActionPeriod> history;
  if (absent(report, "past"))
    return history;
  const json& periods = field(report, "past");
  if (!periods.is_array())
    bad("not a list: past");
  for (const json& period : periods) {
    const bool valid = period.is_array() && period.size() == 3 && period[0].is_number_integer() &&
                       period[1].is_number_integer() && period[2].is_boolean();
    if (!valid)
      bad("past: [time, plan, may] are expected");
    history.push_back({period[0], period[1], period[2]});
  }
  return history;
}

}  // namespace

SenderReport parseReport(const json& object) {
  if (!object.is_object())
    bad("a report is not an object");
  SenderReport report;
  report.name = text(object, "name");
  report.compliance = text(object, "standing", "");
  report.reason = text(object, "why", "");
  report.host = text(object, "host", "");
  report.process = text(object, "process", "");
  report.versions = parseRunningVersions(grademux::object(object, "own"));
  report.newest_plan = optionalInteger(object, "heard");
  report.strict = truth(object, "strict", false);
  report.lease = absent(object, "lease_ms") ? 0 : span(object, "lease_ms");
  report.since = optionalInteger(object, "since_us");
  report.at = optionalInteger(object, "at_us");
  report.epoch = optionalInteger(object, "epoch");
  for (const auto& [zone, vote] : optionalObject(object, "zones").items())
    report.zones[zone] = zones::parseVote(vote);
  report.regions = parseRegions(object);
  report.action_history = parseActionHistory(object);
  return report;
}

std::string probeRank(std::int64_t plan, const std::string& name) {
  return planDigest(std::to_string(plan) + " " + name);
}

bool tooManyLagging(const Plan& plan, const std::vector<SenderReport>& senders, std::string& names) {
  // A halted plan requires what was in force before. If senders can't follow that either, the operator
  // decides.
  if (!plan.strict || plan.halted)
    return false;
  std::size_t counted = 0;
  std::size_t lagging = 0;
  for (const SenderReport& sender : senders) {
    const bool is_fenced = sender.compliance == kFencedName && sender.newest_plan >= plan.number;
    // A fenced sender holds no session. Senders fenced by an operator are not counted.
    if ((!sender.live && !is_fenced) || plan.fenced.count(sender.name))
      continue;
    ++counted;
    if (sender.versions.plan >= plan.number ||
        missingRequirements(sender.versions, plan, sender.name).empty())
      continue;
    ++lagging;
    names += (names.empty() ? "" : ", ") + sender.name;
  }
  return static_cast<double>(lagging) > plan.max_fenced_fraction * static_cast<double>(counted);
}

}  // namespace grademux::fleet
