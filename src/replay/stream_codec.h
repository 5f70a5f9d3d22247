// grademux: recorded decisions. A stream is lines of JSON: a head with the format, the settings and the seed
// of a decision module, then one line a turn with its time, its events and the actions that answered them. A
// head in the middle begins another module (the process was started anew). Numbers are written so that they
// read back the same to the last bit.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "grademux/sender.h"

namespace grademux::replay {

constexpr int kFormat = 1;

struct Head {
  Settings settings;
  std::uint64_t seed = 0;
};
struct Turn {
  Micros now = 0;
  std::vector<Event> events;
  std::vector<Action> actions;
};

std::string headLine(const Settings& settings,
                     std::uint64_t seed);  // without the line's end
std::string turnLine(Micros now, const std::vector<Event>& events, const std::vector<Action>& actions);
nlohmann::json actionJson(const Action& a);

bool isHead(const nlohmann::json& line);
// Both throw BadInput that names what is missing or not known; a format of a later version is one of these.
Head readHead(const nlohmann::json& line);
Turn readTurn(const nlohmann::json& line);

}  // namespace grademux::replay
