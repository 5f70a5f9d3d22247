// Compares the fair queue with a simple implementation of the same rules that scans all destinations: both
// choose the same destination for each free call.
#include <deque>
#include <map>
#include <random>

#include "../../src/decision/fair_queue.h"
#include "sender_fixture.h"

namespace grademux {
namespace {

using decision::DecisionContext;
using decision::Destination;
using decision::FairQueue;
using decision::Message;

// The rules as the paper states them; the tag adjustment changes each stored tag.
struct ReferenceQueue {
  struct DestinationState {
    std::deque<std::pair<double, double>> tags;  // local, global
    std::multiset<double> objectives;
    double last_local_tag = -1e18, last_global_tag = -1e18, local_tag_interval = 1;
    bool was_used = false;
  };
  std::map<std::int64_t, DestinationState> destinations;

  void enqueue(std::int64_t id, double objective, double now) {
    double smallest = 1e300;
    for (auto& [destination_id, state] : destinations)
      if (!state.tags.empty())
        smallest = std::min(smallest, state.tags.front().second);
    if (smallest < 1e300)
      for (auto& [destination_id, state] : destinations) {
        state.last_global_tag += now - smallest;
        for (auto& tag : state.tags)
          tag.second += now - smallest;
      }
    DestinationState& state = destinations[id];
    state.objectives.insert(objective);
    state.local_tag_interval = *state.objectives.begin();
    const double credit = state.tags.empty() && state.was_used ? 2e6 : 0;
    state.was_used = true;
    state.last_local_tag = std::max(state.last_local_tag + state.local_tag_interval, now);
    state.last_global_tag = std::max(state.last_global_tag + 1e6, now - credit);
    state.tags.emplace_back(state.last_local_tag, state.last_global_tag);
  }
  // The destination could not start while others were served up to the global tag `served`.
  void raiseGlobalTags(std::int64_t id, double served) {
    DestinationState& state = destinations[id];
    const double increase = std::max(0.0, served - 1e6 - state.tags.front().second);
    for (auto& tag : state.tags)
      tag.second += increase;
    state.last_global_tag += increase;
  }
  // Returns the destination whose tag is next, and whether that is its global tag.
  std::pair<std::int64_t, bool> nextDestination(double now) const {
    std::pair<double, std::int64_t> local{1e300, -1}, global{1e300, -1};
    for (const auto& [destination_id, state] : destinations) {
      if (state.tags.empty())
        continue;
      if (state.tags.front().first <= now)
        local = std::min(local, {state.tags.front().first, destination_id});
      global = std::min(global, {state.tags.front().second, destination_id});
    }
    return local.second >= 0 ? std::make_pair(local.second, false) : std::make_pair(global.second, true);
  }
  void dequeue(std::int64_t id, double objective, bool started, bool by_global) {
    DestinationState& state = destinations[id];
    state.objectives.erase(state.objectives.find(objective));
    if (started) {
      state.tags.pop_front();
    } else {
      state.tags.pop_back();
      state.last_local_tag -= state.local_tag_interval;
      state.last_global_tag -= 1e6;
    }
    if (!by_global)
      return;
    for (auto& tag : state.tags)
      tag.first -= state.local_tag_interval;
    state.last_local_tag -= state.local_tag_interval;
  }
};

TEST(FairQueueReference, ChoosesSameDestinationAsPlainImplementation) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    Settings settings = makeSettings();
    settings.classes[1].latency_objective = 300 * kMs;
    DecisionContext context(settings, seed);
    context.iteration = 1;
    FairQueue fair_queue(context);
    std::map<std::int64_t, Destination> destinations;
    ReferenceQueue reference;
    std::deque<Message> messages;
    std::uint64_t starts = 0, by_global = 0;
    for (int step = 0; step < 3000; ++step) {
      context.now += static_cast<Micros>(random() % 120) * kMs;
      const auto now = static_cast<double>(context.now);
      const std::uint64_t draw = random() % 20;
      if (draw < 9 || fair_queue.backlog().empty()) {
        Message& message = messages.emplace_back();
        const std::int64_t id = static_cast<std::int64_t>(random() % 12);
        message.destination = &destinations[id];
        message.destination->id = id;
        message.class_version = context.class_versions[random() % 2];
        fair_queue.enqueue(message, context.now);
        reference.enqueue(id, static_cast<double>(message.class_version->latency_objective), now);
        continue;
      }
      Destination* destination = fair_queue.nextDestination({false, -1e300, 0});
      const auto [id, is_global] = reference.nextDestination(now);
      ASSERT_NE(destination, nullptr);
      ASSERT_EQ(destination->id, id) << "seed " << seed << ", step " << step;
      ASSERT_EQ(fair_queue.positionOf(*destination).by_global_tag, is_global)
          << "seed " << seed << ", step " << step;
      const bool started = draw < 18;
      if (random() % 8 == 0) {
        const double served =
            reference.destinations[id].tags.front().second + static_cast<double>(random() % 9) * 4e5;
        fair_queue.raiseGlobalTags(*destination, served - fair_queue.globalTagShift());
        reference.raiseGlobalTags(id, served);
        continue;
      }
      Message& message =
          **(destination->queue.begin() + static_cast<std::ptrdiff_t>(random() % destination->queue.size()));
      fair_queue.dequeue(message, started);
      if (started && is_global)
        fair_queue.lowerLocalTags(*destination);
      reference.dequeue(id, static_cast<double>(message.class_version->latency_objective), started,
                        started && is_global);
      starts += started;
      by_global += started && is_global;
    }
    EXPECT_GT(by_global, 10u) << "seed " << seed;
    EXPECT_GT(starts - by_global, 50u) << "seed " << seed;
  }
}

}  // namespace
}  // namespace grademux
