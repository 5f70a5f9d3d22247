// Graceful shutdown of the process; see graceful_shutdown.h.
#include "graceful_shutdown.h"

#include <utility>

#include "../core/clock.h"
#include "../log/log.h"
#include "notify.h"

namespace grademux {

namespace {

// No attempt is started that would last longer than this after SIGTERM: the process may be killed 3.7 s after
// SIGTERM.
constexpr Micros kShutdownTimeout = 3'400'000;
// Clients that have not noticed the shutdown may still connect for this long.
constexpr Micros kLateClientsGrace = 600'000;
// Clients have this long to close their side of the last connections.
constexpr Micros kCloseTimeout = 200'000;
constexpr Micros kPollInterval = 20'000;

}  // namespace

GracefulShutdown::GracefulShutdown(SenderComponents& components, boost::asio::signal_set& signals)
    : components_(components), signals_(signals), timer_(components.io) {}

void GracefulShutdown::begin() {
  if (hasBegun())
    return;
  started_at_ = monotonicNow();
  log::write(log::Event::daemon_stopping);
  notifyServiceManager("STOPPING=1");
  components_.state.stop("SIGTERM");
  if (!components_.engine)
    return components_.io.stop();  // no message was accepted yet
  if (components_.isDelivering()) {
    if (components_.fleet)
      components_.fleet->announceShutdown();
    components_.drainListeners(DrainReason::stopping);
    components_.admission->drain();
    components_.engine->scheduleStop(started_at_ + kShutdownTimeout);
  }
  poll();
}

void GracefulShutdown::beginAfterHandover() {
  components_.state.stop("another process has taken over");
  poll();
}

void GracefulShutdown::poll() {
  const Micros elapsed = hasBegun() ? monotonicNow() - started_at_ : 0;
  if (elapsed >= kShutdownTimeout && !std::exchange(has_settled_, true)) {
    components_.transport->settleResponsesSetAside();
    return schedulePoll();  // the engine records the outcomes meanwhile
  }
  if (closing_at_ == 0 && (isQuiescent(elapsed) || elapsed >= kShutdownTimeout)) {
    closing_at_ = monotonicNow();
    if (components_.platform_listener)
      components_.platform_listener->finish();
  }
  if (closing_at_ != 0 && areConnectionsClosed())
    return stopLoop();
  schedulePoll();
}

void GracefulShutdown::schedulePoll() {
  timer_.expires_after(std::chrono::microseconds(kPollInterval));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error)
      poll();
  });
}

bool GracefulShutdown::isQuiescent(Micros elapsed) const {
  if (components_.openRequests() > 0)
    return false;
  if (!components_.isDelivering())
    return components_.transport->attemptsInFlight() == 0 && !components_.handover_source->hasUnsent();
  return elapsed > kLateClientsGrace && components_.attempts->attemptsInFlight() == 0 &&
         components_.notifier->pendingNotices() == 0 && components_.engine->isIdle();
}

bool GracefulShutdown::areConnectionsClosed() const {
  const RespListener* listener = components_.platform_listener.get();
  if (!listener || listener->connectionCount() == 0)
    return true;
  return monotonicNow() - closing_at_ >= kCloseTimeout;
}

void GracefulShutdown::stopLoop() {
  signals_.cancel();
  if (components_.daemon_file.knowledge.enabled && components_.isDelivering())
    components_.learned_state->finish(components_.engine->learnedState());
  if (components_.fleet)
    components_.fleet->release("stopped");
  components_.io.stop();
}

}  // namespace grademux
