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
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return static_cast<Micros>(time.tv_sec) * 1'000'000 + time.tv_nsec / 1000;
}

Micros unixNow() {
  return now<std::chrono::system_clock>();
}

std::string utcText(Micros at, bool with_milliseconds) {
  if (at <= 0)
    return "?";
  const std::time_t seconds = at / 1'000'000;
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  char text[40];
  const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
  if (with_milliseconds)
    std::snprintf(text + length, sizeof text - length, ".%03dZ", static_cast<int>(at / 1000 % 1000));
  else
    std::snprintf(text + length, sizeof text - length, "Z");
  return text;
}

}  // namespace grademux
