// The operators' commands on a fleet: they show the plan, the senders and the zones, and change the plan.
// Each command returns the exit status, 0 or 1, or throws std::exception with a message for the operator when
// nothing was changed. Blocking; for command-line programs only.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "fleet_config.h"
#include "plan.h"

namespace grademux::fleet {

/// The store of a fleet.
struct StoreLocation {
  std::vector<std::string> store;   ///< HOST:PORT each.
  std::string prefix = "grademux";  ///< Of the fleet's keys.
};

/// What a new plan changes in the plan before.
struct PlanChange {
  std::string author;  ///< Empty: the user and host of this process.
  std::string reason;  ///< Must not be empty.
  /// Required digests and program version; empty text: any.
  std::optional<std::string> settings, daemon, program;
  std::optional<std::int64_t> list_version;
  std::string example_sender;  ///< The plan requires the digests of this sender; empty: none.
  std::optional<bool> strict;
  std::optional<Micros> lease, effective_after;
  std::optional<double> max_fenced_fraction;
};

/// The last report of each sender.
std::vector<SenderReport> reports(const StoreLocation& location);
int status(const StoreLocation& location, bool as_json);
int showPlan(const StoreLocation& location, bool as_json);
/// Changes the requirements.
int propose(const StoreLocation& location, const PlanChange& change);
/// Keeps the requirements and makes the plan strict.
int bind(const StoreLocation& location, const PlanChange& change);
/// Returns to the requirements of the plan before; `halt` marks the new plan as halted.
int revert(const StoreLocation& location, const PlanChange& change, bool halt);
/// Shows the states of the zones and the senders' votes.
int zones(const StoreLocation& location, bool as_json);
/// `evacuate` evacuates the zone and pins its state; `recover` starts the recovery; `activate` makes the zone
/// active; `hold` pins the state; `release` lets the senders' votes decide.
enum class ZoneCommand { evacuate, recover, activate, hold, release };
/// `is_region`: `name` is a region, and the command applies to all of its zones.
int zone(const StoreLocation& location, const PlanChange& change, const std::string& name,
         ZoneCommand command, bool is_region);
/// Fences a sender (`fenced`), or readmits it.
int setFenced(const StoreLocation& location, const PlanChange& change, const std::string& name, bool fenced);

}  // namespace grademux::fleet
