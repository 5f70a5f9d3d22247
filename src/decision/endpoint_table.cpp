#include "endpoint_table.h"

namespace grademux::decision {

void EndpointTable::onEndpointListUpdate(const EndpointListUpdate& update) {
  if (update.kind == EndpointListKind::failed) {
    // The registry turned the call away: ask again, ever later, so that many senders don't hammer it.
    poll_failures = std::min(poll_failures + 1, 6);
    const double base = static_cast<double>(std::max<Micros>(1, settings.poll_notified_within)) / 64;
    const double jitter = 0.5 + std::uniform_real_distribution<double>(0, 1)(random);
    if (settings.list_mode == ListMode::poll)
      poll_at = now + static_cast<Micros>(base * std::exp2(poll_failures) * jitter / 2);
    return;
  }
  poll_failures = 0;
  if (update.kind != EndpointListKind::delta)
    for (auto& [id, s] : endpoints)
      setEndpointState(s, EndpointState::gone);
  for (const Endpoint& listed : update.endpoints) {
    EndpointEntry& endpoint = endpoints[listed.id];
    endpoint.id = listed.id;
    endpoint.zone = listed.zone;
    setEndpointState(endpoint, listed.state);
    endpoint.weight = listed.weight;
    endpoint.kind = &default_kind;
    for (const DestinationKind& kind : settings.kinds)
      if (kind.name == listed.kind)
        endpoint.kind = &kind;
    Destination& destination = destinations[listed.destination];
    if (endpoint.destination != &destination) {
      if (endpoint.destination)
        detachFromDestination(endpoint);
      endpoint.destination = &destination;
      endpoint.last_used_at = -kNever + static_cast<Micros>(random() % 1000);
      destination.id = listed.destination;
      destination.endpoints.push_back(&endpoint);
    }
    TargetState& target = limitScope(endpoint);
    if (!target.rate_limit.limit_is_reported && listed.weight > 0 && settings.weight_kind != WeightKind::none)
      target.rate_limit.limit = listed.weight;
    if (target.rate_limit.quota_updated_at == 0)
      target.rate_limit.quota_fraction =
          std::min(1.0, kInitialQuotaShares * quotaShare(target.rate_limit.limit, 1e12));
    target.rate_limit.quota_updated_at = now;
  }
}

void EndpointTable::pollEndpointList() {
  if (poll_at > now) {
    next_timer_at = std::min(next_timer_at, poll_at);
    return;
  }
  actions.push_back(WatchEndpoints{});
  poll_at = kNever;
}

}  // namespace grademux::decision
