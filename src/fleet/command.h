// grademux fleet: the operators' commands: what the fleet is at, and its plan. Each gives the exit status: 0,
// or 1 when it was not done, with a line on standard error that says why.
#pragma once

#include <optional>

#include "fleet_member.h"

namespace grademux::fleet {

struct Where {  // the store of a fleet
  std::vector<std::string> store;
  std::string prefix = "grademux";
};

// What of a new plan differs from the one in force.
struct Change {
  std::string by, why;
  std::optional<std::string> settings, daemon, program;  // digests and version; empty: whatever a sender has
  std::optional<std::int64_t> list_version;
  std::string like;  // asks for what this sender acts by
  std::optional<bool> strict;
  std::optional<Micros> lease, binds_after;
  std::optional<double> most_shut_out;
};

// What all senders told last. Throws when the store does not answer.
std::vector<SenderReport> reports(const Where& where);
int status(const Where& where, bool as_json);
int showPlan(const Where& where, bool as_json);
int propose(const Where& where, const Change& change);
// The needs as they are, and strict from now on.
int bind(const Where& where, const Change& change);
// The needs of the plan before; a halt is for a plan that goes wrong, and says so.
int revert(const Where& where, const Change& change, bool halt);
// How the fleet stands to its zones, with what each sender sees there.
int zones(const Where& where, bool as_json);
enum class ZoneWord { leave, come_back, at_once, hold, release };
// `leave` holds, too: it stays out until `come_back` (by the stages), `at_once` or `release` (by verdicts).
// `region`: `name` is one, and the word is for all of its zones.
int zone(const Where& where, const Change& change, const std::string& name, ZoneWord word, bool region);
int shutOut(const Where& where, const Change& change, const std::string& name, bool out);

}  // namespace grademux::fleet
