// A fleet that asks one discovery: by itself in virtual time, and the watch over loopback.
#include "../../src/discovery/poll_schedule.h"

#include <queue>

#include "../../src/discovery/discovery.h"
#include "../../src/net/address.h"
#include "../support/loopback.h"

namespace grademux {
namespace {

constexpr Micros kSecond = 1'000'000;

// Calls are served one after another, `each` apart; one is turned away at once if its answer would take
// longer than `patience`, and its caller gives up after that, though it is worked on all the same.
struct Overbooked {
  Micros each, patience = 2 * kSecond, free_at = 0;
  // When the caller knows, and whether it was answered.
  std::pair<Micros, bool> call(Micros now) {
    const Micros start = std::max(now, free_at);
    if (start - now > patience)
      return {now + 15'000, false};
    free_at = start + each;
    const bool heard = free_at - now <= patience;
    return {heard ? free_at : now + patience, heard};
  }
};

// How many of so many senders that start at one moment were answered by `until`, and how many calls it took.
template <class First, class Again>
std::pair<int, int> answeredOf(int senders, Micros each, Micros until, First first, Again again) {
  Overbooked discovery{each};
  std::priority_queue<std::pair<Micros, int>, std::vector<std::pair<Micros, int>>, std::greater<>> due;
  for (int i = 0; i < senders; ++i)
    due.emplace(first(i), i);
  int answered = 0, calls = 0;
  for (; !due.empty() && due.top().first < until; ++calls) {
    const auto [now, i] = due.top();
    due.pop();
    const auto [at, heard] = discovery.call(now);
    if (heard)
      ++answered;
    else
      due.emplace(at + again(i), i);
  }
  return {answered, calls};
}

// herd+vast 932159627858: 39 of 100 were answered, and nobody after that. All ask at once first: what waits
// is not told of drains.
TEST(PollSchedule, AnswersAllSendersOfAFleetThatStartsAtOnce) {
  for (const int senders : {30, 100, 200}) {
    for (const double all_in : {2.0, 5.0, 8.0}) {  // seconds in which discovery can serve a call of each
      std::vector<PollSchedule> fleet;
      for (int i = 0; i < senders; ++i)
        fleet.emplace_back(senders, 1000 + i);
      const auto each = static_cast<Micros>(all_in * 1e6 / senders);
      const auto [answered, calls] = answeredOf(
          senders, each, 40 * kSecond, [](int) { return 0; },
          [&](int i) { return fleet[static_cast<std::size_t>(i)].delayAfterRejection(); });
      EXPECT_EQ(answered, senders) << all_in;
      EXPECT_LE(calls, 11 * senders) << all_in;
    }
  }
  const auto [answered, calls] = answeredOf(
      100, 50'000, 40 * kSecond, [](int) { return 0; }, [](int i) { return 100'000 + 337 * i; });
  EXPECT_LT(answered, 60);  // the stand-in shows what it is for
  EXPECT_GT(calls, 4000);
}

TEST(PollSchedule, RetriesSoonForASingleSender) {
  for (const int senders : {-3, 0, 1}) {
    PollSchedule a(senders, 5);
    EXPECT_LE(a.delayAfterRejection(), 2 * PollSchedule::kInitialBackoff);
    for (int i = 0; i < 50; ++i) {
      const Micros pause = a.delayAfterRejection();
      EXPECT_GE(pause, PollSchedule::kInitialBackoff);
      EXPECT_LE(pause, PollSchedule::kMaxBackoff);
    }
    a.onAnswered();
    EXPECT_LE(a.delayAfterFailure(), 2 * PollSchedule::kInitialBackoff);
  }
}

// A call that broke off says nothing of how many ask: drains have to be heard in time, whatever the fleet.
TEST(PollSchedule, RetriesSoonAfterAFailureInAnyFleet) {
  PollSchedule a(100'000, 5);
  for (int i = 0; i < 50; ++i)
    EXPECT_LE(a.delayAfterFailure(), PollSchedule::kMaxBackoff);
}

// What the agent has counts as told, whether or not it was asked: a sender that starts, or whose discovery
// has moved, asks at once, however many there are; turned away it asks again before news count as told.
TEST(PollSchedule, PollsAtOnceFirstAndNeverLaterThanTheListMustBeKnown) {
  loopback::Listener first, moved;
  const auto called = [](const loopback::Listener& l) {
    pollfd p{l.fd, POLLIN, 0};
    return ::poll(&p, 1, static_cast<int>(std::chrono::milliseconds(loopback::kLong).count())) > 0;
  };
  boost::asio::io_context io(1);
  Worker worker(io);
  EndpointWatcher watcher(
      Agent(io, parseAddress(first.address()), first.address()), worker,
      [](const EndpointListAnswer& a) { return a.index; }, 100'000, 3);
  watcher.start(0);  // the loop doesn't run: what waits for a timer does not come
  EXPECT_TRUE(called(first));
  watcher.moveTo(parseAddress(moved.address()), moved.address());
  EXPECT_TRUE(called(moved));
  PollSchedule many(100'000, 5);
  for (int i = 0; i < 200; ++i)
    EXPECT_LE(many.delayAfterRejection(), 5'000'000);
}

// A change counts as told 6 s after discovery had it and could be reached, whatever became of the calls
// before. Each order of failures, by the longest that each can take, has the next call begin before that.
TEST(PollSchedule, EndsEachOrderOfFailuresBeforeTheListMustBeKnown) {
  constexpr Micros kCountsAsTold = 6 * kSecond, kAnswer = kSecond / 2;
  const Micros silent_watch = PollSchedule::kLongPollTime + PollSchedule::kResponseGrace,
               silent_call = PollSchedule::kResponseGrace;
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    PollSchedule fresh(300, seed);
    EXPECT_LE(silent_watch + fresh.delayAfterFailure() + PollSchedule::kConnectTimeout +
                  fresh.delayAfterFailure() + kAnswer,
              kCountsAsTold);
    PollSchedule refused(300, seed);
    EXPECT_LE(kAnswer + refused.delayAfterRejection() + kAnswer + refused.delayAfterRejection() + kAnswer,
              kCountsAsTold);
    PollSchedule outage(300, seed);
    for (int i = 0; i < 20; ++i)
      outage.delayAfterFailure();  // it was long; the last call began as it ended
    EXPECT_LE(PollSchedule::kConnectTimeout + silent_call + outage.delayAfterFailure() + silent_call +
                  outage.delayAfterFailure() + kAnswer,
              kCountsAsTold);
  }
}

// Risk: an agent that fell silent is asked with a call that may wait, and 3 s more go by if it is silent
// still.
TEST(PollSchedule, PollsWithoutWaitingAfterATimeout) {
  std::mutex mutex;
  std::vector<std::string> targets;
  loopback::Server server([&](const loopback::Seen& seen) {
    std::lock_guard<std::mutex> l(mutex);
    targets.push_back(seen.head.substr(0, seen.head.find(" HTTP/")));
    if (targets.size() == 2)
      return loopback::Act{"", true};  // the watch breaks off
    return loopback::Act{loopback::answer("200 OK", "", R"({"index":7,"snapshot":false,"endpoints":[]})")};
  });
  boost::asio::io_context io(1);
  Worker worker(io);
  int answers = 0;
  EndpointWatcher watcher(
      Agent(io, parseAddress(server.address()), server.address()), worker,
      [&](const EndpointListAnswer& a) {
        if (++answers == 3)
          io.stop();
        return a.index;
      },
      1, 3);
  watcher.start(7);
  io.run_for(loopback::kLong);
  std::lock_guard<std::mutex> l(mutex);
  ASSERT_GE(targets.size(), 4u);
  const std::string watch = "GET /v1/endpoints?from=7&hold_ms=";
  EXPECT_EQ(watch + "2500", targets[0]);
  EXPECT_EQ(watch + "0", targets[2]);
  EXPECT_EQ(watch + "2500", targets[3]);
}

// The watch waits as it is told: its calls come no sooner than these pauses, which 100 ms would be.
TEST(PollSchedule, AppliesItsDelaysToTheWatch) {
  using Clock = std::chrono::steady_clock;
  constexpr int kSenders = 12;
  std::mutex mutex;
  std::vector<Clock::time_point> came;
  loopback::Server server([&](const loopback::Seen&) {
    std::lock_guard<std::mutex> l(mutex);
    came.push_back(Clock::now());
    if (came.size() < 4)
      return loopback::Act{loopback::answer("503 Busy")};
    return loopback::Act{loopback::answer("200 OK", "", R"({"index":7,"snapshot":true,"endpoints":[]})")};
  });
  const std::uint64_t seed = 11;
  PollSchedule same(kSenders, seed);
  Micros least = 0;
  for (int i = 0; i < 3; ++i)
    least += same.delayAfterRejection();
  ASSERT_GT(least, 4 * PollSchedule::kInitialBackoff);  // more than pauses of 100 ms make
  boost::asio::io_context io(1);
  Worker worker(io);
  std::int64_t heard = -1;
  const auto begun = Clock::now();
  EndpointWatcher watcher(
      Agent(io, parseAddress(server.address()), server.address()), worker,
      [&](EndpointListAnswer a) {
        heard = a.index;
        io.stop();
        return a.index;
      },
      kSenders, seed);
  watcher.start(0);
  io.run_for(loopback::kLong);
  EXPECT_EQ(heard, 7);
  std::lock_guard<std::mutex> l(mutex);
  ASSERT_GE(came.size(), 4u);
  EXPECT_GE(came[3] - begun, std::chrono::microseconds(least));
}

}  // namespace
}  // namespace grademux
