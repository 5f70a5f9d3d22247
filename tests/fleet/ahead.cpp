// Builds the program as on a machine whose clock is three minutes ahead: the linker replaces unixNow() by
// this function.
#include "../../src/core/clock.h"

extern "C" {
grademux::Micros __real__ZN8grademux7unixNowEv();
grademux::Micros __wrap__ZN8grademux7unixNowEv() {
  return __real__ZN8grademux7unixNowEv() + 180'000'000;
}
}
