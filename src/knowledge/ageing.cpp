// grademux: ageing of what was learned; see ageing.h.
#include "ageing.h"

#include <algorithm>
#include <cmath>

namespace grademux::knowledge {

namespace {

constexpr int kMostSamples = 8;      // what a usual latency counts for at first: new ones soon outweigh it
constexpr double kToldTrust = 0.5;   // from here on a limit is one that was just told
constexpr double kLeastTrust = 0.1;  // below, it is a rumour

double trusted(Micros learned, Micros now, Trust of) {
  const double t = trust(learned, now, of);
  return t < kLeastTrust ? 0 : t;
}

}  // namespace

double trust(Micros learned, Micros now, Trust of) {
  const Micros age = now - learned;
  if (learned <= 0 || age < -kClockSlack || age > of.bound)
    return 0;
  return std::exp2(-static_cast<double>(std::max<Micros>(0, age)) / static_cast<double>(of.half_life));
}

Lesson aged(const Lesson& lesson, Micros now) {
  Lesson l = lesson;
  const double limit = trusted(l.heard, now, kLimitTrust);
  if (limit == 0)
    l.limit = 0;
  l.told = l.told && limit >= kToldTrust;
  if (l.limit <= 0 || trusted(l.heard, now, kPartTrust) == 0)
    l.part = 0;
  l.samples = std::min(l.samples, static_cast<int>(kMostSamples * trusted(l.heard, now, kLatencyTrust)));
  if (l.samples <= 0)
    l.samples = 0, l.usual = 0;
  l.risk *= trusted(l.heard, now, kRiskTrust);
  l.traffic *= trusted(l.came, now, kTrafficTrust);
  return l;
}

Experience aged(const Experience& pool, Micros now) {
  Experience p = pool;
  p.dead_score *= trusted(p.dead_at, now, kPoolTrust);
  if (p.dead_score <= 0)
    p.dead_least = p.dead_at = 0;
  p.typical_of =
      std::min(p.typical_of, static_cast<int>(kMostSamples * trusted(p.heard, now, kLatencyTrust)));
  if (p.typical_of <= 0)
    p.typical_of = 0, p.typical = 0;
  return p;
}

bool aged(Ailment& a, Micros now, Micros ramp) {
  const Micros wait = std::clamp<Micros>(a.wait_until - a.noted, 0, kWaitBound);
  const Micros told = std::min(a.noted, now);
  a.wait_until = told + wait > now ? told + wait : 0;
  const Micros age = now - a.cold_since;
  if (age < 0)
    a.cold_since = now;
  if (a.down && age > kAilmentBound) {
    a.down = false;
    a.cold_since = now;
  }
  a.noted = told;
  return a.down || a.wait_until > 0 || now - a.cold_since < ramp;
}

}  // namespace grademux::knowledge
