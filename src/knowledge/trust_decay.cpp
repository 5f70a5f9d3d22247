// grademux: ageing of what was learned; see ageing.h.
#include "trust_decay.h"

#include <algorithm>
#include <cmath>

namespace grademux::knowledge {

namespace {

constexpr int kMostSamples = 8;      // what a usual latency counts for at first: new ones soon outweigh it
constexpr double kToldTrust = 0.5;   // from here on a limit is one that was just told
constexpr double kLeastTrust = 0.1;  // below, it is a rumour

double trusted(Micros learned, Micros now, TrustDecay of) {
  const double t = trustFactor(learned, now, of);
  return t < kLeastTrust ? 0 : t;
}

}  // namespace

double trustFactor(Micros learned, Micros now, TrustDecay of) {
  const Micros age = now - learned;
  if (learned <= 0 || age < -kClockSlack || age > of.bound)
    return 0;
  return std::exp2(-static_cast<double>(std::max<Micros>(0, age)) / static_cast<double>(of.half_life));
}

LearnedEndpoint decayed(const LearnedEndpoint& lesson, Micros now) {
  LearnedEndpoint l = lesson;
  const double limit = trusted(l.last_outcome_at, now, kLimitTrust);
  if (limit == 0)
    l.rate_limit = 0;
  l.limit_is_reported = l.limit_is_reported && limit >= kToldTrust;
  if (l.rate_limit <= 0 || trusted(l.last_outcome_at, now, kPartTrust) == 0)
    l.quota_fraction = 0;
  l.samples =
      std::min(l.samples, static_cast<int>(kMostSamples * trusted(l.last_outcome_at, now, kLatencyTrust)));
  if (l.samples <= 0)
    l.samples = 0, l.typical_latency = 0;
  l.unknown_outcome_fraction *= trusted(l.last_outcome_at, now, kRiskTrust);
  l.message_rate *= trusted(l.last_message_at, now, kTrafficTrust);
  return l;
}

LearnedPool decayed(const LearnedPool& pool, Micros now) {
  LearnedPool p = pool;
  p.stale_connection_score *= trusted(p.stale_observed_at, now, kPoolTrust);
  if (p.stale_connection_score <= 0)
    p.stale_after_idle = p.stale_observed_at = 0;
  p.latency_samples = std::min(
      p.latency_samples, static_cast<int>(kMostSamples * trusted(p.last_outcome_at, now, kLatencyTrust)));
  if (p.latency_samples <= 0)
    p.latency_samples = 0, p.mean_latency = 0;
  return p;
}

bool decayed(DestinationHealth& a, Micros now, Micros ramp) {
  const Micros wait = std::clamp<Micros>(a.retry_after_until - a.observed_at, 0, kWaitBound);
  const Micros told = std::min(a.observed_at, now);
  a.retry_after_until = told + wait > now ? told + wait : 0;
  const Micros age = now - a.warming_since;
  if (age < 0)
    a.warming_since = now;
  if (a.down && age > kHealthBound) {
    a.down = false;
    a.warming_since = now;
  }
  a.observed_at = told;
  return a.down || a.retry_after_until > 0 || now - a.warming_since < ramp;
}

LearnedEndpoint TrustDecayPolicy::trustedPart(const LearnedEndpoint& learned, Micros now) const {
  return decayed(learned, now);
}

LearnedPool TrustDecayPolicy::trustedPart(const LearnedPool& pool, Micros now) const {
  return decayed(pool, now);
}

bool TrustDecayPolicy::reduceToTrusted(DestinationHealth& health, Micros now, Micros slow_start_time) const {
  return decayed(health, now, slow_start_time);
}

}  // namespace grademux::knowledge
