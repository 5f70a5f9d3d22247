// The state of the process as clients and operators see it: starting, serving, standby, fenced or stopping.
// Listeners, the admin server and the service read this state; none of them keeps a copy. No I/O and no
// clock; used on the loop thread alone. docs/operate/admin-server.md has the table of answers in each phase.
#pragma once

#include <string>

#include "admin_command.h"

namespace grademux::operate {

enum class Phase {
  starting,  // the journal is being read, or an earlier process still owns the journal
  serving,
  standby,  // by the operators: clients are sent away, and those that connect are still served
  fenced,   // by the fleet's plan: clients are sent away, and new messages are rejected
  stopping  // final: after SIGTERM, or since another process has taken over
};

/// The name of a phase in logs.
const char* toString(Phase phase);

class ServiceState {
 public:
  Phase phase() const;
  /// True when clients should use another sender: PING is answered with an error, and connections are closed
  /// between requests.
  bool isDraining() const { return phase() > Phase::serving; }
  bool isStopping() const { return stopping_; }
  /// True from the operators' `standby` to their `active`, in any phase.
  bool isStandby() const { return standby_; }

  /// The journal is owned and read, and the listeners accept.
  void setReady() { ready_ = true; }
  /// The fleet's plan forbids this process to act, until unfence().
  void fence(std::string reason);
  void unfence() { fenced_ = false; }
  /// The process ends; the phase stays `stopping`. Later calls change nothing.
  void stop(std::string reason);
  /// The process that handed over was in standby.
  void inheritStandby() { standby_ = true; }

  /// Applies a command. `has_endpoints`: a list of endpoints is known. The caller compares phase() before and
  /// after, and acts on the difference.
  CommandResult handleCommand(AdminCommand command, bool has_endpoints);

 private:
  CommandResult status(bool has_endpoints) const;

  bool ready_ = false, standby_ = false, fenced_ = false, stopping_ = false;
  std::string stop_reason_, fence_reason_;
};

}  // namespace grademux::operate
