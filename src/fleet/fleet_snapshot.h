// What the operators' commands read from the store, and how they replace the plan. Blocking: each call runs
// its own event loop until the store has answered. For command-line programs only.
#pragma once

#include <string>
#include <vector>

#include "command.h"
#include "plan.h"

namespace grademux::fleet {

/// The plan and all reports, as of one read.
struct FleetSnapshot {
  Plan plan;                      ///< Number 0: there is none.
  std::int64_t modify_index = 0;  ///< Of the plan's key.
  std::vector<SenderReport> senders;
  Micros store_time = 0;  ///< Unix time; 0: unknown.

  /// Live senders that are not fenced by an operator and have not adopted the plan.
  std::size_t laggingSenders() const;
};

/// Throws if the store does not answer. Keys that are not reports are named on standard error and left out.
FleetSnapshot readFleet(const StoreLocation& location);

/// Drafts the plan that follows the newest one in the store or in any report, with the change's author,
/// reason and options. Throws if the change has no reason.
Plan draftNextPlan(const FleetSnapshot& fleet, const PlanChange& change);

/// Replaces the plan by compare-and-swap and prints the new one. Returns the exit status: 1 if another change
/// came first, which is named on standard error. Throws if `next` may not follow or the store does not
/// answer.
int replacePlan(const StoreLocation& location, const FleetSnapshot& fleet, const Plan& next);

/// The plan in lines of text, with a line break at the end.
std::string describePlan(const FleetSnapshot& fleet);

}  // namespace grademux::fleet
