// grademux model: the six rules; see checker.h.
#include "checker.h"

#include <numeric>

namespace grademux::model {

namespace {
constexpr Micros kAnswerSlack = 20'000;  // past a message's time in which its end still counts
constexpr Micros kOnItsWay = 1'000'000;  // between a send and its arrival, at most
constexpr std::size_t kShown = 3;        // breaks of each rule that are kept
}  // namespace

const char* nameOf(Rule r) {
  static constexpr const char* kNames[kRules] = {"lost",        "effect_twice", "drain",
                                                 "pushed_over", "order",        "wait"};
  return kNames[static_cast<std::size_t>(r)];
}

void Checker::tell(Rule rule, const std::string& what, Micros now) {
  if (broken[static_cast<std::size_t>(rule)]++ < kShown)
    first.push_back({rule, what, now});
}

std::uint64_t Checker::total() const {
  return std::accumulate(broken.begin(), broken.end(), std::uint64_t{0});
}

void Checker::accepted(const std::string& id, int sender, const MessageClass& c, std::int64_t partner,
                       const std::string& order_key, Micros give_up_at) {
  Life& l = lives_[id];
  l.cls = &c;
  l.partner = partner;
  l.sender = sender;
  l.give_up_at = give_up_at;
  l.order = ++next_;
  if (!c.ordered || order_key.empty())
    return;
  l.key = order_key;
  keys_[{sender, order_key}].open[l.order] = id;
}

void Checker::sent(const std::string& id, int sender, const std::string& endpoint, Micros now) {
  const auto at = lives_.find(id);
  if (at == lives_.end())
    return tell(Rule::lost, "sent though it was not taken on: " + id, now);
  Life& l = at->second;
  if (l.ended)
    tell(Rule::lost, "sent after its end: " + id, now);
  const auto gone = left_.find({sender, endpoint});
  if (gone != left_.end() && now > gone->second + set_.drain_grace)
    tell(Rule::drain, "sent to " + endpoint + " after it was told to leave", now);
  const auto wait = waits_.find({sender, l.partner});
  if (wait != waits_.end() && now > wait->second.told && now < wait->second.until)
    tell(Rule::wait, "sent to partner " + std::to_string(l.partner) + " in a told wait", now);
  for (const Try& t : l.tries) {
    if (t.out && !set_.hedging_allowed)
      tell(Rule::effect_twice, "two attempts out at once: " + id, now);
    if (!t.may_have_run)
      continue;
    if (l.cls->idempotency == Idempotency::non_idempotent)
      tell(Rule::effect_twice, "an unsafe message that may have run was sent again: " + id, now);
    if (l.cls->idempotency == Idempotency::idempotency_key && now > t.sent + l.cls->idempotency_window)
      tell(Rule::effect_twice, "a keyed message was sent again past its memory: " + id, now);
  }
  if (!l.key.empty()) {
    const KeyLine& k = keys_[{sender, l.key}];
    if (!k.open.empty() && k.open.begin()->first < l.order)
      tell(Rule::order, "sent while an earlier one of its key is open: " + id, now);
    if (now < k.quiet_until)
      tell(Rule::order, "sent while its key rests: " + id, now);
  }
  l.tries.push_back({endpoint, now, true, true});
}

void Checker::outcome(const std::string& id, int sender, int attempt, bool may_have_run, bool ran_for_sure,
                      Micros now) {
  const auto at = lives_.find(id);
  if (at == lives_.end() || static_cast<std::size_t>(attempt) >= at->second.tries.size())
    return;
  Life& l = at->second;
  Try& t = l.tries[static_cast<std::size_t>(attempt)];
  t.out = false;
  t.may_have_run = may_have_run;
  if (!l.key.empty() && may_have_run && !ran_for_sure) {
    KeyLine& k = keys_[{sender, l.key}];
    k.quiet_until = std::max(k.quiet_until, now + set_.ordering_backoff);
  }
  if (l.ended)
    forget(id);
}

void Checker::ended(const std::string& id, bool handed_back, bool delivered, Micros now) {
  const auto at = lives_.find(id);
  if (at == lives_.end() || at->second.ended)
    return tell(Rule::lost, "a second end: " + id, now);
  Life& l = at->second;
  l.ended = true;
  if (!delivered && now > l.give_up_at + kAnswerSlack)
    tell(Rule::lost, "ended too late: " + id, now);
  if (handed_back)
    for (const Try& t : l.tries) {
      const bool group = l.cls->idempotency == Idempotency::idempotency_key &&
                         l.cls->idempotency_scope == IdempotencyScope::all;
      if (t.may_have_run && l.cls->idempotency != Idempotency::idempotent && !group)
        tell(Rule::effect_twice, "handed back though it may have run: " + id, now);
    }
  forget(id);
}

// Kept while an attempt is out, for its key's sake and the ends that may come twice.
void Checker::forget(const std::string& id) {
  const auto at = lives_.find(id);
  for (const Try& t : at->second.tries)
    if (t.out)
      return;
  if (!at->second.key.empty())
    keys_[{at->second.sender, at->second.key}].open.erase(at->second.order);
  lives_.erase(at);
}

void Checker::senderDied(int sender, Micros now) {
  std::vector<std::string> over;
  for (auto& [id, l] : lives_) {
    if (l.sender != sender)
      continue;
    for (Try& t : l.tries)
      t.out = false;
    if (l.ended)
      over.push_back(id);
  }
  for (const std::string& id : over)
    forget(id);
  for (auto w = waits_.lower_bound({sender, INT64_MIN}); w != waits_.end() && w->first.first == sender; ++w)
    w->second.told = std::min(w->second.told, now);
}

void Checker::senderBack(int sender, Micros now) {
  for (auto& [id, l] : lives_)
    if (l.sender == sender)
      l.give_up_at = std::max(l.give_up_at, now);
}

void Checker::leaves(int sender, const std::string& endpoint, Micros now) {
  left_.emplace(std::make_pair(sender, endpoint), now);
}
void Checker::listed(int sender, const std::string& endpoint) {
  left_.erase({sender, endpoint});
}

void Checker::toldToWait(int sender, std::int64_t partner, Micros now, Micros until) {
  Wait& w = waits_[{sender, partner}];
  if (now >= w.until)
    w.told = now;
  w.until = std::max(w.until, until);
}

void Checker::ran(const std::string& message, const MessageClass& c, Micros now) {
  if (c.idempotency == Idempotency::idempotent)
    return;
  Ran& r = ran_[message];
  const bool dropped = c.idempotency == Idempotency::idempotency_key && r.times > 0 &&
                       now <= r.at + c.idempotency_window + kOnItsWay;
  if (r.times > 0 && !dropped)
    tell(Rule::effect_twice, "took effect twice: " + message, now);
  if (r.times++ == 0)
    r.at = now;
}

void Checker::pushedOver(std::int64_t partner, double share_that_knew, Micros now) {
  if (share_that_knew >= 2.0 / 3)
    tell(Rule::pushed_over, "partner " + std::to_string(partner) + " fell over as it came back", now);
}

void Checker::finish(Micros now) {
  for (const auto& [id, l] : lives_)
    if (!l.ended)
      tell(Rule::lost, "never ended: " + id, now);
}

}  // namespace grademux::model
