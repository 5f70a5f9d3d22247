// Configuration of a sender's membership in a fleet: the section [fleet] of the daemon file. Plain data.
#pragma once

#include <string>
#include <vector>

#include "../audit/audit_log.h"

namespace grademux::fleet {

struct FleetConfig {
  std::string name;                ///< Name of this sender, unique in the fleet.
  std::vector<std::string> store;  ///< HOST:PORT each.
  std::string prefix = "grademux";
  Micros session_ttl = 30'000'000;   ///< The store ends a session that is not renewed for this time.
  bool send_version_header = false;  ///< Requests carry X-Fleet-Version.
  bool evacuate_zones = false;       ///< Zone states change by the senders' votes, not by commands alone.
  Micros min_evacuation_time = 10'000'000;  ///< Doubles with each failed recovery.
  audit::AuditBudget audit_budget;

  std::string planKey() const { return prefix + "/plan"; }
  std::string sendersPrefix() const { return prefix + "/senders/"; }
  std::string reportKey() const { return sendersPrefix() + name; }
};

}  // namespace grademux::fleet
