// grademux model: the module with variables for its tuned values; see tuned.h. The policy files are compiled
// a second time, as they are: each `constexpr` in them becomes a variable of the thread, and what would be
// defined twice gets another name. All headers that they use come first, so that only they are changed.
#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <iterator>
#include <limits>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "grademux/learned_state.h"
#include "grademux/settings.h"

#define Sender TunedSender
#define decision tuned_decision
#include "tuned.h"
#define constexpr inline thread_local
#include "../src/decision/admission_control.cpp"
#include "../src/decision/attempt_tracker.cpp"
#include "../src/decision/connection_policy.cpp"
#include "../src/decision/decision_context.cpp"
#include "../src/decision/dispatcher.cpp"
#include "../src/decision/endpoint_table.cpp"
#include "../src/decision/fair_queue.cpp"
#include "../src/decision/latency_statistics.cpp"
#include "../src/decision/learned_state.cpp"
#include "../src/decision/message_table.cpp"
#include "../src/decision/outcome_handler.cpp"
#include "../src/decision/outlier_detector.cpp"
#include "../src/decision/rate_limiter.cpp"
#include "../src/decision/retry_policy.cpp"
#include "../src/decision/sender.cpp"
#include "../src/decision/settings_update.cpp"
#include "../src/decision/slow_start_budget.cpp"
#undef constexpr
#undef decision
#undef Sender

namespace grademux::model {

namespace {

namespace values = grademux::tuned_decision;

// How to read and set one of them on this thread.
struct Place {
  const char* name;
  double (*get)();
  void (*set)(double);
};
#define GRADEMUX_TUNED(name)                               \
  {                                                        \
#name, [] { return static_cast<double>(values::name); }, \
   [](double x) { values::name = static_cast<decltype(values::name)>(x); } \
  }
const Place kPlaces[] = {GRADEMUX_TUNED(kRareSenderFraction),
                         GRADEMUX_TUNED(kTimeoutRatio),
                         GRADEMUX_TUNED(kRetentionSpans),
                         GRADEMUX_TUNED(kIdleCredit),
                         GRADEMUX_TUNED(kBurstSeconds),
                         GRADEMUX_TUNED(kMaxQuotaFraction),
                         GRADEMUX_TUNED(kInitialQuotaShares),
                         GRADEMUX_TUNED(kRejectionQuotaFactor),
                         GRADEMUX_TUNED(kMinQuotaShares),
                         GRADEMUX_TUNED(kLowAllowanceQuotaFactor),
                         GRADEMUX_TUNED(kLowAllowanceFraction),
                         GRADEMUX_TUNED(kQuotaGrowthShares),
                         GRADEMUX_TUNED(kMaxGapStretch),
                         GRADEMUX_TUNED(kTrialGapFraction),
                         GRADEMUX_TUNED(kPlannedBudgetFraction),
                         GRADEMUX_TUNED(kEvenClaimFraction),
                         GRADEMUX_TUNED(kMaxDemandFraction),
                         GRADEMUX_TUNED(kMinFleetDemand),
                         GRADEMUX_TUNED(kMinSenderDemand),
                         GRADEMUX_TUNED(kOutlierCallFraction),
                         GRADEMUX_TUNED(kMaxFailureFraction),
                         GRADEMUX_TUNED(kFailureGain),
                         GRADEMUX_TUNED(kMinOutageFraction),
                         GRADEMUX_TUNED(kConsecutiveFailureThreshold),
                         GRADEMUX_TUNED(kFleetFailureThreshold),
                         GRADEMUX_TUNED(kMinRejections),
                         GRADEMUX_TUNED(kSlowLatencyRatio),
                         GRADEMUX_TUNED(kRecentLatencyGain),
                         GRADEMUX_TUNED(kTypicalLatencyGain),
                         GRADEMUX_TUNED(kOverdueRatio),
                         GRADEMUX_TUNED(kNonIdempotentTimeoutFactor),
                         GRADEMUX_TUNED(kMaxUnknownOutcomeFraction),
                         GRADEMUX_TUNED(kStaleConnectionThreshold),
                         GRADEMUX_TUNED(kStaleConnectionSpans),
                         GRADEMUX_TUNED(kMinExpectedReuses),
                         GRADEMUX_TUNED(kReuseSenderCount),
                         GRADEMUX_TUNED(kMaxQueueTimeFraction),
                         GRADEMUX_TUNED(kMinRetainedPriority),
                         GRADEMUX_TUNED(kOpenMessageReserve)};
#undef GRADEMUX_TUNED

// The values that this thread has now; null: the module's own.
thread_local std::shared_ptr<const Tuning> in_force;

}  // namespace

const std::vector<TunedValue>& tunedValues() {
  // Read on a thread of its own: there nobody has changed them.
  static const std::vector<TunedValue> kAll = [] {
    std::vector<TunedValue> all;
    std::thread([&] {
      for (const Place& p : kPlaces)
        all.push_back({p.name, p.get()});
    }).join();
    return all;
  }();
  return kAll;
}

struct TunedModule::Impl {
  Impl(const Settings& s, std::uint64_t seed, std::shared_ptr<const Tuning> t) : tuning(std::move(t)) {
    enforce();
    sender = std::make_unique<TunedSender>(s, seed);
  }
  void enforce() {
    if (in_force == tuning)
      return;
    in_force = tuning;
    const std::vector<TunedValue>& own = tunedValues();
    for (std::size_t i = 0; i < own.size(); ++i) {
      const auto t = tuning->find(own[i].name);
      kPlaces[i].set(t == tuning->end() ? own[i].value : t->second);
    }
  }
  const std::shared_ptr<const Tuning> tuning;
  std::unique_ptr<TunedSender> sender;
};

TunedModule::TunedModule(const Settings& settings, std::uint64_t seed, std::shared_ptr<const Tuning> tuning)
    : impl_(std::make_unique<Impl>(settings, seed, std::move(tuning))) {}
TunedModule::~TunedModule() = default;

std::vector<Action> TunedModule::decide(Micros now, const std::vector<Event>& events) {
  impl_->enforce();
  return impl_->sender->decide(now, events);
}

}  // namespace grademux::model
