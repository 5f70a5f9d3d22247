// grademux model: the policies; see policies.h. The baselines are what a user would build from common parts:
// they keep the rules that a sender keeps alone (effects, waits, drains, ends), and have no idea of ramps.
#include "policies.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "ledger.h"
#include "random.h"

namespace grademux::model {

namespace {

class Module : public Policy {
 public:
  explicit Module(const Making& m) : sender_(m.settings, m.seed) {}
  std::vector<Action> decide(Micros now, const std::vector<Event>& events) override {
    return sender_.decide(now, events);
  }

 private:
  Sender sender_;
};

// The same with other values.
class Tuned : public Policy {
 public:
  explicit Tuned(const Making& m)
      : module_(m.settings, m.seed, m.tuning ? m.tuning : std::make_shared<const Tuning>()) {}
  std::vector<Action> decide(Micros now, const std::vector<Event>& events) override {
    return module_.decide(now, events);
  }

 private:
  TunedModule module_;
};

struct Style {
  int attempts = 1;      // of a message at most
  bool bucket = false;   // each destination's listed rate, an even part for each sender
  bool breaker = false;  // opens after failures in a row, for a while
  bool sees = false;     // sends what the true state takes, what is worth most first
};

class Common : public Policy {
 public:
  Common(const Settings& s, std::uint64_t seed, Truth& truth, Style style)
      : set_(s), style_(style), truth_(truth), random_(seed, "policy") {}

  std::vector<Action> decide(Micros now, const std::vector<Event>& events) override {
    now_ = now;
    acts_.clear();
    wake_ = kNever;
    for (const Event& e : events)
      std::visit([this](const auto& x) { on(x); }, e);
    while (!ends_.empty() && ends_.begin()->first <= now_)
      finish(messages_.at(ends_.begin()->second), false);
    release();
    if (!ends_.empty())
      wake_ = std::min(wake_, ends_.begin()->first);
    if (wake_ != kNever)
      acts_.push_back(SetTimer{std::max(wake_ - now_, set_.min_decide_interval)});
    return std::move(acts_);
  }

 private:
  static constexpr Micros kNever = INT64_MAX / 4, kSecond = 1'000'000;
  static constexpr Micros kBackOff = 200'000;   // before the second attempt; doubles
  static constexpr int kOpensAt = 5;            // failures in a row
  static constexpr Micros kOpen = 2 * kSecond;  // of the breaker, then one call tries

  struct Try {
    std::string endpoint;
    Micros sent = 0;
    bool out = true, may_have_run = true;
  };
  struct Message {
    std::string id;
    const MessageClass* cls = nullptr;
    std::int64_t destination = 0;
    Micros handed_in = 0, end_at = 0, not_before = 0;
    std::uint64_t order = 0;
    std::vector<Try> tries;
    bool held = false;
  };
  struct Destination {
    std::set<std::string> ready;
    std::map<std::string, int> out;
    double listed = 0, tokens = 1;
    Micros tokens_at = 0, wait_until = 0, open_until = 0;
    int failures = 0;
  };

