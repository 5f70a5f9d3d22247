// grademux: what a sender is told: its configuration, from the file and the environment.
#pragma once

#include <string>

#include "../core/settings.h"

namespace grademux {

constexpr std::int64_t kSpareSockets = 24;  // files, the agent's connections and the listener

struct Config {
  std::string path, name, listen, discovery, state;
  std::string mgmt;  // the operators' address; empty: there is no door for them
  int passed = -1;   // the clients' listening socket, which the process was started with; -1: there is none
  std::uint64_t seed = 0, disk_bytes = 0;
  std::int64_t sockets = 0;
  json known;
  Settings settings;
  json file;  // as it was read, to tell what has changed
};

// The settings of a configuration file; throws std::exception naming what is wrong with it.
Settings readSettingsOf(const std::string& path);
Config readConfig();  // throws std::exception saying what is wrong

// Descriptors that neither clients nor calls get.
std::int64_t spareSockets(const Config& c);

// A key of the settings in force that a new file lacks, as "Categories[2].DeadlineMs"; empty if it has all.
// Guards against taking a file that is not whole for one that says the default.
std::string missingSetting(const Config& old, const Config& fresh);

// The parts of the file that have changed and are heeded at the next start only, as a list of names.
std::string needsRestart(const Config& old, const Config& fresh);
// These parts of `fresh` become as they are in `old`, so that they are told again.
void keepUntilRestart(const Config& old, Config& fresh);

}  // namespace grademux
