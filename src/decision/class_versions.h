// The message classes of the settings as immutable versions: an open message keeps the version under which it
// was accepted.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "grademux/settings.h"

namespace grademux::decision {

// One version for each class of the settings, with Settings::max_attempts where the class has none.
inline std::vector<ClassVersion> makeClassVersions(const Settings& settings) {
  std::vector<ClassVersion> versions;
  for (MessageClass message_class : settings.classes) {
    if (message_class.max_attempts == 0)
      message_class.max_attempts = settings.max_attempts;
    versions.push_back(std::make_shared<const MessageClass>(std::move(message_class)));
  }
  return versions;
}

// Microseconds.
inline double shortestLatencyObjective(const Settings& settings) {
  double shortest = 1e300;
  for (const MessageClass& message_class : settings.classes)
    shortest = std::min(shortest, static_cast<double>(message_class.latency_objective));
  return shortest;
}

}  // namespace grademux::decision
