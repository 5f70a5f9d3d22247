// grademux, decision 4, attempts: what may be sent where, when again, and how long it may take.
#pragma once

#include "health.h"

namespace grademux::decision {

constexpr double kUnsafePatience = 2;  // a call that can't be repeated waits so many times longer
constexpr double kRiskMost = 0.3;      // no unsafe message where so many calls ended in the unknown
constexpr double kDeadSigns = 2.5;  // signs in RampTimeMs that connections die idle; half among many senders
constexpr Micros kSuspect = 3;      // of RampTimeMs: so long a sign against idle connections is heeded
constexpr double kReuseLeast = 2;   // an idle connection with fewer uses to expect is closed ...
constexpr double kCrowd = 10;       // ... where so many senders share an endpoint; in proportion for others

struct Attempts : Health {
  using Health::Health;

  static bool mayHaveRun(const Message& m) {
    return std::any_of(m.attempts.begin(), m.attempts.end(), [](const Attempt& a) { return a.may_have_run; });
  }

  // THE effect rule. No repeat of what may have run, but: safe ones at will; keyed ones only where and while
  // the destination drops repeats; never two out at once unless the site allows copies.
  bool maySend(const Message& m, const Server& s) const {
    if (static_cast<int>(m.attempts.size()) >= m.cls->max_attempts)
      return false;
    if (m.out > 0 && !set.hedging_allowed)
      return false;
    if (m.cls->idempotency == Idempotency::idempotent || !mayHaveRun(m))
      return true;
    if (m.cls->idempotency == Idempotency::non_idempotent)
      return false;
    for (const Attempt& a : m.attempts) {
      if (!a.may_have_run)
        continue;
      if (m.cls->idempotency_scope != IdempotencyScope::all && (!a.server || a.server->zone != s.zone))
        return false;
      if (m.cls->idempotency_scope == IdempotencyScope::cell && a.server->dest != s.dest)
        return false;
    }
    return now <= repeatUntil(m);
  }

  // Until then a destination drops a repeat of a keyed message: counted from the first try that may have run.
  Micros repeatUntil(const Message& m) const {
    Micros until = kNever;
    for (const Attempt& a : m.attempts)
      if (a.may_have_run)
        until = std::min(until, a.sent + m.cls->idempotency_window - 2 * set.min_decide_interval);
    return until;
  }

  // A refusal promises that handing the message in again does no harm.
  bool mayRefuse(const Message& m) const {
    if (m.cls->idempotency == Idempotency::idempotent || !mayHaveRun(m))
      return true;
    return m.cls->idempotency == Idempotency::idempotency_key &&
           m.cls->idempotency_scope == IdempotencyScope::all;
  }

  bool anySendLeft(const Message& m) const {
    for (const Server* s : m.dest->servers)
      if (maySend(m, *s))
        return true;
    return m.attempts.empty();
  }

  bool hasTurn(const Message& m) const {
    if (m.key.empty())
      return true;
    const KeyLine& k = keys.at(m.key);
    return k.line.front() == &m && (!m.attempts.empty() || now >= k.quiet_until);
  }

  // Time-out: many usual latencies, stretched by what the destination and everything show now. An unsafe
  // message could not be sent again, so it waits longer; but not for all its time, or the calls at a hanging
  // destination would hold the slots of all others.
  Micros timeoutFor(const Message& m, const Server& s) const {
    const Micros left = m.end_at - now;
    const Guard& g = s.guard;
    const double slowness = std::max({1.0, common_slow, g.samples > 0 ? g.recent : 1.0});
    const double patience = m.cls->idempotency == Idempotency::non_idempotent ? kUnsafePatience : 1;
    const double most = kTimeoutRatio * patience * usualLatency(s) * slowness;
    return static_cast<Micros>(std::clamp(most, 1.0, static_cast<double>(std::max<Micros>(1, left))));
  }

