// grademux: what this process may do now, where something beside it can end that: the plan of a fleet. Nobody
// stands behind this on a platform; there a process may always act.
#pragma once

#include <cstdint>
#include <string>

#include "message.h"

namespace grademux {

class ActionGuard {
 public:
  virtual ~ActionGuard() = default;
  // Whether messages may be taken on and calls begun at this moment. Asked on the loop thread: in each turn
  // before what comes in is written, and again right before the first byte of each call. Once it says no, the
  // host refuses what is new and starts nothing; what it has taken on keeps its one end.
  virtual bool isActionAllowed() = 0;
  // The version that this process acts by, as a text; the same text as long as nothing of it has changed.
  virtual const std::string& version() = 0;
  // An entry of the list, new, changed or gone: the state in which the module is to see it.
  virtual EndpointState visibleState(const Endpoint& e) { return e.state; }
  // A call is about to begin; false: not there, not now. `repeatable`: it may run twice.
  virtual bool admitAttempt(const AttemptId&, const Endpoint&, bool /*repeatable*/) {
    return isActionAllowed();
  }
  // The same right before its first byte.
  virtual bool isSendAllowed(const std::string& /*endpoint*/) { return isActionAllowed(); }
  virtual void onAttemptFinished(const AttemptOutcome&) {}  // of any call
  // What a call carries of it; empty: nothing. `number`: of the version, in this sender's journal.
  virtual std::string versionStamp(std::int64_t number) = 0;
};

}  // namespace grademux
