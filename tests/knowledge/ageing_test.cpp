// How far old knowledge is trusted: half-lives, bounds, clocks that jump.
#include "../../src/knowledge/ageing.h"

#include <gtest/gtest.h>

namespace grademux::knowledge {
namespace {

constexpr Micros kNow = 1'800'000'000'000'000;  // Unix time

Lesson lesson(Micros heard) {
  Lesson l;
  l.destination = 7;
  l.limit = 80;
  l.told = true;
  l.part = 0.5;
  l.usual = 40'000;
  l.samples = 500;
  l.risk = 0.4;
  l.traffic = 20;
  l.heard = l.came = heard;
  return l;
}

TEST(Ageing, HalfOfTheTrustGoesInAHalfLifeAndAllOfItPastTheBound) {
  const Trust t{kMinuteUs, 5 * kMinuteUs};
  EXPECT_EQ(trust(kNow, kNow, t), 1);
  EXPECT_DOUBLE_EQ(trust(kNow - kMinuteUs, kNow, t), 0.5);
  EXPECT_DOUBLE_EQ(trust(kNow - 5 * kMinuteUs, kNow, t), 1.0 / 32);
  EXPECT_EQ(trust(kNow - 5 * kMinuteUs - 1, kNow, t), 0);
  EXPECT_EQ(trust(0, kNow, t), 0);  // never learned
}

TEST(Ageing, EachKindFadesAtItsOwnPace) {
  const Lesson fresh = aged(lesson(kNow - 5 * kSecondUs), kNow);
  EXPECT_EQ(fresh.limit, 80);
  EXPECT_TRUE(fresh.told);
  EXPECT_EQ(fresh.part, 0.5);
  EXPECT_GE(fresh.samples, 7);
  EXPECT_NEAR(fresh.traffic, 20, 0.3);
  EXPECT_NEAR(fresh.risk, 0.4, 0.02);
  const Lesson later = aged(lesson(kNow - 20 * kMinuteUs), kNow);
  EXPECT_EQ(later.limit, 80);
  EXPECT_FALSE(later.told);  // what is told next replaces it
  EXPECT_EQ(later.part, 0);
  EXPECT_EQ(later.risk, 0);
  EXPECT_EQ(later.traffic, 0);
  EXPECT_EQ(later.usual, 40'000);
  const Lesson yesterday = aged(lesson(kNow - 25 * kHourUs), kNow);
  EXPECT_EQ(yesterday.limit, 0);
  EXPECT_EQ(yesterday.usual, 0);
  EXPECT_EQ(yesterday.samples, 0);
}

// Risk: a clock that was put back makes old knowledge look new, one put forward keeps nothing usable.
TEST(Ageing, WhatLiesAheadIsUnknownButForASmallCorrection) {
  EXPECT_EQ(aged(lesson(kNow + 4 * kSecondUs), kNow).limit, 80);
  const Lesson ahead = aged(lesson(kNow + kHourUs), kNow);
  EXPECT_EQ(ahead.limit, 0);
  EXPECT_EQ(ahead.samples, 0);
  EXPECT_EQ(ahead.traffic, 0);
  const Lesson days = aged(lesson(kNow - 72 * kHourUs), kNow);
  EXPECT_EQ(days.limit, 0);
  EXPECT_EQ(days.samples, 0);
}

TEST(Ageing, OfThePoolTheSignsFadeBeforeTheMeanLatency) {
  Experience p{30'000, 900, 4, 500'000, kNow - 2 * kMinuteUs, kNow - 2 * kMinuteUs};
  const Experience a = aged(p, kNow);
  EXPECT_DOUBLE_EQ(a.dead_score, 1);
  EXPECT_GE(a.typical_of, 7);
  const Experience b = aged(p, kNow + 10 * kMinuteUs);
  EXPECT_EQ(b.dead_score, 0);
  EXPECT_EQ(b.dead_least, 0);
  EXPECT_GT(b.typical_of, 0);
}

constexpr Micros kRamp = 10 * kSecondUs;
Ailment ailment(bool down, Micros cold, Micros wait = 0, Micros noted = 0) {
  return {"", 7, down, cold, wait, noted == 0 ? cold : noted};
}

TEST(Ageing, AnOutageHoldsARampEndsAndAnOldOutageIsNoHealth) {
  Ailment a = ailment(true, kNow - kMinuteUs);
  EXPECT_TRUE(aged(a, kNow, kRamp));
  EXPECT_TRUE(a.down);
  a = ailment(false, kNow - 4 * kSecondUs);
  EXPECT_TRUE(aged(a, kNow, kRamp));
  EXPECT_EQ(a.cold_since, kNow - 4 * kSecondUs);
  a = ailment(false, kNow - kMinuteUs);
  EXPECT_FALSE(aged(a, kNow, kRamp));  // warm long ago
  a = ailment(true, kNow - 7 * 24 * kHourUs);
  EXPECT_TRUE(aged(a, kNow, kRamp));
  EXPECT_FALSE(a.down);
  EXPECT_EQ(a.cold_since, kNow);  // it begins its ramp
}

TEST(Ageing, AWaitIsCountedFromWhenItWasTold) {
  Ailment a = ailment(false, -1, kNow + 3 * kSecondUs, kNow - 2 * kSecondUs);
  EXPECT_TRUE(aged(a, kNow, kRamp));
  EXPECT_EQ(a.wait_until, kNow + 3 * kSecondUs);
  a = ailment(false, -1, kNow - 1, kNow - 2 * kSecondUs);
  EXPECT_FALSE(aged(a, kNow, kRamp));  // over
  // Told 5 s by a clock that was a day ahead: 5 s from now, not a day.
  a = ailment(false, -1, kNow + 24 * kHourUs + 5 * kSecondUs, kNow + 24 * kHourUs);
  EXPECT_TRUE(aged(a, kNow, kRamp));
  EXPECT_EQ(a.wait_until, kNow + 5 * kSecondUs);
  a = ailment(true, kNow + kHourUs);
  EXPECT_TRUE(aged(a, kNow, kRamp));
  EXPECT_EQ(a.cold_since, kNow);
}

}  // namespace
}  // namespace grademux::knowledge
