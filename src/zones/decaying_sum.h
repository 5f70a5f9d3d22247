// Exponentially decaying sum. No clock: times are microseconds of one monotonic clock.
#pragma once

#include "grademux/sender.h"

namespace grademux::zones {

/// A sum whose addends lose weight with time. Each caller passes the same time constant to every call.
class DecayingSum {
 public:
  void add(Micros now, double amount, Micros time_constant);
  /// The sum as it weighs at `now`.
  double at(Micros now, Micros time_constant) const;

 private:
  double value_ = 0;
  Micros updated_at_ = 0;
};

}  // namespace grademux::zones
