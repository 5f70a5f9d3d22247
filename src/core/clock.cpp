// grademux: clocks; see clock.h.
#include "clock.h"

#include <time.h>

#include <chrono>

namespace grademux {

namespace {
template <class Clock>
Micros now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}
}  // namespace

Micros monotonicNow() { return now<std::chrono::steady_clock>(); }
Micros boottimeNow() {
  timespec t{};
  ::clock_gettime(CLOCK_BOOTTIME, &t);
  return static_cast<Micros>(t.tv_sec) * 1'000'000 + t.tv_nsec / 1000;
}
Micros unixNow() { return now<std::chrono::system_clock>(); }

}  // namespace grademux
