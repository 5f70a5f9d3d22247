// grademux, decision: recall. Gives out what was learned and takes it back in. Like retention.h it decides
// nothing, and so is not among the policy files: how far old knowledge is trusted is decided in
// src/knowledge/ageing.h, what follows from it in the sections.
#pragma once

#include "membership.h"

namespace grademux::decision {

struct Recall : Membership {
  using Membership::Membership;

  void give(const Guard& g, const std::string& endpoint, const Dest& d) {
    Lesson l;
    l.endpoint = endpoint;
    l.destination = d.id;
    l.limit = g.limit;
    l.told = g.told;
    l.part = g.limit > 0 ? g.part : 0;
    l.usual = g.samples > 0 ? static_cast<Micros>(g.usual) : 0;
    l.samples = g.samples;
    l.risk = g.risk;
    l.heard = std::max<Micros>(0, g.last_end);
    if (endpoint.empty()) {
      l.traffic = perSecond(d.traffic);
      l.came = d.traffic.latest();
    }
    if (l.heard > 0 || l.came > 0)
      acts.push_back(std::move(l));
  }

  void onSurvey(const Survey& q) {
    Surveyed end;
    end.after = q.after;
    auto it = dests.upper_bound(q.after);
    for (int left = q.most; it != dests.end() && left > 0; ++it, --left) {
      end.after = it->first;
      give(it->second.guard, "", it->second);
      for (const Server* s : it->second.servers)
        give(s->guard, s->id, it->second);
    }
    end.all = it == dests.end();
    end.pool = {
        typical, typical_of, dead_score, dead_score > 0 ? dead_least : 0, std::max<Micros>(0, dead_at), now};
    acts.push_back(end);
  }

  // What this process has learned already counts more.
  void onLesson(const Lesson& l) {
    const auto s = servers.find(l.endpoint);
    const bool whole = l.endpoint.empty();
    if (!whole && (s == servers.end() || s->second.dest->id != l.destination))
      return;
    Dest& d = dests[l.destination];
    d.id = l.destination;
    if (d.servers.empty())
      old_dests.at(now + kept(), d.id);
    Guard& g = whole ? d.guard : s->second.guard;
    if (g.last_end != -kNever)
      return;
    if (l.limit > 0 && (l.told || g.limit <= 0)) {
      g.limit = l.limit;
      g.told = l.told;
    }
    if (l.part > 0) {
      g.part = std::min(l.part, g.told ? 1.0 : 1e3);
      g.part_at = now;
    }
    if (l.samples > 0 && l.usual > 0) {
      g.usual = static_cast<double>(l.usual);
      g.samples = l.samples;
    }
    g.risk = std::clamp(l.risk, 0.0, 1.0);
    if (whole && l.traffic > 0 && d.traffic.latest() == 0)
      d.traffic.set(now, l.traffic);
  }

  void onExperience(const Experience& p) {
    if (typical_of == 0 && p.typical_of > 0) {
      typical = p.typical;
      typical_of = p.typical_of;
    }
    if (dead_score > 0 || p.dead_score <= 0)
      return;
    dead_score = p.dead_score;
    dead_least = p.dead_least;
    dead_at = p.dead_at;
  }
};

}  // namespace grademux::decision
