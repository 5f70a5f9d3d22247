// grademux: what a program that stands alone is told by its daemon file: classes of messages, partners,
// limits, the journal's place. On a platform all of this comes from GW_CONFIG instead.
#pragma once

#include <string>
#include <vector>

#include "../config/toml_table.h"
#include "../membership/sources.h"
#include "config.h"

namespace grademux {

struct Site {
  Settings settings;
  std::string folder;  // of the journal; a relative one is taken from the daemon file's folder
  std::uint64_t disk_bytes = 0;
  std::int64_t sockets = 0;
  SourcesSpec sources;
};

// True if the file has any of these tables. What is wrong with them is among the mistakes.
// `path`: of the daemon file; relative ones in it begin at its folder.
bool readSite(Table& top, const std::string& path, Site& site, std::vector<Mistake>& mistakes,
              std::vector<Effective>* effective = nullptr);

// A path of the daemon file; a relative one begins at the file's folder.
std::string placed(const std::string& path, const std::string& daemon_file);

// The configuration of a program that stands alone. `path`: of the daemon file.
Config configOf(const Site& site, const std::string& path);

bool sameSettings(const Site& old, const Site& fresh);

// Which parts differ that are heeded at the next start only, as a list of names.
std::string needsRestart(const Site& old, const Site& fresh);

// The starter that `grademux_sender init` writes.
extern const char* const starter_file;

}  // namespace grademux
