// grademux: THE decision module. Its interface stands in include/grademux/sender.h, its sections in the
// headers beside this file; docs/design.md tells what each does. Here: the turn.
#include "settings_check.h"
#include "settings_update.h"

namespace grademux {

namespace decision {

struct DecisionLoop : SettingsUpdate {
  using SettingsUpdate::SettingsUpdate;

  void onEvent(const MessageArrival& event) { onMessageArrival(event); }
  void onEvent(const RecoveredMessage& event) { onRecoveredMessage(event); }
  void onEvent(const DestinationHealth& event) { onDestinationHealth(event); }
  void onEvent(const ShutdownScheduled& event) { shutdown_at = event.at; }
  void onEvent(const AttemptOutcome& event) { onAttemptOutcome(event); }
  void onEvent(const EndpointListUpdate& event) { onEndpointListUpdate(event); }
  void onEvent(const TimerFired&) {}
  void onEvent(const LearnedEndpoint& event) { onLearnedEndpoint(event); }
  void onEvent(const LearnedPool& event) { onLearnedPool(event); }
  void onEvent(const ExportLearned& event) { onExportLearned(event); }
  void onEvent(const SettingsChanged& event) { onSettingsChanged(event); }
  void onEvent(const MessageWithdrawn& event) {
    auto it = messages.find(event.id);
    if (it == messages.end())
      return;
    closeMessage(it->second);
    eraseIfUnused(it->second);
  }

  void updateTimer() {
    if (!deadlines.empty())
      next_timer_at = std::min(next_timer_at, deadlines.begin()->first);
    if (next_timer_at == kNever)
      return;
    next_timer_at = std::max(next_timer_at, now + std::max<Micros>(1, settings.min_decide_interval));
    if (timer_at > now && timer_at <= next_timer_at)
      return;
    timer_at = next_timer_at;
    actions.push_back(SetTimer{timer_at - now});
  }

  std::vector<Action> decide(Micros at, const std::vector<Event>& events) {
    now = at;
    actions.clear();
    next_timer_at = kNever;
    for (const Event& event : events)
      std::visit([this](const auto& alternative) { onEvent(alternative); }, event);
    // A slowdown common to all is no sickness: each is held against the median of what all show.
    latency_ratios.expire(now - 2 * settings.overload_collapse_time);
    common_slowdown = latency_ratios.size() < 3 ? 1 : std::max(1.0, latency_ratios.median());
    countOverdueAttempts();
    failExpired();
    eraseUnused();
    pollEndpointList();
    dispatchMessages();
    cancelOverdueAttempts();
    shedLoad();
    updateTimer();
    return std::move(actions);
  }
};

}  // namespace decision

struct Sender::Impl : decision::DecisionLoop {
  using DecisionLoop::DecisionLoop;
};

Sender::Sender(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>((validate(settings), std::move(settings)), seed)) {}
Sender::~Sender() = default;
Sender::Sender(Sender&&) noexcept = default;
Sender& Sender::operator=(Sender&&) noexcept = default;

std::vector<Action> Sender::decide(Micros now, const std::vector<Event>& events) {
  return impl_->decide(now, events);
}

}  // namespace grademux
