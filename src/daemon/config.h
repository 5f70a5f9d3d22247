// grademux: what a sender is told: its configuration, from the file and the environment.
#pragma once

#include <string>

#include "../core/settings.h"

namespace grademux {

constexpr std::int64_t kSpareSockets = 24;  // files, the agent's connections and the listener

struct Config {
  std::string path, name, listen, discovery, state;
  std::uint64_t seed = 0, disk_bytes = 0;
  std::int64_t sockets = 0;
  json known;
  Settings settings;
  json file;  // as it was read, to tell what has changed
};

Config readConfig();  // throws std::exception saying what is wrong

// The parts of the file that have changed and are heeded at the next start only, as a list of names.
std::string needsRestart(const Config& old, const Config& fresh);

}  // namespace grademux
