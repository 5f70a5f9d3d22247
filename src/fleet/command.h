// The operators' commands on a fleet: they show its plan, senders and zones, and change the plan. Each
// returns the exit status, 0 or 1, or throws std::exception with a message for people when nothing was done.
// Blocking; for command-line programs only.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "fleet_config.h"
#include "plan.h"

namespace grademux::fleet {

/// The store of a fleet.
struct Where {
  std::vector<std::string> store;  ///< HOST:PORT each.
  std::string prefix = "grademux";
};

/// What a new plan changes in the one before.
struct Change {
  std::string by;   ///< Empty: the user and host of this process.
  std::string why;  ///< Must not be empty.
  /// Required digests and program version; empty text: any.
  std::optional<std::string> settings, daemon, program;
  std::optional<std::int64_t> list_version;
  std::string like;  ///< Requires the digests of this sender.
  std::optional<bool> strict;
  std::optional<Micros> lease, binds_after;
  std::optional<double> most_shut_out;
};

/// The last report of each sender.
std::vector<SenderReport> reports(const Where& where);
int status(const Where& where, bool as_json);
int showPlan(const Where& where, bool as_json);
/// Changes the requirements.
int propose(const Where& where, const Change& change);
/// Keeps the requirements and makes the plan strict.
int bind(const Where& where, const Change& change);
/// Returns to the requirements of the plan before; `halt` marks the plan that is left as faulty.
int revert(const Where& where, const Change& change, bool halt);
/// Shows the states of the zones and the senders' votes.
int zones(const Where& where, bool as_json);
/// `leave` evacuates and pins; `come_back` starts the recovery; `at_once` makes the zone active; `hold` pins
/// the state; `release` lets the senders' votes decide.
enum class ZoneWord { leave, come_back, at_once, hold, release };
/// `region`: `name` is a region, and the command applies to all of its zones.
int zone(const Where& where, const Change& change, const std::string& name, ZoneWord word, bool region);
/// Fences a sender, or readmits it.
int shutOut(const Where& where, const Change& change, const std::string& name, bool out);

}  // namespace grademux::fleet
