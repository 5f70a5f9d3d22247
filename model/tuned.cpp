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
#include "../src/decision/logic.cpp"
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
const Place kPlaces[] = {
    GRADEMUX_TUNED(kRare),        GRADEMUX_TUNED(kTimeoutRatio),   GRADEMUX_TUNED(kRemember),
    GRADEMUX_TUNED(kIdleCredit),  GRADEMUX_TUNED(kBurst),          GRADEMUX_TUNED(kShareMost),
    GRADEMUX_TUNED(kShareStart),  GRADEMUX_TUNED(kShareCut),       GRADEMUX_TUNED(kShareFloor),
    GRADEMUX_TUNED(kShareEase),   GRADEMUX_TUNED(kNearlyUsed),     GRADEMUX_TUNED(kShareGrowth),
    GRADEMUX_TUNED(kStretchMost), GRADEMUX_TUNED(kTrialGap),       GRADEMUX_TUNED(kLaneShare),
    GRADEMUX_TUNED(kFailMost),    GRADEMUX_TUNED(kFailGain),       GRADEMUX_TUNED(kStreak),
    GRADEMUX_TUNED(kSlowRatio),   GRADEMUX_TUNED(kRecentGain),     GRADEMUX_TUNED(kUsualGain),
    GRADEMUX_TUNED(kStallRatio),  GRADEMUX_TUNED(kUnsafePatience), GRADEMUX_TUNED(kRiskMost),
    GRADEMUX_TUNED(kDeadSigns),   GRADEMUX_TUNED(kSuspect),        GRADEMUX_TUNED(kReuseLeast),
    GRADEMUX_TUNED(kCrowd),       GRADEMUX_TUNED(kQueue),          GRADEMUX_TUNED(kWorthKept),
    GRADEMUX_TUNED(kHoldReserve)};
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
