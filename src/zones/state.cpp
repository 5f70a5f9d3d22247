// grademux zones: states and votes; see state.h.
#include "state.h"

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

State readState(const json& o) {
  if (!o.is_object())
    bad("zones: an object each is expected");
  State s;
  s.way = static_cast<Way>(oneOf(o, "state", kWays));
  s.stage = absent(o, "stage") ? 0 : static_cast<int>(integer(o, "stage"));
  s.share = number(o, "share", 0);
  if (!(s.share >= 0 && s.share <= 1))
    bad("zones: share: 0 to 1 is expected");
  s.failed = absent(o, "failed") ? 0 : static_cast<int>(integer(o, "failed"));
  s.held = truth(o, "held", false);
  s.why = text(o, "why", "");
  if (!absent(o, "carriers"))
    for (const json& name : array(o, "carriers")) {
      if (!name.is_string())
        bad("zones: carriers: names are expected");
      s.carriers.insert(name.get<std::string>());
    }
  return s;
}

json shown(const State& s) {
  json o = {
      {"state", kWays[static_cast<int>(s.way)]}, {"failed", s.failed}, {"held", s.held}, {"why", s.why}};
  if (s.way == Way::back) {
    o["stage"] = s.stage;
    o["share"] = s.share;
    o["carriers"] = s.carriers;
  }
  return o;
}

std::string textOf(const State& s) {
  std::string all = kWays[static_cast<int>(s.way)];
  if (s.way == Way::back && s.stage == 0) {
    all += ", tried by";
    for (const std::string& name : s.carriers)
      all += " " + name;
  } else if (s.way == Way::back) {
    all += ", stage " + std::to_string(s.stage) + " with " + std::to_string(static_cast<int>(s.share * 100)) +
           "%";
  }
  if (s.held)
    all += ", held";
  if (s.failed > 0)
    all += ", " + std::to_string(s.failed) + " returns failed";
  return all + (s.why.empty() ? "" : ": " + s.why);
}

json shown(const Parts& p) {
  json o = json::object();
  for (const auto& [zone, endpoints] : p) {
    json& z = o[zone] = json::object();
    for (const auto& [id, used] : endpoints)
      z[id] = {used.destination, used.rate};
  }
  return o;
}

Parts readParts(const json& o) {
  if (!o.is_object())
    bad("parts: an object is expected");
  Parts p;
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

Vote readVote(const json& o) {
  if (!o.is_object())
    bad("a vote on a zone is not an object");
  Vote v;
  v.sight = static_cast<Sight>(oneOf(o, "sight", kSights));
  v.traffic = number(o, "traffic");
  if (!(v.traffic >= 0))
    bad("traffic: no less than 0 is expected");
  v.struck = static_cast<int>(integer(o, "struck"));
  return v;
}

json shown(const Vote& v) {
  return {{"sight", kSights[static_cast<int>(v.sight)]}, {"traffic", v.traffic}, {"struck", v.struck}};
}

}  // namespace grademux::zones
