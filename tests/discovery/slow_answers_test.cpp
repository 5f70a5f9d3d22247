// The watcher against agents whose answers are slow, stop, trickle or fail. All cases run beside one another
// on one loop, in real time.
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <random>

#include "../../src/core/clock.h"
#include "../../src/discovery/endpoint_watcher.h"
#include "../../src/net/address.h"
#include "../support/slow_agent.h"

namespace grademux {
namespace {

using loopback::Pace;
using loopback::SlowAgent;
using std::chrono::milliseconds;
using PauseAt = Pace::PauseAt;
using Framing = Pace::Framing;
using End = Pace::End;

// A change must be known so long after discovery had it.
constexpr Micros kMustBeKnownAfter = 6'000'000;

Pace slow(int pause_ms, PauseAt pause_at = PauseAt::in_body, Framing framing = Framing::content_length) {
  return {milliseconds(pause_ms), pause_at, framing, End::complete};
}
Pace failing(End end, int pause_ms = 0) {
  return {milliseconds(pause_ms), PauseAt::in_body, Framing::content_length, end};
}
SlowAgent::Script always(const Pace& pace) {
  return [pace](int) { return pace; };
}
// The first polls end as named, all later ones as `then`.
SlowAgent::Script atFirst(const std::vector<Pace>& first, const Pace& then) {
  return [first, then](int poll) {
    const auto index = static_cast<std::size_t>(poll);
    return index < first.size() ? first[index] : then;
  };
}

struct SlowCase {
  std::string name;
  SlowAgent::Script script;
  int endpoints = 1;
  bool starts_without_list = false;
};

loopback::json endpointsOf(int count) {
  loopback::json list = loopback::json::array();
  for (int i = 0; i < count; ++i)
    list.push_back(loopback::listed("e" + std::to_string(i), "127.0.0.1:9", i));
  return list;
}

// One agent, one watcher of it, and when the watcher learned each version.
class WatchedAgent {
 public:
  WatchedAgent(boost::asio::io_context& io, Worker& worker, const SlowCase& slow_case)
      : case_(slow_case),
        agent_(slow_case.script, endpointsOf(slow_case.endpoints)),
        watcher_(
            Agent(io, parseAddress(agent_.address()), agent_.address()), worker,
            [this](const EndpointListAnswer& answer) { return onAnswer(answer); }, 1, 3),
        timer_(io) {}

  void start() {
    watcher_.start(case_.starts_without_list ? -1 : agent_.version());
    if (case_.starts_without_list)
      changed_at_[agent_.version()] = monotonicNow();
    changeAt(0);
  }
  // Whether each version has been learned, or the time for it is over.
  bool isDecided() const {
    return next_change_ >= std::size(kChanges) &&
           (learned_ >= changed_at_.rbegin()->first ||
            monotonicNow() - changed_at_.rbegin()->second > kMustBeKnownAfter);
  }
  void expectAllLearnedInTime() const {
    for (const auto& [version, changed_at] : changed_at_) {
      const auto found = learned_at_.lower_bound(version);
      const Micros took = found == learned_at_.end() ? -1 : found->second - changed_at;
      EXPECT_TRUE(took >= 0 && took <= kMustBeKnownAfter)
          << case_.name << ": version " << version << " after " << took << " us (-1: never)";
    }
  }

 private:
  // Changes that fall within the answers to others.
  static constexpr milliseconds kChanges[] = {milliseconds(300), milliseconds(800), milliseconds(800),
                                              milliseconds(2100)};

  void changeAt(std::size_t index) {
    next_change_ = index;
    if (index >= std::size(kChanges))
      return;
    timer_.expires_after(kChanges[index]);
    timer_.async_wait([this, index](const boost::system::error_code& error) {
      if (error)
        return;
      const long version = agent_.change(endpointsOf(1));
      changed_at_[version] = monotonicNow();
      changeAt(index + 1);
    });
  }
  std::int64_t onAnswer(const EndpointListAnswer& answer) {
    EXPECT_GE(answer.index, learned_) << case_.name << ": the list went back to an earlier version";
    learned_ = answer.index;
    learned_at_.emplace(answer.index, monotonicNow());
    return answer.index;
  }

