// grademux, decision: the classes of the settings as versions that messages keep. It decides nothing.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "grademux/settings.h"

namespace grademux::decision {

// Each whole by itself: what the settings say of all classes alike stands in it too.
inline std::vector<ClassVersion> classesOf(const Settings& set) {
  std::vector<ClassVersion> all;
  for (MessageClass c : set.classes) {
    if (c.max_attempts == 0)
      c.max_attempts = set.max_attempts;
    all.push_back(std::make_shared<const MessageClass>(std::move(c)));
  }
  return all;
}

inline double leastAim(const Settings& set) {  // microseconds
  double least = 1e300;
  for (const MessageClass& c : set.classes)
    least = std::min(least, static_cast<double>(c.latency_objective));
  return least;
}

}  // namespace grademux::decision
