// grademux, decision 5, admission: what is taken on, resumed, turned away, given up.
#pragma once

#include "attempts.h"

namespace grademux::decision {

constexpr double kQueue = 0.5;         // of the shortest aim may the wait for a slot be ...
constexpr double kWorthKept = 0.9;     // ... for messages that lose more than the rest of their worth by it
constexpr double kHoldReserve = 0.06;  // of MaxOpen is kept free for better messages

struct Admission : Attempts {
  using Attempts::Attempts;

  void onArrival(const MessageArrival& a, ClassVersion c = nullptr) {
    if (messages.count(a.id))
      return;
    for (const ClassVersion& k : classes)
      if (!c && k->name == a.message_class)
        c = k;
    if (!c)
      return acts.push_back(FailMessage{a.id});
    Message& m = messages[a.id];
    m.id = a.id;
    m.cls = c;
    for (std::size_t i = 0; i < set.tenants.size(); ++i)
      if (set.tenants[i].name == a.tenant)
        m.tenant = static_cast<int>(i);
    if (m.tenant >= 0)
      count(tenant_rate[static_cast<std::size_t>(m.tenant)]);
    m.dest = &dests[a.destination];
    m.dest->id = a.destination;
    ++m.dest->messages;
    count(m.dest->traffic);
    m.handed_in = std::min(now, a.deadline - c->deadline);
    const auto stretched =
        static_cast<Micros>(c->latency_objective_stretch * static_cast<double>(a.estimated_work));
    m.aim = std::min(c->deadline, c->latency_objective + stretched);
    m.end_at = a.deadline - 2 * set.min_decide_interval;
    m.order = ++next_order;
    if (c->ordered && !a.ordering_key.empty()) {
      m.key = a.ordering_key;
      keys[m.key].line.push_back(&m);
    }
    ++open;
    ends.insert({m.end_at, m.id});
    hold(m, now);
    if (open > set.max_open_messages) {
      finish(m, true);
      forget(m);
    }
  }

  // What an earlier process of this sender took on. Its attempts count as made; one whose end was not heard
  // may have run, or is out still. Guards against a second effect after a restart.
  void onResumed(const RecoveredMessage& r) {
    onArrival(r.message, r.class_version);
    auto it = messages.find(r.message.id);
    if (it == messages.end())
      return;
    Message& m = it->second;
    for (const PastAttempt& p : r.attempts) {
      auto s = servers.find(p.endpoint);
      if (p.in_flight && s != servers.end()) {
        ++s->second.out;
        noteOut(m, s->second, ++next_call, p.sent_at, -1);
        continue;
      }
      Attempt a;
      a.server = s == servers.end() ? nullptr : &s->second;
      if (a.server)
        ++a.server->attempts;
      a.sent = p.sent_at;
      a.out = false;
      a.may_have_run = p.may_have_run;
      m.attempts.push_back(a);
    }
    if (m.out > 0)
      return unhold(m, false);
    if (anySendLeft(m))
      return;
    finish(m, now < m.end_at);
    forget(m);
  }

  // Near MaxOpen the least worth is refused, so that better messages are not turned away at the door. Worth
  // is what is left when the destination's backlog has drained: the queues of dead destinations go first.
  // With all slots busy so are those that would come late, down to a short queue. Only for one of many: of
  // few senders all are busy in an outage only. Harm: refused in a short burst.
  void shed() {
    const int most = std::max(
        1, set.max_open_messages - std::max(1, static_cast<int>(kHoldReserve * set.max_open_messages)));
    const bool busy = many() && static_cast<int>(calls.size()) >= set.max_in_flight;
    const double each = busy ? typical * common_slow / set.max_in_flight : 0;
    double wait = each * static_cast<double>(held_all - blocked);  // of those that lack nothing but a slot
    if (open <= most && wait <= kQueue * least_aim)
      return;
    std::vector<std::tuple<double, std::uint64_t, Message*>> least;
    for (auto& [id, b] : backlog) {
      const Micros then = now + std::max(drainTime(*b.item), static_cast<Micros>(wait));
      for (Message* m : b.item->held)
        if (mayRefuse(*m))
          least.push_back({worthAt(*m, then) + 1e-3 * worthAt(*m, now), m->order, m});
    }
    std::sort(least.begin(), least.end());
    for (auto& [worth, order, m] : least) {
      const bool late = wait > kQueue * least_aim && m->dest->blocked_in != turn &&
                        worth < kWorthKept * worthAt(*m, m->handed_in);
      if (open <= most && !late)
        continue;
      wait -= late ? each : 0;
      finish(*m, true);
      forget(*m);
    }
  }

  // Everything is answered before its time is up, whatever is full, silent or not listed.
  void endLate() {
    while (!ends.empty() && ends.begin()->first <= now) {
      Message& m = messages.at(ends.begin()->second);
      finish(m, false);
      forget(m);
    }
  }
};

}  // namespace grademux::decision
