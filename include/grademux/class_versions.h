// Converts the message classes of the settings to class versions.
#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "grademux/settings.h"

namespace grademux {

// A class without max_attempts gets Settings::max_attempts, so that later settings do not change its version.
inline std::vector<ClassVersion> classVersionsOf(const Settings& settings) {
  std::vector<ClassVersion> versions;
  for (MessageClass message_class : settings.classes) {
    if (message_class.max_attempts == 0)
      message_class.max_attempts = settings.max_attempts;
    versions.push_back(std::make_shared<const MessageClass>(std::move(message_class)));
  }
  return versions;
}

}  // namespace grademux
