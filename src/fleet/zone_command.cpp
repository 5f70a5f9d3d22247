// The commands that show and change the states of zones.
#include <algorithm>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>

#include "../zones/zone_transitions.h"
#include "fleet_snapshot.h"

namespace grademux::fleet {

namespace {

using grademux::zones::Observation;
using grademux::zones::ZonePhase;
using grademux::zones::ZoneState;
using grademux::zones::ZoneVote;

ZoneState stateOf(const Plan& plan, const std::string& zone) {
  const auto found = plan.zones.find(zone);
  return found == plan.zones.end() ? ZoneState() : found->second;
}

// ---- Showing

const char* describe(Observation observation) {
  switch (observation) {
    case Observation::failing:
      return "sees it fail";
    case Observation::healthy:
      return "sees it well";
    case Observation::unknown:
      break;
  }
  return "can't tell";
}

void printVote(const SenderReport& sender, const ZoneVote& vote) {
  std::cout << "  " << sender.name << (sender.live ? "" : " (gone)") << ' ' << describe(vote.observation)
            << ", about " << vote.traffic << " calls a second";
  if (vote.failing_destinations > 0)
    std::cout << ", " << vote.failing_destinations << " partners struck";
  std::cout << '\n';
}

struct ZoneOverview {
  std::map<std::string, std::string> regions;  // by zone
  std::map<std::string, json> zones;           // by zone: what the command prints as JSON
};

ZoneOverview collectZones(const FleetSnapshot& fleet) {
  ZoneOverview overview;
  for (const auto& [zone, state] : fleet.plan.zones)
    overview.zones[zone] = {{"plan", toJson(state)}};
  for (const SenderReport& sender : fleet.senders)
    for (const auto& [zone, vote] : sender.zones) {
      json vote_json = toJson(vote);
      vote_json["live"] = sender.live;
      json& zone_json = overview.zones[zone];
      zone_json["senders"][sender.name] = std::move(vote_json);
      if (const auto region = sender.regions.find(zone); region != sender.regions.end()) {
        overview.regions[zone] = region->second;
        zone_json["region"] = region->second;
      }
    }
  return overview;
}

void printZone(const FleetSnapshot& fleet, const std::string& zone, const ZoneOverview& overview) {
  const auto region = overview.regions.find(zone);
  const auto planned = fleet.plan.zones.find(zone);
  std::cout << zone << (region == overview.regions.end() ? "" : " (" + region->second + ")") << ": "
            << (planned == fleet.plan.zones.end() ? "in" : grademux::zones::toString(planned->second))
            << '\n';
  for (const SenderReport& sender : fleet.senders)
    if (const auto vote = sender.zones.find(zone); vote != sender.zones.end())
      printVote(sender, vote->second);
}

// ---- Changing

std::string differingRegions(const std::string& zone, const std::string& region,
                             const std::string& other_region, const std::string& sender) {
  return "zone " + zone + " belongs to region " + region + ", but to region " + other_region + " at " +
         sender;
}

// Region of each zone by the senders' reports. Throws if they differ.
std::map<std::string, std::string> reportedRegions(const FleetSnapshot& fleet) {
  std::map<std::string, std::string> regions;
  for (const SenderReport& sender : fleet.senders)
    for (const auto& [zone, region] : sender.regions) {
      const auto [first, inserted] = regions.emplace(zone, region);
      if (!inserted && first->second != region)
        throw std::runtime_error(differingRegions(zone, first->second, region, sender.name));
    }
  return regions;
}

// The zones that a command applies to. Throws if none is known by that name.
std::vector<std::string> selectZones(const FleetSnapshot& fleet, const std::string& name, bool is_region) {
  const std::map<std::string, std::string> regions = reportedRegions(fleet);
  if (!is_region) {
    const bool is_known = fleet.plan.zones.count(name) > 0 ||
                          std::any_of(fleet.senders.begin(), fleet.senders.end(),
                                      [&](const SenderReport& sender) { return sender.zones.count(name); });
    if (!is_known)
      throw std::runtime_error("no sender has reported a zone " + name);
    return {name};
  }
  std::vector<std::string> zones;
  for (const auto& [zone, region] : regions)
    if (region == name)
      zones.push_back(zone);
  if (zones.empty())
    throw std::runtime_error("no sender has reported a region " + name);
  return zones;
}

std::set<std::string> chooseProbers(const FleetSnapshot& fleet, const Plan& next, const std::string& zone) {
  std::vector<grademux::zones::Observer> voters;
  for (const SenderReport& sender : fleet.senders) {
    const auto vote = sender.zones.find(zone);
    voters.push_back({sender.name, vote == sender.zones.end() ? ZoneVote() : vote->second,
                      sender.live && !next.fenced.count(sender.name)});
  }
  return grademux::zones::chooseProbers(voters, grademux::zones::ZonePolicy(), [&](const std::string& name) {
    return probeRank(next.number, name);
  });
}

ZoneState startRecovery(const FleetSnapshot& fleet, const Plan& next, const std::string& zone,
                        ZoneState state) {
  state.probers = chooseProbers(fleet, next, zone);
  if (state.probers.empty())
    throw std::runtime_error("no sender is live");
  state.phase = ZonePhase::recovering;
  state.stage = 0;
  state.pinned_by_operator = false;
  return state;
}

// The state after the command; empty if the command does not apply to the zone's state.
std::optional<ZoneState> stateAfter(const FleetSnapshot& fleet, const Plan& next, const std::string& zone,
                                    ZoneCommand command) {
  ZoneState state = stateOf(next, zone);
  switch (command) {
    case ZoneCommand::evacuate:
      state = {};
      state.phase = ZonePhase::evacuated;
      state.pinned_by_operator = true;
      return state;
    case ZoneCommand::activate:
      return ZoneState();
    case ZoneCommand::recover:
      if (state.phase != ZonePhase::evacuated)
        return std::nullopt;
      return startRecovery(fleet, next, zone, state);
    case ZoneCommand::hold:
    case ZoneCommand::release:
      break;
  }
  state.pinned_by_operator = command == ZoneCommand::hold;
  return state;
}

}  // namespace

int zones(const StoreLocation& location, bool as_json) {
  const FleetSnapshot fleet = readFleet(location);
  const ZoneOverview overview = collectZones(fleet);
  if (as_json) {
    std::cout << json(overview.zones).dump() << '\n';
    return 0;
  }
  for (const auto& [zone, description] : overview.zones)
    printZone(fleet, zone, overview);
  if (overview.zones.empty())
    std::cout << "no sender has told of a zone\n";
  return 0;
}

int zone(const StoreLocation& location, const PlanChange& change, const std::string& name,
         ZoneCommand command, bool is_region) {
  const FleetSnapshot fleet = readFleet(location);
  if (fleet.plan.number == 0)
    throw std::runtime_error("there is no plan yet: fleet plan propose");
  Plan next = draftNextPlan(fleet, change);
  std::string unchanged;
  bool applies = false;
  bool changed = false;
  for (const std::string& selected : selectZones(fleet, name, is_region)) {
    std::optional<ZoneState> state = stateAfter(fleet, next, selected, command);
    if (!state)
      continue;
    applies = true;
    if (*state == stateOf(next, selected)) {
      unchanged += (unchanged.empty() ? "" : ", ") + selected + " " + toString(*state);
      continue;
    }
    changed = true;
    state->reason = change.reason;
    grademux::zones::apply({{selected, *state}}, next.zones);
  }
  const std::string subject = (is_region ? "region " : "zone ") + name;
  if (!applies)
    throw std::runtime_error(subject + " is not out");
  if (!changed)
    throw std::runtime_error(subject + " is already in this state: " + unchanged);
  return replacePlan(location, fleet, next);
}

}  // namespace grademux::fleet
