// grademux: calls that an earlier process of this sender has out still, beside those of the transport: each
// ends by what that process reports, or by its end, which says nothing of whether the call ran.
#pragma once

#include <functional>
#include <set>

#include "../core/transport.h"
#include "messages.h"

namespace grademux::handover {

class InheritedAttempts : public Transport {
 public:
  using Say = std::function<void(const Message&)>;  // to the earlier process
  InheritedAttempts(Transport& transport, OnOutcome on_outcome, Say say)
      : transport_(transport), on_outcome_(std::move(on_outcome)), say_(std::move(say)) {}

  void inherit(const std::vector<AttemptId>& calls) { out_.insert(calls.begin(), calls.end()); }
  const std::set<AttemptId>& inherited() const { return out_; }

  // One is over. What is not among them is no business of this process any more.
  void ended(const AttemptOutcome& o) {
    if (out_.erase({o.id, o.attempt}) > 0)
      on_outcome_(o);
  }
  // The earlier process is gone: what it had out may have run.
  void gone() {
    const std::set<AttemptId> lost = std::move(out_);
    out_.clear();
    for (const AttemptId& c : lost) {
      AttemptOutcome o;
      o.id = c.message_id;
      o.attempt = c.attempt;
      o.result = AttemptResult::cancelled;
      o.round_trip = 1;
      on_outcome_(std::move(o));
    }
  }

  void setAddress(const std::string& endpoint, const std::string& address) override {
    transport_.setAddress(endpoint, address);
  }
  void removeEndpoint(const std::string& endpoint) override { transport_.removeEndpoint(endpoint); }
  // Not those of the earlier process: it alone knows which of them are written.
  void cancelUnwritten(const std::string& endpoint) override { transport_.cancelUnwritten(endpoint); }
  void startAttempt(const AttemptRequest& request) override { transport_.startAttempt(request); }
  void cancelAttempt(const std::string& id, int attempt) override {
    if (out_.count({id, attempt}))
      say_(CancelInherited{{id, attempt}});
    else
      transport_.cancelAttempt(id, attempt);
  }
  void closeIdleConnections(const std::string& endpoint) override {
    transport_.closeIdleConnections(endpoint);
  }
  std::size_t attemptsInFlight() const override { return transport_.attemptsInFlight() + out_.size(); }

 private:
  Transport& transport_;
  OnOutcome on_outcome_;
  Say say_;
  std::set<AttemptId> out_;
};

}  // namespace grademux::handover