  // Idle connections may die unseen (no answer, no reset: a firewall forgets them): a call on a reused one is
  // lost, the next there, on a fresh one, answered. Then what has idled about as long is closed before the
  // next call. Harm: more handshakes while a hang is mistaken for it.
  void noteConnection(Dest& d, Micros idled, bool lost) {
    if (lost) {
      d.lost_idle = idled;  // a lost fresh call clears the suspicion: the destination itself hangs
      return;
    }
    if (d.lost_idle < 0 || (idled >= 0 && idled < d.lost_idle))
      return;
    if (idled < 0) {
      dead_score *=
          std::exp(-static_cast<double>(now - dead_at) / static_cast<double>(set.slow_start_time + 1));
      ++dead_score;
      dead_least = now - dead_at < set.slow_start_time ? std::min(dead_least, d.lost_idle) : d.lost_idle;
      dead_at = now;
    }
    d.lost_idle = -1;
  }

  Micros deadIdle() const {
    const bool dead =
        dead_score > kDeadSigns / (many() ? 2 : 1) && now - dead_at < kSuspect * set.slow_start_time;
    return dead ? dead_least / 2 : kNever;
  }

  // Where kept connections were found dead of late, what can't be repeated and further tries go on a fresh
  // one; the kept ones are closed for it, as endpoints take only so many. Harm: a handshake for each.
  Micros takeConnection(Server& s, const Message& m) {
    const bool exposed = m.cls->idempotency == Idempotency::non_idempotent || !m.attempts.empty();
    const bool stale = exposed && now - s.stale_at < kSuspect * set.slow_start_time;
    while (!s.idle.empty() && set.idle_connection_timeout > 0 &&
           now - s.idle.front() >= set.idle_connection_timeout)
      s.idle.pop_front();
    if (!s.idle.empty() && (stale || now - s.idle.front() >= deadIdle())) {
      acts.push_back(CloseIdleConnections{s.id});
      s.idle.clear();
    }
    if (s.idle.empty())
      return -1;
    const Micros idled = now - s.idle.back();
    s.idle.pop_back();
    return idled;
  }

  // An endpoint takes so many connections, idle ones counted: none is kept for a call that won't come soon,
  // nor where a connect failed of late. Guards against tables full of the idle ones of many, which look like
  // an outage to all others. Harm: a handshake a call after a crash.
  void keepConnection(Server& s) {
    s.idle.push_back(now);
    const double others =
        std::max(0.0, perSecond(s.dest->traffic) - 1 / trafficSpan()) / readyServers(*s.dest);
    const double least = kReuseLeast * set.sender_count / kCrowd;
    const bool full_table = many() && now - s.no_connect < kSuspect * set.slow_start_time;
    if (!full_table && others * static_cast<double>(set.idle_connection_timeout) / kSecond >= least)
      return;
    acts.push_back(CloseIdleConnections{s.id});
    s.idle.clear();
  }

  void send(Message& m, Server& s, bool global_phase) {
    Dest& d = *m.dest;
    unhold(m, true);
    if (global_phase)
      dropLocalTags(d);
    auto room = forming.find(&s);
    std::uint64_t call;
    Micros idled = -1;
    if (room != forming.end() && room->second.second > 0) {
      call = room->second.first;
      --room->second.second;
    } else {
      call = ++next_call;
      idled = takeConnection(s, m);
      forming[&s] = {call, s.kind->messages_per_call - 1};
      ++s.out;
      const double n = readyServers(d), own = perSecond(d.traffic);
      charge(s.guard, apart(s) ? s.guard.limit : d.guard.limit / n, own / n);
      if (!apart(s))
        charge(d.guard, d.guard.limit, own);
    }
    const Micros until = m.cls->idempotency == Idempotency::idempotency_key ? repeatUntil(m) : kNever;
    noteOut(m, s, call, now, idled);
    acts.push_back(StartAttempt{m.id, s.id, timeoutFor(m, s), until == kNever ? 0 : until - now + 1});
  }
  void noteOut(Message& m, Server& s, std::uint64_t call, Micros sent, Micros idled) {
    ++calls[call];
    ++s.attempts;
    s.used = now;
    outs[++next_attempt] = {&m, m.attempts.size()};
    m.attempts.push_back({&s, sent, call, next_attempt, true, true, idled, false, false});
    ++m.out;
  }

  void settle(Message& m, Attempt& a) {
    a.out = false;
    --m.out;
    outs.erase(a.order);
    a.server->guard.overdue = a.server->dest->guard.overdue = 0;  // counted anew each turn
    auto c = calls.find(a.call);
    if (--c->second > 0)
      return;
    calls.erase(c);
    --a.server->out;
  }

