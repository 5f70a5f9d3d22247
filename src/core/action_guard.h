// The permission to accept messages and to start attempts, where something outside the process can revoke it:
// the plan of a fleet. A sender that belongs to no fleet has no guard and may always act.
#pragma once

#include <cstdint>
#include <string>

#include "message.h"

namespace grademux {

class ActionGuard {
 public:
  virtual ~ActionGuard() = default;
  // Whether messages may be accepted and attempts started at this moment. Called on the loop thread: in each
  // iteration before new arrivals are written to the journal, and again right before the first byte of each
  // call. While the result is false, the engine rejects new submissions and starts no attempt; messages that
  // it has accepted still get exactly one final outcome.
  virtual bool isActionAllowed() = 0;
  // The decision version under which this process acts, as text. The text stays the same as long as no part
  // of the version changes.
  virtual const std::string& version() = 0;
  // The state in which the decision module sees an endpoint that was added, changed or removed.
  virtual EndpointState visibleState(const Endpoint& endpoint) { return endpoint.state; }
  // Called before an attempt is started. False: the attempt must not be sent to this endpoint now.
  // `repeatable`: the message may execute twice.
  virtual bool admitAttempt(const AttemptId&, const Endpoint&, bool /*repeatable*/) {
    return isActionAllowed();
  }
  // The same check, right before the first byte of the attempt is written.
  virtual bool isSendAllowed(const std::string& /*endpoint*/) { return isActionAllowed(); }
  // Called for every attempt that ends.
  virtual void onAttemptFinished(const AttemptOutcome&) {}
  // The stamp of the decision version that an attempt carries to its endpoint; empty: none. `number` is the
  // version's number in the journal of this sender.
  virtual std::string versionStamp(std::int64_t number) = 0;
};

}  // namespace grademux
