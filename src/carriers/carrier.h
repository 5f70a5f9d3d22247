// grademux: the seam of everything that performs calls to endpoints. A carrier makes one attempt when it is
// told to and reports one Outcome for it; when, where and whether again is decided elsewhere. All functions
// are called on the loop thread.
#pragma once

#include <functional>
#include <string>

#include "../core/message.h"

namespace grademux {

class Carrier {
 public:
  using OnOutcome = std::function<void(Outcome)>;  // once for each call(), never from within it

  virtual ~Carrier() = default;
  // An endpoint is listed, new or at another address: the next call goes there.
  virtual void address(const std::string& endpoint, const std::string& address) = 0;
  // It is listed no more. Calls that are out run on to their outcome.
  virtual void forget(const std::string& endpoint) = 0;
  // One attempt, at most `timeout` long. An endpoint that is unknown or has no usable address ends in
  // connect_failed. What may have reached the endpoint must not be reported as something that never ran.
  // `stamp`: the version that it was decided under, for the endpoint to see; empty: none.
  virtual void call(const TakenOn& m, int attempt, const std::string& endpoint, Micros timeout,
                    const std::string& stamp) = 0;
  // Ends an attempt that is out; its outcome is `cancelled`. Does nothing for one that is over.
  virtual void cancel(const std::string& id, int attempt) = 0;
  // Connections without a call are closed.
  virtual void closeIdle(const std::string& endpoint) = 0;
  // Attempts without an outcome.
  virtual std::size_t out() const = 0;
};

}  // namespace grademux
