#include "learned_record_codec.h"

#include <algorithm>
#include <cmath>
#include <type_traits>

namespace grademux::knowledge {

using nlohmann::json;

template <class T>
T fieldOr(const json& object, const char* name, T fallback) {
  const auto field = object.find(name);
  if (field == object.end())
    return fallback;
  if constexpr (std::is_same_v<T, std::string>) {
    return field->is_string() ? field->get<std::string>() : fallback;
  } else if constexpr (std::is_same_v<T, bool>) {
    return field->is_boolean() ? field->get<bool>() : fallback;
  } else if constexpr (std::is_floating_point_v<T>) {
    const double value = field->is_number() ? field->get<double>() : fallback;
    return std::isfinite(value) && value >= 0 ? value : fallback;
  } else {
    return field->is_number_integer() ? field->get<T>() : fallback;
  }
}

template std::string fieldOr(const json&, const char*, std::string);
template int fieldOr(const json&, const char*, int);

Micros timeField(const json& object, const char* name) {
  return std::max<Micros>(0, fieldOr<Micros>(object, name, 0));
}

json encodeRecord(const LearnedRecord& record) {
  const LearnedEndpoint& learned = record.learned;
  json object = {{"d", learned.destination}, {"heard", learned.last_outcome_at}};
  if (!learned.endpoint.empty())
    object["e"] = learned.endpoint;
  if (!record.address.empty())
    object["at"] = record.address;
  if (learned.rate_limit > 0)
    object["limit"] = learned.rate_limit;
  if (learned.limit_is_reported)
    object["told"] = true;
  if (learned.quota_fraction > 0)
    object["part"] = learned.quota_fraction;
  if (learned.samples > 0) {
    object["usual"] = learned.typical_latency;
    object["n"] = learned.samples;
  }
  if (learned.unknown_outcome_fraction > 0)
    object["risk"] = learned.unknown_outcome_fraction;
  if (learned.message_rate > 0) {
    object["traffic"] = learned.message_rate;
    object["came"] = learned.last_message_at;
  }
  return object;
}

LearnedRecord decodeRecord(const json& object) {
  LearnedRecord record;
  LearnedEndpoint& learned = record.learned;
  learned.destination = fieldOr<std::int64_t>(object, "d", 0);
  learned.last_outcome_at = timeField(object, "heard");
  learned.endpoint = fieldOr<std::string>(object, "e", "");
  record.address = fieldOr<std::string>(object, "at", "");
  learned.rate_limit = fieldOr<double>(object, "limit", 0);
  learned.limit_is_reported = fieldOr<bool>(object, "told", false);
  learned.quota_fraction = fieldOr<double>(object, "part", 0);
  learned.typical_latency = timeField(object, "usual");
  learned.samples = learned.typical_latency > 0 ? std::max(0, fieldOr<int>(object, "n", 0)) : 0;
  learned.unknown_outcome_fraction = std::min(1.0, fieldOr<double>(object, "risk", 0));
  learned.message_rate = fieldOr<double>(object, "traffic", 0);
  learned.last_message_at = timeField(object, "came");
  return record;
}

json encodePool(const LearnedPool& pool) {
  return {{"heard", pool.last_outcome_at},       {"typical", pool.mean_latency},
          {"n", pool.latency_samples},           {"dead_score", pool.stale_connection_score},
          {"dead_least", pool.stale_after_idle}, {"dead_at", pool.stale_observed_at}};
}

LearnedPool decodePool(const json& object) {
  LearnedPool pool;
  pool.last_outcome_at = timeField(object, "heard");
  pool.mean_latency = fieldOr<double>(object, "typical", 0);
  pool.latency_samples = std::max(0, fieldOr<int>(object, "n", 0));
  pool.stale_connection_score = fieldOr<double>(object, "dead_score", 0);
  pool.stale_after_idle = timeField(object, "dead_least");
  pool.stale_observed_at = timeField(object, "dead_at");
  return pool;
}

}  // namespace grademux::knowledge
