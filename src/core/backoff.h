// grademux: pauses between the tries of something that fails. They grow, and are drawn, so that senders that
// failed at one moment don't come back as one. No clock and no I/O: the caller waits.
//
// Full jitter above a floor: even over [least, ceiling], the ceiling doubling with each failure up to `most`.
// Decorrelated jitter (the next drawn up to three times the last, cut at `most`) leaves two thirds of those
// that have long failed at `most` exactly, which is in step again. With M senders that all fail, the fleet
// tries 2 M / (least + most) times a second in the long run.
#pragma once

#include <algorithm>
#include <random>

#include "grademux/settings.h"

namespace grademux {

class Backoff {
 public:
  explicit Backoff(std::uint64_t seed) : random_(seed) {}

  // The pause before the next try, in microseconds; 1 or more. `most` below `least` counts as `least`.
  Micros next(Micros least, Micros most) {
    least = std::max<Micros>(1, least);
    most = std::max(least, most);
    const Micros from = std::max(ceiling_, least);
    ceiling_ = from > most / 2 ? most : 2 * from;
    return std::uniform_int_distribution<Micros>(least, ceiling_)(random_);
  }
  // Where it is known over which span all that might come as one are to be spread.
  Micros within(Micros span) {
    return std::uniform_int_distribution<Micros>(0, std::max<Micros>(0, span))(random_);
  }
  void succeeded() { ceiling_ = 0; }

 private:
  std::mt19937_64 random_;
  Micros ceiling_ = 0;
};

}  // namespace grademux
