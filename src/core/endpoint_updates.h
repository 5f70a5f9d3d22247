// The endpoint list on its way to the decision module: each slice of changes is recorded in the journal and
// announced to the transport, and destinations that are no longer listed stay known for a while. On the loop
// thread.
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

  // Takes an answer of the membership source; its changes wait for next().
  void apply(EndpointListAnswer answer) { list_.apply(std::move(answer)); }
  // Whether changes wait, and no slice waits for its iteration already.
  bool isNextDue() const { return !slice_pending_ && list_.hasPending(); }
  // The next slice of at most `max_changes`, for the decision module. `retention`: how long removed
  // destinations stay known.
  EndpointListUpdate next(std::size_t max_changes, EndpointListKind kind, const VisibleState& visible_state,
                          Micros retention);
  // The decision module gets the slice in this iteration.
  void onIteration() { slice_pending_ = false; }

  const EndpointList& list() const { return list_; }
  // Whether the destination is listed, or was listed within `retention`.
  bool knowsDestination(std::int64_t destination, Micros retention) const;
  bool knowsAnyDestination() const { return list_.size() > 0 || !removed_.empty(); }

 private:
  Journal& journal_;
  Transport& transport_;
  EndpointList list_;
  RemovedDestinations removed_;
  bool slice_pending_ = false;
};

}  // namespace grademux
