// The time base of what is stored in the state folder. It is Unix time as it was when the first process used
// the folder since the machine started; steps of the system clock after that don't move it. So deadlines,
// outages and Retry-After spans that are read back have the age that they really have. Times that people read
// come from unixNow().
#pragma once

#include <string>

#include "file.h"
#include "grademux/sender.h"

namespace grademux {

/// What the stored base takes of the disk budget: it is replaced by a second file.
constexpr std::uint64_t kRecordTimeDiskBytes = 2 * kFileBlockBytes;

/// Takes the time base of the folder, or founds one if the folder has none of this start of the machine.
/// Called once, before anything is read from the folder; without it the base is unixNow(). Returns an empty
/// string, or the reason why a new base could not be stored.
std::string useRecordTimeOf(const std::string& state_folder);

/// The present time in the base of the folder, in microseconds. It also counts while the machine is
/// suspended.
Micros recordTimeNow();

}  // namespace grademux
