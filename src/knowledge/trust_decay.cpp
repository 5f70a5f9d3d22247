#include "trust_decay.h"

#include <algorithm>
#include <cmath>

namespace grademux::knowledge {

namespace {

constexpr int kMaxSamples = 8;             // of a restored latency, so that a few new samples outweigh it
constexpr double kMinReportedTrust = 0.5;  // below this, a reported limit counts as an estimate
constexpr double kMinTrust = 0.1;          // below this, a value is unknown

double effectiveTrust(Micros learned_at, Micros now, TrustDecay decay) {
  const double trust = trustFactor(learned_at, now, decay);
  return trust < kMinTrust ? 0 : trust;
}

int trustedSamples(int samples, Micros learned_at, Micros now) {
  const double trust = effectiveTrust(learned_at, now, kLatencyTrust);
  return std::max(0, std::min(samples, static_cast<int>(kMaxSamples * trust)));
}

}  // namespace

double trustFactor(Micros learned_at, Micros now, TrustDecay decay) {
  const Micros age = now - learned_at;
  if (learned_at <= 0 || age < -kClockSlack || age > decay.max_age)
    return 0;
  return std::exp2(-static_cast<double>(std::max<Micros>(0, age)) / static_cast<double>(decay.half_life));
}

LearnedEndpoint trustedPart(const LearnedEndpoint& learned, Micros now) {
  LearnedEndpoint trusted = learned;
  const Micros learned_at = trusted.last_outcome_at;
  const double limit_trust = effectiveTrust(learned_at, now, kLimitTrust);
  if (limit_trust == 0)
    trusted.rate_limit = 0;
  trusted.limit_is_reported = trusted.limit_is_reported && limit_trust >= kMinReportedTrust;
  if (trusted.rate_limit <= 0 || effectiveTrust(learned_at, now, kQuotaTrust) == 0)
    trusted.quota_fraction = 0;
  trusted.samples = trustedSamples(trusted.samples, learned_at, now);
  if (trusted.samples == 0)
    trusted.typical_latency = 0;
  trusted.unknown_outcome_fraction *= effectiveTrust(learned_at, now, kUnknownOutcomeTrust);
  trusted.message_rate *= effectiveTrust(trusted.last_message_at, now, kTrafficTrust);
  return trusted;
}

LearnedPool trustedPart(const LearnedPool& pool, Micros now) {
  LearnedPool trusted = pool;
  trusted.stale_connection_score *= effectiveTrust(trusted.stale_observed_at, now, kPoolTrust);
  if (trusted.stale_connection_score <= 0) {
    trusted.stale_after_idle = 0;
    trusted.stale_observed_at = 0;
  }
  trusted.latency_samples = trustedSamples(trusted.latency_samples, trusted.last_outcome_at, now);
  if (trusted.latency_samples == 0)
    trusted.mean_latency = 0;
  return trusted;
}

bool reduceToTrusted(DestinationHealth& health, Micros now, Micros slow_start_time) {
  const Micros retry_after =
      std::clamp<Micros>(health.retry_after_until - health.observed_at, 0, kMaxRetryAfter);
  health.observed_at = std::min(health.observed_at, now);
  const Micros retry_at = health.observed_at + retry_after;
  health.retry_after_until = retry_at > now ? retry_at : 0;
  const Micros age = now - health.warming_since;
  if (age < 0)
    health.warming_since = now;
  if (health.down && age > kMaxOutageAge) {
    health.down = false;
    health.warming_since = now;
  }
  return health.down || health.retry_after_until > 0 || now - health.warming_since < slow_start_time;
}

LearnedEndpoint TrustDecayPolicy::trustedPart(const LearnedEndpoint& learned, Micros now) const {
  return knowledge::trustedPart(learned, now);
}

LearnedPool TrustDecayPolicy::trustedPart(const LearnedPool& pool, Micros now) const {
  return knowledge::trustedPart(pool, now);
}

bool TrustDecayPolicy::reduceToTrusted(DestinationHealth& health, Micros now, Micros slow_start_time) const {
  return knowledge::reduceToTrusted(health, now, slow_start_time);
}

}  // namespace grademux::knowledge
