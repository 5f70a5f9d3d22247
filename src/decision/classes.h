// grademux, decision: the classes of the settings as versions that messages keep. It decides nothing.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "grademux/class_versions.h"
#include "grademux/settings.h"

namespace grademux::decision {

// Each whole by itself: what the settings say of all classes alike stands in it too.
inline std::vector<ClassVersion> classesOf(const Settings& set) {
  return classVersionsOf(set);
}

inline double leastAim(const Settings& set) {  // microseconds
  double least = 1e300;
  for (const MessageClass& c : set.classes)
    least = std::min(least, static_cast<double>(c.latency_objective));
  return least;
}

}  // namespace grademux::decision