  void on(const MessageArrival& a) { take(a, {}); }
  void on(const RecoveredMessage& r) {
    std::vector<Try> tries;
    for (const PastAttempt& p : r.attempts)
      tries.push_back({p.endpoint, p.sent_at, false, p.may_have_run});
    take(r.message, std::move(tries));
  }
  void on(const EndpointListUpdate& u) {
    if (u.kind == EndpointListKind::failed)
      return;
    if (u.kind != EndpointListKind::delta)
      for (auto& [id, d] : destinations_)
        d.ready.clear();
    for (const Endpoint& e : u.endpoints) {
      Destination& d = destinations_[e.destination];
      d.listed = e.weight;
      if (e.state == EndpointState::ready)
        d.ready.insert(e.id);
      else
        d.ready.erase(e.id);
    }
  }
  void on(const MessageWithdrawn& g) {
    const auto at = messages_.find(g.id);
    if (at != messages_.end())
      drop(at->second);
  }
  void on(const AttemptOutcome& o) {
    const auto at = messages_.find(o.id);
    if (at == messages_.end())
      return late(o);
    Message& m = at->second;
    Try& t = m.tries[static_cast<std::size_t>(o.attempt)];
    t.out = false;
    --out_;
    Destination& d = destinations_[m.destination];
    --d.out[t.endpoint];
    t.may_have_run = o.result != AttemptResult::rejected && o.result != AttemptResult::connect_failed &&
                     o.result != AttemptResult::not_sent;
    if (o.result == AttemptResult::rejected && o.retry_after > 0)
      d.wait_until = std::max(d.wait_until, now_ + o.retry_after);
    if (o.result == AttemptResult::ok)
      d.failures = 0;
    else if (o.result != AttemptResult::rejected && ++d.failures >= kOpensAt)
      d.open_until = now_ + kOpen;
    if (o.already_finished || o.result == AttemptResult::ok)
      return drop(m);
    const int n = static_cast<int>(m.tries.size());
    if (n >= std::min(style_.attempts, set_.max_attempts) || !maySend(m))
      return finish(m, true);
    const double pause = static_cast<double>(kBackOff) * std::exp2(std::min(n - 1, 6));
    hold(m, now_ + static_cast<Micros>(style_.sees ? 0 : pause * random_.between(0.5, 1.5)));
  }
  void late(const AttemptOutcome& o) {
    const auto at = lost_.find({o.id, o.attempt});
    if (at == lost_.end())
      return;
    --out_;
    Destination& d = destinations_[at->second.first];
    --d.out[at->second.second];
    if (o.retry_after > 0)
      d.wait_until = std::max(d.wait_until, now_ + o.retry_after);
    lost_.erase(at);
  }
  template <class Other>
  void on(const Other&) {}

  void take(const MessageArrival& a, std::vector<Try> tries) {
    const auto c = std::find_if(set_.classes.begin(), set_.classes.end(),
                                [&](const MessageClass& k) { return k.name == a.message_class; });
    if (c == set_.classes.end())
      return acts_.push_back(FailMessage{a.id});
    if (static_cast<int>(messages_.size()) >= set_.max_open_messages && tries.empty())
      return acts_.push_back(RejectMessage{a.id, std::min(set_.max_retry_after, kSecond)});
    Message& m = messages_[a.id];
    m.id = a.id;
    m.cls = &*c;
    m.destination = a.destination;
    m.handed_in = std::min(now_, a.deadline - c->deadline);
    m.end_at = a.deadline - 2 * set_.min_decide_interval;
    m.order = ++next_;
    m.tries = std::move(tries);
    ends_.insert({m.end_at, m.id});
    if (!maySend(m))
      return finish(m, true);
    hold(m, now_);
  }
  bool maySend(const Message& m) const {
    for (const Try& t : m.tries) {
      if (!t.may_have_run)
        continue;
      if (m.cls->idempotency == Idempotency::non_idempotent)
        return false;
      if (m.cls->idempotency == Idempotency::idempotency_key &&
          (m.cls->idempotency_scope != IdempotencyScope::all || now_ > t.sent + m.cls->idempotency_window))
        return false;
    }
    return true;
  }
  bool mayRefuse(const Message& m) const {
    return std::none_of(m.tries.begin(), m.tries.end(), [&](const Try& t) {
      return t.may_have_run && (m.cls->idempotency == Idempotency::non_idempotent ||
                                (m.cls->idempotency == Idempotency::idempotency_key &&
                                 m.cls->idempotency_scope != IdempotencyScope::all));
    });
  }
  std::pair<double, std::uint64_t> rank(const Message& m) const {
    return {style_.sees ? -m.cls->priority_weight : 0.0, m.order};
  }
  void hold(Message& m, Micros not_before) {
    m.not_before = not_before;
    m.held = true;
    held_.insert({rank(m), m.id});
  }
  void drop(Message& m) {
    if (m.held)
      held_.erase({rank(m), m.id});
    for (std::size_t i = 0; i < m.tries.size(); ++i)
      if (m.tries[i].out)
        lost_[{m.id, static_cast<int>(i)}] = {m.destination, m.tries[i].endpoint};
    ends_.erase({m.end_at, m.id});
    messages_.erase(m.id);
  }
  void finish(Message& m, bool worth_a_return) {
    if (worth_a_return && mayRefuse(m))
      acts_.push_back(RejectMessage{m.id, set_.retry_after_supported ? kSecond : 0});
    else
      acts_.push_back(FailMessage{m.id});
    drop(m);
  }

