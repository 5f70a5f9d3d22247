// grademux: what a program that stands alone is told by its daemon file: classes of messages, partners,
// limits, the journal's place. On a platform all of this comes from GW_CONFIG instead.
#pragma once

#include <string>
#include <vector>

#include "../membership/partners.h"
#include "config.h"
#include "toml_table.h"

namespace grademux {

struct Site {
  Settings settings;
  std::string folder;  // of the journal; a relative one is taken from the daemon file's folder
  std::uint64_t disk_bytes = 0;
  std::int64_t sockets = 0;
  std::vector<Partner> partners;
};

// True if the file has any of these tables. What is wrong with them is among the mistakes.
bool readSite(Table& top, Site& site, std::vector<Mistake>& mistakes);

// The configuration of a program that stands alone. `path`: of the daemon file.
Config configOf(const Site& site, const std::string& path);

// Which parts differ that are heeded at the next start only, as a list of names.
std::string needsRestart(const Site& old, const Site& fresh);

// The starter that `grademux_sender init` writes.
extern const char* const kStarter;

}  // namespace grademux
