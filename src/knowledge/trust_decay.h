// Decay of the trust in learned state of an earlier process. No I/O and no clock: times are Unix time in
// microseconds, and callers pass the present time as `now`.
//
// Each kind of value loses half of its trust per half-life, and all of it beyond a maximum age. A value that
// is no longer trusted is unknown, as if it had never been learned. A time that lies further ahead of `now`
// than kClockSlack comes from a clock that jumped: the age is unknown, and so is the value.
#pragma once

#include "../core/learned_state.h"
#include "grademux/sender.h"

namespace grademux::knowledge {

struct TrustDecay {
  Micros half_life, max_age;
};

// docs/design/knowledge.md has the reasons for these values.
constexpr Micros kSecondUs = 1'000'000, kMinuteUs = 60 * kSecondUs, kHourUs = 60 * kMinuteUs;
// The rate limit of a destination, in attempts per second.
constexpr TrustDecay kLimitTrust{10 * kMinuteUs, 2 * kHourUs};
// The quota fraction of this sender. It loses trust fast, because the other senders' quotas change meanwhile.
constexpr TrustDecay kQuotaTrust{kMinuteUs, 5 * kMinuteUs};
// The typical latency of an answer.
constexpr TrustDecay kLatencyTrust{kHourUs, 24 * kHourUs};
// The rate of this sender's own messages.
constexpr TrustDecay kTrafficTrust{5 * kMinuteUs, 30 * kMinuteUs};
// The fraction of attempts with an unknown outcome.
constexpr TrustDecay kUnknownOutcomeTrust{2 * kMinuteUs, 10 * kMinuteUs};
// The evidence that idle connections go stale.
constexpr TrustDecay kPoolTrust{kMinuteUs, 5 * kMinuteUs};
// A clock that is corrected by up to this does not count as a clock that jumped.
constexpr Micros kClockSlack = 5 * kSecondUs;
// An outage without a later outcome is trusted for this long.
constexpr Micros kMaxOutageAge = 24 * kHourUs;
// A longer Retry-After is reduced to this.
constexpr Micros kMaxRetryAfter = 24 * kHourUs;

// Returns the trust in a value: from 1 (just learned) to 0 (unknown).
double trustFactor(Micros learned_at, Micros now, TrustDecay decay);

// Return the state as it counts at `now`; unknown fields are 0. Times in the result stay Unix time.
LearnedEndpoint trustedPart(const LearnedEndpoint& learned, Micros now);
LearnedPool trustedPart(const LearnedPool& pool, Micros now);

// Reduces `health` (an outage, a slow start or a Retry-After) to what still counts at `now`. An outage older
// than kMaxOutageAge does not prove that the destination is healthy: it ends, and a slow start begins at
// `now`. A Retry-After is counted from the time of its observation, so that a clock that jumped back does not
// extend it. Returns false if nothing of `health` counts any more.
bool reduceToTrusted(DestinationHealth& health, Micros now, Micros slow_start_time);

// Makes the functions above available to the delivery engine.
class TrustDecayPolicy : public TrustPolicy {
 public:
  LearnedEndpoint trustedPart(const LearnedEndpoint& learned, Micros now) const override;
  LearnedPool trustedPart(const LearnedPool& pool, Micros now) const override;
  bool reduceToTrusted(DestinationHealth& health, Micros now, Micros slow_start_time) const override;
};

}  // namespace grademux::knowledge
