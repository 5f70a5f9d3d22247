// A long random but legal sequence of events against one Sender, without any model of servers: after each
// turn the rules that a sender can see by itself must hold.
#include <algorithm>
#include <deque>
#include <random>
#include <set>

#include "sender_fixture.h"

using namespace grademux;

namespace {

struct Try {
  std::string endpoint;
  Micros sent = 0;
  bool out = true, may_have_run = true;
  AttemptResult last = AttemptResult::ok;
};
struct Msg {
  const MessageClass* cls = nullptr;
  std::int64_t dest = 0;
  std::string key;
  Micros give_up = 0;
  std::uint64_t order = 0;
  bool ended = false;
  std::vector<Try> tries;
};

class World {
 public:
  World(const Settings& s, std::uint64_t seed) : set_(s), rnd_(seed), sender_(s, seed) {
    for (int d = 0; d < 5; ++d)
      for (int i = 0; i < 1 + d % 3; ++i) {
        const std::string id = "e" + std::to_string(d) + std::to_string(i);
        list_.push_back(makeEndpoint(id, d, set_.kinds[static_cast<std::size_t>(d) % set_.kinds.size()].name,
                                     1 + below(20), below(2) ? "a" : "b"));
      }
    turn({EndpointListUpdate{EndpointListKind::cached, list_}});
  }

  void step() {
    std::vector<Event> events;
    now_ += set_.min_decide_interval * (1 + below(20));
    if (below(400) == 0)
      now_ += 3 * kS;  // the host was away
    if (wake_ > 0 && now_ >= wake_) {
      wake_ = 0;
      events.push_back(TimerFired{});
    }
    for (auto& [id, m] : msgs_)
      if (!m.ended && m.order > 0 && below(300) == 0) {  // nobody wants it any more
        m.ended = true;
        events.push_back(MessageWithdrawn{id});
      }
    for (auto& [id, m] : msgs_)  // time-outs first: they can't come late
      for (std::size_t i = 0; i < m.tries.size(); ++i)
        if (m.tries[i].out && due_[{id, static_cast<int>(i)}] <= now_)
          events.push_back(end(id, static_cast<int>(i), AttemptResult::timeout));
    for (int n = below(4); n > 0; --n)
      arrive(events);
    for (auto& [id, m] : msgs_)
      for (std::size_t i = 0; i < m.tries.size(); ++i)
        if (m.tries[i].out && below(12) == 0)
          events.push_back(end(id, static_cast<int>(i), anyResult(m.dest)));
    if (below(60) == 0)
      changeList(events);
    if (below(90) == 0)
      events.push_back(EndpointListUpdate{EndpointListKind::failed, {}});
    if (below(50) == 0)
      events.push_back(AttemptOutcome{});  // names nothing
    if (!events.empty())
      turn(events);
  }

  void drain() {
    const Micros until = now_ + 40 * kS;
    while (now_ < until) {
      now_ += set_.min_decide_interval;
      std::vector<Event> events;
      if (wake_ > 0 && now_ >= wake_) {
        wake_ = 0;
        events.push_back(TimerFired{});
      }
      for (auto& [id, m] : msgs_)
        for (std::size_t i = 0; i < m.tries.size(); ++i)
          if (m.tries[i].out && due_[{id, static_cast<int>(i)}] <= now_)
            events.push_back(end(id, static_cast<int>(i), AttemptResult::timeout));
      if (!events.empty())
        turn(events);
    }
    for (auto& [id, m] : msgs_)
      EXPECT_TRUE(m.ended) << id;
  }

  int answered = 0;

 private:
  int below(int n) { return static_cast<int>(rnd_() % static_cast<std::uint64_t>(n)); }

  AttemptResult anyResult(std::int64_t dest) {
    const AttemptResult bad[] = {AttemptResult::error, AttemptResult::rejected, AttemptResult::connect_failed,
                                 AttemptResult::reset, AttemptResult::not_sent};
    const bool ill = (now_ / (7 * kS) + dest) % 3 == 0;
    return below(10) < (ill ? 8 : 1) ? bad[below(5)] : AttemptResult::ok;
  }

  void arrive(std::vector<Event>& events) {
    int open = 0;
    for (auto& [id, m] : msgs_)
      open += !m.ended;
    if (open >= set_.max_open_messages)
      return;
    const std::string id = "m" + std::to_string(++count_);
    Msg m;
    m.cls = &set_.classes[static_cast<std::size_t>(below(static_cast<int>(set_.classes.size())))];
    m.dest = below(6);  // the last has no endpoint
    if (m.cls->ordered && below(4))
      m.key = "k" + std::to_string(below(3));
    m.give_up = now_ + (below(5) ? m.cls->deadline : Micros{below(800)} * kMs);  // some come with little time
    m.order = static_cast<std::uint64_t>(count_);
    MessageArrival a;
    a.id = id;
    a.message_class = m.cls->name;
    a.destination = m.dest;
    a.ordering_key = m.key;
    a.deadline = m.give_up;
    a.tenant = "t";
    events.push_back(a);
    msgs_[id] = m;
  }