  // Its endpoint with the least calls out; empty: nothing may go there now.
  std::string open(const Message& m) {
    Destination& d = destinations_[m.destination];
    Micros when = std::max(d.wait_until, m.not_before);
    if (style_.breaker)
      when = std::max(when, d.open_until);
    if (style_.bucket && d.listed > 0) {
      const double rate = d.listed / set_.sender_count;
      d.tokens =
          std::min(std::max(1.0, rate), d.tokens + rate * static_cast<double>(now_ - d.tokens_at) / kSecond);
      d.tokens_at = now_;
      if (d.tokens < 1)
        when = std::max(when, now_ + static_cast<Micros>((1 - d.tokens) / rate * kSecond) + 1);
    }
    if (style_.sees && when <= now_ && !truth_.takes(m.destination, now_))
      when = now_ + set_.min_decide_interval;
    if (when > now_) {
      wake_ = std::min(wake_, when);
      return {};
    }
    std::string best;
    for (const std::string& e : d.ready)
      if (best.empty() || d.out[e] < d.out[best])
        best = e;
    return best;
  }
  void release() {
    std::set<std::int64_t> closed;
    for (auto it = held_.begin(); it != held_.end() && out_ < set_.max_in_flight;) {
      Message& m = messages_.at((it++)->second);
      if (closed.count(m.destination))
        continue;
      if (!maySend(m)) {
        finish(m, true);
        continue;
      }
      const std::string endpoint = open(m);
      if (endpoint.empty()) {
        if (m.not_before <= now_)
          closed.insert(m.destination);
        continue;
      }
      held_.erase({rank(m), m.id});
      m.held = false;
      Destination& d = destinations_[m.destination];
      ++d.out[endpoint];
      ++out_;
      d.tokens -= style_.bucket ? 1 : 0;
      if (style_.breaker && d.failures >= kOpensAt)
        d.open_until = now_ + kOpen;  // one tries
      if (style_.sees)
        truth_.taking(m.destination, now_);
      m.tries.push_back({endpoint, now_, true, true});
      acts_.push_back(StartAttempt{m.id, endpoint, m.end_at - now_ - set_.min_decide_interval});
    }
  }

  const Settings set_;
  const Style style_;
  Truth& truth_;
  Stream random_;
  Micros now_ = 0, wake_ = kNever;
  std::vector<Action> acts_;
  std::map<std::string, Message> messages_;
  std::map<std::int64_t, Destination> destinations_;
  std::set<std::pair<std::pair<double, std::uint64_t>, std::string>> held_;
  std::set<std::pair<Micros, std::string>> ends_;
  std::map<std::pair<std::string, int>, std::pair<std::int64_t, std::string>>
      lost_;  // out, their message over
  int out_ = 0;
  std::uint64_t next_ = 0;
};

template <int Attempts, bool Bucket, bool Breaker, bool Sees>
std::unique_ptr<Policy> common(const Making& m) {
  return std::make_unique<Common>(m.settings, m.seed, m.truth, Style{Attempts, Bucket, Breaker, Sees});
}
template <class P>
std::unique_ptr<Policy> made(const Making& m) {
  return std::make_unique<P>(m);
}

}  // namespace

const std::vector<PolicySpec>& policies() {
  static const std::vector<PolicySpec> kAll{
      {"module", "the project's decision module", made<Module>},
      {"tuned", "the module with the tuned values that a variant names", made<Tuned>},
      {"one_try", "one call for each message, in the order of arrival", common<1, false, false, false>},
      {"retries", "the endpoint with the least calls out, further tries with back-off",
       common<12, false, false, false>},
      {"breaker", "the same behind a token bucket by the listed rates and a circuit breaker",
       common<12, true, true, false>},
      {"oracle", "sees the true state of all partners", common<12, false, false, true>}};
  return kAll;
}

const PolicySpec* policy(const std::string& name) {
  for (const PolicySpec& p : policies())
    if (p.name == name)
      return &p;
  return nullptr;
}

}  // namespace grademux::model
