// Validates the settings of the decision module. src/daemon uses the check too.
#pragma once

#include <set>
#include <stdexcept>
#include <string>

#include "grademux/sender.h"

namespace grademux {

inline void require(bool is_valid, const char* field) {
  if (!is_valid)
    throw std::invalid_argument(std::string("settings: ") + field);
}

// Throws std::invalid_argument that names the first field whose value is out of range.
inline void validate(const Settings& settings) {
  require(!settings.classes.empty(), "classes");
  std::set<std::string> names;
  for (const auto& message_class : settings.classes) {
    require(names.insert(message_class.name).second, "classes.name: a class stands there twice");
    require(!message_class.name.empty(), "classes.name: a name is expected");
    require(message_class.latency_objective > 0, "classes.aim");
    require(message_class.deadline >= message_class.latency_objective, "classes.deadline");
    require(message_class.idempotency_window >= 0, "classes.memory");
    require(message_class.priority_weight >= 0 && message_class.late_weight_fraction >= 0 &&
                message_class.late_weight_fraction <= 1 && message_class.latency_objective_stretch >= 0,
            "classes.worth");
  }
  for (const auto& tenant : settings.tenants)
    require(tenant.quota >= 0 && tenant.share >= 0, "tenants.quota");
  for (const double cost : settings.zone_cost)
    require(cost >= 0, "zone_cost");
  require(settings.over_quota_weight >= 0 && settings.over_quota_weight <= 1, "over_quota");
  for (const auto& kind : settings.kinds)
    require(kind.messages_per_call >= 1, "kinds.per_call");
  require(settings.sender_count >= 1, "senders");
  require(settings.max_in_flight >= 1, "slots");
  require(settings.max_open_messages >= 1, "max_open");
  require(settings.max_attempts >= 1, "max_attempts");
  require(settings.min_decide_interval >= 0, "tick");
  require(settings.drain_grace >= 0 && settings.poll_notified_within >= 0 && settings.ordering_backoff >= 0,
          "rules");
  require(settings.connect_timeout >= 0 && settings.idle_connection_timeout >= 0, "dial_timeout");
  require(settings.max_retry_after >= 0, "max_pause");
  require(settings.overload_collapse_time >= 0 && settings.slow_start_time >= 0, "fall_span");
  require(settings.cold_capacity_fraction > 0 && settings.cold_capacity_fraction <= 1 &&
              settings.overload_factor > 0,
          "cold_share");
}

}  // namespace grademux
