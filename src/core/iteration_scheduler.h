// Schedules the engine's iterations: on request, with a minimum interval between them, and at the timers that
// the decision module sets. Used on the loop thread. Objects that the callbacks use must outlive the
// scheduler.
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

  // Requests an iteration, at the earliest `min_interval` after the last iteration. Has no effect if an
  // iteration is requested already or the scheduler is suspended.
  void request(Micros min_interval);
  bool isRequested() const { return requested_; }
  // Starts an iteration: clears the request and returns the iteration's time on the monotonic clock, which is
  // later than the time of every earlier iteration.
  Micros begin();
  Micros lastIteration() const { return last_iteration_; }

  // Adds a timer that is due `delay` after the last iteration.
  void addTimer(Micros delay);
  // Starts waiting for the earliest timer, unless the scheduler is suspended.
  void armTimers();

  // While the scheduler is suspended, no iteration and no timer runs; the timers are kept.
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
