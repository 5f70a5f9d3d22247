// The message classes of the settings as versions that messages keep.
#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "grademux/settings.h"

namespace grademux {

// Each version is complete by itself: a class without a limit of attempts gets that of the settings.
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
