// The interface of the component that performs calls to endpoints. A transport makes one attempt for each
// request and reports one AttemptOutcome for it. The decision module decides when, to which endpoint and
// whether to retry. All functions are called on the loop thread.
#pragma once

#include <functional>
#include <limits>
#include <string>

#include "message.h"

namespace grademux {

constexpr Micros kNoWriteLimit = std::numeric_limits<Micros>::max();

// A request for one attempt. Time spans are in microseconds and start at startAttempt().
struct AttemptRequest {
  const AcceptedMessage& message;  // valid only during startAttempt()
  int attempt = 0;
  std::string endpoint;
  Micros timeout = 0;  // the attempt ends within this span
  // The last byte must be written within this span, otherwise the attempt ends as not_sent: a retry that is
  // written later might execute the message a second time.
  Micros write_within = kNoWriteLimit;
  // The decision version of the attempt, for the endpoint; empty: none.
  std::string version_stamp = {};
  // An earlier attempt may have run: the endpoint may answer without executing the message again.
  bool may_have_run = false;
};

class Transport {
 public:
  // Called once for each startAttempt(), never from within it.
  using OnOutcome = std::function<void(AttemptOutcome)>;

  virtual ~Transport() = default;
  // Sets the address of a listed endpoint; later attempts go to this address. `started_at`: when the
  // endpoint's process started, Unix time, 0 for long ago; with another one the address leads to another
  // process, to which no earlier connection belongs.
  virtual void setAddress(const std::string& endpoint, const std::string& address, Micros started_at) = 0;
  // The endpoint is no longer listed. Attempts that are already written continue to their outcome.
  virtual void removeEndpoint(const std::string& endpoint) = 0;
  // The list entry of the endpoint has changed. Attempts whose last byte is not written yet were decided on
  // the old entry: they are dropped and end as not_sent.
  virtual void cancelUnwritten(const std::string& endpoint) = 0;
  // An attempt to an endpoint that is unknown or has no usable address ends as connect_failed. An attempt
  // that may have reached the endpoint must not get an outcome that means that the message never executed.
  virtual void startAttempt(const AttemptRequest& request) = 0;
  // Cancels an attempt in flight; its outcome is `cancelled`, unless its response has already arrived. Has no
  // effect on an attempt that has ended, or that has a response which may be a late copy of an earlier one:
  // it goes on to its end.
  virtual void cancelAttempt(const std::string& id, int attempt) = 0;
  // Closes the endpoint's connections that carry no attempt.
  virtual void closeIdleConnections(const std::string& endpoint) = 0;
  // The number of attempts without an outcome.
  virtual std::size_t attemptsInFlight() const = 0;
};

}  // namespace grademux
