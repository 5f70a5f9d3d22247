// The clocks of the program, in microseconds. The decision modules read no clock: they get the time as an
// argument.
#pragma once

#include <string>

#include "grademux/sender.h"

namespace grademux {

// Never decreases; not comparable across restarts of the machine; stands still while the machine is
// suspended.
Micros monotonicNow();
Micros boottimeNow();  // never decreases and also counts while the machine is suspended (CLOCK_BOOTTIME)
Micros unixNow();      // Unix time; comparable across processes and restarts

// Formats Unix time as 2026-12-01T10:00:00.123Z, or without the milliseconds; "?" if the time is unknown (0).
std::string utcText(Micros at, bool with_milliseconds);

}  // namespace grademux
