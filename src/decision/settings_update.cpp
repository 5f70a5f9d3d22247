#include "settings_update.h"

#include <utility>

namespace grademux::decision {

void SettingsUpdate::onSettingsChanged(const SettingsChanged& change) {
  // The endpoints point at the kinds of the old settings until the endpoint table has moved them.
  const Settings old_settings = std::exchange(context_.settings, change.settings);
  context_.class_versions = classVersionsOf(context_.settings);
  context_.shortest_objective = shortestLatencyObjective(context_.settings);
  endpoint_table_.onSettingsChanged(old_settings.list_mode);
  messages_.moveTenants(fair_queue_.moveTenants(old_settings.tenants));
}

}  // namespace grademux::decision
