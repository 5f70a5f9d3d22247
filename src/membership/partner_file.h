// grademux: partners as files write them: [[partner]] tables of TOML, in the daemon file or in a file of
// their own. Reading reports every mistake with its place. No I/O.
#pragma once

#include <string>
#include <vector>

#include "../config/toml_table.h"
#include "../zones/regions.h"
#include "partners.h"

namespace grademux {

// All of one file. `allow`: of partners that say nothing of it. `regions`: that zones have to stand in, if
// there are any.
struct PartnerDefaults {
  std::vector<std::string> allow;
  zones::Regions regions;
  bool operator==(const PartnerDefaults& o) const { return allow == o.allow && regions == o.regions; }
};
std::vector<Partner> readPartners(const std::vector<const toml::table*>& tables,
                                  const PartnerDefaults& defaults, std::vector<Mistake>& mistakes,
                                  std::vector<EffectiveValue>* effective = nullptr);

// A file that has nothing but partners, one at least: an empty one is half written.
std::vector<Partner> readPartnerText(const std::string& text, const std::string& path,
                                     const PartnerDefaults& defaults, std::vector<Mistake>& mistakes);

// "10.0.0.0/8" each; what is none is told at the key.
void checkNetworks(TomlTable& t, const char* key, const std::vector<std::string>& networks);

}  // namespace grademux
