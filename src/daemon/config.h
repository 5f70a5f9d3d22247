// The configuration of a sender on a platform, from the file that GW_CONFIG names and from the environment.
// The configuration of a standalone sender is made from its daemon file instead; see site.h.
#pragma once

#include <string>

#include "../core/settings.h"

namespace grademux {

/// File descriptors for files, the connections to the agent and the listening socket.
constexpr std::int64_t kReservedDescriptors = 24;

/// The configuration of the process, on a platform or standalone.
struct Config {
  std::string path;                  // of the file: the platform's configuration, or the daemon file
  std::string name;                  // of this sender
  std::string listen;                // address of the platform's listener
  std::string discovery;             // address of the agent; empty: standalone
  std::string state_folder;          // of the journal and everything else that is stored
  std::string admin_address;         // of the admin server; empty: there is no admin server
  int inherited_socket = -1;         // listening socket for clients, passed to the process; -1: none
  std::uint64_t seed = 0;            // of random decisions
  std::uint64_t disk_bytes = 0;      // limit of the files in the state folder
  std::uint64_t memory_bytes = 0;    // limit of the memory of the process
  std::int64_t max_descriptors = 0;  // limit of open file descriptors
  json configured_list;              // the list of endpoints that the file gives
  Settings settings;
  json document;  // the file as it was read, for comparison with the next version
};

/// A seed that differs between the processes of a fleet, so that their random decisions are independent.
std::uint64_t randomSeed();
/// Reads the settings of a configuration file. Throws std::exception that says what is wrong with the file.
Settings readSettingsFile(const std::string& path);
/// Reads the configuration. Throws std::exception that says what is wrong with the file or the environment.
Config readConfig();

/// File descriptors that are available neither to clients nor to attempts.
std::int64_t reservedDescriptors(const Config& config);

/// A key of the settings in force that a new file lacks, as "Categories[2].DeadlineMs"; empty if there is
/// none. Without this check an incomplete file would set the missing keys to their defaults.
std::string missingSetting(const Config& old, const Config& fresh);

/// The parts of the file that differ and take effect only at the next start, as a list of names.
std::string partsNeedingRestart(const Config& old, const Config& fresh);
/// Sets these parts of `fresh` to what they are in `old`, so that the next reload reports them again.
void retainPartsNeedingRestart(const Config& old, Config& fresh);

}  // namespace grademux
