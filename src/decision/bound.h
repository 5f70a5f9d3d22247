// grademux, decision 2, upper bound: how fast this sender may send to a destination.
#pragma once

#include <optional>

#include "tags.h"

namespace grademux::decision {

constexpr double kBurst = 0.5;         // of a second's calls under a limit may leave at once
constexpr double kShareMost = 0.25;    // of a limit is the most that a busy one of many senders counts on
constexpr double kShareStart = 2;      // portions of a limit that a sender starts from; half where many do
constexpr double kShareCut = 0.75;     // this sender's part of a limit after a refusal ...
constexpr double kShareEase = 0.93;    // ... among many after an answer that told no more than ...
constexpr double kNearlyUsed = 0.1;    // ... this of the allowance left ...
constexpr double kShareFloor = 0.5;    // ... but at least this much of a portion
constexpr double kShareGrowth = 0.15;  // and it grows by so much of a portion each FallMs without one
constexpr double kStretchMost = 4;     // refusals in a row stretch the gap up to so many times
constexpr double kTrialGap = 0.25;     // of FallMs: trials of a dead destination are stretched up to this gap

struct Bound : Tags {
  using Tags::Tags;

  // What this sender may count on of a limit: an even part, or what it wants up to a fixed part. Guards busy
  // ones of many against starving on even parts. Harm: if all are busy the limit is overrun until refusals.
  double portion(double limit, double want) const {
    return std::max(1.0 / set.sender_count, std::min(want / std::max(limit, 1e-9), kShareMost));
  }

  // Of a limit that is used up. Among many each meets it seldom: who begins above an even part learns too
  // late, and refused calls alone may use it up, for all and for long.
  void lower(Guard& g, double cut, double own) {
    const double p = portion(g.limit, own), most = (many() ? kShareStart / 2 : kShareStart) * p;
    g.part = std::max(kShareFloor * p, std::min(g.part, most) * cut);
  }

  // Calls a second that a guard lets this sender send. The limit is the whole destination's, `own` this
  // sender's traffic there; an endpoint that shares them counts on its part of both.
  double rateOf(Guard& g, double limit, double own) {
    double rate = 1e12;
    if (g.limit > 0) {
      // Not while it is cold: what it takes then says nothing of the limit.
      const double spans = cold(g) ? 0 : static_cast<double>(now - g.part_at) / fallSpan();
      g.part = std::min(g.told ? 1.0 : 1e3, g.part + kShareGrowth * portion(g.limit, own) * spans);
      g.part_at = now;
      rate = g.limit * g.part;
    }
    return cold(g) ? std::min(rate, coldRate(g, limit, own)) : rate;
  }

  // Fail-back rule: what all senders together send stays inside cold share x factor x what they usually send,
  // each by its own traffic; it grows as the destination warms. Even parts would let the busy starve and the
  // rare never try. Harm: a destination that was never away is slowed for RampTimeMs.
  double coldRate(const Guard& g, double limit, double own) const {
    const double warmth = std::min(1.0, static_cast<double>(now - g.cold_since) / kSecond / trafficSpan());
    const double share =
        set.cold_capacity_fraction + (1 - set.cold_capacity_fraction) * (g.down ? 0 : warmth);
    if (limit > 0)
      own = limit * portion(limit, own);
    return std::max(own, 1 / trafficSpan()) * share * set.overload_factor;
  }

  // How much later this sender comes back to a destination that is away, so that all do not come as one.
  double comeBack(const Guard& g, const Dest& d) {
    const double most = std::min(trafficSpan(), 1 / coldRate(g, g.limit, perSecond(d.traffic)));
    return g.down ? std::uniform_real_distribution<double>(0, most * kSecond)(random) : 0;
  }

  // When a guard next lets a call pass; `must_by` is set for a first try that may pass pacing, see below.
  Micros opens(const Guard& g, Micros must_by) const {
    const auto paced = static_cast<Micros>(std::ceil(g.u));
    const bool pass = must_by != kNever && !g.down && g.refused < 2 && paced >= must_by;
    return pass ? g.wait_until : std::max(g.wait_until, paced);
  }

  // One of many: first tries pass pacing that would outlast the message, but not while the destination is
  // down. Guards against ramps and parts that last for rare senders. Harm: calls above a limit.
  Micros opensAt(Server& s, const Message* m) {
    const double limit = scope(s).limit, held = static_cast<double>(s.dest->held.size()) / trafficSpan();
    const double own = std::max(perSecond(s.dest->traffic), held);
    const bool rare = many() && own < (limit > 0 ? kRare * limit : 2 / trafficSpan());
    const Micros must_by =
        m && m->attempts.empty() && rare ? m->end_at - static_cast<Micros>(usualLatency(s)) : kNever;
    return apart(s) ? opens(s.guard, must_by)
                    : std::max(opens(s.guard, must_by), opens(s.dest->guard, must_by));
  }

  void charge(Guard& g, double limit, double own) {
    const double t = static_cast<double>(now), rate = rateOf(g, limit, own);
    const double burst = cold(g) ? 0 : kBurst * kSecond;
    double gap = kSecond / rate;
    if (g.down)
      gap = std::max(gap, std::min(kTrialGap * fallSpan(), gap * g.streak));
    g.u = std::clamp(g.u, t - burst, t) + gap;  // a call that passed the pacing leaves no debt
    count(g.sent);
  }

  double ownAt(const Server& s) const {
    return perSecond(s.dest->traffic) / (apart(s) ? readyServers(*s.dest) : 1);
  }

  void learnLimit(Server& s, const std::optional<LimitReport>& report) {
    if (!report || report->rate_limit <= 0)
      return;
    Guard& g = scope(s);
    g.limit = g.told ? 0.75 * g.limit + 0.25 * report->rate_limit : report->rate_limit;
    g.told = true;
    if (many() && report->remaining_fraction < kNearlyUsed)
      lower(g, kShareEase, ownAt(s));
  }

  // Refused: take a smaller part. Guards against many that each think theirs harmless, and untold limits.
  void refusedAt(Server& s, bool told_wait) {
    Guard& g = scope(s);
    const double own = ownAt(s);
    if (g.limit <= 0) {
      // Nobody told one: start from what was sent, or from one call at a time.
      g.limit = std::max(perSecond(g.sent), kSecond / std::max(1.0, g.samples > 0 ? g.usual : least_aim));
      g.part = 1;
    }
    const double gap = std::min<double>(kStretchMost, g.refused) * kSecond / rateOf(g, g.limit, own);
    if (now - g.cut_at > set.overload_collapse_time / 4) {
      lower(g, kShareCut, own);
      g.cut_at = now;
    }
    if (!told_wait)
      g.u = std::max(g.u, static_cast<double>(now) + gap);
  }
};

}  // namespace grademux::decision
