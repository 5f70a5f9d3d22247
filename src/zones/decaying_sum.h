// Exponentially decaying sum. No clock: times are microseconds of one monotonic clock.
#pragma once

#include "grademux/sender.h"

namespace grademux::zones {

/// A sum whose addends lose weight exponentially. All calls on one object pass the same time constant.
class DecayingSum {
 public:
  void add(Micros now, double amount, Micros time_constant);
  /// Returns the decayed sum at `now`.
  double at(Micros now, Micros time_constant) const;

 private:
  double value_ = 0;
  Micros updated_at_ = 0;
};

}  // namespace grademux::zones
