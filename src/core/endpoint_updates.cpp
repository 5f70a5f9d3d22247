#include "endpoint_updates.h"

#include <utility>

#include "../log/log.h"
#include "clock.h"

namespace grademux {

EndpointListUpdate EndpointUpdates::next(std::size_t max_changes, EndpointListKind kind,
                                         const VisibleState& visible_state, Micros retention) {
  slice_pending_ = true;
  EndpointList::Slice slice = list_.next(max_changes);
  EndpointListUpdate update;
  update.kind = slice.is_first && kind == EndpointListKind::delta ? EndpointListKind::snapshot : kind;
  EndpointChanges recorded;
  for (EndpointChange& change : slice.changes) {
    Endpoint& endpoint = change.entry.endpoint;
    transport_.cancelUnwritten(endpoint.id);
    if (endpoint.state == EndpointState::gone)
      transport_.removeEndpoint(endpoint.id);
    else
      transport_.setAddress(endpoint.id, change.entry.address, change.entry.started_at);
    recorded.emplace_back(endpoint.id, std::move(change.text));
    update.endpoints.push_back(std::move(endpoint));
    update.endpoints.back().state = visible_state(update.endpoints.back());
  }
  // Attempts are started in iterations alone, so none starts before the decision module has got this update.
  if (!journal_.recordEndpointList(recorded, slice.index, slice.is_first))
    log::write(log::Event::journal_list_too_large, {{"endpoints", list_.size()}});
  const Micros now = monotonicNow();
  removed_.add(slice.removed_destinations, now);
  removed_.expire(now, retention);
  return update;
}

bool EndpointUpdates::isDestinationKnown(std::int64_t destination, Micros retention) const {
  return list_.containsDestination(destination) || removed_.contains(destination, monotonicNow(), retention);
}

}  // namespace grademux
