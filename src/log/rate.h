// grademux: a bound on how many lines of one kind are logged: a token bucket for each kind. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "grademux/sender.h"

namespace grademux::log {

class RateBound {
 public:
  // `rate`: lines a second of one kind in the long run; as many of `burst` at once. 0: no bound.
  RateBound(std::size_t kinds, double rate, double burst)
      : rate_(rate), burst_(std::max(burst, 1.0)), kinds_(kinds, Kind{burst_, 0, 0}) {}

  // Whether a line of this kind may be written at `now`; if not, it is counted.
  bool allow(std::size_t kind, Micros now) {
    if (rate_ <= 0)
      return true;
    Kind& k = kinds_[kind];
    k.tokens =
        std::min(burst_, k.tokens + static_cast<double>(std::max<Micros>(0, now - k.at)) * rate_ / 1e6);
    k.at = now;
    if (k.tokens < 1) {
      ++k.left_out;
      ++left_out_;
      return false;
    }
    k.tokens -= 1;
    return true;
  }

  // What was left out of a kind since this was asked last.
  std::size_t takeLeftOut(std::size_t kind) {
    const std::size_t n = kinds_[kind].left_out;
    kinds_[kind].left_out = 0;
    left_out_ -= n;
    return n;
  }
  bool anyLeftOut() const { return left_out_ > 0; }
  // Whether a kind has tokens again: the flood is over, and its count may be told.
  bool calm(std::size_t kind, Micros now) const {
    const Kind& k = kinds_[kind];
    return k.tokens + static_cast<double>(now - k.at) * rate_ / 1e6 >= 1;
  }

 private:
  struct Kind {
    double tokens;
    Micros at;
    std::size_t left_out;
  };
  double rate_, burst_;
  std::vector<Kind> kinds_;
  std::size_t left_out_ = 0;
};

}  // namespace grademux::log
