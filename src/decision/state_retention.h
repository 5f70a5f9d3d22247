// grademux, decision: retention. Frees the state of what is listed no more once it can change no decision: no
// call, message, told wait or cold period needs it, and nothing was heard of it for long. It decides nothing,
// and so is not among the policy files; tests hold a module with it against one that frees nothing.
#pragma once

#include "admission_control.h"

namespace grademux::decision {

struct StateRetention : AdmissionControl {
  using AdmissionControl::AdmissionControl;
  void setEndpointState(EndpointEntry& endpoint, EndpointState state);

  void detachFromDestination(EndpointEntry& endpoint);

  // Forgets what is gone once no call, message, told wait or cold period needs it, and nothing was heard of
  // it for long. Guards against state that grows with every id that ever was.
  void eraseUnused();
};

}  // namespace grademux::decision
