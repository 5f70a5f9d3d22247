// 1 tags, against a plain version of the same rules that walks all there is: the same destination gets each
// slot.
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

// As the paper has it, with a shift added to each tag.
struct Plain {
  struct Line {
    std::deque<std::pair<double, double>> tags;  // local, global
    std::multiset<double> aims;
    double local = -1e18, global = -1e18, period = 1;
    bool used = false;
  };
  std::map<std::int64_t, Line> lines;

  void arrive(std::int64_t id, double aim, double now) {
    double least = 1e300;
    for (auto& [d, l] : lines)
      if (!l.tags.empty())
        least = std::min(least, l.tags.front().second);
    if (least < 1e300)
      for (auto& [d, l] : lines) {
        l.global += now - least;
        for (auto& t : l.tags)
          t.second += now - least;
      }
    Line& l = lines[id];
    l.aims.insert(aim);
    l.period = *l.aims.begin();
    const double credit = l.tags.empty() && l.used ? 2e6 : 0;
    l.used = true;
    l.local = std::max(l.local + l.period, now);
    l.global = std::max(l.global + 1e6, now - credit);
    l.tags.emplace_back(l.local, l.global);
  }
  // It could not send while what had the tag `served` was.
  void raise(std::int64_t id, double served) {
    Line& l = lines[id];
    const double by = std::max(0.0, served - 1e6 - l.tags.front().second);
    for (auto& t : l.tags)
      t.second += by;
    l.global += by;
  }
  // Whose tag is next, and whether it is a global one.
  std::pair<std::int64_t, bool> next(double now) const {
    std::pair<double, std::int64_t> local{1e300, -1}, global{1e300, -1};
    for (const auto& [d, l] : lines) {
      if (l.tags.empty())
        continue;
      if (l.tags.front().first <= now)
        local = std::min(local, {l.tags.front().first, d});
      global = std::min(global, {l.tags.front().second, d});
    }
    return local.second >= 0 ? std::make_pair(local.second, false) : std::make_pair(global.second, true);
  }
  void leave(std::int64_t id, double aim, bool started, bool by_global) {
    Line& l = lines[id];
    l.aims.erase(l.aims.find(aim));
    if (started) {
      l.tags.pop_front();
    } else {
      l.tags.pop_back();
      l.local -= l.period;
      l.global -= 1e6;
    }
    if (!by_global)
      return;
    for (auto& t : l.tags)
      t.first -= l.period;
    l.local -= l.period;
  }
};

TEST(FairQueueReference, ChoosesSameDestinationAsPlainImplementation) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    Settings s = makeSettings();
    s.classes[1].latency_objective = 300 * kMs;
    DecisionContext context(s, seed);
    context.iteration = 1;
    FairQueue fair_queue(context);
    std::map<std::int64_t, Destination> destinations;
    Plain plain;
    std::deque<Message> messages;
    std::uint64_t starts = 0, by_global = 0;
    for (int step = 0; step < 3000; ++step) {
      context.now += static_cast<Micros>(random() % 120) * kMs;
      const auto now = static_cast<double>(context.now);
      const std::uint64_t what = random() % 20;
      if (what < 9 || fair_queue.backlog().empty()) {
        Message& m = messages.emplace_back();
        const std::int64_t id = static_cast<std::int64_t>(random() % 12);
        m.destination = &destinations[id];
        m.destination->id = id;
        m.class_version = context.class_versions[random() % 2];
        fair_queue.enqueue(m, context.now);
        plain.arrive(id, static_cast<double>(m.class_version->latency_objective), now);
        continue;
      }
      Destination* destination = fair_queue.nextDestination({false, -1e300, 0});
      const auto [id, global] = plain.next(now);
      ASSERT_NE(destination, nullptr);
      ASSERT_EQ(destination->id, id) << "seed " << seed << ", step " << step;
      ASSERT_EQ(fair_queue.positionOf(*destination).by_global_tag, global)
          << "seed " << seed << ", step " << step;
      const bool started = what < 18;
      if (random() % 8 == 0) {
        const double served = plain.lines[id].tags.front().second + static_cast<double>(random() % 9) * 4e5;
        fair_queue.raiseGlobalTags(*destination, served - fair_queue.globalTagShift());
        plain.raise(id, served);
        continue;
      }
      Message& m =
          **(destination->queue.begin() + static_cast<std::ptrdiff_t>(random() % destination->queue.size()));
      fair_queue.dequeue(m, started);
      if (started && global)
        fair_queue.lowerLocalTags(*destination);
      plain.leave(id, static_cast<double>(m.class_version->latency_objective), started, started && global);
      starts += started;
      by_global += started && global;
    }
    EXPECT_GT(by_global, 10u) << "seed " << seed;
    EXPECT_GT(starts - by_global, 50u) << "seed " << seed;
  }
}

}  // namespace
}  // namespace grademux
