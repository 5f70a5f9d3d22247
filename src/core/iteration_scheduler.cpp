#include "iteration_scheduler.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "clock.h"

namespace grademux {

namespace {

constexpr Micros kTimerGranularity = 1000;  // timers closer than this fire together

}  // namespace

IterationScheduler::IterationScheduler(boost::asio::io_context& io, std::function<void()> run_iteration,
                                       std::function<void()> on_timer)
    : io_(io),
      run_iteration_(std::move(run_iteration)),
      on_timer_(std::move(on_timer)),
      iteration_timer_(io),
      decision_timer_(io) {}

void IterationScheduler::request(Micros min_interval) {
  if (requested_ || suspended_)
    return;
  requested_ = true;
  const Micros delay = last_iteration_ + min_interval - monotonicNow();
  if (delay <= 0) {
    boost::asio::post(io_, [this] { runIfRequested(); });
    return;
  }
  iteration_timer_.expires_after(std::chrono::microseconds(delay));
  iteration_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error)
      runIfRequested();
  });
}

void IterationScheduler::runIfRequested() {
  if (requested_)
    run_iteration_();
}

Micros IterationScheduler::begin() {
  requested_ = false;
  iteration_timer_.cancel();
  last_iteration_ = std::max(last_iteration_ + 1, monotonicNow());
  return last_iteration_;
}

void IterationScheduler::addTimer(Micros delay) {
  const Micros due = last_iteration_ + delay;
  timers_.insert((due + kTimerGranularity - 1) / kTimerGranularity * kTimerGranularity);
}

void IterationScheduler::armTimers() {
  if (timers_.empty() || suspended_)
    return;
  const Micros delay = std::max<Micros>(0, *timers_.begin() - monotonicNow());
  decision_timer_.expires_after(std::chrono::microseconds(delay));
  decision_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && !suspended_)
      onTimerExpired();
  });
}

void IterationScheduler::onTimerExpired() {
  const auto first_later = timers_.upper_bound(monotonicNow());
  const bool due = first_later != timers_.begin();
  timers_.erase(timers_.begin(), first_later);
  if (due)
    on_timer_();
  armTimers();
}

void IterationScheduler::suspend() {
  suspended_ = true;
  requested_ = false;
  iteration_timer_.cancel();
  decision_timer_.cancel();
}

}  // namespace grademux
