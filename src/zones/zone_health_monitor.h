// grademux zones: what this sender saw of each zone, destination by destination. No I/O and no clock: times
// are microseconds of one monotonic clock and come in as arguments.
//
// A zone fails where destinations fail there and not in their other zones. So a partner that is down
// everywhere says nothing of a zone, nor does one that has endpoints in one zone alone; and a sender whose
// own link is bad, or that stood still, sees all fail and accuses none.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_map>

#include "regions.h"
#include "zone_state.h"

namespace grademux::zones {

constexpr Micros kRecent = 4'000'000;  // time constant of what is seen now ...
constexpr Micros kUsual = 30'000'000;  // ... and of what is usual
constexpr double kEnough = 3;          // calls, as they weigh now, whose share of failures tells something
constexpr double kFails = 0.5, kWorks = 0.2;  // shares of calls that failed: from here, up to here
constexpr Micros kForgotten = 300'000'000;    // a destination that nobody sends to
constexpr int kStruck = 2;                    // destinations that a sender must see struck to accuse a zone
constexpr Micros kLeastAge = 4'000'000;       // of what is usual: less is a guess
// A failure that no good call has followed tells for so long: the module keeps away from what fails, so that
// there may be no second one.
constexpr Micros kLastTells = 10'000'000;

// A sum whose parts lose weight with time.
class DecayingSum {
 public:
  void add(Micros now, double x, Micros constant) {
    value_ = at(now, constant) + x;
    when_ = std::max(when_, now);
  }
  double at(Micros now, Micros constant) const {
    return now <= when_
               ? value_
               : value_ * std::exp(-static_cast<double>(now - when_) / static_cast<double>(constant));
  }

 private:
  double value_ = 0;
  Micros when_ = 0;
};

// Whether an outcome points at where the endpoint stands. A limit that was told of does not.
inline bool indicatesZoneFault(const AttemptOutcome& o) {
  switch (o.result) {
    case AttemptResult::error:
    case AttemptResult::timeout:
    case AttemptResult::connect_failed:
      return true;
    case AttemptResult::reset:
      return !o.stale_connection;
    case AttemptResult::rejected:
      return o.retry_after == 0;
    default:
      return false;
  }
}

class ZoneHealthMonitor {
 public:
  void recordOutcome(Micros now, const Endpoint& e, const AttemptOutcome& o) {
    if (o.result == AttemptResult::cancelled || o.result == AttemptResult::not_sent)
      return;
    if (o.result == AttemptResult::reset && o.stale_connection)
      return;
    Stats& c = stats_[e.destination][e.zone];
    const bool bad = indicatesZoneFault(o);
    started_at_ = std::min(started_at_, now);
    c.calls.add(now, 1, kRecent);
    if (bad)
      c.bad.add(now, 1, kRecent);
    c.last_bad = bad;
    if (bad)
      c.bad_at = now;
    if (bad)
      c.good_since = INT64_MAX;
    else
      c.good_since = std::min(c.good_since, now);
    ++c.all;
    c.wrong += bad;
    c.last = now;
    if (o.result == AttemptResult::ok)
      baseline_[e.zone][e.id].add(now, 1, kUsual);
  }

  // In good times, calls a second to this endpoint that were delivered.
  double baselineRate(Micros now, const std::string& zone, const std::string& endpoint) const {
    const auto z = baseline_.find(zone);
    if (z == baseline_.end())
      return 0;
    const auto e = z->second.find(endpoint);
    return e == z->second.end() ? 0 : perSecond(now, e->second);
  }
  double baselineRate(Micros now, const std::string& zone) const {
    double all = 0;
    const auto z = baseline_.find(zone);
    if (z != baseline_.end())
      for (const auto& [id, sum] : z->second)
        all += perSecond(now, sum);
    return all;
  }
  // Whether calls enough have ended there since forget() for a word on it.
  bool hasEnoughSamples(const std::string& zone) const {
    std::int64_t calls = 0;
    for (const auto& [destination, cells] : stats_)
      if (const auto here = cells.find(zone); here != cells.end())
        calls += here->second.all;
    return static_cast<double>(calls) >= kEnough;
  }