  SlowCase case_;
  SlowAgent agent_;
  EndpointWatcher watcher_;
  boost::asio::steady_timer timer_;
  std::size_t next_change_ = 0;
  std::int64_t learned_ = -1;
  std::map<std::int64_t, Micros> changed_at_, learned_at_;
};

void expectChangesLearnedInTime(const std::vector<SlowCase>& cases) {
  boost::asio::io_context io(1);
  Worker worker(io);
  std::vector<std::unique_ptr<WatchedAgent>> watched;
  for (const SlowCase& slow_case : cases)
    watched.push_back(std::make_unique<WatchedAgent>(io, worker, slow_case));
  for (const auto& one : watched)
    one->start();
  const auto until = std::chrono::steady_clock::now() + loopback::kLong;
  const auto isDecided = [](const auto& one) { return one->isDecided(); };
  while (!std::all_of(watched.begin(), watched.end(), isDecided) && std::chrono::steady_clock::now() < until)
    io.run_for(milliseconds(20));
  for (const auto& one : watched)
    one->expectAllLearnedInTime();
}

// Guards against giving up each answer that takes longer than a limit: the list would never be known.
TEST(SlowDiscovery, AnswersThatMakeProgressAreReadToTheirEnd) {
  std::vector<SlowCase> cases;
  for (const int pause_ms : {100, 600, 1100, 2000, 4000})
    for (const bool starts_without_list : {false, true})
      cases.push_back({std::to_string(pause_ms) + " ms, without list " + std::to_string(starts_without_list),
                       always(slow(pause_ms)), 20, starts_without_list});
  expectChangesLearnedInTime(cases);
}

// Guards against a limit that counts at only some places of an answer.
TEST(SlowDiscovery, PausesMayFallAnywhereInAnAnswer) {
  std::vector<SlowCase> cases;
  for (const PauseAt pause_at :
       {PauseAt::before_status_line, PauseAt::in_status_line, PauseAt::before_body, PauseAt::in_body})
    for (const Framing framing : {Framing::content_length, Framing::chunked, Framing::until_close})
      cases.push_back({"pause at place " + std::to_string(static_cast<int>(pause_at)) + ", framing " +
                           std::to_string(static_cast<int>(framing)),
                       always(slow(1300, pause_at, framing))});
  expectChangesLearnedInTime(cases);
}

// Guards against waiting for the end of an answer that has none, while the next would come at once.
TEST(SlowDiscovery, AnAnswerWithoutEndDelaysTheListNoLongerThanTheNextPoll) {
  const Pace at_once = slow(0), stops = failing(End::stops), trickles = failing(End::trickles),
             resets = failing(End::resets, 700), silent = slow(60'000, PauseAt::before_status_line),
             unavailable = failing(End::unavailable, 600);
  expectChangesLearnedInTime({
      {"stops", atFirst({stops}, at_once)},
      {"trickles", atFirst({trickles}, at_once)},
      {"trickles twice", atFirst({trickles, trickles}, at_once)},
      {"trickles, then slow", atFirst({trickles}, slow(2000))},
      {"stops without a list", atFirst({stops}, at_once), 5, true},
      {"trickles without a list", atFirst({trickles}, at_once), 5, true},
      {"trickles without a list, then slow", atFirst({trickles}, slow(3000)), 5, true},
      {"silent", atFirst({silent}, at_once)},
      {"silent, then stops", atFirst({silent, stops}, at_once)},
      {"silent twice without a list", atFirst({silent, silent}, at_once), 5, true},
      {"reset", atFirst({resets}, at_once)},
      {"reset twice, then slow", atFirst({resets, resets}, slow(1000))},
      {"slow 503", atFirst({unavailable}, at_once)},
      {"two slow 503s, then slow", atFirst({unavailable, unavailable}, slow(1000))},
      {"every second one stops", [=](int poll) { return poll % 2 == 0 ? stops : slow(600); }},
      {"every second one trickles", [=](int poll) { return poll % 2 == 0 ? trickles : slow(600); }},
  });
}

// Random orders: at most one poll in three fails, and the others take up to 2 s, with pauses anywhere.
TEST(SlowDiscovery, RandomPacesBringEachChangeInTime) {
  std::vector<SlowCase> cases;
  for (unsigned seed = 1; seed <= 24; ++seed) {
    std::mt19937 random(seed);
    std::vector<Pace> paces;
    for (int poll = 0; poll < 60; ++poll) {
      Pace pace = slow(static_cast<int>(random() % 2000), static_cast<PauseAt>(random() % 4),
                       static_cast<Framing>(random() % 3));
      const std::vector<End> failures{End::stops, End::trickles, End::resets, End::unavailable};
      if (poll % 3 == static_cast<int>(seed % 3))
        pace.end = failures[random() % failures.size()];
      if (pace.pause_at == PauseAt::before_status_line && pace.end == End::stops)
        pace.pause_at = PauseAt::in_body;
      paces.push_back(pace);
    }
    cases.push_back({"seed " + std::to_string(seed), atFirst(paces, slow(0)),
                     static_cast<int>(1 + random() % 200), random() % 2 == 0});
  }
  expectChangesLearnedInTime(cases);
}

// A list that is parsed on the worker, and comes late.
TEST(SlowDiscovery, LongListsAreReadToTheirEnd) {
  expectChangesLearnedInTime({{"5,000 endpoints", always(slow(1000)), 5000, true}});
}

}  // namespace
}  // namespace grademux
