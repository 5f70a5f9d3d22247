#include "decaying_sum.h"

#include <algorithm>
#include <cmath>

namespace grademux::zones {

void DecayingSum::add(Micros now, double amount, Micros time_constant) {
  value_ = at(now, time_constant) + amount;
  updated_at_ = std::max(updated_at_, now);
}

double DecayingSum::at(Micros now, Micros time_constant) const {
  if (now <= updated_at_)
    return value_;
  return value_ * std::exp(-static_cast<double>(now - updated_at_) / static_cast<double>(time_constant));
}

}  // namespace grademux::zones
