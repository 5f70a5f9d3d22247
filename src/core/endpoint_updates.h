// Passes changes of the endpoint list to the decision module in slices. Each slice is also recorded in the
// journal and applied to the transport. Destinations that are no longer listed stay known for a while. Used
// on the loop thread.
#pragma once

#include <functional>

#include "endpoint_list.h"
#include "journal.h"
#include "removed_destinations.h"
#include "transport.h"

namespace grademux {

class EndpointUpdates {
 public:
  // The state in which the decision module sees an endpoint.
  using VisibleState = std::function<EndpointState(const Endpoint&)>;

  // Both must outlive this object.
  EndpointUpdates(Journal& journal, Transport& transport) : journal_(journal), transport_(transport) {}

  // Applies an answer of the membership source; the changes are pending until next() returns them.
  void apply(EndpointListAnswer answer) { list_.apply(std::move(answer)); }
  // Whether changes are pending and no slice is queued for an iteration.
  bool isNextDue() const { return !slice_pending_ && list_.hasPending(); }
  // The next slice of at most `max_changes` changes, for the decision module. `retention`: how long removed
  // destinations stay known, in microseconds.
  EndpointListUpdate next(std::size_t max_changes, EndpointListKind kind, const VisibleState& visible_state,
                          Micros retention);
  // An iteration starts, which passes the queued slice to the decision module.
  void onIteration() { slice_pending_ = false; }

  const EndpointList& list() const { return list_; }
  // Whether the destination is listed, or was listed within `retention`.
  bool isDestinationKnown(std::int64_t destination, Micros retention) const;
  bool isAnyDestinationKnown() const { return list_.size() > 0 || !removed_.empty(); }

 private:
  Journal& journal_;
  Transport& transport_;
  EndpointList list_;
  RemovedDestinations removed_;
  bool slice_pending_ = false;
};

}  // namespace grademux
