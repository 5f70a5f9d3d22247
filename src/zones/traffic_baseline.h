// Baseline traffic of one sender: how much it sent to the endpoints of a zone before the zone was evacuated.
// Each recovery stage allows a fraction of it. Stored in the sender's own state folder, because no other
// sender has these rates. Plain data and its JSON form, without a thread rule.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "../core/json_fields.h"

namespace grademux::zones {

/// Rate of this sender's deliveries to one endpoint before the evacuation.
struct BaselineRate {
  std::int64_t destination = 0;
  double rate = 0;  ///< Delivered messages per second.

  bool operator==(const BaselineRate& other) const {
    return destination == other.destination && rate == other.rate;
  }
};
using EndpointRates = std::map<std::string, BaselineRate>;  // by endpoint id

/// Baselines of all zones that are not active.
struct TrafficBaseline {
  std::map<std::string, EndpointRates> by_zone;

  bool empty() const { return by_zone.empty(); }
  /// The zone must have a baseline.
  const EndpointRates& at(const std::string& zone) const { return by_zone.at(zone); }
  bool operator==(const TrafficBaseline& other) const { return by_zone == other.by_zone; }
};

/// Returns the stored form: zone -> endpoint id -> [destination, rate].
json toJson(const TrafficBaseline& baseline);
/// Throws BadInput, which names the invalid field.
TrafficBaseline parseTrafficBaseline(const json& object);

/// The baseline of one zone. Endpoints that were listed later get the average rate of their destination.
class ZoneBaseline {
 public:
  /// Rates of 0 are left out.
  void add(const std::string& endpoint, const BaselineRate& baseline);

  const EndpointRates& endpoints() const { return endpoints_; }
  /// Messages per second to the whole zone.
  double totalRate() const { return total_rate_; }
  /// Returns the given fraction of the endpoint's baseline rate, or of its destination's average rate per
  /// endpoint if the endpoint has no baseline; 0 if neither is known.
  double fractionOfRate(double fraction, const std::string& endpoint, std::int64_t destination) const;

 private:
  struct DestinationTotal {
    double rate = 0;
    int endpoint_count = 0;
  };
  EndpointRates endpoints_;
  std::map<std::int64_t, DestinationTotal> destinations_;
  double total_rate_ = 0;
};

}  // namespace grademux::zones