  AttemptOutcome end(const std::string& id, int i, AttemptResult r) {
    Msg& m = msgs_[id];
    Try& t = m.tries[static_cast<std::size_t>(i)];
    t.out = false;
    t.last = r;
    t.may_have_run =
        r != AttemptResult::rejected && r != AttemptResult::connect_failed && r != AttemptResult::not_sent;
    if (!m.key.empty() &&
        (r == AttemptResult::timeout || r == AttemptResult::reset || r == AttemptResult::cancelled))
      quiet_[m.key] = std::max(quiet_[m.key], now_ + set_.ordering_backoff);
    AttemptOutcome o;
    o.id = id;
    o.attempt = i;
    o.result = r;
    o.round_trip = now_ - t.sent;
    if (r == AttemptResult::ok)
      m.ended = true;
    o.already_finished = m.ended;
    // A head may tell to wait though its body breaks off, or is read as the call is called off.
    const bool broken =
        r == AttemptResult::reset || r == AttemptResult::timeout || r == AttemptResult::cancelled;
    if ((r == AttemptResult::rejected && below(2)) || (broken && below(4) == 0)) {
      o.retry_after = (1 + below(900)) * kMs;
      const bool apart = kindOf(t.endpoint).has_separate_routes;
      Micros& w = waits_[apart ? t.endpoint : "d" + std::to_string(m.dest)];
      w = std::max(w, now_ + o.retry_after);
    }
    if (below(2))
      o.limit_report = LimitReport{0.5, 1.0 + below(30)};
    return o;
  }

  const DestinationKind& kindOf(const std::string& endpoint) {
    for (const Endpoint& e : list_)
      if (e.id == endpoint)
        for (const DestinationKind& k : set_.kinds)
          if (k.name == e.kind)
            return k;
    return set_.kinds[0];
  }

  void changeList(std::vector<Event>& events) {
    Endpoint& e = list_[static_cast<std::size_t>(below(static_cast<int>(list_.size())))];
    e.state = e.state == EndpointState::ready ? (below(2) ? EndpointState::draining : EndpointState::gone)
                                              : EndpointState::ready;
    off_[e.id] = e.state == EndpointState::ready ? -1 : now_;
    events.push_back(EndpointListUpdate{EndpointListKind::delta, {e}});
  }

  void turn(const std::vector<Event>& events) {
    std::map<std::string, int> sent_to;
    for (const Action& a : sender_.decide(now_, events)) {
      if (const auto* s = std::get_if<StartAttempt>(&a)) {
        onSend(*s);
        ++sent_to[s->endpoint];
      }
      if (const auto* r = std::get_if<RejectMessage>(&a))
        final(r->id, true);
      if (const auto* f = std::get_if<FailMessage>(&a))
        final(f->id, false);
      if (const auto* w = std::get_if<SetTimer>(&a))
        wake_ = wake_ > now_ ? std::min(wake_, now_ + w->delay) : now_ + w->delay;
      if (const auto* c = std::get_if<CancelAttempt>(&a))
        due_[{c->id, c->attempt}] = now_;
    }
    int slots = 0;
    std::map<std::pair<std::string, Micros>, int> calls;
    for (auto& [id, m] : msgs_)
      for (const Try& t : m.tries)
        if (t.out)
          ++calls[{t.endpoint, t.sent}];
    for (auto& [call, n] : calls) {
      const int per = kindOf(call.first).messages_per_call;
      slots += (n + per - 1) / per;
    }
    EXPECT_LE(slots, set_.max_in_flight);
    for (auto& [id, m] : msgs_)
      if (!m.ended)
        EXPECT_LE(now_, m.give_up + 20 * kMs + 4 * kS) << id;  // the host may be away
  }

  void final(const std::string& id, bool refuse) {
    ASSERT_TRUE(msgs_.count(id)) << id;
    Msg& m = msgs_[id];
    EXPECT_FALSE(m.ended) << "two answers for " << id;
    m.ended = true;
    ++answered;
    if (!refuse)
      return;
    const bool ran = std::any_of(m.tries.begin(), m.tries.end(), [](const Try& t) { return t.may_have_run; });
    if (ran && m.cls->idempotency == Idempotency::non_idempotent)
      ADD_FAILURE() << "refused what may have run: " << id;
    if (ran && m.cls->idempotency == Idempotency::idempotency_key)
      EXPECT_EQ(m.cls->idempotency_scope, IdempotencyScope::all) << id;
  }

