// Token bucket that limits how many attempts a sender may start to one endpoint of a recovering zone. No I/O
// and no clock: times are microseconds of one monotonic clock. Used on the loop thread only.
//
// The rate is a fraction of the sender's own baseline, measured before the zone was evacuated. The rates of
// all senders add up to that fraction of the endpoint's baseline: the quota of a sender that stops is not
// given to another, and a sender without a baseline sends nothing before the zone is active.
#pragma once

#include <algorithm>

#include "grademux/sender.h"

namespace grademux::zones {

/// Refills at a fixed rate. The capacity is a tenth of a second's tokens, but at least one token.
class TokenBucket {
 public:
  /// Sets the rate in attempts per second, from `now` on.
  void setRate(Micros now, double rate) {
    refill(now);
    rate_ = rate;
    tokens_ = std::min(tokens_, capacity());
  }
  bool hasToken(Micros now) {
    refill(now);
    return tokens_ >= 1;
  }
  /// Takes a token for one attempt. Returns false if there is none.
  bool takeToken(Micros now) {
    if (!hasToken(now))
      return false;
    tokens_ -= 1;
    return true;
  }
  /// Attempts per second.
  double rate() const { return rate_; }

 private:
  static constexpr double kBurstsPerSecond = 10;
  double capacity() const { return std::max(1.0, rate_ / kBurstsPerSecond); }
  void refill(Micros now) {
    if (now <= refilled_at_)
      return;
    tokens_ = std::min(capacity(), tokens_ + rate_ * static_cast<double>(now - refilled_at_) / 1e6);
    refilled_at_ = now;
  }

  double rate_ = 0;
  double tokens_ = 0;
  Micros refilled_at_ = 0;
};

}  // namespace grademux::zones
