// Randomised exponential backoff between retries of an operation that fails. The randomness keeps senders
// that failed at the same moment from retrying at the same moment. No clock and no I/O: the caller waits.
//
// The algorithm is full jitter above a floor: each pause is uniform over [min_pause, ceiling], and the
// ceiling doubles with each failure up to `max_pause`. Decorrelated jitter (each pause is drawn up to three
// times the previous one and capped at `max_pause`) was not used: after many failures two thirds of the
// senders pause for exactly `max_pause` and are synchronised again. With M senders that all keep failing, the
// fleet retries 2 M / (min_pause + max_pause) times a second in the long run.
#pragma once

#include <algorithm>
#include <random>

#include "grademux/settings.h"

namespace grademux {

class Backoff {
 public:
  explicit Backoff(std::uint64_t seed) : random_(seed) {}

  // The pause before the next retry, in microseconds; at least 1. A `max_pause` below `min_pause` counts as
  // `min_pause`.
  Micros next(Micros min_pause, Micros max_pause) {
    min_pause = std::max<Micros>(1, min_pause);
    max_pause = std::max(min_pause, max_pause);
    const Micros previous_ceiling = std::max(ceiling_, min_pause);
    ceiling_ = previous_ceiling > max_pause / 2 ? max_pause : 2 * previous_ceiling;
    return std::uniform_int_distribution<Micros>(min_pause, ceiling_)(random_);
  }
  // A pause that is uniform over [0, span]: for callers that know the span over which simultaneous operations
  // of many senders are to be spread. A negative span counts as 0.
  Micros randomWithin(Micros span) {
    return std::uniform_int_distribution<Micros>(0, std::max<Micros>(0, span))(random_);
  }
  // The operation succeeded: the next failure starts again with the smallest ceiling.
  void reset() { ceiling_ = 0; }

 private:
  std::mt19937_64 random_;
  Micros ceiling_ = 0;  // upper bound of the last pause; 0: no failure since the last reset
};

}  // namespace grademux
