// grademux: the check of the decision module's settings: errors name the field.
#pragma once

#include <set>
#include <stdexcept>
#include <string>

#include "grademux/sender.h"

namespace grademux {

inline void require(bool good, const char* field) {
  if (!good)
    throw std::invalid_argument(std::string("settings: ") + field);
}

inline void validate(const Settings& s) {
  require(!s.classes.empty(), "classes");
  std::set<std::string> names;
  for (const auto& c : s.classes) {
    require(names.insert(c.name).second, "classes.name: a class stands there twice");
    require(c.latency_objective > 0, "classes.aim");
    require(c.deadline >= c.latency_objective, "classes.deadline");
    require(c.idempotency_window >= 0, "classes.memory");
    require(c.priority_weight >= 0 && c.late_weight_fraction >= 0 && c.latency_objective_stretch >= 0,
            "classes.worth");
  }
  for (const auto& t : s.tenants)
    require(t.quota >= 0, "tenants.quota");
  for (const auto& k : s.kinds)
    require(k.messages_per_call >= 1, "kinds.per_call");
  require(s.sender_count >= 1, "senders");
  require(s.max_in_flight >= 1, "slots");
  require(s.max_open_messages >= 1, "max_open");
  require(s.max_attempts >= 1, "max_attempts");
  require(s.min_decide_interval >= 0, "tick");
  require(s.drain_grace >= 0 && s.poll_notified_within >= 0 && s.ordering_backoff >= 0, "rules");
  require(s.connect_timeout >= 0 && s.idle_connection_timeout >= 0, "dial_timeout");
  require(s.max_retry_after >= 0, "max_pause");
  require(s.overload_collapse_time >= 0 && s.slow_start_time >= 0, "fall_span");
  require(s.cold_capacity_fraction > 0 && s.cold_capacity_fraction <= 1 && s.overload_factor > 0,
          "cold_share");
}

}  // namespace grademux
