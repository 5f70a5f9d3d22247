// Implements the Sender of include/grademux/sender.h: owns the modules of this folder, passes the events to
// them, and runs them in order.
#include "admission_control.h"
#include "attempt_tracker.h"
#include "connection_policy.h"
#include "decision_context.h"
#include "dispatcher.h"
#include "endpoint_table.h"
#include "fair_queue.h"
#include "latency_statistics.h"
#include "learned_state.h"
#include "message_table.h"
#include "outcome_handler.h"
#include "outlier_detector.h"
#include "rate_limiter.h"
#include "retry_policy.h"
#include "settings_check.h"
#include "settings_update.h"

namespace grademux {

namespace decision {

class DecisionLoop {
 public:
  DecisionLoop(Settings settings, std::uint64_t seed) : context_(std::move(settings), seed) {}

  std::vector<Action> decide(Micros now, const std::vector<Event>& events);

 private:
  void onEvent(const MessageArrival& event) { admission_.onMessageArrival(event); }
  void onEvent(const RecoveredMessage& event) { admission_.onRecoveredMessage(event); }
  void onEvent(const MessageWithdrawn& event) { admission_.onMessageWithdrawn(event); }
  void onEvent(const AttemptOutcome& event) { outcome_handler_.onAttemptOutcome(event); }
  void onEvent(const ResponseSetAside& event) { outcome_handler_.onResponseSetAside(event); }
  void onEvent(const EndpointListUpdate& event) { endpoint_table_.onEndpointListUpdate(event); }
  void onEvent(const DestinationHealth& event) { learned_state_.onDestinationHealth(event); }
  void onEvent(const OrderingKeyBlocked& event) { messages_.onOrderingKeyBlocked(event); }
  void onEvent(const LearnedEndpoint& event) { learned_state_.onLearnedEndpoint(event); }
  void onEvent(const LearnedPool& event) { learned_state_.onLearnedPool(event); }
  void onEvent(const ExportLearned& event) { learned_state_.onExportLearned(event); }
  void onEvent(const SettingsChanged& event) { settings_update_.onSettingsChanged(event); }
  void onEvent(const ShutdownScheduled& event) { context_.shutdown_at = event.at; }
  void onEvent(const TimerFired&) {}  // the timer only triggers a call of decide()

  void updateTimer();

  DecisionContext context_;
  LatencyStatistics latency_{context_};
  FairQueue fair_queue_{context_};
  RateLimiter rate_limiter_{context_, latency_};
  AttemptTracker attempts_{context_};
  OutlierDetector outlier_detector_{context_, latency_, attempts_, rate_limiter_};
  EndpointTable endpoint_table_{context_, rate_limiter_};
  MessageTable messages_{context_, endpoint_table_, fair_queue_};
  ConnectionPolicy connections_{context_};
  RetryPolicy retry_policy_{context_, latency_};
  Dispatcher dispatcher_{{context_, latency_, fair_queue_, rate_limiter_, attempts_, outlier_detector_,
                          messages_, connections_, retry_policy_}};
  AdmissionControl admission_{{context_, latency_, fair_queue_, rate_limiter_, attempts_, endpoint_table_,
                               messages_, retry_policy_, dispatcher_}};
  OutcomeHandler outcome_handler_{{context_, latency_, fair_queue_, rate_limiter_, attempts_,
                                   outlier_detector_, messages_, connections_, retry_policy_, admission_}};
  LearnedState learned_state_{context_, latency_, rate_limiter_, endpoint_table_, connections_};
  SettingsUpdate settings_update_{context_, endpoint_table_, fair_queue_, messages_};
  Micros timer_at_ = kNever;  // time of the last SetTimer
};

std::vector<Action> DecisionLoop::decide(Micros now, const std::vector<Event>& events) {
  context_.now = now;
  context_.actions.clear();
  context_.next_timer_at = kNever;
  for (const Event& event : events)
    std::visit([this](const auto& alternative) { onEvent(alternative); }, event);
  latency_.updateCommonSlowdown();
  outlier_detector_.countOverdueAttempts();
  admission_.failExpired();
  endpoint_table_.eraseUnused();
  messages_.eraseIdleOrderingKeys();
  endpoint_table_.pollEndpointList();
  dispatcher_.dispatchMessages();
  outlier_detector_.cancelOverdueAttempts();
  admission_.shedLoad();
  messages_.exportOrderingKeys();
  updateTimer();
  return std::move(context_.actions);
}

// Sets a timer for the next time at which a decision may be due, unless a timer is set for an earlier time.
void DecisionLoop::updateTimer() {
  context_.requestTimer(messages_.nextDeadline());
  if (context_.next_timer_at == kNever)
    return;
  const Micros earliest = context_.now + std::max<Micros>(1, context_.settings.min_decide_interval);
  const Micros timer_at = std::max(context_.next_timer_at, earliest);
  if (timer_at_ > context_.now && timer_at_ <= timer_at)
    return;
  timer_at_ = timer_at;
  context_.actions.push_back(SetTimer{timer_at_ - context_.now});
}

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
