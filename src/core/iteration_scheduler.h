// When the engine's iterations run: at most one in a minimum interval, and at the timers that the decision
// module sets. On the loop thread. The callbacks must outlive the scheduler.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <set>

#include "grademux/sender.h"

namespace grademux {

class IterationScheduler {
 public:
  // `run_iteration` is called when a requested iteration is due, `on_timer` when a timer fires; neither from
  // within a call of this class.
  IterationScheduler(boost::asio::io_context& io, std::function<void()> run_iteration,
                     std::function<void()> on_timer);

  // Requests an iteration, `min_interval` after the last one at the earliest. One request is pending at a
  // time.
  void request(Micros min_interval);
  bool isRequested() const { return requested_; }
  // An iteration starts now: clears the request. The result is the iteration's time, later than any before.
  Micros begin();
  Micros lastIteration() const { return last_iteration_; }

  // Adds a timer, `delay` after the last iteration.
  void addTimer(Micros delay);
  void armTimers();

  // Suspended, nothing is scheduled; timers are kept.
  void suspend();
  void resume() { suspended_ = false; }
  bool isSuspended() const { return suspended_; }

 private:
  void runIfRequested();
  void onTimerExpired();

  boost::asio::io_context& io_;
  std::function<void()> run_iteration_;
  std::function<void()> on_timer_;
  boost::asio::steady_timer iteration_timer_;
  boost::asio::steady_timer decision_timer_;
  std::set<Micros> timers_;
  Micros last_iteration_ = INT64_MIN / 4;
  bool requested_ = false;
  bool suspended_ = false;
};

}  // namespace grademux
