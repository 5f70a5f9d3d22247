// grademux model: randomness by named streams, so that one part of a world that draws more or less shifts
// nothing in another. A stream's seed is XXH3-64 of its name, seeded by the run's seed; the engine is
// std::mt19937_64, whose sequence the standard fixes. Distributions are written out here, since the
// standard leaves theirs to the library.
#pragma once

#include <xxhash.h>

#include <cmath>
#include <cstdint>
#include <random>
#include <string>

namespace grademux::model {

class Stream {
 public:
  Stream(std::uint64_t seed, const std::string& name)
      : engine_(XXH3_64bits_withSeed(name.data(), name.size(), seed)) {}

  std::uint64_t bits() { return engine_(); }
  // In [0, 1), of 53 bits.
  double uniform() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  double between(double least, double most) { return least + (most - least) * uniform(); }
  bool chance(double share) { return uniform() < share; }
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(uniform() * static_cast<double>(n)); }
  double exponential(double mean) { return -mean * std::log1p(-uniform()); }
  // Log-normal with this mean and coefficient of variation.
  double lognormal(double mean, double cv) {
    const double s2 = std::log1p(cv * cv);
    return mean * std::exp(std::sqrt(s2) * normal() - s2 / 2);
  }
  // Box and Muller's, one of the pair.
  double normal() { return std::sqrt(-2 * std::log1p(-uniform())) * std::cos(6.283185307179586 * uniform()); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace grademux::model
