// grademux: calls that an earlier process of this sender has out still, beside those of the transport: each
// ends by what that process reports, or by its end, which says nothing of whether the call ran.
#pragma once

#include <functional>
#include <set>

#include "../core/transport.h"
#include "messages.h"

namespace grademux::handover {

class InheritedCalls : public Transport {
 public:
  using Say = std::function<void(const Message&)>;  // to the earlier process
  InheritedCalls(Transport& transport, OnOutcome on_outcome, Say say)
      : transport_(transport), on_outcome_(std::move(on_outcome)), say_(std::move(say)) {}

  void inherit(const std::vector<CallId>& calls) { out_.insert(calls.begin(), calls.end()); }
  const std::set<CallId>& inherited() const { return out_; }

  // One is over. What is not among them is no business of this process any more.
  void ended(const Outcome& o) {
    if (out_.erase({o.id, o.attempt}) > 0)
      on_outcome_(o);
  }
  // The earlier process is gone: what it had out may have run.
  void gone() {
    const std::set<CallId> lost = std::move(out_);
    out_.clear();
    for (const CallId& c : lost) {
      Outcome o;
      o.id = c.first;
      o.attempt = c.second;
      o.result = Result::cancelled;
      o.rtt = 1;
      on_outcome_(std::move(o));
    }
  }

  void address(const std::string& endpoint, const std::string& address) override {
    transport_.address(endpoint, address);
  }
  void forget(const std::string& endpoint) override { transport_.forget(endpoint); }
  // Not those of the earlier process: it alone knows which of them are written.
  void withhold(const std::string& endpoint) override { transport_.withhold(endpoint); }
  void call(const CallRequest& request) override { transport_.call(request); }
  void cancel(const std::string& id, int attempt) override {
    if (out_.count({id, attempt}))
      say_(CancelCall{{id, attempt}});
    else
      transport_.cancel(id, attempt);
  }
  void closeIdle(const std::string& endpoint) override { transport_.closeIdle(endpoint); }
  std::size_t out() const override { return transport_.out() + out_.size(); }

 private:
  Transport& transport_;
  OnOutcome on_outcome_;
  Say say_;
  std::set<CallId> out_;
};

}  // namespace grademux::handover
