// grademux: clocks; see clock.h.
#include "clock.h"

#include <time.h>

#include <chrono>
#include <cstdio>
#include <ctime>

namespace grademux {

namespace {
template <class Clock>
Micros now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}
}  // namespace

Micros monotonicNow() {
  return now<std::chrono::steady_clock>();
}
Micros boottimeNow() {
  timespec t{};
  ::clock_gettime(CLOCK_BOOTTIME, &t);
  return static_cast<Micros>(t.tv_sec) * 1'000'000 + t.tv_nsec / 1000;
}
Micros unixNow() {
  return now<std::chrono::system_clock>();
}

std::string utcText(Micros at, bool thousandths) {
  if (at <= 0)
    return "?";
  const std::time_t t = at / 1'000'000;
  std::tm parts{};
  char text[40];
  ::gmtime_r(&t, &parts);
  const std::size_t n = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
  if (thousandths)
    std::snprintf(text + n, sizeof text - n, ".%03dZ", static_cast<int>(at / 1000 % 1000));
  else
    std::snprintf(text + n, sizeof text - n, "Z");
  return text;
}

}  // namespace grademux
