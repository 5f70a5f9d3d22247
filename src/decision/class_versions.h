// grademux, decision: the classes of the settings as versions that messages keep. It decides nothing.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "grademux/settings.h"

namespace grademux::decision {

// Each whole by itself: what the settings say of all classes alike stands in it too.
inline std::vector<ClassVersion> makeClassVersions(const Settings& set) {
  std::vector<ClassVersion> all;
  for (MessageClass message_class : set.classes) {
    if (message_class.max_attempts == 0)
      message_class.max_attempts = set.max_attempts;
    all.push_back(std::make_shared<const MessageClass>(std::move(message_class)));
  }
  return all;
}

inline double shortestLatencyObjective(const Settings& set) {  // microseconds
  double least = 1e300;
  for (const MessageClass& message_class : set.classes)
    least = std::min(least, static_cast<double>(message_class.latency_objective));
  return least;
}

}  // namespace grademux::decision
