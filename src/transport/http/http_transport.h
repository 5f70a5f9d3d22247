// grademux: calls to endpoints over HTTP/1.1: the connection pool, and the outcome of each call. No policy:
// when a call is made, how long it may take and which connections are kept is told from outside.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "../../core/transport.h"
#include "../../net/http_connection.h"

namespace grademux {

class HttpTransport : public Transport {
 public:
  struct Limits {
    Micros dial_timeout = 0, conn_idle = 0;
    std::size_t max_idle = 1;
  };
  HttpTransport(boost::asio::io_context& io, Limits limits, OnOutcome on_outcome);

  void setAddress(const std::string& endpoint, const std::string& address) override;
  void removeEndpoint(const std::string& endpoint) override;
  void cancelUnwritten(const std::string& endpoint) override;
  void startAttempt(const AttemptRequest& request) override;
  void cancelAttempt(const std::string& id, int attempt) override;
  void closeIdleConnections(const std::string& endpoint) override;
  std::size_t attemptsInFlight() const override { return calls_.size() + reporting_.size(); }
  std::vector<AttemptId> outCalls() const;  // those that have not been reported
  void closeAllIdle();
  std::size_t idle() const { return idle_count_; }
  // Asked before the first byte of each call to an endpoint; false: the call is not made.
  using Guard = std::function<bool(const std::string& endpoint)>;
  void setGuard(Guard may) { may_ = std::move(may); }
  // Which waits bind an endpoint: all endpoints of one scope wait when one of them tells to. With it, a call
  // whose last byte is not written when its scope is told to wait is not made: it ends as not sent, and may
  // be decided anew.
  using ScopeOf = std::function<std::string(const std::string& endpoint)>;
  void setScopes(ScopeOf scope_of) { scope_of_ = std::move(scope_of); }
  // Idle connections over them end as they are used or age.
  void setLimits(Limits limits) { limits_ = limits; }

 private:
  struct Idle {
    std::unique_ptr<HttpConnection> connection;
    Micros since = 0;
  };
  struct Call {
    std::unique_ptr<HttpConnection> connection;
    std::string endpoint, address;
    Micros began = 0;
    Micros write_by = kNoWriteLimit;  // on the monotonic clock
  };
  std::unique_ptr<HttpConnection> takeIdle(const std::string& endpoint);
  HttpRequest requestOf(const AttemptRequest& request);
  void withholdUnwritten(const std::function<bool(const Call&)>& concerned);
  void over(const AttemptId& id, const HttpAnswer& answer);
  AttemptOutcome outcomeOf(const AttemptId& id, const Call& call, const HttpAnswer& answer) const;
  AttemptOutcome settle(const AttemptId& id, Call& call, const HttpAnswer& answer);
  void heedWait(const std::string& endpoint, Micros wait);
  void reportLater(AttemptOutcome outcome);
  void keep(Call& call);
  void sweep();

  boost::asio::io_context& io_;
  Guard may_;
  ScopeOf scope_of_;
  Limits limits_;
  OnOutcome on_outcome_;
  std::map<std::string, std::string> addresses_;
  std::map<std::string, std::deque<Idle>> idle_;  // by endpoint, the freshest last
  std::size_t idle_count_ = 0;
  std::map<AttemptId, Call> calls_;
  std::set<AttemptId> reporting_;  // over, and reported from the loop in a moment
  boost::asio::steady_timer sweeper_;
  bool sweeping_ = false;
};

}  // namespace grademux
