// grademux, decision: other settings while it runs. It decides nothing, and so is not among the policy files:
// from the event on all sections read the new settings, and open messages keep the class they came under.
#pragma once

#include <utility>

#include "learned_state.h"

namespace grademux::decision {

struct SettingsUpdate : LearnedState {
  using LearnedState::LearnedState;
  void onSettingsChanged(const SettingsChanged& change);
};

}  // namespace grademux::decision
