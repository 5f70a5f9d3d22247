// grademux: the two clocks of the program, in microseconds. Modules that decide take the time as an argument.
#pragma once

#include "grademux/sender.h"

namespace grademux {

Micros monotonicNow();  // a clock that only goes forward
Micros boottimeNow();   // the same, and on while the machine sleeps (CLOCK_BOOTTIME)
Micros unixNow();       // a clock that holds across processes

}  // namespace grademux
