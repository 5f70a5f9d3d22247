// grademux model: the calls and connections of a sender in virtual time; see fleet.h.
#include <algorithm>

#include "fleet.h"

namespace grademux::model {

void Node::call(const StartAttempt& s) {
  const auto it = held_.find(s.id);
  const auto known = fleet_.endpoint_of.find(s.endpoint);
  if (it == held_.end() || known == fleet_.endpoint_of.end())
    return;
  Held& h = it->second;
  Submission& sub = fleet_.submissions[h.submission];
  const Micros now = fleet_.now();
  fleet_.checker.sent(s.id, index_, s.endpoint, now);
  if (h.out++ == 0) {
    settle(h, false);
    sub.since = now;
  }
  const std::uint64_t n = ++fleet_.calls;
  const std::size_t endpoint = known->second;
  h.attempts.push_back({s.endpoint, now, true, false, n});
  Call& c = calls_[n];
  c.id = s.id;
  c.attempt = static_cast<int>(h.attempts.size()) - 1;
  c.endpoint = endpoint;
  c.sent = now;
  c.pacing = s.pacing;
  fleet_.leaves(fleet_.endpoints[endpoint].partner);
  ListedEndpoint& e = fleet_.endpoints[endpoint];
  ++e.open;
  const std::uint64_t life = life_;
  const auto later = [&](Micros span, auto then) {
    fleet_.clock.in(span, [this, life, n, then] {
      if (life == life_)
        then(n);
    });
  };
  if (out_ >= fleet_.settings.max_in_flight) {
    slots(1);
    return later(0, [this](std::uint64_t k) { outcome(k, AttemptResult::not_sent); });
  }
  slots(1);
  const Micros most = std::max<Micros>(1, sub.give_up_at - now);
  later(s.timeout > 0 ? std::min(s.timeout, most) : most,
        [this](std::uint64_t k) { outcome(k, AttemptResult::timeout); });
  expireIdle(endpoint);
  auto& idle = idle_[endpoint];
  const Micros way = fleet_.wayTo();
  const Partner& p = *fleet_.partners[e.partner];
  if (!idle.empty()) {
    const bool dead = idle.back().dead;
    idle.pop_back();
    --e.open;  // it is the call's now
    if (dead)
      return later(2 * way, [this](std::uint64_t k) { outcome(k, AttemptResult::reset, 0, true); });
    return later(way, [this](std::uint64_t k) { reach(k); });
  }
  const int most_open = p.traits().connections;
  if (!e.there || !p.reachable() || (most_open > 0 && e.open > most_open)) {
    if (!p.reachable())
      c.heard = true;  // in an outage
    return later(2 * way, [this](std::uint64_t k) { outcome(k, AttemptResult::connect_failed); });
  }
  ++fleet_.handshakes;
  later(3 * way, [this](std::uint64_t k) { reach(k); });
}

// It comes to the partner. What it does there happens though nobody may hear of it any more.
void Node::reach(std::uint64_t n) {
  const auto it = calls_.find(n);
  if (it == calls_.end())
    return;
  Call& c = it->second;
  const std::size_t partner = fleet_.endpoints[c.endpoint].partner;
  Partner& p = *fleet_.partners[partner];
  const Micros now = fleet_.now(), way = fleet_.wayTo();
  arrived(c);
  if (p.serves() && p.cold(now))
    ++fleet_.cold_calls[c.pacing];
  const Partner::Fall fall = p.weigh(index_, now);
  if (fall.fell)
    fleet_.checker.pushedOver(p.id(), fall.knew, now);
  const std::uint64_t life = life_;
  const auto answer = [this, life, n](Micros span, AttemptResult r, Micros wait) {
    fleet_.clock.in(span, [this, life, n, r, wait] {
      if (life == life_)
        outcome(n, r, wait);
    });
  };
  if (!p.serves())
    c.heard = true;
  if (!p.reachable())
    return answer(way, AttemptResult::reset, 0);
  const std::size_t submission = std::strtoull(c.id.c_str(), nullptr, 10);
  const std::size_t cls = fleet_.submissions[submission].cls;
  const Partner::Answer a = p.take(fleet_.serviceOf(cls), now);
  if (a.how == Partner::Taken::silent)
    return;
  if (a.how == Partner::Taken::full) {
    ++fleet_.refusals;
    return answer(way, AttemptResult::rejected, a.wait);
  }
  fleet_.clock.at(a.at, [this, life, n, submission, cls, &p, came = now, way] {
    if (!p.reachable()) {
      if (life == life_)
        outcome(n, AttemptResult::reset);
      return;
    }
    fleet_.checker.ran(std::to_string(submission), fleet_.settings.classes[cls], came);
    if (!p.serves())
      return;  // it hangs: done, and not told
    fleet_.clock.in(way, [this, life, n] {
      if (life == life_)
        outcome(n, AttemptResult::ok);
    });
  });
}

void Node::outcome(std::uint64_t n, AttemptResult r, Micros wait, bool stale) {
  const auto it = calls_.find(n);
  if (it == calls_.end())
    return;
  arrived(it->second);
  const Call c = it->second;
  calls_.erase(it);
  slots(-1);
  ListedEndpoint& e = fleet_.endpoints[c.endpoint];
  --e.open;
  if (r == AttemptResult::ok || r == AttemptResult::rejected || r == AttemptResult::error)
    keepConnection(c.endpoint);
  const Micros now = fleet_.now();
  const Partner& p = *fleet_.partners[e.partner];
  if (r != AttemptResult::ok && r != AttemptResult::cancelled && r != AttemptResult::not_sent &&
      (c.heard || !p.serves()))
    fleet_.partnerLearned(e.partner, index_);
  AttemptOutcome o;
  o.id = c.id;
  o.attempt = c.attempt;
  o.result = r;
  o.retry_after = wait;
  o.stale_connection = stale;
  o.round_trip = now - c.sent;
  if ((r == AttemptResult::ok || r == AttemptResult::rejected) && p.traits().limit > 0) {
    LimitReport report;
    report.rate_limit = p.traits().limit * p.limit_share;
    report.remaining_fraction = p.left(now);
    o.limit_report = report;
  }
  const bool never =
      r == AttemptResult::rejected || r == AttemptResult::connect_failed || r == AttemptResult::not_sent;
  fleet_.checker.outcome(c.id, index_, c.attempt, !never, r == AttemptResult::ok, now);
  const auto h = held_.find(c.id);
  if (h == held_.end()) {
    o.already_finished = true;
  } else {
    Held& held = h->second;
    Attempt& a = held.attempts[static_cast<std::size_t>(c.attempt)];
    a.out = false;
    a.never_ran = never;
    Submission& s = fleet_.submissions[held.submission];
    const bool last = --held.out == 0;
    if (r == AttemptResult::ok) {
      o.already_finished = true;
      s.parts[indexOf(Cause::answer)] += now - s.since;
      s.since = now;
      fleet_.checker.ended(c.id, false, true, now);
      const std::size_t submission = held.submission;
      held_.erase(h);
      fleet_.over(submission, true, Cause::count);
    } else if (last) {
      s.parts[indexOf(Cause::failed_call)] += now - s.since;
      s.since = now;
      settle(held, true);
    }
  }
  add(std::move(o));
}

void Node::arrived(Call& c) {
  if (c.on_way)
    fleet_.arrived(fleet_.endpoints[c.endpoint].partner);
  c.on_way = false;
}

void Node::keepConnection(std::size_t endpoint) {
  ++fleet_.endpoints[endpoint].open;
  idle_[endpoint].push_back({fleet_.now(), false});
  const std::uint64_t life = life_;
  fleet_.clock.in(fleet_.settings.idle_connection_timeout, [this, life, endpoint] {
    if (life == life_)
      expireIdle(endpoint);
  });
}

void Node::expireIdle(std::size_t endpoint) {
  auto& idle = idle_[endpoint];
  while (!idle.empty() && idle.front().since + fleet_.settings.idle_connection_timeout <= fleet_.now()) {
    idle.pop_front();
    --fleet_.endpoints[endpoint].open;
  }
}

}  // namespace grademux::model
