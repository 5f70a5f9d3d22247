// Regions of zones, as the daemon file configures them. Without configuration each zone is a region of its
// own, and no region has a standby. Plain data without a thread rule.
#pragma once

#include <map>
#include <string>

namespace grademux::zones {

/// Which zones make up a region, and which region takes over another region's load.
struct Regions {
  std::map<std::string, std::string> region_by_zone;
  std::map<std::string, std::string> standby_by_region;  ///< The region that takes over the load, by region.

  bool empty() const { return region_by_zone.empty(); }
  /// Whether the configuration names a region for this zone.
  bool contains(const std::string& zone) const;
  /// The region of the zone; the zone's own name if it is not configured.
  const std::string& regionOf(const std::string& zone) const;
  bool sameRegion(const std::string& zone, const std::string& other_zone) const;
  /// Whether one zone's region is the standby of the other zone's region; zones of both must not be evacuated
  /// at the same time.
  bool areStandbys(const std::string& zone, const std::string& other_zone) const;
  bool operator==(const Regions& other) const;

 private:
  bool isStandbyOf(const std::string& region, const std::string& standby) const;
};

}  // namespace grademux::zones
