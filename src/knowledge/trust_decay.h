// grademux: how far what an earlier process learned is trusted. No I/O, no clock: times are Unix time in
// microseconds, `now` is given.
//
// Each kind of knowledge loses half of its trust in its half-life and all of it past a bound; what is trusted
// no more is unknown, as if it had never been learned. A moment that lies ahead of `now` by more than a clock
// is set right by is of a clock that jumped: its age isn't known, and so it is unknown, too.
#pragma once

#include "../core/learned_state.h"
#include "grademux/sender.h"

namespace grademux::knowledge {

struct TrustDecay {
  Micros half_life, bound;
};

// Why each is what it is stands in docs/design/knowledge.md.
constexpr Micros kSecondUs = 1'000'000, kMinuteUs = 60 * kSecondUs, kHourUs = 60 * kMinuteUs;
constexpr TrustDecay kLimitTrust{10 * kMinuteUs, 2 * kHourUs};  // calls a second that a destination told
constexpr TrustDecay kPartTrust{kMinuteUs, 5 * kMinuteUs};  // of it that this sender takes: the others move
constexpr TrustDecay kLatencyTrust{kHourUs, 24 * kHourUs};  // usual time of an answer
constexpr TrustDecay kTrafficTrust{5 * kMinuteUs, 30 * kMinuteUs};  // own messages
constexpr TrustDecay kRiskTrust{2 * kMinuteUs, 10 * kMinuteUs};     // share of calls that end in the unknown
constexpr TrustDecay kPoolTrust{kMinuteUs, 5 * kMinuteUs};          // connections that die idle
constexpr Micros kClockSlack = 5 * kSecondUs;                       // a clock is set right by so much
constexpr Micros kHealthBound = 24 * kHourUs;                       // an outage not heard of since
constexpr Micros kWaitBound = 24 * kHourUs;                         // the longest wait that is believed

// From 1, just learned, to 0, unknown.
double trustFactor(Micros learned, Micros now, TrustDecay of);

// The lesson as it counts at `now`; fields that are unknown are 0. Its times stay Unix time.
LearnedEndpoint decayed(const LearnedEndpoint& lesson, Micros now);
LearnedPool decayed(const LearnedPool& pool, Micros now);

// An outage, a ramp or a told wait. An outage too old to be believed is no health: what it was begins a ramp
// now. A wait is counted from when it was told, so that a clock that jumped back doesn't stretch it. False:
// nothing of it holds any more.
bool decayed(DestinationHealth& ailment, Micros now, Micros ramp);

// The policy above, as the engine uses it.
class TrustDecayPolicy : public TrustPolicy {
 public:
  LearnedEndpoint trustedPart(const LearnedEndpoint& learned, Micros now) const override;
  LearnedPool trustedPart(const LearnedPool& pool, Micros now) const override;
  bool reduceToTrusted(DestinationHealth& health, Micros now, Micros slow_start_time) const override;
};

}  // namespace grademux::knowledge
