// grademux zones: how much of what it used to send a sender may send to one endpoint of a zone that is on its
// way back. No I/O, no clock.
//
// Each sender's part is a share of its own usual calls, kept from before the zone was left. The parts of all
// add up to that share of what the endpoint used to get, whoever dies, joins or stands still: nobody's part
// is given to another, and who has none on record sends nothing before the zone is in.
#pragma once

#include <algorithm>

#include "grademux/sender.h"

namespace grademux::zones {

class TokenBucket {
 public:
  // Calls a second, from now on.
  void setRate(Micros now, double rate) {
    refill(now);
    rate_ = rate;
    tokens_ = std::min(tokens_, capacity());
  }
  // Whether the module is to see the endpoint as ready.
  bool hasToken(Micros now) {
    refill(now);
    return tokens_ >= 1;
  }
  // A call begins; false: it may not.
  bool takeToken(Micros now) {
    if (!hasToken(now))
      return false;
    tokens_ -= 1;
    return true;
  }
  double rate() const { return rate_; }

 private:
  // Of a span of a tenth of a second at most, and one call.
  double capacity() const { return std::max(1.0, rate_ / 10); }
  void refill(Micros now) {
    if (now > at_) {
      tokens_ = std::min(capacity(), tokens_ + rate_ * static_cast<double>(now - at_) / 1e6);
      at_ = now;
    }
  }
  double rate_ = 0, tokens_ = 0;
  Micros at_ = 0;
};

}  // namespace grademux::zones
