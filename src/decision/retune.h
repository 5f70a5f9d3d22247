// grademux, decision: other settings while it runs. It decides nothing, and so is not among the policy files:
// from the event on all sections read the new settings, and open messages keep the class they came under.
#pragma once

#include <utility>

#include "recall.h"

namespace grademux::decision {

struct Retune : Recall {
  using Recall::Recall;

  void onRetuned(const SettingsChanged& e) {
    const Settings old = std::exchange(set, e.settings);  // servers point at its kinds until they are moved
    classes = classesOf(set);
    least_aim = leastAim(set);
    if (set.list_mode != old.list_mode)
      ask_at = set.list_mode == ListMode::poll ? 0 : kNever;
    for (auto& [id, s] : servers) {
      const DestinationKind* had = s.kind;
      s.kind = &plain_kind;
      for (const DestinationKind& k : set.kinds)
        if (had != &plain_kind && k.name == had->name)
          s.kind = &k;
    }
    // Tenants keep what they have had of their share, by name.
    std::vector<int> place(old.tenants.size(), -1);
    std::vector<Rate> rates(set.tenants.size());
    for (std::size_t i = 0; i < set.tenants.size(); ++i)
      for (std::size_t k = 0; k < old.tenants.size(); ++k)
        if (old.tenants[k].name == set.tenants[i].name) {
          place[k] = static_cast<int>(i);
          rates[i] = tenant_rate[k];
        }
    tenant_rate = std::move(rates);
    for (auto& [id, m] : messages)
      if (m.tenant >= 0)
        m.tenant = place[static_cast<std::size_t>(m.tenant)];
  }
};

}  // namespace grademux::decision
