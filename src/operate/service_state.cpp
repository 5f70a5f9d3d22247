// The state of the process; see service_state.h.
#include "service_state.h"

#include <utility>

namespace grademux::operate {

const char* toString(Phase phase) {
  constexpr const char* kNames[] = {"starting", "serving", "standby", "shut out", "stopping"};
  return kNames[static_cast<int>(phase)];
}

Phase ServiceState::phase() const {
  if (stopping_)
    return Phase::stopping;
  if (!ready_)
    return Phase::starting;
  if (fenced_)
    return Phase::fenced;
  return standby_ ? Phase::standby : Phase::serving;
}

void ServiceState::fence(std::string reason) {
  fenced_ = true;
  fence_reason_ = std::move(reason);
}

void ServiceState::stop(std::string reason) {
  if (stopping_)
    return;
  stopping_ = true;
  stop_reason_ = std::move(reason);
}

CommandResult ServiceState::handleCommand(AdminCommand command, bool has_endpoints) {
  if (command == AdminCommand::status)
    return status(has_endpoints);
  if (stopping_)
    return {false, "stopping: " + stop_reason_};
  standby_ = command == AdminCommand::standby;
  if (!ready_)
    return {true, standby_ ? "standby, once it has started" : "active, once it has started"};
  return {true, standby_ ? "standby: clients are sent away" : "active"};
}

// Whether this process can serve, which it can in standby as well.
CommandResult ServiceState::status(bool has_endpoints) const {
  switch (phase()) {
    case Phase::stopping:
      return {false, "stopping: " + stop_reason_};
    case Phase::starting:
      return {false, "starting"};
    case Phase::fenced:
      return {false, "shut out: " + fence_reason_};
    case Phase::standby:
    case Phase::serving:
      break;
  }
  if (!has_endpoints)
    return {false, "no list of endpoints yet"};
  return {true, standby_ ? "standby" : "serving"};
}

}  // namespace grademux::operate
