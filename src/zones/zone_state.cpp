// grademux zones: states and votes; see state.h.
#include "zone_state.h"

namespace grademux::zones {

namespace {
constexpr const char* kWays[] = {"in", "out", "back"};
constexpr const char* kSights[] = {"nothing", "fine", "failing"};

int oneOf(const json& o, const char* name, const char* const (&words)[3]) {
  const std::string word = text(o, name);
  for (int i = 0; i < 3; ++i)
    if (word == words[i])
      return i;
  bad(std::string(name) + ": " + words[0] + ", " + words[1] + " or " + words[2] + " is expected");
}
}  // namespace

ZoneState parseState(const json& o) {
  if (!o.is_object())
    bad("zones: an object each is expected");
  ZoneState s;
  s.phase = static_cast<ZonePhase>(oneOf(o, "state", kWays));
  s.stage = absent(o, "stage") ? 0 : static_cast<int>(integer(o, "stage"));
  s.traffic_fraction = number(o, "share", 0);
  if (!(s.traffic_fraction >= 0 && s.traffic_fraction <= 1))
    bad("zones: share: 0 to 1 is expected");
  s.failed_recoveries = absent(o, "failed") ? 0 : static_cast<int>(integer(o, "failed"));
  s.pinned_by_operator = truth(o, "held", false);
  s.reason = text(o, "why", "");
  if (!absent(o, "carriers"))
    for (const json& name : array(o, "carriers")) {
      if (!name.is_string())
        bad("zones: carriers: names are expected");
      s.probers.insert(name.get<std::string>());
    }
  return s;
}

json toJson(const ZoneState& s) {
  json o = {{"state", kWays[static_cast<int>(s.phase)]},
            {"failed", s.failed_recoveries},
            {"held", s.pinned_by_operator},
            {"why", s.reason}};
  if (s.phase == ZonePhase::recovering) {
    o["stage"] = s.stage;
    o["share"] = s.traffic_fraction;
    o["carriers"] = s.probers;
  }
  return o;
}

std::string toString(const ZoneState& s) {
  std::string all = kWays[static_cast<int>(s.phase)];
  if (s.phase == ZonePhase::recovering && s.stage == 0) {
    all += ", tried by";
    for (const std::string& name : s.probers)
      all += " " + name;
  } else if (s.phase == ZonePhase::recovering) {
    all += ", stage " + std::to_string(s.stage) + " with " +
           std::to_string(static_cast<int>(s.traffic_fraction * 100)) + "%";
  }
  if (s.pinned_by_operator)
    all += ", held";
  if (s.failed_recoveries > 0)
    all += ", " + std::to_string(s.failed_recoveries) + " returns failed";
  return all + (s.reason.empty() ? "" : ": " + s.reason);
}

json toJson(const TrafficBaseline& p) {
  json o = json::object();
  for (const auto& [zone, endpoints] : p) {
    json& z = o[zone] = json::object();
    for (const auto& [id, used] : endpoints)
      z[id] = {used.destination, used.rate};
  }
  return o;
}

TrafficBaseline parseTrafficBaseline(const json& o) {
  if (!o.is_object())
    bad("parts: an object is expected");
  TrafficBaseline p;
  for (const auto& [zone, endpoints] : o.items()) {
    if (!endpoints.is_object())
      bad("parts: zone " + zone + ": an object is expected");
    for (const auto& [id, used] : endpoints.items()) {
      if (!used.is_array() || used.size() != 2 || !used[0].is_number_integer() || !used[1].is_number() ||
          !(used[1].get<double>() >= 0))
        bad("parts: " + id + ": a destination and calls a second are expected");
      p[zone][id] = {used[0].get<std::int64_t>(), used[1].get<double>()};
    }
  }
  return p;
}

ZoneVote parseVote(const json& o) {
  if (!o.is_object())
    bad("a vote on a zone is not an object");
  ZoneVote v;
  v.observation = static_cast<Observation>(oneOf(o, "sight", kSights));
  v.traffic = number(o, "traffic");
  if (!(v.traffic >= 0))
    bad("traffic: no less than 0 is expected");
  v.failing_destinations = static_cast<int>(integer(o, "struck"));
  return v;
}

json toJson(const ZoneVote& v) {
  return {{"sight", kSights[static_cast<int>(v.observation)]},
          {"traffic", v.traffic},
          {"struck", v.failing_destinations}};
}

}  // namespace grademux::zones
