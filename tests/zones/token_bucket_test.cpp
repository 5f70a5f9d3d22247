#include "../../src/zones/token_bucket.h"

#include <gtest/gtest.h>

#include "zone_fixtures.h"

namespace grademux::zones {
namespace {

TEST(TokenBucketTest, AdmitsItsRateAndABurstOfATenthOfASecond) {
  TokenBucket bucket;
  bucket.setRate(0, 20);
  EXPECT_FALSE(bucket.hasToken(0));
  int admitted = 0;
  for (Micros now = 0; now <= 10 * kSecond; now += 1000)
    admitted += bucket.takeToken(now);
  EXPECT_NEAR(200, admitted, 2);
  admitted = 0;
  for (int i = 0; i < 100; ++i)
    admitted += bucket.takeToken(100 * kSecond);
  EXPECT_EQ(2, admitted);
}

}  // namespace
}  // namespace grademux::zones
