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

int propose(const Where& where, const Change& change) {
  const FleetSnapshot fleet = readFleet(where);
  Plan next = draftNextPlan(fleet, change);
  if (!change.like.empty()) {
    const SenderReport* example = findSender(fleet, change.like);
    if (!example)
      throw std::runtime_error("no sender " + change.like + " has reported");
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
  return replacePlan(where, fleet, next);
}

int bind(const Where& where, const Change& change) {
  const FleetSnapshot fleet = readFleet(where);
  if (fleet.plan.number == 0)
    throw std::runtime_error("there is no plan to bind");
  Plan next = draftNextPlan(fleet, change);
  next.strict = true;
  return replacePlan(where, fleet, next);
}

int revert(const Where& where, const Change& change, bool halt) {
  const FleetSnapshot fleet = readFleet(where);
  if (fleet.plan.number == 0)
    throw std::runtime_error("there is no plan to go back from");
  Plan next = draftNextPlan(fleet, change);
  next.previous_requirements = fleet.plan.previous_requirements;
  next.requirements = fleet.plan.previous_requirements;
  next.halted = halt;
  return replacePlan(where, fleet, next);
}

int shutOut(const Where& where, const Change& change, const std::string& name, bool out) {
  const FleetSnapshot fleet = readFleet(where);
  Plan next = draftNextPlan(fleet, change);
  if (out && !findSender(fleet, name))
    throw std::runtime_error("no sender " + name + " has reported");
  if (out == (next.fenced.count(name) > 0))
    throw std::runtime_error(name + (out ? " is shut out already" : " is not shut out"));
  if (out)
    next.fenced.insert(name);
  else
    next.fenced.erase(name);
  return replacePlan(where, fleet, next);
}

}  // namespace grademux::fleet
