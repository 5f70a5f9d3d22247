#include "../../src/core/backoff.h"

#include <gtest/gtest.h>

#include <set>

namespace grademux {
namespace {

TEST(Backoff, CeilingsDoubleUpToTheMostAndBeginAnewAfterASuccess) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Backoff b(seed);
    Micros ceiling = 200;
    for (int i = 0; i < 100; ++i) {
      const Micros pause = b.next(100, 5000);
      EXPECT_GE(pause, 100);
      EXPECT_LE(pause, ceiling);
      ceiling = std::min<Micros>(5000, 2 * ceiling);
    }
    b.succeeded();
    EXPECT_LE(b.next(100, 5000), 200);
  }
}

// What has failed for long is not in step: at the most, pauses still fill the whole span.
TEST(Backoff, ThoseThatHaveLongFailedAreSpread) {
  std::set<Micros> tenths;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Backoff b(seed);
    Micros pause = 0;
    for (int i = 0; i < 30; ++i)
      pause = b.next(100, 100'000);
    tenths.insert(pause / 10'001);
  }
  EXPECT_EQ(tenths.size(), 10u);
}

TEST(Backoff, AbsurdFiguresNeverMakeASpin) {
  Backoff b(1);
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(b.next(0, 0), 1);
    EXPECT_EQ(b.next(-5, -7), 1);
    EXPECT_EQ(b.next(100, 1), 100);
  }
  Backoff wide(2);
  for (int i = 0; i < 200; ++i) {
    const Micros pause = wide.next(1, INT64_MAX);
    EXPECT_GE(pause, 1);
  }
  EXPECT_EQ(b.within(-1), 0);
  EXPECT_EQ(b.within(0), 0);
}

}  // namespace
}  // namespace grademux
