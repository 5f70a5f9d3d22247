// grademux: the seam of everything that performs calls to endpoints. A transport makes one attempt when it is
// told to and reports one Outcome for it; when, where and whether again is decided elsewhere. All functions
// are called on the loop thread.
#pragma once

#include <functional>
#include <limits>
#include <string>

#include "message.h"

namespace grademux {

constexpr Micros kNoWriteLimit = std::numeric_limits<Micros>::max();

// One attempt, as a transport is told to make it. Spans are in microseconds, from call() on.
struct AttemptRequest {
  const AcceptedMessage& message;  // read within call() alone
  int attempt = 0;
  std::string endpoint;
  Micros timeout = 0;  // the attempt is over by then
  // The last byte is written within this span, or the attempt ends as not_sent: later a repeat might have an
  // effect of its own.
  Micros write_within = kNoWriteLimit;
  std::string version_stamp =
      {};  // the version that it was decided under, for the endpoint to see; empty: none
};

class Transport {
 public:
  using OnOutcome = std::function<void(AttemptOutcome)>;  // once for each call(), never from within it

  virtual ~Transport() = default;
  // An endpoint is listed, new or at another address: the next call goes there.
  virtual void setAddress(const std::string& endpoint, const std::string& address) = 0;
  // It is listed no more. Calls that have been written run on to their outcome.
  virtual void removeEndpoint(const std::string& endpoint) = 0;
  // What the list says of the endpoint has changed: calls whose last byte is not written yet were decided by
  // what it said before. They are not made any more and end as not_sent.
  virtual void cancelUnwritten(const std::string& endpoint) = 0;
  // An endpoint that is unknown or has no usable address ends in connect_failed. What may have reached the
  // endpoint must not be reported as something that never ran.
  virtual void startAttempt(const AttemptRequest& request) = 0;
  // Ends an attempt that is out; its outcome is `cancelled`, unless its answer has come by now. Does nothing
  // for one that is over.
  virtual void cancelAttempt(const std::string& id, int attempt) = 0;
  // Connections without a call are closed.
  virtual void closeIdleConnections(const std::string& endpoint) = 0;
  // Attempts without an outcome.
  virtual std::size_t attemptsInFlight() const = 0;
};

}  // namespace grademux
