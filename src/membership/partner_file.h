// Parses partners: [[partner]] tables of TOML, in the daemon file or in a separate partner file. Every
// mistake is reported with its line and column. No I/O.
#pragma once

#include <string>
#include <vector>

#include "../config/toml_table.h"
#include "../zones/regions.h"
#include "partners.h"

namespace grademux {

// `allow`: for partners without that key. `regions`: if not empty, each zone must belong to one of them.
struct PartnerDefaults {
  std::vector<std::string> allow;
  zones::Regions regions;
  bool operator==(const PartnerDefaults& o) const { return allow == o.allow && regions == o.regions; }
};
// Reads all partners of one file.
std::vector<Partner> readPartners(const std::vector<const toml::table*>& tables,
                                  const PartnerDefaults& defaults, std::vector<Mistake>& mistakes,
                                  std::vector<EffectiveValue>* effective = nullptr);

// Parses a file that contains only partners, at least one: an empty file is incompletely written.
std::vector<Partner> readPartnerText(const std::string& text, const std::string& path,
                                     const PartnerDefaults& defaults, std::vector<Mistake>& mistakes);

// Reports at `key` each text that is not a network such as "10.0.0.0/8".
void checkNetworks(TomlTable& t, const char* key, const std::vector<std::string>& networks);

}  // namespace grademux
