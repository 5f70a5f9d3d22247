// Long-term rate of delivered messages per endpoint: the baseline of a zone. No I/O and no clock: times are
// microseconds of one monotonic clock. Used on the loop thread only.
#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "decaying_sum.h"

namespace grademux::zones {

constexpr Micros kBaselineTimeConstant = 30'000'000;
/// The shortest observation time from which a rate is estimated.
constexpr Micros kMinBaselineAge = 4'000'000;

/// Deliveries per second to each endpoint, as decaying averages.
class DeliveryRates {
 public:
  /// Records the end of an attempt with any result. The observation time starts with the first one.
  void onAttemptEnded(Micros now);
  void recordDelivery(Micros now, const std::string& zone, const std::string& endpoint);

  /// Deliveries per second to one endpoint; 0 if unknown.
  double rate(Micros now, const std::string& zone, const std::string& endpoint) const;
  /// Deliveries per second to all endpoints of the zone.
  double rate(Micros now, const std::string& zone) const;

  /// Drops endpoints whose rate has decayed to a negligible value.
  void expire(Micros now);

 private:
  double perSecond(Micros now, const DecayingSum& deliveries) const;

  std::map<std::string, std::unordered_map<std::string, DecayingSum>> deliveries_;  // by zone and endpoint
  Micros started_at_ = INT64_MAX / 2;
};

}  // namespace grademux::zones
