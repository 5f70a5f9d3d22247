// Values that the decision module derives from all message classes together.
#pragma once

#include <algorithm>

#include "grademux/class_versions.h"
#include "grademux/settings.h"

namespace grademux::decision {

// Returns microseconds.
inline double shortestLatencyObjective(const Settings& settings) {
  double shortest = 1e300;
  for (const MessageClass& message_class : settings.classes)
    shortest = std::min(shortest, static_cast<double>(message_class.latency_objective));
  return shortest;
}

}  // namespace grademux::decision
