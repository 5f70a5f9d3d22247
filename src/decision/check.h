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
    require(c.aim > 0, "classes.aim");
    require(c.deadline >= c.aim, "classes.deadline");
    require(c.memory >= 0, "classes.memory");
    require(c.worth >= 0 && c.late_worth >= 0 && c.aim_stretch >= 0, "classes.worth");
  }
  for (const auto& t : s.tenants)
    require(t.quota >= 0, "tenants.quota");
  for (const auto& k : s.kinds)
    require(k.per_call >= 1, "kinds.per_call");
  require(s.senders >= 1, "senders");
  require(s.slots >= 1, "slots");
  require(s.max_open >= 1, "max_open");
  require(s.max_attempts >= 1, "max_attempts");
  require(s.tick >= 0, "tick");
  require(s.drain_grace >= 0 && s.ask_within >= 0 && s.order_pause >= 0, "rules");
  require(s.dial_timeout >= 0 && s.conn_idle >= 0, "dial_timeout");
  require(s.max_pause >= 0, "max_pause");
  require(s.fall_span >= 0 && s.ramp_time >= 0, "fall_span");
  require(s.cold_share > 0 && s.cold_share <= 1 && s.overload_factor > 0, "cold_share");
}

}  // namespace grademux