  // Of a zone that is in: against the zones of other regions that each destination has.
  ZoneVote compareWithOtherZones(Micros now, const std::string& zone, const Regions& regions) const {
    ZoneVote v;
    v.traffic = baselineRate(now, zone);
    int told = 0, fine = 0;
    for (const auto& [destination, cells] : stats_) {
      const auto here = cells.find(zone);
      if (here == cells.end())
        continue;
      int others = 0, well = 0;
      for (const auto& [name, c] : cells) {
        if (name == zone || regions.sameRegion(name, zone) || !c.tells(now))
          continue;
        // One that was not yet seen well when this zone failed has no say: after a common trouble one zone
        // may only be the last to be tried.
        if (c.fine(now) && here->second.failing(now) && c.good_since > here->second.bad_at)
          continue;
        ++others;
        well += c.fine(now);
      }
      if (2 * well <= others || !here->second.tells(now))
        continue;
      ++told;
      v.failing_destinations += here->second.failing(now);
      fine += here->second.fine(now);
    }
    v.observation = observationOf(told, v.failing_destinations, fine);
    if (v.failing_destinations < kStruck && v.observation == Observation::failing)
      v.observation = Observation::unknown;  // one may be a chance
    return v;
  }

  // Of a zone on its way back: all that was sent there since forget().
  ZoneVote within(Micros now, const std::string& zone) const {
    ZoneVote v;
    v.traffic = baselineRate(now, zone);
    std::int64_t calls = 0, wrong = 0;
    for (const auto& [destination, cells] : stats_) {
      const auto here = cells.find(zone);
      if (here == cells.end())
        continue;
      calls += here->second.all;
      wrong += here->second.wrong;
      v.failing_destinations += here->second.failing(now);
    }
    const auto all = static_cast<double>(calls), bad = static_cast<double>(wrong);
    if (v.failing_destinations > 0 && bad >= kFails * all)
      v.observation = Observation::failing;
    else if (all >= kEnough && bad <= kWorks * all)
      v.observation = Observation::healthy;
    return v;
  }

  // Destinations whose last call there failed, and when it ended.
  std::map<std::int64_t, Micros> failingDestinations(const std::string& zone) const {
    std::map<std::int64_t, Micros> all;
    for (const auto& [destination, cells] : stats_)
      if (const auto here = cells.find(zone); here != cells.end() && here->second.last_bad)
        all[destination] = here->second.last;
    return all;
  }

  // What was seen lately counts no more: the fleet stands otherwise to the zone now.
  void resetZone(const std::string& zone) {
    for (auto d = stats_.begin(); d != stats_.end();) {
      d->second.erase(zone);
      d = d->second.empty() ? stats_.erase(d) : std::next(d);
    }
  }
  // Destinations and endpoints of which nothing was heard for long.
  void expire(Micros now) {
    constexpr double kNothing = 1e-3;
    for (auto d = stats_.begin(); d != stats_.end();) {
      for (auto z = d->second.begin(); z != d->second.end();)
        z = now - z->second.last > kForgotten ? d->second.erase(z) : std::next(z);
      d = d->second.empty() ? stats_.erase(d) : std::next(d);
    }
    for (auto& [zone, endpoints] : baseline_)
      for (auto e = endpoints.begin(); e != endpoints.end();)
        e = e->second.at(now, kUsual) < kNothing ? endpoints.erase(e) : std::next(e);
  }
  std::size_t size() const { return stats_.size(); }

 private:
  struct Stats {
    DecayingSum calls, bad;
    std::int64_t all = 0, wrong = 0;  // since forget(), however long ago
    bool last_bad = false;
    Micros last = 0, bad_at = 0, good_since = INT64_MAX;

    bool failing(Micros now) const {
      const double lately = calls.at(now, kRecent);
      return (last_bad && now - last < kLastTells) ||
             (lately >= kEnough && bad.at(now, kRecent) >= kFails * lately);
    }
    bool fine(Micros now) const {
      return !last_bad && bad.at(now, kRecent) <= kWorks * calls.at(now, kRecent);
    }
    bool tells(Micros now) const { return failing(now) || calls.at(now, kRecent) >= 0.5; }
  };
  // A sum that has grown since this sender began is not yet what it comes to in the long run.
  double perSecond(Micros now, const DecayingSum& sum) const {
    const auto age = static_cast<double>(std::max(now - started_at_, kLeastAge)), constant = double{kUsual};
    return sum.at(now, kUsual) / constant / (1 - std::exp(-age / constant)) * 1e6;
  }
  static Observation observationOf(int told, int struck, int fine) {
    if (told > 0 && 2 * struck > told)
      return Observation::failing;
    return told > 0 && 2 * fine > told ? Observation::healthy : Observation::unknown;
  }
  std::unordered_map<std::int64_t, std::map<std::string, Stats>> stats_;
  std::map<std::string, std::unordered_map<std::string, DecayingSum>> baseline_;
  Micros started_at_ = INT64_MAX / 2;  // when the first call ended
};

}  // namespace grademux::zones
