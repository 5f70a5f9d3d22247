// The plan that all senders of a fleet agree on, a sender's running versions and its report: data, JSON form,
// and the functions that need no clock. docs/design/fleet.md has the rules for plans. Plain data and pure
// functions.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "../core/json_fields.h"
#include "../core/result.h"
#include "../zones/zone_state.h"

namespace grademux::fleet {

constexpr Micros kMinLease = 1'000'000, kMaxLease = 3'600'000'000LL;

/// What a sender must run to act under a plan. Empty text or -1: no requirement.
struct PlanRequirements {
  std::string settings, daemon;    ///< Digests of the settings and of the daemon file.
  std::string program;             ///< The minimum program version, for example 0.4.0.
  std::int64_t list_version = -1;  ///< The minimum version of the endpoint list.
};

struct Plan {
  std::int64_t number = 0;  ///< Increases with each plan; 0: there is no plan yet.
  /// `previous_requirements`: of the last plan that was not halted.
  PlanRequirements requirements, previous_requirements;
  bool strict = false;        ///< A sender whose lease has ended stops; else it continues and is reported.
  Micros lease = 30'000'000;  ///< For how long a sender may act after one read of the plan.
  /// Time from the change until the plan is effective; at least the lease of the plan before.
  Micros effective_after = 30'000'000;
  double max_fenced_fraction = 0.25;  ///< Of the senders; a plan that would fence more is halted.
  std::set<std::string> fenced;       ///< Names of the senders that an operator has fenced.
  bool halted = false;
  zones::ZoneStates zones;
  std::string author, reason;
  Micros changed_at = 0;  ///< Unix time by the author's clock.
  /// Fields that this program does not implement: it can't act under the plan.
  std::vector<std::string> unknown_fields;
};

/// Throws BadInput that names the field.
Plan parsePlan(const json& object);
json toJson(const Plan& plan);
/// XXH3 over the plan's JSON, 16 hexadecimal digits; distinguishes two plans with the same number.
std::string planDigest(const Plan& plan);
/// XXH3 over any text, 16 hexadecimal digits.
std::string planDigest(const std::string& canonical);

/// Why a plan can't follow another.
struct PlanTransitionError {
  enum class Kind { wrong_number, effective_before_lease_ends };
  Kind kind;
  std::string description;
};
/// Whether `next` may follow `now`.
Result<void, PlanTransitionError> checkTransition(const Plan& now, const Plan& next);
/// A copy of `now` with the next number; `changed_at` is Unix time.
Plan nextPlan(const Plan& now, const std::string& author, const std::string& reason, Micros changed_at);
/// The next plan, with the requirements of the last plan that was not halted: used when a plan would fence
/// too many senders.
Plan haltedPlan(const Plan& now, const std::string& author, const std::string& reason, Micros changed_at);

/// The versions that a sender acts by: derived from the program and the files in use, never entered by an
/// operator.
struct RunningVersions {
  std::string program, settings, daemon;
  std::int64_t list_version = -1;
  std::int64_t plan = 0;  ///< The number of the adopted plan.

  bool operator==(const RunningVersions& other) const {
    return program == other.program && settings == other.settings && daemon == other.daemon &&
           list_version == other.list_version && plan == other.plan;
  }
  bool operator!=(const RunningVersions& other) const { return !(*this == other); }
};
json toJson(const RunningVersions& versions);
/// Throws BadInput that names the field.
RunningVersions parseRunningVersions(const json& object);

/// A requirement that a sender does not meet.
struct MissingRequirement {
  enum class Kind { program, settings, daemon, list_version, unknown_field, fenced_by_operator } kind;
  std::string description;  ///< One line for the operator.
};
/// What a sender lacks to act under the plan; empty if it can. `name`: the sender's name in the fleet.
std::vector<MissingRequirement> missingRequirements(const RunningVersions& running, const Plan& plan,
                                                    const std::string& name);
std::string toString(const std::vector<MissingRequirement>& missing);

/// Sort key of a sender among the possible probers of a zone: the same at all senders, different for each
/// plan.
std::string probeRank(std::int64_t plan, const std::string& name);

/// Compares versions part by part as numbers: 0.9.1 is older than 0.10.
bool isOlderVersion(const std::string& version, const std::string& other);

constexpr const char* kFencedName = "shut out";  // name of Compliance::fenced in reports
/// A period in which a sender acted under one plan, or was not allowed to act.
struct ActionPeriod {
  Micros from = 0;  ///< Unix time by the sender's clock.
  std::int64_t plan = 0;
  bool allowed = false;
};
/// A sender's report at the store. It outlives the sender: `action_history` is what is known of a sender
/// whose folder is lost.
struct SenderReport {
  std::string name, compliance, reason, host, process;
  RunningVersions versions;
  std::int64_t newest_plan = 0;  ///< Number of the newest plan that the sender has read.
  Micros lease = 0;              ///< Of the plan that the sender acts under.
  bool strict = false;           ///< Of the plan that the sender acts under.
  Micros since = 0, at = 0;      ///< Of the compliance and of the report; Unix time by its clock.
  std::int64_t epoch = 0;        ///< Of the process, from its journal.
  std::map<std::string, zones::ZoneVote> zones;  ///< Votes by zone.
  std::map<std::string, std::string> regions;    ///< By zone, where the sender's daemon file names one.
  std::vector<ActionPeriod> action_history;  ///< Of this process: the last kMaxActionHistory, oldest first.
  bool live = false;                         ///< Its session is open; not part of the JSON form.
};
constexpr std::size_t kMaxActionHistory = 16;
json toJson(const SenderReport& report);
/// Throws BadInput that names the field.
SenderReport parseReport(const json& object);

/// Whether the live senders that can't follow the plan exceed the fraction of senders that may be fenced;
/// they would be fenced when the plan becomes effective. Appends their names to `names`.
bool tooManyLagging(const Plan& plan, const std::vector<SenderReport>& senders, std::string& names);

}  // namespace grademux::fleet
