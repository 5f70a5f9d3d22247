// grademux, decision 3, health: what outcomes tell of a destination, and the slots that sick ones may hold.
#pragma once

#include "bound.h"

namespace grademux::decision {

constexpr double kLaneShare = 0.5;    // of the slots, for all sick destinations together (1 slot at least)
constexpr double kFailMost = 0.5;     // a larger share of failed calls is an outage
constexpr double kFailGain = 0.25;    // weight of the newest outcome in that share
constexpr int kStreak = 3;            // so many failures in a row are an outage; among many senders just one
constexpr double kSlowRatio = 4;      // recent over usual latency, against the common slowdown: sick
constexpr double kRecentGain = 0.25;  // weight of the newest latency in the recent one
constexpr double kUsualGain = 0.04;   // and in the usual one
constexpr double kStallRatio = 4;     // unanswered for so many usual latencies: overdue

struct Health : Bound {
  using Bound::Bound;

  bool slow(const Guard& g) const { return g.samples > 4 && g.recent > kSlowRatio * common_slow; }
  // The last that was seen of it is no answer: a call out far too long, or a failed one.
  bool stalled(const Guard& g) const { return g.overdue > 0 || g.streak > 0; }
  bool sick(const Guard& g) const { return g.down || slow(g) || stalled(g); }
  bool sick(const Server& s) const { return sick(s.guard) || (!apart(s) && sick(s.dest->guard)); }

  // Calls that stay out far too long are evidence before any time-out: guards against a hanging destination
  // that fills the slots meanwhile. Harm: a chance long call shifts it into the lane until one is answered.
  void countOverdue() {
    for (auto& [order, o] : outs) {
      Server& s = *o.first->attempts[o.second].server;
      s.guard.overdue = s.dest->guard.overdue = 0;
    }
    for (auto& [order, o] : outs) {
      Attempt& a = o.first->attempts[o.second];
      Server& s = *a.server;
      if (static_cast<double>(now - a.sent) < kStallRatio * common_slow * usualLatency(s))
        continue;
      a.late = true;
      s.guard.overdue += s.guard.last_ok < a.sent;
      if (!apart(s))
        s.dest->guard.overdue += s.dest->guard.last_ok < a.sent;
    }
  }

  void noteLatency(Guard& g, double rtt, bool ended_well) {
    if (g.samples == 0) {
      if (!ended_well)
        return;
      g.usual = rtt;
    }
    const double ratio = rtt / std::max(1.0, g.usual);
    if (!ended_well && ratio < g.recent)
      return;  // a quick failure says nothing of pace
    g.recent += kRecentGain * (ratio - g.recent);
    if (ended_well && !sick(g)) {
      const double gain = std::max(kUsualGain, 1.0 / (g.samples + 1));
      g.usual += gain * (std::min(rtt, kSlowRatio * g.usual) - g.usual);
    }
    if (ended_well)
      ++g.samples;
  }

  // Failures, time-outs, failed connects and unbroken refusals are one kind of evidence: it does not serve.
  // Also guards against pushing over whatever returns. Harm: chance failures start a ramp.
  void noteOutcome(Guard& g, AttemptResult r, bool hard) {
    g.last_end = now;
    const bool unknown =
        r == AttemptResult::error || r == AttemptResult::timeout || r == AttemptResult::reset;
    g.risk += kFailGain * ((unknown ? 1.0 : 0.0) - g.risk);
    if (r == AttemptResult::ok) {
      const bool brief = g.failed <= kFailMost && now - g.first_bad < set.overload_collapse_time / 2;
      g.failed -= kFailGain * g.failed;
      if (g.down) {
        g.down = false;
        g.cold_since = brief ? -kNever : now;
        g.u = static_cast<double>(now);  // trials of a dead one were paced far apart
      } else if (g.streak > 0 && g.first_bad != kNever && now - g.last_ok > set.overload_collapse_time) {
        g.cold_since = now;
      }
      g.streak = g.refused = 0;
      g.first_bad = kNever;
      g.last_ok = now;
      return;
    }
    if (g.first_bad == kNever)
      g.first_bad = now;
    if (hard) {
      ++g.streak;
      g.failed += kFailGain * (1 - g.failed);
    } else {
      ++g.refused;
    }
    const Micros bad_for = now - std::max(g.last_ok, g.first_bad);
    const bool shut = g.refused >= kStreak && bad_for > set.overload_collapse_time / 2;
    const bool dead = g.streak > 0 && (many() || g.streak >= kStreak || bad_for > set.overload_collapse_time);
    if (g.failed > kFailMost || shut || dead) {
      if (shut && !hard)
        g.streak = std::max(g.streak, 1);
      g.down = true;
      g.cold_since = now;
      g.u = std::max(g.u, static_cast<double>(now));
    }
  }

