// grademux, decision 6, membership: the list of endpoints.
#pragma once

#include "retention.h"

namespace grademux::decision {

struct Membership : Retention {
  using Retention::Retention;

  void onList(const EndpointListUpdate& u) {
    if (u.kind == EndpointListKind::failed) {
      // The registry turned the call away: ask again, ever later, so that many senders don't hammer it.
      ask_failures = std::min(ask_failures + 1, 6);
      const double base = static_cast<double>(std::max<Micros>(1, set.poll_notified_within)) / 64;
      const double jitter = 0.5 + std::uniform_real_distribution<double>(0, 1)(random);
      if (set.list_mode == ListMode::poll)
        ask_at = now + static_cast<Micros>(base * std::exp2(ask_failures) * jitter / 2);
      return;
    }
    ask_failures = 0;
    if (u.kind != EndpointListKind::delta)
      for (auto& [id, s] : servers)
        setState(s, EndpointState::gone);
    for (const Endpoint& e : u.endpoints) {
      Server& s = servers[e.id];
      s.id = e.id;
      s.zone = e.zone;
      setState(s, e.state);
      s.weight = e.weight;
      s.kind = &plain_kind;
      for (const DestinationKind& k : set.kinds)
        if (k.name == e.kind)
          s.kind = &k;
      Dest& d = dests[e.destination];
      if (s.dest != &d) {
        if (s.dest)
          leave(s);
        s.dest = &d;
        s.used = -kNever + static_cast<Micros>(random() % 1000);
        d.id = e.destination;
        d.servers.push_back(&s);
      }
      Guard& g = scope(s);
      if (!g.told && e.weight > 0 && set.weight_kind != WeightKind::none)
        g.limit = e.weight;
      if (g.part_at == 0)
        g.part = std::min(1.0, kShareStart * portion(g.limit, 1e12));
      g.part_at = now;
    }
  }

  void askForList() {
    if (ask_at > now) {
      next_wake = std::min(next_wake, ask_at);
      return;
    }
    acts.push_back(WatchEndpoints{});
    ask_at = kNever;
  }
};

}  // namespace grademux::decision
