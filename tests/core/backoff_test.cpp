#include "../../src/core/backoff.h"

#include <gtest/gtest.h>

#include <set>

namespace grademux {
namespace {

TEST(Backoff, DoublesCeilingUpToMaximumAndRestartsAfterReset) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Backoff backoff(seed);
    Micros ceiling = 200;
    for (int i = 0; i < 100; ++i) {
      const Micros pause = backoff.next(100, 5000);
      EXPECT_GE(pause, 100);
      EXPECT_LE(pause, ceiling);
      ceiling = std::min<Micros>(5000, 2 * ceiling);
    }
    backoff.reset();
    EXPECT_LE(backoff.next(100, 5000), 200);
  }
}

// Guards against synchronised retries after a long outage: at the maximum ceiling, the pauses still cover the
// whole span.
TEST(Backoff, SpreadsPausesAfterManyFailures) {
  std::set<Micros> tenths;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Backoff backoff(seed);
    Micros pause = 0;
    for (int i = 0; i < 30; ++i)
      pause = backoff.next(100, 100'000);
    tenths.insert(pause / 10'001);
  }
  EXPECT_EQ(tenths.size(), 10u);
}

TEST(Backoff, ReturnsPositivePausesForInvalidBounds) {
  Backoff backoff(1);
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(backoff.next(0, 0), 1);
    EXPECT_EQ(backoff.next(-5, -7), 1);
    EXPECT_EQ(backoff.next(100, 1), 100);
  }
  Backoff wide(2);
  for (int i = 0; i < 200; ++i) {
    const Micros pause = wide.next(1, INT64_MAX);
    EXPECT_GE(pause, 1);
  }
  EXPECT_EQ(backoff.randomWithin(-1), 0);
  EXPECT_EQ(backoff.randomWithin(0), 0);
}

}  // namespace
}  // namespace grademux
