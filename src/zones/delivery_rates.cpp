#include "delivery_rates.h"

#include <algorithm>
#include <cmath>

namespace grademux::zones {

void DeliveryRates::onAttemptEnded(Micros now) {
  started_at_ = std::min(started_at_, now);
}

void DeliveryRates::recordDelivery(Micros now, const std::string& zone, const std::string& endpoint) {
  deliveries_[zone][endpoint].add(now, 1, kBaselineTimeConstant);
}

double DeliveryRates::rate(Micros now, const std::string& zone, const std::string& endpoint) const {
  const auto found_zone = deliveries_.find(zone);
  if (found_zone == deliveries_.end())
    return 0;
  const auto found = found_zone->second.find(endpoint);
  return found == found_zone->second.end() ? 0 : perSecond(now, found->second);
}

double DeliveryRates::rate(Micros now, const std::string& zone) const {
  const auto found_zone = deliveries_.find(zone);
  if (found_zone == deliveries_.end())
    return 0;
  double total = 0;
  for (const auto& [endpoint, deliveries] : found_zone->second)
    total += perSecond(now, deliveries);
  return total;
}

void DeliveryRates::expire(Micros now) {
  constexpr double kNegligible = 1e-3;
  for (auto& [zone, endpoints] : deliveries_)
    for (auto entry = endpoints.begin(); entry != endpoints.end();) {
      const bool expired = entry->second.at(now, kBaselineTimeConstant) < kNegligible;
      entry = expired ? endpoints.erase(entry) : std::next(entry);
    }
}

// Corrects for a short observation time, in which the sum has not yet reached its long-term value.
double DeliveryRates::perSecond(Micros now, const DecayingSum& deliveries) const {
  const auto age = static_cast<double>(std::max(now - started_at_, kMinBaselineAge));
  const auto constant = double{kBaselineTimeConstant};
  return deliveries.at(now, kBaselineTimeConstant) / constant / (1 - std::exp(-age / constant)) * 1e6;
}

}  // namespace grademux::zones