  bool serverOpen(Server& s, const Message& m) {
    if (!usable(s) || !maySend(m, s))
      return false;
    // Before the process ends only what will be heard is started: no attempt is lost in the unknown.
    const double heard = kStallRatio * kUnsafePatience * common_slow * usualLatency(s);
    if (stop_at != kNever && (sick(s) || static_cast<double>(stop_at - now) < heard))
      return false;
    const Guard& g = scope(s);
    // A message that can't be repeated is no trial: it would be lost where calls end in the unknown. It goes
    // after all when half of its time is used up.
    const bool risky = std::max(g.risk, s.guard.risk) > kRiskMost;
    return !(m.cls->idempotency == Idempotency::non_idempotent && risky &&
             now - m.handed_in < m.cls->deadline / 2);
  }

  // The fewest calls out; then a kept connection, then the one that rested longest, at first a random one:
  // else all senders would crowd the endpoint that the list names first.
  Server* chooseServer(Dest& d, const Message& m) {
    Server* best = nullptr;
    auto key = [&](Server& s) {
      std::size_t zone = 0;
      while (zone < set.zones.size() && set.zones[zone] != s.zone)
        ++zone;
      const double fee = apart(s) && zone < set.zone_cost.size() ? set.zone_cost[zone] : 0;
      return std::make_tuple(sick(s) ? 1 : 0, fee, s.out, s.idle.empty(), s.used);
    };
    for (Server* s : d.servers) {
      if (opensAt(*s, &m) > now || !serverOpen(*s, m))
        continue;
      if (!best || key(*s) < key(*best))
        best = s;
    }
    return best;
  }

  using Pick = std::pair<Message*, Server*>;
  Pick choose(Dest& d) {
    Pick best{nullptr, nullptr};
    double best_loss = -1;
    for (Server* s : d.servers) {
      const Micros later = usable(*s) ? opensAt(*s, nullptr) : now;
      if (later > now)
        next_wake = std::min(next_wake, later);
    }
    const Micros drain = drainTime(d);
    for (Message* m : d.held) {
      if (m->not_before > now) {
        next_wake = std::min(next_wake, m->not_before);
        continue;
      }
      if (!hasTurn(*m))
        continue;
      const double worth = worthAt(*m, now), loss = worth - worthAt(*m, now + drain) + 1e-3 * worth;
      if (loss <= best_loss)
        continue;
      Server* s = chooseServer(d, *m);
      if (!s)
        continue;
      best_loss = loss;
      best = {m, s};
    }
    return best;
  }

  Micros drainTime(Dest& d) {
    double rate = 0;
    for (Server* s : d.servers)
      if (usable(*s))
        rate = apart(*s) ? rate + rateOf(s->guard, s->guard.limit, perSecond(d.traffic) / readyServers(d))
                         : rateOf(d.guard, d.guard.limit, perSecond(d.traffic));
    const double wait = static_cast<double>(d.held.size()) * kSecond / std::max(rate, 1e-6);
    return static_cast<Micros>(std::clamp(wait, static_cast<double>(set.min_decide_interval), 1e12));
  }

  void release() {
    forming.clear();
    ++turn;
    blocked = 0;
    Place place{false, -1e300, 0};
    std::vector<Dest*> barred;
    double served = -1e300;  // the latest global tag that was
    while (static_cast<int>(calls.size()) < set.max_in_flight) {
      Dest* d = nextFrom(place);
      if (!d)
        break;
      place = placeOf(*d);
      Pick p = choose(*d);
      if (!p.first || (sick(*p.second) && laneUsed() >= laneSlots())) {
        d->blocked_in = turn;  // a start elsewhere opens nothing here
        barred.push_back(d);
        blocked += d->held.size();
        continue;
      }
      if (std::get<0>(place))
        served = std::get<1>(place);
      send(*p.first, *p.second, std::get<0>(place));
      fillCall(*d, *p.second);
      // All before this place are blocked; only the one that has sent may stand before it now.
      if (!d->tags.empty())
        place = std::min(place, placeOf(*d));
    }
    for (Dest* d : barred)
      raise(*d, served);
  }

