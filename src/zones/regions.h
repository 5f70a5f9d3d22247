// grademux zones: which zones make up a region, and which region takes over another's load. Data alone, from
// the daemon file; without any each zone is a region of its own, and nobody stands by.
#pragma once

#include <map>
#include <string>

namespace grademux::zones {

struct Regions {
  std::map<std::string, std::string> region_by_zone;  // by zone
  std::map<std::string, std::string> stand_by;        // by region: the one that takes its load over

  bool empty() const { return region_by_zone.empty(); }
  bool contains(const std::string& zone) const { return region_by_zone.count(zone) > 0; }
  const std::string& regionOf(const std::string& zone) const {
    const auto at = region_by_zone.find(zone);
    return at == region_by_zone.end() ? zone : at->second;
  }
  bool sameRegion(const std::string& a, const std::string& b) const { return regionOf(a) == regionOf(b); }
  // One region's load goes to the other's: both must not be away at once.
  bool areStandbys(const std::string& a, const std::string& b) const {
    const std::string &x = regionOf(a), &y = regionOf(b);
    return standsBy(x, y) || standsBy(y, x);
  }
  bool operator==(const Regions& o) const {
    return region_by_zone == o.region_by_zone && stand_by == o.stand_by;
  }

 private:
  bool standsBy(const std::string& region, const std::string& other) const {
    const auto at = stand_by.find(region);
    return at != stand_by.end() && at->second == other;
  }
};

}  // namespace grademux::zones
