#include "state_retention.h"

namespace grademux::decision {

void StateRetention::setEndpointState(EndpointEntry& endpoint, EndpointState state) {
  if (state == EndpointState::gone) {
    if (endpoint.state != state)
      endpoint.removed_at = now;
    removed_endpoints.schedule(now + retentionTime(), endpoint.id);
  }
  endpoint.state = state;
}

void StateRetention::detachFromDestination(EndpointEntry& endpoint) {
  Destination& destination = *endpoint.destination;
  destination.endpoints.erase(
      std::find(destination.endpoints.begin(), destination.endpoints.end(), &endpoint));
  if (destination.endpoints.empty())
    unlisted_destinations.schedule(now, destination.id);
}

void StateRetention::eraseUnused() {
  const auto needed = [this](const TargetState& target, Micros used) {
    return target.rate_limit.retry_after_until > now ||
           now - std::max({target.outlier.warming_since, target.outlier.last_outcome_at, used}) <
               retentionTime();
  };
  const auto forget_health = [this](const TargetState& target, const std::string& endpoint,
                                    std::int64_t destination) {
    if (target.exported_warming_since != -kNever)
      actions.push_back(DestinationHealth{endpoint, destination, false, -kNever, 0, now});
  };
  std::string id;
  while (removed_endpoints.takeDue(now, id)) {
    const auto it = endpoints.find(id);
    if (it == endpoints.end() || it->second.state != EndpointState::gone)
      continue;
    EndpointEntry& endpoint = it->second;
    if (endpoint.open_attempts > 0 || needed(endpoint.target, endpoint.removed_at)) {
      removed_endpoints.schedule(now + retentionTime(), id);
      continue;
    }
    forget_health(endpoint.target, id, endpoint.destination->id);
    detachFromDestination(endpoint);
    endpoints.erase(it);
  }
  std::int64_t number = 0;
  while (unlisted_destinations.takeDue(now, number)) {
    const auto it = destinations.find(number);
    if (it == destinations.end() || !it->second.endpoints.empty())
      continue;
    if (it->second.open_messages > 0 || needed(it->second.target, it->second.message_rate.latest())) {
      unlisted_destinations.schedule(now + retentionTime(), number);
      continue;
    }
    forget_health(it->second.target, "", number);
    destinations.erase(it);
  }
  while (idle_ordering_keys.takeDue(now, id)) {
    const auto queue = ordering_queues.find(id);
    if (queue == ordering_queues.end() || !queue->second.messages.empty())
      continue;
    if (now >= queue->second.blocked_until)
      ordering_queues.erase(queue);
    else
      idle_ordering_keys.schedule(queue->second.blocked_until, id);
  }
}

}  // namespace grademux::decision