  void fillCall(Dest& d, Server& s) {
    while (forming[&s].second > 0 && !d.held.empty()) {
      Message* next = nullptr;
      for (Message* m : d.held)
        if (m->not_before <= now && hasTurn(*m) && serverOpen(s, *m) && (!next || m->order < next->order))
          next = m;
      if (!next)
        return;
      send(*next, s, d.tags.front().local > static_cast<double>(now));
    }
  }

  void onOutcome(const AttemptOutcome& o) {
    auto it = messages.find(o.id);
    if (it == messages.end())
      return;
    Message& m = it->second;
    if (o.attempt < 0 || o.attempt >= static_cast<int>(m.attempts.size()))
      return;
    Attempt& a = m.attempts[static_cast<std::size_t>(o.attempt)];
    if (!a.out)
      return;
    settle(m, a);
    if (o.result == AttemptResult::ok || o.result == AttemptResult::error ||
        o.result == AttemptResult::rejected)
      keepConnection(*a.server);
    if (o.result == AttemptResult::ok || (a.late && (o.result == AttemptResult::timeout || a.called_off)))
      noteConnection(*a.server->dest, a.idled, o.result != AttemptResult::ok);
    a.may_have_run = !(o.result == AttemptResult::rejected || o.result == AttemptResult::connect_failed ||
                       o.result == AttemptResult::not_sent);
    if (o.result == AttemptResult::connect_failed)
      a.server->no_connect = now;
    if (o.stale_connection)
      a.server->stale_at = now;
    learnLimit(*a.server, o.limit_report);
    learn(*a.server, o.result, o.round_trip > 0 ? o.round_trip : now - a.sent, o.retry_after,
          o.stale_connection);
    const bool runs_on = a.may_have_run && o.result != AttemptResult::ok && o.result != AttemptResult::error;
    if (runs_on && !m.key.empty()) {
      KeyLine& k = keys[m.key];
      k.quiet_until = std::max(k.quiet_until, now + set.ordering_backoff);
      next_wake = std::min(next_wake, k.quiet_until);
    }
    if (o.already_finished || o.result == AttemptResult::ok)
      close(m);
    if (!m.ended)
      again(m, *a.server);
    forget(m);
  }

  // A further try: fresh tags, after pauses that double so that the attempts last for the time left; among
  // many senders an aim later at least: they would take the place of first tries still in time, and those
  // of a clump came back as one and pushed over what returned. Also guards against limits that eat all tries.
  void again(Message& m, Server& s) {
    if (m.held || m.out > 0)
      return;
    if (now >= m.end_at || !anySendLeft(m))
      return finish(m, now < m.end_at);
    const double left = static_cast<double>(m.end_at - now);
    const int tries = m.cls->max_attempts - static_cast<int>(m.attempts.size());
    const double least = many() ? least_aim + comeBack(scope(s), *m.dest) : usualLatency(s);
    hold(m, now + static_cast<Micros>(std::max(least, left * std::exp2(-std::min(tries, 60)))));
  }

  void close(Message& m) {
    if (m.ended)
      return;
    if (m.held)
      unhold(m, false);
    m.ended = true;
    --open;
    ends.erase({m.end_at, m.id});
  }

  void finish(Message& m, bool worth_a_return) {
    if (m.ended)
      return;
    if (worth_a_return && mayRefuse(m))
      acts.push_back(RejectMessage{
          m.id, set.retry_after_supported ? std::min(set.max_retry_after, drainTime(*m.dest)) : 0});
    else
      acts.push_back(FailMessage{m.id});
    close(m);
  }

  void forget(Message& m) {
    if (!m.ended || m.out > 0)
      return;
    if (!m.key.empty()) {
      KeyLine& k = keys[m.key];
      k.line.erase(std::find(k.line.begin(), k.line.end(), &m));
      if (k.line.empty())
        old_keys.at(k.quiet_until, m.key);
    }
    for (const Attempt& a : m.attempts)
      if (a.server)
        --a.server->attempts;
    if (--m.dest->messages == 0 && m.dest->servers.empty())
      old_dests.at(now + kept(), m.dest->id);
    messages.erase(messages.find(m.id));
  }
};

}  // namespace grademux::decision
