// Trust in learned state of an earlier process: half-lives, maximum ages, and clocks that jump.
#include "../../src/knowledge/trust_decay.h"

#include <gtest/gtest.h>

namespace grademux::knowledge {
namespace {

constexpr Micros kNow = 1'800'000'000'000'000;  // Unix time

LearnedEndpoint learnedAt(Micros observed_at) {
  LearnedEndpoint learned;
  learned.destination = 7;
  learned.rate_limit = 80;
  learned.limit_is_reported = true;
  learned.quota_fraction = 0.5;
  learned.typical_latency = 40'000;
  learned.samples = 500;
  learned.unknown_outcome_fraction = 0.4;
  learned.message_rate = 20;
  learned.last_outcome_at = learned.last_message_at = observed_at;
  return learned;
}

TEST(TrustDecayTest, TrustHalvesPerHalfLifeAndEndsAtTheMaximumAge) {
  const TrustDecay decay{kMinuteUs, 5 * kMinuteUs};
  EXPECT_EQ(trustFactor(kNow, kNow, decay), 1);
  EXPECT_DOUBLE_EQ(trustFactor(kNow - kMinuteUs, kNow, decay), 0.5);
  EXPECT_DOUBLE_EQ(trustFactor(kNow - 5 * kMinuteUs, kNow, decay), 1.0 / 32);
  EXPECT_EQ(trustFactor(kNow - 5 * kMinuteUs - 1, kNow, decay), 0);
  EXPECT_EQ(trustFactor(0, kNow, decay), 0);  // never learned
}

TEST(TrustDecayTest, EachKindOfValueDecaysWithItsOwnHalfLife) {
  const LearnedEndpoint fresh = trustedPart(learnedAt(kNow - 5 * kSecondUs), kNow);
  EXPECT_EQ(fresh.rate_limit, 80);
  EXPECT_TRUE(fresh.limit_is_reported);
  EXPECT_EQ(fresh.quota_fraction, 0.5);
  EXPECT_GE(fresh.samples, 7);
  EXPECT_NEAR(fresh.message_rate, 20, 0.3);
  EXPECT_NEAR(fresh.unknown_outcome_fraction, 0.4, 0.02);
  const LearnedEndpoint later = trustedPart(learnedAt(kNow - 20 * kMinuteUs), kNow);
  EXPECT_EQ(later.rate_limit, 80);
  EXPECT_FALSE(later.limit_is_reported);  // the next reported limit replaces it
  EXPECT_EQ(later.quota_fraction, 0);
  EXPECT_EQ(later.unknown_outcome_fraction, 0);
  EXPECT_EQ(later.message_rate, 0);
  EXPECT_EQ(later.typical_latency, 40'000);
  const LearnedEndpoint yesterday = trustedPart(learnedAt(kNow - 25 * kHourUs), kNow);
  EXPECT_EQ(yesterday.rate_limit, 0);
  EXPECT_EQ(yesterday.typical_latency, 0);
  EXPECT_EQ(yesterday.samples, 0);
}

// A clock that is set back could make old values look new; a clock that is set forward makes all values
// unknown.
TEST(TrustDecayTest, ValuesFromTheFutureAreUnknownBeyondTheClockSlack) {
  EXPECT_EQ(trustedPart(learnedAt(kNow + 4 * kSecondUs), kNow).rate_limit, 80);
  const LearnedEndpoint ahead = trustedPart(learnedAt(kNow + kHourUs), kNow);
  EXPECT_EQ(ahead.rate_limit, 0);
  EXPECT_EQ(ahead.samples, 0);
  EXPECT_EQ(ahead.message_rate, 0);
  const LearnedEndpoint days = trustedPart(learnedAt(kNow - 72 * kHourUs), kNow);
  EXPECT_EQ(days.rate_limit, 0);
  EXPECT_EQ(days.samples, 0);
}

TEST(TrustDecayTest, StaleConnectionEvidenceOfPoolDecaysBeforeMeanLatency) {
  LearnedPool pool{30'000, 900, 4, 500'000, kNow - 2 * kMinuteUs, kNow - 2 * kMinuteUs};
  const LearnedPool soon_after = trustedPart(pool, kNow);
  EXPECT_DOUBLE_EQ(soon_after.stale_connection_score, 1);
  EXPECT_GE(soon_after.latency_samples, 7);
  const LearnedPool later = trustedPart(pool, kNow + 10 * kMinuteUs);
  EXPECT_EQ(later.stale_connection_score, 0);
  EXPECT_EQ(later.stale_after_idle, 0);
  EXPECT_GT(later.latency_samples, 0);
}

constexpr Micros kSlowStartTime = 10 * kSecondUs;
DestinationHealth healthWith(bool down, Micros warming_since, Micros retry_after_until = 0,
                             Micros observed_at = 0) {
  return {"", 7, down, warming_since, retry_after_until, observed_at == 0 ? warming_since : observed_at};
}

TEST(TrustDecayTest, OutageIsKeptSlowStartEndsAndOldOutageBecomesSlowStart) {
  DestinationHealth health = healthWith(true, kNow - kMinuteUs);
  EXPECT_TRUE(reduceToTrusted(health, kNow, kSlowStartTime));
  EXPECT_TRUE(health.down);
  health = healthWith(false, kNow - 4 * kSecondUs);
  EXPECT_TRUE(reduceToTrusted(health, kNow, kSlowStartTime));
  EXPECT_EQ(health.warming_since, kNow - 4 * kSecondUs);
  health = healthWith(false, kNow - kMinuteUs);
  EXPECT_FALSE(reduceToTrusted(health, kNow, kSlowStartTime));  // the slow start ended long ago
  health = healthWith(true, kNow - 7 * 24 * kHourUs);
  EXPECT_TRUE(reduceToTrusted(health, kNow, kSlowStartTime));
  EXPECT_FALSE(health.down);
  EXPECT_EQ(health.warming_since, kNow);  // the slow start begins now
}

TEST(TrustDecayTest, RetryAfterIsCountedFromItsObservation) {
  DestinationHealth health = healthWith(false, -1, kNow + 3 * kSecondUs, kNow - 2 * kSecondUs);
  EXPECT_TRUE(reduceToTrusted(health, kNow, kSlowStartTime));
  EXPECT_EQ(health.retry_after_until, kNow + 3 * kSecondUs);
  health = healthWith(false, -1, kNow - 1, kNow - 2 * kSecondUs);
  EXPECT_FALSE(reduceToTrusted(health, kNow, kSlowStartTime));  // the Retry-After has ended
  // A Retry-After of 5 s that a clock a day ahead observed ends 5 s from now, not in a day.
  health = healthWith(false, -1, kNow + 24 * kHourUs + 5 * kSecondUs, kNow + 24 * kHourUs);
  EXPECT_TRUE(reduceToTrusted(health, kNow, kSlowStartTime));
  EXPECT_EQ(health.retry_after_until, kNow + 5 * kSecondUs);
  health = healthWith(true, kNow + kHourUs);
  EXPECT_TRUE(reduceToTrusted(health, kNow, kSlowStartTime));
  EXPECT_EQ(health.warming_since, kNow);
}

}  // namespace
}  // namespace grademux::knowledge
