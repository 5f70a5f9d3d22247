// grademux, decision: recall. Gives out what was learned and takes it back in. Like retention.h it decides
// nothing, and so is not among the policy files: how far old knowledge is trusted is decided in
// src/knowledge/ageing.h, what follows from it in the sections.
#pragma once

#include "membership.h"

namespace grademux::decision {

struct Recall : Membership {
  using Membership::Membership;

  void give(const Guard& g, const std::string& endpoint, const Dest& d) {
    LearnedEndpoint l;
    l.endpoint = endpoint;
    l.destination = d.id;
    l.rate_limit = g.limit;
    l.limit_is_reported = g.told;
    l.quota_fraction = g.limit > 0 ? g.part : 0;
    l.typical_latency = g.samples > 0 ? static_cast<Micros>(g.usual) : 0;
    l.samples = g.samples;
    l.unknown_outcome_fraction = g.risk;
    l.last_outcome_at = std::max<Micros>(0, g.last_end);
    if (endpoint.empty()) {
      l.message_rate = perSecond(d.traffic);
      l.last_message_at = d.traffic.latest();
    }
    if (l.last_outcome_at > 0 || l.last_message_at > 0)
      acts.push_back(std::move(l));
  }

  void onSurvey(const ExportLearned& q) {
    LearnedExported end;
    end.after = q.after;
    auto it = dests.upper_bound(q.after);
    for (int left = q.max_destinations; it != dests.end() && left > 0; ++it, --left) {
      end.after = it->first;
      give(it->second.guard, "", it->second);
      for (const Server* s : it->second.servers)
        give(s->guard, s->id, it->second);
    }
    end.complete = it == dests.end();
    end.pool = {
        typical, typical_of, dead_score, dead_score > 0 ? dead_least : 0, std::max<Micros>(0, dead_at), now};
    acts.push_back(end);
  }

  // What this process has learned already counts more.
  void onLesson(const LearnedEndpoint& l) {
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
    if (l.rate_limit > 0 && (l.limit_is_reported || g.limit <= 0)) {
      g.limit = l.rate_limit;
      g.told = l.limit_is_reported;
    }
    if (l.quota_fraction > 0) {
      g.part = std::min(l.quota_fraction, g.told ? 1.0 : 1e3);
      g.part_at = now;
    }
    if (l.samples > 0 && l.typical_latency > 0) {
      g.usual = static_cast<double>(l.typical_latency);
      g.samples = l.samples;
    }
    g.risk = std::clamp(l.unknown_outcome_fraction, 0.0, 1.0);
    if (whole && l.message_rate > 0 && d.traffic.latest() == 0)
      d.traffic.set(now, l.message_rate);
  }

  void onExperience(const LearnedPool& p) {
    if (typical_of == 0 && p.latency_samples > 0) {
      typical = p.mean_latency;
      typical_of = p.latency_samples;
    }
    if (dead_score > 0 || p.stale_connection_score <= 0)
      return;
    dead_score = p.stale_connection_score;
    dead_least = p.stale_after_idle;
    dead_at = p.stale_observed_at;
  }
};

}  // namespace grademux::decision
