// grademux model: a sender in virtual time; see fleet.h.
#include <algorithm>

#include "../src/knowledge/trust_decay.h"
#include "fleet.h"

namespace grademux::model {

namespace {
constexpr Micros kSurvey = 10'000'000;  // between two writes of what was learned
}  // namespace

Node::Node(Fleet& fleet, int index, std::uint64_t seed)
    : fleet_(fleet), index_(index), random_(seed, "sender " + std::to_string(index)) {}

// ---- its process

void Node::start() {
  const Micros now = fleet_.now();
  ++life_;
  up_ = true;
  stopping_ = false;
  fleet_.checker.senderBack(index_, now);
  last_turn_ = INT64_MIN / 4;
  for (const auto& [partner, c] : clocks_)
    partnerChanged(partner);
  policy_ = fleet_.choice.policy->make({fleet_.settings, random_.bits(), fleet_, fleet_.choice.tuning});
  EndpointListUpdate cached;
  cached.kind = EndpointListKind::cached;
  for (const auto& [name, e] : list_)
    cached.endpoints.push_back(e);
  events_.push_back(std::move(cached));
  if (fleet_.world.keeps_knowledge) {
    const LearnedPool pool = knowledge::trustedPart(book_.pool, now);
    if (pool.latency_samples > 0 || pool.stale_connection_score > 0)
      events_.push_back(pool);
    for (const knowledge::LearnedRecord& k : book_.records) {
      const LearnedEndpoint l = knowledge::trustedPart(k.learned, now);
      if (l.rate_limit > 0 || l.samples > 0 || l.unknown_outcome_fraction > 0 || l.message_rate > 0)
        events_.push_back(l);
    }
  }
  for (const auto& [key, kept] : ailments_) {
    DestinationHealth a = kept;
    if (knowledge::reduceToTrusted(a, now, fleet_.settings.slow_start_time))
      events_.push_back(a);
  }
  for (const auto& [key, block] : ordering_blocks_)
    events_.emplace_back(block);
  for (auto& [id, h] : journal_) {
    Submission& s = fleet_.submissions[h.submission];
    s.parts[indexOf(Cause::process)] += now - s.since;
    s.since = now;
    RecoveredMessage r;
    r.message.id = id;
    r.message.message_class = fleet_.settings.classes[s.cls].name;
    r.message.destination = static_cast<std::int64_t>(s.partner);
    if (fleet_.settings.classes[s.cls].ordered)
      r.message.ordering_key = "p" + std::to_string(s.partner);
    r.message.deadline = s.give_up_at;
    r.message.resubmitted = true;
    for (const Attempt& a : h.attempts)
      r.attempts.push_back({a.endpoint, a.sent, !a.never_ran, false, !a.never_ran});
    events_.push_back(std::move(r));
    Held& back = held_[id] = std::move(h);
    back.out = 0;
    settle(back, true);
  }
  journal_.clear();
  if (fleet_.world.keeps_knowledge)
    survey();
  turn();
}

void Node::die() {
  const Micros now = fleet_.now();
  fleet_.checker.senderDied(index_, now);
  std::vector<std::pair<std::string, Held>> all(held_.begin(), held_.end());
  std::sort(all.begin(), all.end(),
            [](const auto& a, const auto& b) { return a.second.order < b.second.order; });
  held_.clear();
  for (auto& [id, h] : all) {
    Submission& s = fleet_.submissions[h.submission];
    if (h.out > 0)
      s.parts[indexOf(Cause::failed_call)] += now - s.since;
    else
      settle(h, false);
    s.since = now;
    if (h.accepted)
      journal_.emplace_back(id, std::move(h));
    else
      fleet_.unheard(h.submission);
  }
  for (auto& [n, c] : calls_) {
    arrived(c);
    --fleet_.endpoints[c.endpoint].open;
  }
  for (const auto& [e, idle] : idle_)
    fleet_.endpoints[e].open -= static_cast<int>(idle.size());
  calls_.clear();
  idle_.clear();
  slots(-out_);
  events_.clear();
  fresh_.clear();
  waits_.clear();
  turn_due_ = false;
  policy_.reset();
  up_ = false;
  ++life_;
}

void Node::stop() {
  stopping_ = true;
  const Micros end = fleet_.now() + kLinger;
  add(ShutdownScheduled{end});
  if (fleet_.world.keeps_knowledge)
    add(ExportLearned{INT64_MIN, INT32_MAX});
  const std::uint64_t life = life_;
  fleet_.clock.at(end, [this, life] {
    if (life == life_)
      die();
  });
}

// ---- what it hears

bool Node::submit(std::size_t submission) {
  if (!up_ || stopping_)
    return false;
  Submission& s = fleet_.submissions[submission];
  const MessageClass& c = fleet_.settings.classes[s.cls];
  const std::string id = std::to_string(submission) + "." + std::to_string(s.tries);
  const Micros now = fleet_.now();
  s.parts[indexOf(Cause::client)] += now - s.since;
  s.since = now;
  Held& h = held_[id];
  h.submission = submission;
  h.order = ++next_order_;
  settle(h, true);
  fresh_.push_back(id);
  MessageArrival a;
  a.id = id;
  a.message_class = c.name;
  a.destination = static_cast<std::int64_t>(s.partner);
  if (c.ordered)
    a.ordering_key = "p" + std::to_string(s.partner);
  a.deadline = s.give_up_at;
  a.resubmitted = s.tries > 0;
  add(std::move(a));
  return true;
}

void Node::hear(const std::vector<Endpoint>& entries) {
  for (const Endpoint& e : entries) {
    if (e.state == EndpointState::gone)
      list_.erase(e.id);
    else
      list_[e.id] = e;
  }
  if (up_)
    add(EndpointListUpdate{EndpointListKind::delta, entries});
}

void Node::cutIdle() {
  for (auto& [e, all] : idle_)
    for (Idle& i : all)
      i.dead = true;
}

void Node::add(Event e) {
  events_.push_back(std::move(e));
  if (turn_due_)
    return;
  turn_due_ = true;
  const std::uint64_t life = life_;
  fleet_.clock.at(last_turn_ + fleet_.settings.min_decide_interval, [this, life] {
    if (life == life_ && turn_due_)
      turn();
  });
}

void Node::turn() {
  turn_due_ = false;
  const Micros now = last_turn_ = fleet_.now();
  std::vector<Event> events;
  events.swap(events_);
  for (const Event& e : events) {
    if (const auto* o = std::get_if<AttemptOutcome>(&e); o && o->retry_after > 0) {
      const std::size_t partner = fleet_.submissions[std::strtoull(o->id.c_str(), nullptr, 10)].partner;
      Micros& until = waits_[partner];
      until = std::max(until, now + o->retry_after);
      fleet_.checker.toldToWait(index_, static_cast<std::int64_t>(partner), now, until);
      partnerChanged(partner);
      const std::uint64_t life = life_;
      fleet_.clock.at(until, [this, life, partner] {
        if (life == life_)
          partnerChanged(partner);
      });
    }
    if (const auto* u = std::get_if<EndpointListUpdate>(&e))
      for (const Endpoint& x : u->endpoints)
        x.state == EndpointState::ready ? fleet_.checker.listed(index_, x.id)
                                        : fleet_.checker.leaves(index_, x.id, now);
  }
  carryOut(policy_->decide(now, events));
  if (!stopping_ || !calls_.empty() || !events_.empty())
    return;
  const std::uint64_t life = life_;
  fleet_.clock.in(0, [this, life] {
    if (life == life_)
      die();
  });
}

// First the refusals of what has just come, then the record, then all that it promises.
void Node::carryOut(const std::vector<Action>& actions) {
  for (const Action& a : actions) {
    if (const auto* r = std::get_if<RejectMessage>(&a))
      end(r->id, true, r->retry_after);
    else if (const auto* f = std::get_if<FailMessage>(&a))
      end(f->id, false, 0);
    else if (const auto* h = std::get_if<DestinationHealth>(&a))
      ailments_[{h->destination, h->endpoint}] = *h;
    else if (const auto* b = std::get_if<OrderingKeyBlocked>(&a))
      ordering_blocks_[b->ordering_key] = *b;
  }
  for (const std::string& id : fresh_) {
    const auto h = held_.find(id);
    if (h == held_.end())
      continue;
    h->second.accepted = true;
    const Submission& s = fleet_.submissions[h->second.submission];
    const MessageClass& c = fleet_.settings.classes[s.cls];
    fleet_.checker.accepted(id, index_, c, static_cast<std::int64_t>(s.partner),
                            c.ordered ? "p" + std::to_string(s.partner) : "", s.give_up_at);
  }
  fresh_.clear();
  for (const Action& a : actions) {
    if (const auto* s = std::get_if<StartAttempt>(&a)) {
      call(*s);
    } else if (const auto* c = std::get_if<CancelAttempt>(&a)) {
      const auto h = held_.find(c->id);
      if (h != held_.end() && c->attempt >= 0 &&
          static_cast<std::size_t>(c->attempt) < h->second.attempts.size())
        outcome(h->second.attempts[static_cast<std::size_t>(c->attempt)].call, AttemptResult::cancelled);
    } else if (const auto* i = std::get_if<CloseIdleConnections>(&a)) {
      const auto e = fleet_.endpoint_of.find(i->endpoint);
      if (e == fleet_.endpoint_of.end())
        continue;
      fleet_.endpoints[e->second].open -= static_cast<int>(idle_[e->second].size());
      idle_[e->second].clear();
    } else if (const auto* w = std::get_if<SetTimer>(&a)) {
      wakeIn(w->delay);
    } else if (const auto* l = std::get_if<LearnedEndpoint>(&a)) {
      learning_.records.push_back({*l, ""});
    } else if (const auto* d = std::get_if<LearnedExported>(&a)) {
      learning_.pool = d->pool;
      book_ = std::move(learning_);
      learning_ = {};
    }
  }
}

void Node::wakeIn(Micros span) {
  const std::uint64_t life = life_;
  fleet_.clock.in(span, [this, life] {
    if (life == life_)
      add(TimerFired{});
  });
}

void Node::survey() {
  const std::uint64_t life = life_;
  fleet_.clock.in(kSurvey, [this, life] {
    if (life != life_)
      return;
    add(ExportLearned{INT64_MIN, INT32_MAX});
    survey();
  });
}

void Node::end(const std::string& id, bool handed_back, Micros pause) {
  const auto it = held_.find(id);
  if (it == held_.end())
    return;
  Held& h = it->second;
  const std::size_t submission = h.submission;
  Submission& s = fleet_.submissions[submission];
  const Micros now = fleet_.now();
  if (h.out > 0)
    s.parts[indexOf(Cause::failed_call)] += now - s.since;
  else
    settle(h, false);
  s.since = now;
  const bool was_accepted = h.accepted;
  const bool may_have_run = std::any_of(h.attempts.begin(), h.attempts.end(),
                                        [](const Attempt& a) { return a.out || !a.never_ran; });
  // A client with a keyed message comes again inside its memory alone, as one that hands it in may not know.
  Micros again_until = INT64_MAX;
  const MessageClass& c = fleet_.settings.classes[s.cls];
  if (c.idempotency == Idempotency::idempotency_key)
    for (const Attempt& a : h.attempts)
      if (a.out || !a.never_ran)
        again_until = std::min(again_until, a.sent + c.idempotency_window);
  if (was_accepted)
    fleet_.checker.ended(id, handed_back, false, now);
  held_.erase(it);
  if (handed_back) {
    s.how = was_accepted ? Cause::count : Cause::refused;
    fleet_.refused(submission, pause, again_until);
  } else {
    const bool unsafe = fleet_.settings.classes[s.cls].idempotency != Idempotency::idempotent;
    fleet_.over(submission, false, unsafe && may_have_run ? Cause::may_have_run : Cause::count);
  }
}

// ---- where its messages' time goes

Micros Node::full() {
  return full_ + (full_since_ >= 0 ? fleet_.now() - full_since_ : 0);
}

void Node::slots(int change) {
  const Micros now = fleet_.now();
  out_ += change;
  const bool is = out_ >= fleet_.settings.max_in_flight;
  if (is && full_since_ < 0)
    full_since_ = now;
  if (!is && full_since_ >= 0) {
    full_ += now - full_since_;
    full_since_ = -1;
  }
}

Cause Node::stateOf(std::size_t partner) {
  const Micros now = fleet_.now();
  const auto wait = waits_.find(partner);
  const Partner& p = *fleet_.partners[partner];
  if (wait != waits_.end() && wait->second > now)
    return Cause::told_wait;
  if (!p.serves())
    return Cause::away;
  return p.cold(now) ? Cause::cold : Cause::limit;
}

HoldClock& Node::clockOf(std::size_t partner) {
  const auto at = clocks_.find(partner);
  if (at != clocks_.end())
    return at->second;
  HoldClock& c = clocks_[partner];
  c.set(stateOf(partner), fleet_.now(), full());
  return c;
}

void Node::partnerChanged(std::size_t partner) {
  const auto at = clocks_.find(partner);
  if (at != clocks_.end())
    at->second.set(stateOf(partner), fleet_.now(), full());
}

// A message begins to be held, or that ends.
void Node::settle(Held& h, bool begins) {
  Submission& s = fleet_.submissions[h.submission];
  const Parts& shown = clockOf(s.partner).read(fleet_.now(), full());
  if (begins) {
    h.at_hold = shown;
    return;
  }
  for (std::size_t i = 0; i < kCauses; ++i)
    s.parts[i] += shown[i] - h.at_hold[i];
  h.at_hold = shown;
}

}  // namespace grademux::model