  void onSend(const StartAttempt& s) {
    ASSERT_TRUE(msgs_.count(s.id)) << s.id;
    Msg& m = msgs_[s.id];
    EXPECT_FALSE(m.ended) << "sent after its end: " << s.id;
    EXPECT_LT(static_cast<int>(m.tries.size()), set_.max_attempts);
    const Endpoint* e = nullptr;
    for (const Endpoint& x : list_)
      if (x.id == s.endpoint)
        e = &x;
    ASSERT_NE(e, nullptr);
    EXPECT_EQ(e->destination, m.dest);
    EXPECT_GT(s.timeout, 0);
    EXPECT_LE(now_ + s.timeout, m.give_up);
    if (off_.count(e->id) && off_[e->id] >= 0)
      EXPECT_LE(now_, off_[e->id] + set_.drain_grace) << e->id;
    const std::string scope = kindOf(e->id).has_separate_routes ? e->id : "d" + std::to_string(m.dest);
    if (waits_.count(scope))
      EXPECT_GE(now_, waits_[scope]) << "wait of " << scope;
    if (m.tries.empty())
      EXPECT_EQ(0, s.write_within);
    for (const Try& t : m.tries) {
      if (t.out)
        EXPECT_TRUE(set_.hedging_allowed) << s.id;
      if (!t.may_have_run)
        continue;
      EXPECT_NE(m.cls->idempotency, Idempotency::non_idempotent) << "unsafe sent twice: " << s.id;
      if (m.cls->idempotency != Idempotency::idempotency_key)
        continue;
      EXPECT_GT(s.write_within, 0);  // its connection may come up late
      EXPECT_LE(now_ + s.write_within, t.sent + m.cls->idempotency_window);
      for (const Endpoint& x : list_)
        if (x.id == t.endpoint && m.cls->idempotency_scope == IdempotencyScope::zone)
          EXPECT_EQ(x.zone, e->zone);
    }
    if (!m.key.empty()) {
      for (auto& [id, o] : msgs_) {
        if (o.key != m.key || o.order >= m.order)
          continue;
        const bool out = std::any_of(o.tries.begin(), o.tries.end(), [](const Try& t) { return t.out; });
        EXPECT_TRUE(o.ended && !out) << s.id << " before " << id;
      }
      if (m.tries.empty() && quiet_.count(m.key))
        EXPECT_GE(now_, quiet_[m.key]) << m.key;
    }
    m.tries.push_back({s.endpoint, now_, true, true, AttemptResult::ok});
    due_[{s.id, static_cast<int>(m.tries.size()) - 1}] = now_ + s.timeout;
  }

  Settings set_;
  std::mt19937_64 rnd_;
  Sender sender_;
  Micros now_ = 0, wake_ = 0;
  int count_ = 0;
  std::vector<Endpoint> list_;
  std::map<std::string, Msg> msgs_;
  std::map<std::pair<std::string, int>, Micros> due_;
  std::map<std::string, Micros> waits_, quiet_, off_;
};

TEST(DecisionProperties, HoldForRandomEventSequences) {
  for (int variant = 0; variant < 12; ++variant) {
    SCOPED_TRACE(variant);
    Settings s = makeSettings();
    s.max_in_flight = 1 + variant % 5 * 3;
    s.max_open_messages = 20 + variant * 7;
    s.max_attempts = 2 + variant % 6;
    s.hedging_allowed = variant % 3 == 0;
    s.cancel_allowed = variant % 2 == 0;
    s.list_mode = variant % 2 ? ListMode::poll : ListMode::push;
    s.weight_kind = variant % 3 == 1 ? WeightKind::nominal : WeightKind::none;
    s.lateness_penalty = variant % 2 ? LatenessPenalty::halving : LatenessPenalty::linear;
    s.sender_count = variant % 4 == 3 ? 200 : 1 + variant % 4;
    s.ordering_backoff = 300 * kMs;
    if (variant % 2)
      s.tenants = {{"t", 2.0, 0.5}};
    s.classes[static_cast<std::size_t>(variant % 3)].ordered = true;
    if (variant % 4 == 1)
      s.classes[1].idempotency_scope = IdempotencyScope::zone;
    World w(s, static_cast<std::uint64_t>(variant) + 1);
    for (int i = 0; i < 1500; ++i)
      w.step();
    w.drain();
    EXPECT_GT(w.answered, 0);
  }
}

}  // namespace
