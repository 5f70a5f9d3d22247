// Sends attempts to endpoints over HTTP/1.1, manages the connection pool and reports the outcome of each
// attempt. The module has no policy: the start and time limit of an attempt and the connections to close are
// decided elsewhere. Loop thread only.
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
#include "response_times.h"

namespace grademux {

class HttpTransport : public Transport {
 public:
  struct Limits {
    Micros dial_timeout = 0, conn_idle = 0;
    std::size_t max_idle = 1;
  };
  HttpTransport(boost::asio::io_context& io, Limits limits, OnOutcome on_outcome);

  void setAddress(const std::string& endpoint, const std::string& address, Micros started_at) override;
  void removeEndpoint(const std::string& endpoint) override;
  void cancelUnwritten(const std::string& endpoint) override;
  void startAttempt(const AttemptRequest& request) override;
  void cancelAttempt(const std::string& id, int attempt_number) override;
  void closeIdleConnections(const std::string& endpoint) override;
  std::size_t attemptsInFlight() const override { return attempts_.size() + unreported_outcomes_.size(); }
  // Attempts whose outcome has not been reported.
  std::vector<AttemptId> unreportedAttempts() const;
  void closeAllIdle();
  std::size_t idleConnections() const { return idle_count_; }
  // Called before the first byte of each attempt is written; false: the attempt is not made.
  using SendGuard = std::function<bool(const std::string& endpoint)>;
  void setSendGuard(SendGuard guard) { is_send_allowed_ = std::move(guard); }
  // The scope of an endpoint's Retry-After: all endpoints of one scope wait when one of them asks to.
  // Attempts in the scope whose last byte is not yet written end as not_sent and may be decided again.
  using ScopeOf = std::function<std::string(const std::string& endpoint)>;
  void setScopes(ScopeOf scope_of) { scope_of_ = std::move(scope_of); }
  // Called for each response that is set aside because it may be a late copy, before the outcome of its
  // attempt; also from within cancelAttempt(). Must not use the transport.
  using OnResponseSetAside = std::function<void(ResponseSetAside)>;
  void setOnResponseSetAside(OnResponseSetAside on_set_aside) { on_set_aside_ = std::move(on_set_aside); }
  // Ends the attempts that have such a response, as their limits would: the process ends.
  void settleResponsesSetAside();
  // Idle connections over the new limits are closed as they are used or expire.
  void setLimits(Limits limits) { limits_ = limits; }

 private:
  struct IdleConnection {
    std::unique_ptr<HttpConnection> connection;
    Micros since = 0;
  };
  // A process of an endpoint, as long as the endpoint is listed with it.
  struct EndpointProcess {
    std::string address;
    Micros started_at = 0;     // Unix time
    std::uint64_t number = 0;  // no two processes have the same
  };
  struct Attempt {
    std::unique_ptr<HttpConnection> connection;
    std::string endpoint, address;
    std::uint64_t process_number = 0;  // EndpointProcess::number; 0: the endpoint was not listed
    bool is_repeat = false;            // an earlier attempt may have run
    Micros started_at = 0;
    Micros write_deadline = kNoWriteLimit;  // on the monotonic clock
  };
  std::unique_ptr<HttpConnection> takeIdleConnection(const std::string& endpoint);
  HttpRequest buildRequest(const AttemptRequest& request);
  void cancelUnwrittenIf(const std::function<bool(const Attempt&)>& matches);
  void onAttemptFinished(const AttemptId& id, const HttpAnswer& answer);
  AttemptOutcome outcomeOf(const AttemptId& id, const Attempt& attempt, const HttpAnswer& answer) const;
  AttemptOutcome finishAttempt(const AttemptId& id, Attempt& attempt, const HttpAnswer& answer);
  void recordResponseTime(const Attempt& attempt, const HttpAnswer& answer);
  void onResponseSetAside(const AttemptId& id, const std::string& endpoint, const HttpAnswer& answer);
  void applyRetryAfter(const std::string& endpoint, Micros retry_after);
  void finishEarly(std::map<AttemptId, Attempt>::iterator known, const HttpAnswer& last, bool cancelled);
  void postOutcome(AttemptOutcome outcome);
  bool isOfListedProcess(const Attempt& attempt) const;
  void returnToPool(Attempt& attempt);
  void sweep();

  boost::asio::io_context& io_;
  SendGuard is_send_allowed_;
  ScopeOf scope_of_;
  OnResponseSetAside on_set_aside_;
  Limits limits_;
  OnOutcome on_outcome_;
  std::map<std::string, EndpointProcess> processes_;  // by endpoint
  std::uint64_t last_process_number_ = 0;
  ResponseTimes response_times_;
  std::map<std::string, std::deque<IdleConnection>>
      idle_connections_;  // by endpoint, the most recently used last
  std::size_t idle_count_ = 0;
  std::map<AttemptId, Attempt> attempts_;
  std::set<AttemptId> unreported_outcomes_;  // finished; their outcome is posted to the loop
  boost::asio::steady_timer sweeper_;
  bool sweeping_ = false;
};

}  // namespace grademux
