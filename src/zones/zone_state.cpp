#include "zone_state.h"

namespace grademux::zones {

namespace {

// Names in stored data, in the order of the enumerators.
constexpr const char* kPhaseNames[] = {"in", "out", "back"};
constexpr const char* kObservationNames[] = {"nothing", "fine", "failing"};

int parseName(const json& object, const char* field_name, const char* const (&names)[3]) {
  const std::string name = text(object, field_name);
  for (int index = 0; index < 3; ++index)
    if (name == names[index])
      return index;
  bad(std::string(field_name) + ": " + names[0] + ", " + names[1] + " or " + names[2] + " is expected");
}

int optionalInteger(const json& object, const char* field_name) {
  return absent(object, field_name) ? 0 : static_cast<int>(integer(object, field_name));
}

std::set<std::string> parseProbers(const json& object) {
  std::set<std::string> probers;
  if (absent(object, "carriers"))
    return probers;
  for (const json& name : array(object, "carriers")) {
    if (!name.is_string())
      bad("zones: carriers: names of senders are expected");
    probers.insert(name.get<std::string>());
  }
  return probers;
}

}  // namespace

bool ZoneState::operator==(const ZoneState& other) const {
  return phase == other.phase && stage == other.stage && probers == other.probers &&
         traffic_fraction == other.traffic_fraction && failed_recoveries == other.failed_recoveries &&
         pinned_by_operator == other.pinned_by_operator;
}

ZoneState parseState(const json& object) {
  if (!object.is_object())
    bad("zones: an object for each zone is expected");
  ZoneState state;
  state.phase = static_cast<ZonePhase>(parseName(object, "state", kPhaseNames));
  state.stage = optionalInteger(object, "stage");
  state.traffic_fraction = number(object, "share", 0);
  if (!(state.traffic_fraction >= 0 && state.traffic_fraction <= 1))
    bad("zones: share: a number from 0 to 1 is expected");
  state.failed_recoveries = optionalInteger(object, "failed");
  state.pinned_by_operator = truth(object, "held", false);
  state.reason = text(object, "why", "");
  state.probers = parseProbers(object);
  return state;
}

json toJson(const ZoneState& state) {
  json object = {{"state", kPhaseNames[static_cast<int>(state.phase)]},
                 {"failed", state.failed_recoveries},
                 {"held", state.pinned_by_operator},
                 {"why", state.reason}};
  if (state.phase == ZonePhase::recovering) {
    object["stage"] = state.stage;
    object["share"] = state.traffic_fraction;
    object["carriers"] = state.probers;
  }
  return object;
}

std::string toString(const ZoneState& state) {
  std::string description = kPhaseNames[static_cast<int>(state.phase)];
  if (state.phase == ZonePhase::recovering && state.stage == 0) {
    description += ", tried by";
    for (const std::string& name : state.probers)
      description += " " + name;
  } else if (state.phase == ZonePhase::recovering) {
    const int percent = static_cast<int>(state.traffic_fraction * 100);
    description += ", stage " + std::to_string(state.stage) + " with " + std::to_string(percent) + "%";
  }
  if (state.pinned_by_operator)
    description += ", held";
  if (state.failed_recoveries > 0)
    description += ", " + std::to_string(state.failed_recoveries) + " returns failed";
  return description + (state.reason.empty() ? "" : ": " + state.reason);
}

bool ZoneVote::operator==(const ZoneVote& other) const {
  return observation == other.observation && traffic == other.traffic &&
         failing_destinations == other.failing_destinations;
}

ZoneVote parseVote(const json& object) {
  if (!object.is_object())
    bad("a vote on a zone: an object is expected");
  ZoneVote vote;
  vote.observation = static_cast<Observation>(parseName(object, "sight", kObservationNames));
  vote.traffic = number(object, "traffic");
  if (!(vote.traffic >= 0))
    bad("traffic: a number of at least 0 is expected");
  vote.failing_destinations = static_cast<int>(integer(object, "struck"));
  return vote;
}

json toJson(const ZoneVote& vote) {
  return {{"sight", kObservationNames[static_cast<int>(vote.observation)]},
          {"traffic", vote.traffic},
          {"struck", vote.failing_destinations}};
}

}  // namespace grademux::zones
