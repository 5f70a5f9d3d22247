// grademux: calls to endpoints: the connection pool, and the outcome of each call. No policy: when a call
// is made, how long it may take and which connections are kept is told from outside.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "http.h"
#include "journal.h"

namespace grademux {

class Endpoints {
 public:
  using OnOutcome = std::function<void(Outcome)>;
  struct Limits {
    Micros dial_timeout = 0, conn_idle = 0;
    std::size_t max_idle = 1;
  };
  Endpoints(boost::asio::io_context& io, Limits limits, OnOutcome on_outcome);

  void address(const std::string& endpoint, const std::string& address);  // as listed, new or changed
  void forget(const std::string& endpoint);  // listed no more; calls that are out run on
  void call(const TakenOn& m, int attempt, const std::string& endpoint, Micros timeout);
  void cancel(const std::string& id, int attempt);
  void closeIdle(const std::string& endpoint);
  std::size_t out() const { return calls_.size(); }
  std::size_t idle() const { return idle_count_; }

 private:
  using CallId = std::pair<std::string, int>;
  struct Idle {
    std::unique_ptr<HttpConnection> connection;
    Micros since = 0;
  };
  struct Call {
    std::unique_ptr<HttpConnection> connection;
    std::string endpoint, address;
    Micros began = 0;
  };
  void over(const CallId& id, const HttpAnswer& answer);
  void report(const CallId& id, Result result, Micros began);
  void keep(Call& call);
  void sweep();

  boost::asio::io_context& io_;
  Limits limits_;
  OnOutcome on_outcome_;
  std::map<std::string, std::string> addresses_;
  std::map<std::string, std::deque<Idle>> idle_;  // by endpoint, the freshest last
  std::size_t idle_count_ = 0;
  std::map<CallId, Call> calls_;
  boost::asio::steady_timer sweeper_;
  bool sweeping_ = false;
};

Micros monotonicNow();  // a clock that only goes forward
Micros unixNow();       // a clock that holds across processes

}  // namespace grademux
