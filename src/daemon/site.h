// The part of the daemon file that configures a standalone program: message classes, partners and their
// sources, limits and the journal. On a platform all of this comes from GW_CONFIG instead.
#pragma once

#include <string>
#include <vector>

#include "../config/toml_table.h"
#include "../membership/sources.h"
#include "config.h"

namespace grademux {

/// The configuration of a standalone program.
struct StandaloneConfig {
  Settings settings;
  std::string journal_folder;        // as the file has it; a relative path begins at the daemon file's folder
  std::uint64_t disk_bytes = 0;      // limit of the files in the journal's folder
  std::uint64_t memory_bytes = 0;    // limit of the memory of the process
  std::int64_t max_descriptors = 0;  // limit of open file descriptors
  SourcesSpec sources;
};

/// Reads the tables that configure a standalone program, and adds what is wrong with them to `mistakes`.
/// False if the file has none of these tables. `path`: of the daemon file, from whose folder relative paths
/// begin.
bool readStandaloneConfig(TomlTable& top, const std::string& path, StandaloneConfig& standalone,
                          std::vector<Mistake>& mistakes, std::vector<EffectiveValue>* effective = nullptr);

/// Resolves a path in a daemon file: a relative path begins at the folder of the daemon file.
std::string resolvePath(const std::string& path, const std::string& daemon_file);

/// Makes the configuration of a standalone program, with a random seed, and creates the journal's folder.
/// `path`: of the daemon file. Throws std::exception when the folder can't be created or settings are
/// invalid.
Config makeConfig(const StandaloneConfig& standalone, const std::string& path);

/// True if the settings are equal; the journal, the descriptors and the sources are not compared.
bool haveSameSettings(const StandaloneConfig& old, const StandaloneConfig& fresh);

/// The parts that differ and take effect only at the next start, as a list of names.
std::string partsNeedingRestart(const StandaloneConfig& old, const StandaloneConfig& fresh);

/// The daemon file that `grademux_sender init` writes.
extern const char* const starter_file;

}  // namespace grademux
