// grademux, decision: retention. Frees the state of what is listed no more once it can change no decision: no
// call, message, told wait or cold period needs it, and nothing was heard of it for long. It decides nothing,
// and so is not among the policy files; tests hold a module with it against one that frees nothing.
#pragma once

#include "admission.h"

namespace grademux::decision {

struct Retention : Admission {
  using Admission::Admission;

  void setState(Server& s, EndpointState state) {
    if (state == EndpointState::gone) {
      if (s.state != state)
        s.gone_at = now;
      old_servers.at(now + kept(), s.id);
    }
    s.state = state;
  }

  void leave(Server& s) {
    Dest& d = *s.dest;
    d.servers.erase(std::find(d.servers.begin(), d.servers.end(), &s));
    if (d.servers.empty())
      old_dests.at(now, d.id);
  }

  // Forgets what is gone once no call, message, told wait or cold period needs it, and nothing was heard of
  // it for long. Guards against state that grows with every id that ever was.
  void forgetGone() {
    const auto needed = [this](const Guard& g, Micros used) {
      return g.wait_until > now || now - std::max({g.cold_since, g.last_end, used}) < kept();
    };
    const auto forget_health = [this](const Guard& g, const std::string& endpoint, std::int64_t destination) {
      if (g.noted != -kNever)
        acts.push_back(DestinationHealth{endpoint, destination, false, -kNever, 0, now});
    };
    std::string id;
    while (old_servers.due(now, id)) {
      const auto it = servers.find(id);
      if (it == servers.end() || it->second.state != EndpointState::gone)
        continue;
      Server& s = it->second;
      if (s.attempts > 0 || needed(s.guard, s.gone_at)) {
        old_servers.at(now + kept(), id);
        continue;
      }
      forget_health(s.guard, id, s.dest->id);
      leave(s);
      servers.erase(it);
    }
    std::int64_t number = 0;
    while (old_dests.due(now, number)) {
      const auto it = dests.find(number);
      if (it == dests.end() || !it->second.servers.empty())
        continue;
      if (it->second.messages > 0 || needed(it->second.guard, it->second.traffic.latest())) {
        old_dests.at(now + kept(), number);
        continue;
      }
      forget_health(it->second.guard, "", number);
      dests.erase(it);
    }
    while (old_keys.due(now, id)) {
      const auto k = keys.find(id);
      if (k == keys.end() || !k->second.line.empty())
        continue;
      if (now >= k->second.quiet_until)
        keys.erase(k);
      else
        old_keys.at(k->second.quiet_until, id);
    }
  }
};

}  // namespace grademux::decision
