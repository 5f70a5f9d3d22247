// Format of recorded decisions. A recording is lines of JSON: a head with the format, the settings and the
// seed of a decision module, then one line per iteration with its time, its events and the resulting actions.
// Another head means that the process was restarted with a new decision module. Numbers are written so that
// they read back the same to the last bit.
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
struct Iteration {
  Micros now = 0;
  std::vector<Event> events;
  std::vector<Action> actions;
};

// Both lines are without the line end.
std::string headLine(const Settings& settings, std::uint64_t seed);
std::string iterationLine(Micros now, const std::vector<Event>& events, const std::vector<Action>& actions);
nlohmann::json actionJson(const Action& a);

bool isHead(const nlohmann::json& line);
// Both throw BadInput with the name of the missing or unknown field or kind, or with an unsupported format.
Head readHead(const nlohmann::json& line);
Iteration readIteration(const nlohmann::json& line);

}  // namespace grademux::replay
