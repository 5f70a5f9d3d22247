#include "traffic_baseline.h"

namespace grademux::zones {

namespace {

BaselineRate parseBaselineRate(const std::string& endpoint, const json& pair) {
  const bool valid = pair.is_array() && pair.size() == 2 && pair[0].is_number_integer() &&
                     pair[1].is_number() && pair[1].get<double>() >= 0;
  if (!valid)
    bad("parts: " + endpoint + ": [destination, messages per second] is expected");
  return {pair[0].get<std::int64_t>(), pair[1].get<double>()};
}

}  // namespace

json toJson(const TrafficBaseline& baseline) {
  json object = json::object();
  for (const auto& [zone, endpoints] : baseline.by_zone) {
    json& zone_object = object[zone] = json::object();
    for (const auto& [endpoint, rate] : endpoints)
      zone_object[endpoint] = {rate.destination, rate.rate};
  }
  return object;
}

TrafficBaseline parseTrafficBaseline(const json& object) {
  if (!object.is_object())
    bad("parts: an object is expected");
  TrafficBaseline baseline;
  for (const auto& [zone, endpoints] : object.items()) {
    if (!endpoints.is_object())
      bad("parts: zone " + zone + ": an object is expected");
    for (const auto& [endpoint, pair] : endpoints.items())
      baseline.by_zone[zone][endpoint] = parseBaselineRate(endpoint, pair);
  }
  return baseline;
}

void ZoneBaseline::add(const std::string& endpoint, const BaselineRate& baseline) {
  if (baseline.rate <= 0)
    return;
  endpoints_[endpoint] = baseline;
  DestinationTotal& total = destinations_[baseline.destination];
  total.rate += baseline.rate;
  ++total.endpoint_count;
  total_rate_ += baseline.rate;
}

double ZoneBaseline::fractionOfRate(double fraction, const std::string& endpoint,
                                    std::int64_t destination) const {
  if (const auto own = endpoints_.find(endpoint); own != endpoints_.end())
    return fraction * own->second.rate;
  const auto total = destinations_.find(destination);
  if (total == destinations_.end())
    return 0;
  return fraction * total->second.rate / total->second.endpoint_count;
}

}  // namespace grademux::zones
