#include "../../src/zones/token_bucket.h"

#include <gtest/gtest.h>

#include "zone_fixtures.h"

namespace grademux::zones {
namespace {

TEST(ZoneValve, PassesItsRateAndSavesLittleUp) {
  TokenBucket v;
  v.setRate(0, 20);
  EXPECT_FALSE(v.hasToken(0));
  int passed = 0;
  for (Micros t = 0; t <= 10 * kSecond; t += 1000)
    passed += v.takeToken(t);
  EXPECT_NEAR(200, passed, 2);
  passed = 0;
  for (int i = 0; i < 100; ++i)
    passed += v.takeToken(100 * kSecond);
  EXPECT_EQ(2, passed);
}

}  // namespace
}  // namespace grademux::zones
