// grademux: THE decision module. Its interface stands in include/grademux/sender.h, its sections in the
// headers beside this file; docs/design.md tells what each does. Here: the turn.
#include "check.h"
#include "retune.h"

namespace grademux {

namespace decision {

struct Turn : Retune {
  using Retune::Retune;

  void on(const MessageArrival& e) { onArrival(e); }
  void on(const RecoveredMessage& e) { onResumed(e); }
  void on(const DestinationHealth& e) { onAilment(e); }
  void on(const ShutdownScheduled& e) { stop_at = e.at; }
  void on(const AttemptOutcome& e) { onOutcome(e); }
  void on(const EndpointListUpdate& e) { onList(e); }
  void on(const TimerFired&) {}
  void on(const LearnedEndpoint& e) { onLesson(e); }
  void on(const LearnedPool& e) { onExperience(e); }
  void on(const ExportLearned& e) { onSurvey(e); }
  void on(const SettingsChanged& e) { onRetuned(e); }
  void on(const MessageWithdrawn& e) {
    auto it = messages.find(e.id);
    if (it == messages.end())
      return;
    close(it->second);
    forget(it->second);
  }

  void setWake() {
    if (!ends.empty())
      next_wake = std::min(next_wake, ends.begin()->first);
    if (next_wake == kNever)
      return;
    next_wake = std::max(next_wake, now + std::max<Micros>(1, set.min_decide_interval));
    if (wake_at > now && wake_at <= next_wake)
      return;
    wake_at = next_wake;
    acts.push_back(SetTimer{wake_at - now});
  }

  std::vector<Action> decide(Micros at, const std::vector<Event>& events) {
    now = at;
    acts.clear();
    next_wake = kNever;
    for (const Event& e : events)
      std::visit([this](const auto& x) { on(x); }, e);
    // A slowdown common to all is no sickness: each is held against the median of what all show.
    paces.expire(now - 2 * set.overload_collapse_time);
    common_slow = paces.size() < 3 ? 1 : std::max(1.0, paces.median());
    countOverdue();
    endLate();
    forgetGone();
    askForList();
    release();
    clearLane();
    shed();
    setWake();
    return std::move(acts);
  }
};

}  // namespace decision

struct Sender::Impl : decision::Turn {
  using Turn::Turn;
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
