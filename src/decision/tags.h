// grademux, decision 1, tags: which destination may use a free slot, and which of its messages loses most by
// waiting. RBFQ of "RePAIR" (dual real-time tags); docs/design.md lists what was kept of it.
#pragma once

#include <tuple>

#include "state.h"

namespace grademux::decision {

constexpr double kIdleCredit = 2;  // sigma: starts that an idle destination may catch up, globally

struct Tags : State {
  using State::State;

  // On arrival all global tags move so that the smallest is now: else new ones starve or rule.
  void adjustGlobalTags() {
    if (!backlog.empty())
      shift += static_cast<double>(now) - (backlog.bySecond().begin()->first + shift);
  }

  double weightOf(const Dest& d) const {
    for (const Server* s : d.servers)
      if (s->state == EndpointState::ready && set.weight_kind != WeightKind::none && s->weight > 0)
        return s->weight;
    return 1;
  }

  void retag(Dest& d) {
    if (d.tags.empty())
      return backlog.drop(d.id);
    backlog.put(d.id, &d, d.tags.front().local, d.tags.front().global + d.raised);
  }

  void hold(Message& m, Micros not_before) {
    Dest& d = *m.dest;
    adjustGlobalTags();
    m.held = true;
    m.not_before = not_before;
    m.held_as = ++next_held;
    d.held.add(&m);
    d.aims.insert(static_cast<double>(m.cls->latency_objective));
    ++held_all;
    d.period = *d.aims.begin();  // M: one start for each aim of the most urgent held class
    const double step = kSecond / weightOf(d), t = static_cast<double>(now);
    // Idle credit, sigma/w at most; none after an outage: with its backlog that would push it over.
    const double credit = d.tags.empty() && d.last_global > -1e17 && !cold(d.guard) ? kIdleCredit * step : 0;
    d.last_local = std::max(d.last_local + d.period, t);
    d.last_global = std::max(d.last_global + step, t - shift - credit);
    d.tags.push_back({d.last_local, d.last_global - d.raised});
    retag(d);
  }

  // Takes a message out of the held ones. A start takes the first tag; one that leaves unserved the last.
  void unhold(Message& m, bool started) {
    Dest& d = *m.dest;
    d.held.remove(&m);
    d.aims.erase(d.aims.find(static_cast<double>(m.cls->latency_objective)));
    --held_all;
    m.held = false;
    if (started) {
      d.tags.pop_front();
    } else {
      d.tags.pop_back();
      d.last_local -= d.period;
      d.last_global -= kSecond / weightOf(d);
    }
    retag(d);
  }

  // A destination that could not send while others did gains no claim by it but one start: with the old tags
  // of a long wait it would take all slots for as long, once it may send again, from those that were served
  // meanwhile.
  void raise(Dest& d, double served) {
    const double credit = cold(d.guard) ? 0 : kSecond / weightOf(d);
    const double by = served - credit - (d.tags.front().global + d.raised);
    if (by <= 0)
      return;
    d.raised += by;
    d.last_global += by;
    retag(d);
  }

  void dropLocalTags(Dest& d) {
    for (Tag& t : d.tags)
      t.local -= d.period;
    d.last_local -= d.period;
    retag(d);
  }

  // The order in which destinations may use a free slot: due local tags first, then global ones; ties by
  // destination. A place: by its global tag?, the tag, the destination.
  using Place = std::tuple<bool, double, std::int64_t>;
  Place placeOf(const Dest& d) const {
    const Tag& t = d.tags.front();
    const bool due = t.local <= static_cast<double>(now);
    return {!due, due ? t.local : t.global + d.raised, d.id};
  }
  // The first from a place on where something may still leave in this turn.
  Dest* nextFrom(const Place& from) const {
    for (const bool global : {false, true}) {
      if (global < std::get<0>(from))
        continue;
      const auto& order = global ? backlog.bySecond() : backlog.byFirst();
      auto it = global == std::get<0>(from) ? order.lower_bound({std::get<1>(from), std::get<2>(from)})
                                            : order.begin();
      for (; it != order.end() && (global || it->first <= static_cast<double>(now)); ++it) {
        Dest* d = backlog.at(it->second);
        if (d->blocked_in != turn && std::get<0>(placeOf(*d)) == global)
          return d;
      }
    }
    return nullptr;
  }

  // What a message of a tenant is worth, as far as this sender can tell: the part inside its share in full.
  double tenantFactor(int t) const {
    if (t < 0)
      return 1;
    const double quota = set.tenants[static_cast<std::size_t>(t)].quota / set.sender_count;
    const double rate = perSecond(tenant_rate[static_cast<std::size_t>(t)]);
    if (quota <= 0 || rate <= quota)
      return 1;
    return quota / rate + (1 - quota / rate) * set.over_quota_weight;
  }

  // Which held message of a destination takes its tag: the one that loses most by waiting for the backlog.
  double worthAt(const Message& m, Micros when) const {
    const MessageClass& c = *m.cls;
    const double age = static_cast<double>(when - m.handed_in), aim = static_cast<double>(m.aim);
    const double deadline = std::max(aim, static_cast<double>(c.deadline));
    double share = 1;
    if (age >= deadline)
      return 0;
    if (age > aim && set.lateness_penalty == LatenessPenalty::linear)
      share = 1 - (1 - c.late_weight_fraction) * (age - aim) / (deadline - aim);
    else if (age > aim)
      share = std::max(c.late_weight_fraction, std::exp2(-(age - aim) / aim));
    return c.priority_weight * share * tenantFactor(m.tenant);
  }
};

}  // namespace grademux::decision
