// grademux, decision 6, membership: the list of endpoints.
#pragma once

#include "state_retention.h"

namespace grademux::decision {

struct EndpointTable : StateRetention {
  using StateRetention::StateRetention;
  void onEndpointListUpdate(const EndpointListUpdate& update);

  void pollEndpointList();
};

}  // namespace grademux::decision
