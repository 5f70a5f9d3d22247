// Limits the rate of log lines with one token bucket for each kind of line. No I/O and no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "grademux/sender.h"

namespace grademux::log {

class LineRateLimiter {
 public:
  // `rate` is the sustained number of lines per second of one kind, 0 for no limit; `burst` is the number of
  // lines of one kind at once.
  LineRateLimiter(std::size_t kinds, double rate, double burst)
      : rate_(rate), burst_(std::max(burst, 1.0)), buckets_(kinds, Bucket{burst_, 0, 0}) {}

  // Returns whether a line of this kind may be written at `now`, and takes a token. Suppressed lines are
  // counted.
  bool allow(std::size_t kind, Micros now) {
    if (rate_ <= 0)
      return true;
    Bucket& bucket = buckets_[kind];
    bucket.tokens =
        std::min(burst_, bucket.tokens +
                             static_cast<double>(std::max<Micros>(0, now - bucket.updated_at)) * rate_ / 1e6);
    bucket.updated_at = now;
    if (bucket.tokens < 1) {
      ++bucket.suppressed;
      ++total_suppressed_;
      return false;
    }
    bucket.tokens -= 1;
    return true;
  }

  // Returns the number of suppressed lines of a kind and resets it to 0.
  std::size_t takeSuppressed(std::size_t kind) {
    const std::size_t n = buckets_[kind].suppressed;
    buckets_[kind].suppressed = 0;
    total_suppressed_ -= n;
    return n;
  }
  bool hasSuppressed() const { return total_suppressed_ > 0; }
  // Whether a kind has a token again: the burst is over, and its count of suppressed lines can be logged.
  bool hasToken(std::size_t kind, Micros now) const {
    const Bucket& bucket = buckets_[kind];
    return bucket.tokens + static_cast<double>(now - bucket.updated_at) * rate_ / 1e6 >= 1;
  }

 private:
  struct Bucket {
    double tokens;
    Micros updated_at;
    std::size_t suppressed;
  };
  double rate_, burst_;
  std::vector<Bucket> buckets_;
  std::size_t total_suppressed_ = 0;
};

}  // namespace grademux::log
