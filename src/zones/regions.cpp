#include "regions.h"

namespace grademux::zones {

bool Regions::contains(const std::string& zone) const {
  return region_by_zone.count(zone) > 0;
}

const std::string& Regions::regionOf(const std::string& zone) const {
  const auto found = region_by_zone.find(zone);
  return found == region_by_zone.end() ? zone : found->second;
}

bool Regions::sameRegion(const std::string& zone, const std::string& other_zone) const {
  return regionOf(zone) == regionOf(other_zone);
}

bool Regions::areStandbys(const std::string& zone, const std::string& other_zone) const {
  const std::string& region = regionOf(zone);
  const std::string& other_region = regionOf(other_zone);
  return isStandbyOf(region, other_region) || isStandbyOf(other_region, region);
}

bool Regions::operator==(const Regions& other) const {
  return region_by_zone == other.region_by_zone && standby_by_region == other.standby_by_region;
}

bool Regions::isStandbyOf(const std::string& region, const std::string& standby) const {
  const auto found = standby_by_region.find(region);
  return found != standby_by_region.end() && found->second == standby;
}

}  // namespace grademux::zones
