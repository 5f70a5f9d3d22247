// grademux: clocks; see clock.h.
#include "clock.h"

#include <chrono>

namespace grademux {

namespace {
template <class Clock>
Micros now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}
}  // namespace

Micros monotonicNow() { return now<std::chrono::steady_clock>(); }
Micros unixNow() { return now<std::chrono::system_clock>(); }

}  // namespace grademux
