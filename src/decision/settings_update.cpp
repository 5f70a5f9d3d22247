#include "settings_update.h"

namespace grademux::decision {

void SettingsUpdate::onSettingsChanged(const SettingsChanged& change) {
  const Settings old =
      std::exchange(settings, change.settings);  // servers point at its kinds until they are moved
  class_versions = makeClassVersions(settings);
  shortest_objective = shortestLatencyObjective(settings);
  if (settings.list_mode != old.list_mode)
    poll_at = settings.list_mode == ListMode::poll ? 0 : kNever;
  for (auto& [id, s] : endpoints) {
    const DestinationKind* had = s.kind;
    s.kind = &default_kind;
    for (const DestinationKind& kind : settings.kinds)
      if (had != &default_kind && kind.name == had->name)
        s.kind = &kind;
  }
  // Tenants keep what they have had of their share, by name.
  std::vector<int> place(old.tenants.size(), -1);
  std::vector<Rate> rates(settings.tenants.size());
  for (std::size_t index = 0; index < settings.tenants.size(); ++index)
    for (std::size_t old_index = 0; old_index < old.tenants.size(); ++old_index)
      if (old.tenants[old_index].name == settings.tenants[index].name) {
        place[old_index] = static_cast<int>(index);
        rates[index] = tenant_rates[old_index];
      }
  tenant_rates = std::move(rates);
  for (auto& [id, m] : messages)
    if (m.tenant >= 0)
      m.tenant = place[static_cast<std::size_t>(m.tenant)];
}

}  // namespace grademux::decision
