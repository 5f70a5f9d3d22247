// How far old knowledge is trusted: half-lives, bounds, clocks that jump.
#include "../../src/knowledge/trust_decay.h"

#include <gtest/gtest.h>

namespace grademux::knowledge {
namespace {

constexpr Micros kNow = 1'800'000'000'000'000;  // Unix time

LearnedEndpoint lesson(Micros heard) {
  LearnedEndpoint l;
  l.destination = 7;
  l.rate_limit = 80;
  l.limit_is_reported = true;
  l.quota_fraction = 0.5;
  l.typical_latency = 40'000;
  l.samples = 500;
  l.unknown_outcome_fraction = 0.4;
  l.message_rate = 20;
  l.last_outcome_at = l.last_message_at = heard;
  return l;
}

TEST(Ageing, HalfOfTheTrustGoesInAHalfLifeAndAllOfItPastTheBound) {
  const TrustDecay t{kMinuteUs, 5 * kMinuteUs};
  EXPECT_EQ(trustFactor(kNow, kNow, t), 1);
  EXPECT_DOUBLE_EQ(trustFactor(kNow - kMinuteUs, kNow, t), 0.5);
  EXPECT_DOUBLE_EQ(trustFactor(kNow - 5 * kMinuteUs, kNow, t), 1.0 / 32);
  EXPECT_EQ(trustFactor(kNow - 5 * kMinuteUs - 1, kNow, t), 0);
  EXPECT_EQ(trustFactor(0, kNow, t), 0);  // never learned
}

TEST(Ageing, EachKindFadesAtItsOwnPace) {
  const LearnedEndpoint fresh = decayed(lesson(kNow - 5 * kSecondUs), kNow);
  EXPECT_EQ(fresh.rate_limit, 80);
  EXPECT_TRUE(fresh.limit_is_reported);
  EXPECT_EQ(fresh.quota_fraction, 0.5);
  EXPECT_GE(fresh.samples, 7);
  EXPECT_NEAR(fresh.message_rate, 20, 0.3);
  EXPECT_NEAR(fresh.unknown_outcome_fraction, 0.4, 0.02);
  const LearnedEndpoint later = decayed(lesson(kNow - 20 * kMinuteUs), kNow);
  EXPECT_EQ(later.rate_limit, 80);
  EXPECT_FALSE(later.limit_is_reported);  // what is told next replaces it
  EXPECT_EQ(later.quota_fraction, 0);
  EXPECT_EQ(later.unknown_outcome_fraction, 0);
  EXPECT_EQ(later.message_rate, 0);
  EXPECT_EQ(later.typical_latency, 40'000);
  const LearnedEndpoint yesterday = decayed(lesson(kNow - 25 * kHourUs), kNow);
  EXPECT_EQ(yesterday.rate_limit, 0);
  EXPECT_EQ(yesterday.typical_latency, 0);
  EXPECT_EQ(yesterday.samples, 0);
}

// Risk: a clock that was put back makes old knowledge look new, one put forward keeps nothing usable.
TEST(Ageing, WhatLiesAheadIsUnknownButForASmallCorrection) {
  EXPECT_EQ(decayed(lesson(kNow + 4 * kSecondUs), kNow).rate_limit, 80);
  const LearnedEndpoint ahead = decayed(lesson(kNow + kHourUs), kNow);
  EXPECT_EQ(ahead.rate_limit, 0);
  EXPECT_EQ(ahead.samples, 0);
  EXPECT_EQ(ahead.message_rate, 0);
  const LearnedEndpoint days = decayed(lesson(kNow - 72 * kHourUs), kNow);
  EXPECT_EQ(days.rate_limit, 0);
  EXPECT_EQ(days.samples, 0);
}

TEST(Ageing, OfThePoolTheSignsFadeBeforeTheMeanLatency) {
  LearnedPool p{30'000, 900, 4, 500'000, kNow - 2 * kMinuteUs, kNow - 2 * kMinuteUs};
  const LearnedPool a = decayed(p, kNow);
  EXPECT_DOUBLE_EQ(a.stale_connection_score, 1);
  EXPECT_GE(a.latency_samples, 7);
  const LearnedPool b = decayed(p, kNow + 10 * kMinuteUs);
  EXPECT_EQ(b.stale_connection_score, 0);
  EXPECT_EQ(b.stale_after_idle, 0);
  EXPECT_GT(b.latency_samples, 0);
}

constexpr Micros kRamp = 10 * kSecondUs;
DestinationHealth ailment(bool down, Micros cold, Micros wait = 0, Micros noted = 0) {
  return {"", 7, down, cold, wait, noted == 0 ? cold : noted};
}

TEST(Ageing, AnOutageHoldsARampEndsAndAnOldOutageIsNoHealth) {
  DestinationHealth a = ailment(true, kNow - kMinuteUs);
  EXPECT_TRUE(decayed(a, kNow, kRamp));
  EXPECT_TRUE(a.down);
  a = ailment(false, kNow - 4 * kSecondUs);
  EXPECT_TRUE(decayed(a, kNow, kRamp));
  EXPECT_EQ(a.warming_since, kNow - 4 * kSecondUs);
  a = ailment(false, kNow - kMinuteUs);
  EXPECT_FALSE(decayed(a, kNow, kRamp));  // warm long ago
  a = ailment(true, kNow - 7 * 24 * kHourUs);
  EXPECT_TRUE(decayed(a, kNow, kRamp));
  EXPECT_FALSE(a.down);
  EXPECT_EQ(a.warming_since, kNow);  // it begins its ramp
}

TEST(Ageing, AWaitIsCountedFromWhenItWasTold) {
  DestinationHealth a = ailment(false, -1, kNow + 3 * kSecondUs, kNow - 2 * kSecondUs);
  EXPECT_TRUE(decayed(a, kNow, kRamp));
  EXPECT_EQ(a.retry_after_until, kNow + 3 * kSecondUs);
  a = ailment(false, -1, kNow - 1, kNow - 2 * kSecondUs);
  EXPECT_FALSE(decayed(a, kNow, kRamp));  // over
  // Told 5 s by a clock that was a day ahead: 5 s from now, not a day.
  a = ailment(false, -1, kNow + 24 * kHourUs + 5 * kSecondUs, kNow + 24 * kHourUs);
  EXPECT_TRUE(decayed(a, kNow, kRamp));
  EXPECT_EQ(a.retry_after_until, kNow + 5 * kSecondUs);
  a = ailment(true, kNow + kHourUs);
  EXPECT_TRUE(decayed(a, kNow, kRamp));
  EXPECT_EQ(a.warming_since, kNow);
}

}  // namespace
}  // namespace grademux::knowledge
