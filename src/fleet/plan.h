// grademux fleet: the plan, the one small document that all senders of a fleet agree on, and the version that
// each of them acts by. Data, its JSON form, and what follows from it without a clock.
// docs/design/fleet.md has the rules that a plan has to keep.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "../core/json_fields.h"
#include "../core/result.h"
#include "../zones/zone_state.h"

namespace grademux::fleet {

constexpr Micros kLeastLease = 1'000'000, kMostLease = 3'600'000'000LL;

// What a sender has to run to act under a plan. Empty or -1: whatever it has.
struct PlanRequirements {
  std::string settings, daemon;    // digests
  std::string program;             // the least version of it, as 0.4.0
  std::int64_t list_version = -1;  // the least version of the list
};

struct Plan {
  std::int64_t number = 0;                               // only grows; 0: there is none yet
  PlanRequirements requirements, previous_requirements;  // before: those of the last plan that was not halted
  bool strict = false;        // a sender whose lease has ended stops; else it serves on, and is named
  Micros lease = 30'000'000;  // that a sender may act on the word of one read
  Micros effective_after = 30'000'000;  // from its change; no less than the lease of the plan before
  double max_fenced_fraction = 0.25;    // share of the senders; past it the plan is halted
  std::set<std::string> fenced;         // by an operator's word
  bool halted = false;
  zones::ZoneStates zones;  // how the fleet stands to them
  std::string author, reason;
  Micros changed_at = 0;                    // Unix time, by the clock of who changed it
  std::vector<std::string> unknown_fields;  // fields that this program does not know: it can't act under it
};

// Throws BadInput that names the field.
Plan parsePlan(const json& o);
json toJson(const Plan& p);
// Tells two plans of one number from one another: XXH3 over the document, 16 hexadecimal digits.
std::string planDigest(const Plan& p);
std::string planDigest(const std::string& canonical);

/// Why a plan can't follow another.
struct PlanTransitionError {
  enum class Kind { wrong_number, effective_before_lease_ends };
  Kind kind;
  std::string description;
};
/// Whether `next` may follow `now`.
Result<void, PlanTransitionError> checkTransition(const Plan& now, const Plan& next);
// The plan that follows, with a number of its own, made by somebody for a reason.
Plan nextPlan(const Plan& now, const std::string& by, const std::string& why, Micros at);
// Takes the needs of the last plan that was not halted: for when too many would be shut out, or an operator
// says so.
Plan haltedPlan(const Plan& now, const std::string& by, const std::string& why, Micros at);

// What a sender acts by: derived from what is in force, never typed by hand.
struct RunningVersions {
  std::string program, settings, daemon;
  std::int64_t list_version = -1;
  std::int64_t plan = 0;  // that it has taken over

  bool operator==(const RunningVersions& o) const {
    return program == o.program && settings == o.settings && daemon == o.daemon &&
           list_version == o.list_version && plan == o.plan;
  }
  bool operator!=(const RunningVersions& o) const { return !(*this == o); }
};
json toJson(const RunningVersions& o);
RunningVersions parseRunningVersions(const json& o);

// What it lacks to act under the plan, a line each: nothing if it can.
struct MissingRequirement {
  enum class Kind { program, settings, daemon, list_version, field, word } kind;
  std::string description;
};
std::vector<MissingRequirement> missingRequirements(const RunningVersions& own, const Plan& plan,
                                                    const std::string& name);
std::string toString(const std::vector<MissingRequirement>& lacks);

// Orders those who may try a zone: the same at all senders, another with each plan.
std::string probeRank(std::int64_t plan, const std::string& name);

// a before b, part by part, as numbers: 0.9.1 before 0.10.
bool isOlderVersion(const std::string& a, const std::string& b);

constexpr const char* kFencedName = "shut out";  // of standings, the one that reports are held against
// From when on it acted by a plan, or might not act.
struct ActionPeriod {
  Micros from = 0;  // Unix time, of its own clock
  std::int64_t plan = 0;
  bool allowed = false;
};
// What a sender tells of itself at the store. It outlives the sender: `past` is what is known of one whose
// folder is gone.
struct SenderReport {
  std::string name, compliance, reason, host, process;
  RunningVersions versions;
  std::int64_t newest_plan = 0;                  // the newest plan that it has read
  Micros lease = 0;                              // of the plan that it acts under
  bool strict = false;                           // the same
  Micros since = 0, at = 0;                      // Unix time, of its own clock
  std::int64_t epoch = 0;                        // of the process, by its journal
  std::map<std::string, zones::ZoneVote> zones;  // what it saw of each
  std::map<std::string, std::string> regions;    // of those, where its daemon file names them
  std::vector<ActionPeriod> action_history;      // of this process, the last kPast, oldest first
  bool live = false;                             // its session stands; not part of the document
};
constexpr std::size_t kMaxActionHistory = 16;
json toJson(const SenderReport& r);
SenderReport parseReport(const json& o);

// The plan to put in place of `plan`, if the senders that live and can't follow it are more than may be shut
// out at once: they would be when it binds.
bool tooManyLagging(const Plan& plan, const std::vector<SenderReport>& senders, std::string& names);

}  // namespace grademux::fleet