  // A kept connection that turns out dead tells of the path; the next call on a fresh one of the endpoint. A
  // told wait counts whatever became of the rest of its answer, or of the call.
  void learn(Server& s, AttemptResult r, Micros rtt, Micros wait, bool stale) {
    const bool mute = r == AttemptResult::cancelled || r == AttemptResult::not_sent || stale;
    if (mute && wait == 0)
      return;
    const bool hard = r != AttemptResult::ok && r != AttemptResult::rejected, was_down = scope(s).down;
    if (r == AttemptResult::ok)
      typical += (static_cast<double>(rtt) - typical) / ++typical_of;
    for (Guard* g : {&s.guard, &s.dest->guard}) {
      if (mute || (apart(s) && g != &s.guard))
        continue;
      if (r == AttemptResult::ok || r == AttemptResult::timeout)
        noteLatency(*g, static_cast<double>(rtt), r == AttemptResult::ok);
      noteOutcome(*g, r, hard);
      if (many() && hard && g->down)
        g->u = std::max(g->u, static_cast<double>(now) + comeBack(*g, *s.dest));
    }
    if (s.guard.samples > 4 && !mute)
      paces.set(&s, s.guard.recent, now);
    Guard& g = scope(s);
    if (r == AttemptResult::rejected && !g.down)
      refusedAt(s, wait > 0);
    // Nothing goes there before a told wait is over; after a long one, an outage, each adds its spread.
    double spread = 0;
    if (wait > set.overload_collapse_time / 2) {
      g.down = true;
      g.cold_since = now;
      spread = comeBack(g, *s.dest);
    }
    if (wait > 0)
      g.wait_until = std::max(g.wait_until, now + wait + static_cast<Micros>(spread));
    keepHealth(s, was_down);
  }

  // What a restart must not forget: the next process resumes a backlog, and would push over what is cold.
  void keepHealth(Server& s, bool was_down) {
    Guard& g = scope(s);
    const bool waits = g.wait_until > now && g.wait_until > g.noted_wait;
    if (!waits && g.down == was_down && std::abs(g.cold_since - g.noted) <= set.overload_collapse_time / 2)
      return;
    g.noted = g.cold_since;
    g.noted_wait = g.wait_until > now ? g.wait_until : 0;
    acts.push_back(
        DestinationHealth{apart(s) ? s.id : "", s.dest->id, g.down, g.cold_since, g.noted_wait, now});
  }

  void onAilment(const DestinationHealth& a) {
    auto s = servers.find(a.endpoint);
    if (!a.endpoint.empty() && s == servers.end())
      return;
    Guard& g = a.endpoint.empty() ? dests[a.destination].guard : s->second.guard;
    dests[a.destination].id = a.destination;
    old_dests.at(now + kept(), a.destination);
    g.down = a.down;
    g.cold_since = g.noted = a.warming_since;
    g.wait_until = g.noted_wait = a.retry_after_until;
    if (!a.down)
      return;
    g.streak = std::max(g.streak, 1);
    g.first_bad = std::min(g.first_bad,
                           a.warming_since - set.overload_collapse_time);  // no brief one: it ends in a ramp
  }

  int laneSlots() const { return std::max(1, static_cast<int>(kLaneShare * set.max_in_flight)); }
  int laneUsed() const {
    std::set<std::uint64_t> used;  // calls, not messages: several may share one
    for (auto& [order, o] : outs)
      if (sick(*o.first->attempts[o.second].server))
        used.insert(o.first->attempts[o.second].call);
    return static_cast<int>(used.size());
  }

  // Calls that were out when their destination fell sick may hold more than the lane. With no slot left for
  // the healthy the most overdue are called off, those first that may go again. Harm: a slow answer is lost.
  void clearLane() {
    if (!set.cancel_allowed || static_cast<int>(calls.size()) < set.max_in_flight)
      return;
    int excess = laneUsed() - laneSlots();
    std::vector<std::pair<Message*, std::size_t>> late;
    for (auto& [order, o] : outs) {
      const Attempt& a = o.first->attempts[o.second];
      if (a.called_off)
        --excess;
      else if (a.late && sick(*a.server))
        late.push_back(o);
    }
    std::stable_sort(late.begin(), late.end(), [](const auto& a, const auto& b) {
      return a.first->cls->idempotency < b.first->cls->idempotency;
    });
    for (auto& [m, i] : late) {
      if (excess-- <= 0)
        return;
      m->attempts[i].called_off = true;
      acts.push_back(CancelAttempt{m->id, static_cast<int>(i)});
    }
  }
};

}  // namespace grademux::decision
