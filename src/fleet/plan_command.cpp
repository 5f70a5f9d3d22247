// The commands that change a plan's requirements, and that fence and readmit senders.
#include <algorithm>
#include <stdexcept>

#include "fleet_snapshot.h"

namespace grademux::fleet {

namespace {

const SenderReport* findSender(const FleetSnapshot& fleet, const std::string& name) {
  const auto found = std::find_if(fleet.senders.begin(), fleet.senders.end(),
                                  [&](const SenderReport& sender) { return sender.name == name; });
  return found == fleet.senders.end() ? nullptr : &*found;
}

}  // namespace

int propose(const StoreLocation& location, const PlanChange& change) {
  const FleetSnapshot fleet = readFleet(location);
  Plan next = draftNextPlan(fleet, change);
  if (!change.example_sender.empty()) {
    const SenderReport* example = findSender(fleet, change.example_sender);
    if (!example)
      throw std::runtime_error("no sender " + change.example_sender + " has reported");
    next.requirements.settings = example->versions.settings;
    next.requirements.daemon = example->versions.daemon;
  }
  if (change.settings)
    next.requirements.settings = *change.settings;
  if (change.daemon)
    next.requirements.daemon = *change.daemon;
  if (change.program)
    next.requirements.program = *change.program;
  if (change.list_version)
    next.requirements.list_version = *change.list_version;
  return replacePlan(location, fleet, next);
}

int bind(const StoreLocation& location, const PlanChange& change) {
  const FleetSnapshot fleet = readFleet(location);
  if (fleet.plan.number == 0)
    throw std::runtime_error("there is no plan to bind");
  Plan next = draftNextPlan(fleet, change);
  next.strict = true;
  return replacePlan(location, fleet, next);
}

int revert(const StoreLocation& location, const PlanChange& change, bool halt) {
  const FleetSnapshot fleet = readFleet(location);
  if (fleet.plan.number == 0)
    throw std::runtime_error("there is no plan to revert");
  Plan next = draftNextPlan(fleet, change);
  next.previous_requirements = fleet.plan.previous_requirements;
  next.requirements = fleet.plan.previous_requirements;
  next.halted = halt;
  return replacePlan(location, fleet, next);
}

int setFenced(const StoreLocation& location, const PlanChange& change, const std::string& name, bool fenced) {
  const FleetSnapshot fleet = readFleet(location);
  Plan next = draftNextPlan(fleet, change);
  if (fenced && !findSender(fleet, name))
    throw std::runtime_error("no sender " + name + " has reported");
  if (fenced == (next.fenced.count(name) > 0))
    throw std::runtime_error(name + (fenced ? " is shut out already" : " is not shut out"));
  if (fenced)
    next.fenced.insert(name);
  else
    next.fenced.erase(name);
  return replacePlan(location, fleet, next);
}

}  // namespace grademux::fleet
