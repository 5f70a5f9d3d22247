// A fleet that polls one discovery: the schedule in virtual time, and the watcher over loopback.
#include "../../src/discovery/poll_schedule.h"

#include <queue>

#include "../../src/discovery/endpoint_watcher.h"
#include "../../src/net/address.h"
#include "../support/loopback.h"

namespace grademux {
namespace {

constexpr Micros kSecond = 1'000'000;

// A model of discovery that serves calls one after another, `each` microseconds per call. It rejects a call
// at once if its service would start later than `patience`. A caller times out after `patience`, but its call
// is still served.
struct OverloadedDiscovery {
  Micros each, patience = 2 * kSecond, free_at = 0;
  // Returns when the caller learns the result, and whether it was answered.
  std::pair<Micros, bool> call(Micros now) {
    const Micros start = std::max(now, free_at);
    if (start - now > patience)
      return {now + 15'000, false};
    free_at = start + each;
    const bool answered = free_at - now <= patience;
    return {answered ? free_at : now + patience, answered};
  }
};

// Returns how many of the senders were answered by `until`, and how many calls they made. `first`: when a
// sender makes its first call; `again`: its delay after a failed call.
template <class First, class Again>
std::pair<int, int> answeredOf(int senders, Micros each, Micros until, First first, Again again) {
  OverloadedDiscovery discovery{each};
  std::priority_queue<std::pair<Micros, int>, std::vector<std::pair<Micros, int>>, std::greater<>> due;
  for (int i = 0; i < senders; ++i)
    due.emplace(first(i), i);
  int answered = 0, calls = 0;
  for (; !due.empty() && due.top().first < until; ++calls) {
    const auto [now, i] = due.top();
    due.pop();
    const auto [at, was_answered] = discovery.call(now);
    if (was_answered)
      ++answered;
    else
      due.emplace(at + again(i), i);
  }
  return {answered, calls};
}

// Scenario herd+vast, seed 932159627858: 39 of 100 senders were answered, and none after that. All senders
// poll at once first, because a sender that delays its first poll is not notified of drains.
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
  EXPECT_LT(answered, 60);  // retries after 100 ms or more without spreading fail in the model
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

// A failed call does not indicate overload, so the retry delay must not depend on the fleet size: the sender
// must be notified of drains in time.
TEST(PollSchedule, RetriesSoonAfterAFailureInAnyFleet) {
  PollSchedule a(100'000, 5);
  for (int i = 0; i < 50; ++i)
    EXPECT_LE(a.delayAfterFailure(), 250'000);  // the grace for drains
}

// A sender must act on a list that its agent has, whether or not it polled. So a sender that starts, or whose
// discovery has moved, polls at once in a fleet of any size; after a rejection it polls again before the list
// must be known.
TEST(PollSchedule, PollsAtOnceFirstAndNeverLaterThanTheListMustBeKnown) {
  loopback::Listener first, moved;
  const auto wasCalled = [](const loopback::Listener& l) {
    pollfd p{l.fd, POLLIN, 0};
    return ::poll(&p, 1, static_cast<int>(std::chrono::milliseconds(loopback::kLong).count())) > 0;
  };
  boost::asio::io_context io(1);
  Worker worker(io);
  EndpointWatcher watcher(
      Agent(io, parseAddress(first.address()), first.address()), worker,
      [](const EndpointListAnswer& a) { return a.index; }, 100'000, 3);
  watcher.start(0);  // the loop does not run, so a call that waits for a timer is not made
  EXPECT_TRUE(wasCalled(first));
  watcher.moveTo(parseAddress(moved.address()), moved.address());
  EXPECT_TRUE(wasCalled(moved));
  PollSchedule many(100'000, 5);
  for (int i = 0; i < 200; ++i)
    EXPECT_LE(many.delayAfterRejection(), 5'000'000);
}

// A sender must know a change 6 s after discovery has it and is reachable, whatever happened to earlier
// calls. Each order of failures, with the longest time of each, must end in an answer before that.
TEST(PollSchedule, EndsEachOrderOfFailuresBeforeTheListMustBeKnown) {
  constexpr Micros kMustBeKnown = 6 * kSecond, kAnswerTime = kSecond / 2;
  const Micros silent_watch = PollSchedule::kLongPollTime + PollSchedule::kResponseGrace,
               silent_call = PollSchedule::kResponseGrace;
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    PollSchedule fresh(300, seed);
    EXPECT_LE(silent_watch + fresh.delayAfterFailure() + PollSchedule::kConnectTimeout +
                  fresh.delayAfterFailure() + kAnswerTime,
              kMustBeKnown);
    PollSchedule refused(300, seed);
    EXPECT_LE(kAnswerTime + refused.delayAfterRejection() + kAnswerTime + refused.delayAfterRejection() +
                  kAnswerTime,
              kMustBeKnown);
    PollSchedule outage(300, seed);
    for (int i = 0; i < 20; ++i)
      outage.delayAfterFailure();  // a long outage; the last call began when it ended
    EXPECT_LE(PollSchedule::kConnectTimeout + silent_call + outage.delayAfterFailure() + silent_call +
                  outage.delayAfterFailure() + kAnswerTime,
              kMustBeKnown);
  }
}

// The same for answers that are slow or have no end. The change comes right after the first byte of an answer
// that can't contain it any more; the poll that brings it begins beside that answer.
TEST(PollSchedule, EndsEachOrderOfSlowAnswersBeforeTheListMustBeKnown) {
  constexpr Micros kMustBeKnown = 6 * kSecond, kAnswerTime = kSecond / 2, kSlowAnswerTime = 4 * kSecond;
  PollState watch;
  watch.from = 7;
  watch.poll_time = PollSchedule::kLongPollTime;
  const Micros silent_watch = PollSchedule::overlapDueAt(watch);
  watch.begun_at = 0;
  const Micros slow_change = PollSchedule::overlapDueAt(watch);
  PollState snapshot;
  const Micros silent_snapshot = PollSchedule::overlapDueAt(snapshot);
  snapshot.begun_at = 0;
  const Micros slow_snapshot = PollSchedule::overlapDueAt(snapshot);
  EXPECT_LE(slow_change + kSlowAnswerTime, kMustBeKnown);
  EXPECT_LE(slow_snapshot + kSlowAnswerTime, kMustBeKnown);
  EXPECT_LE(silent_snapshot + kSlowAnswerTime, kMustBeKnown);
  EXPECT_LE(silent_watch + silent_snapshot + kAnswerTime, kMustBeKnown);
  // Three answers without end, one after another, then one that is slow.
  EXPECT_LE(3 * slow_change + kSlowAnswerTime / 2, kMustBeKnown);
  EXPECT_LE(2 * slow_snapshot + kSlowAnswerTime / 2, kMustBeKnown);
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    PollSchedule schedule(300, seed);
    // An answer without end, a connection that never comes up, a reset, then an answer.
    EXPECT_LE(slow_snapshot + PollSchedule::kConnectTimeout + schedule.delayAfterFailure() + kAnswerTime +
                  schedule.delayAfterFailure() + kAnswerTime,
              kMustBeKnown);
  }
}

// A poll is replaced only if its answer has had the time of a slow one; one without a byte as soon as it is
// late.
TEST(PollSchedule, ReplacesNoSlowAnswerBeforeItsTime) {
  constexpr Micros kSlowAnswerTime = 4 * kSecond;
  PollState poll;
  poll.started_at = 10 * kSecond;
  EXPECT_EQ(PollSchedule::overlapDueAt(poll), PollSchedule::replaceableAt(poll));
  poll.begun_at = 11 * kSecond;
  EXPECT_GE(PollSchedule::replaceableAt(poll), poll.begun_at + kSlowAnswerTime);
  EXPECT_LT(PollSchedule::maxPolls(-1), PollSchedule::maxPolls(7));
}

// Guards against a long poll as the first call after an agent stopped responding: if it still does not
// respond, another 3 s are lost.
TEST(PollSchedule, PollsWithoutWaitingAfterATimeout) {
  std::mutex mutex;
  std::vector<std::string> targets;
  loopback::Server server([&](const loopback::Seen& seen) {
    std::lock_guard<std::mutex> l(mutex);
    targets.push_back(seen.head.substr(0, seen.head.find(" HTTP/")));
    if (targets.size() == 2)
      return loopback::Act{"", true};  // the long poll is aborted
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

// The watcher must wait for the delays of its schedule: its calls must not arrive earlier, as they would with
// delays of 100 ms.
TEST(PollSchedule, AppliesItsDelaysToTheWatch) {
  using Clock = std::chrono::steady_clock;
  constexpr int kSenders = 12;
  std::mutex mutex;
  std::vector<Clock::time_point> arrivals;
  loopback::Server server([&](const loopback::Seen&) {
    std::lock_guard<std::mutex> l(mutex);
    arrivals.push_back(Clock::now());
    if (arrivals.size() < 4)
      return loopback::Act{loopback::answer("503 Busy")};
    return loopback::Act{loopback::answer("200 OK", "", R"({"index":7,"snapshot":true,"endpoints":[]})")};
  });
  const std::uint64_t seed = 11;
  PollSchedule same(kSenders, seed);
  Micros min_total_delay = 0;
  for (int i = 0; i < 3; ++i)
    min_total_delay += same.delayAfterRejection();
  ASSERT_GT(min_total_delay, 4 * PollSchedule::kInitialBackoff);  // longer than delays of 100 ms add up to
  boost::asio::io_context io(1);
  Worker worker(io);
  std::int64_t received_index = -1;
  const auto start = Clock::now();
  EndpointWatcher watcher(
      Agent(io, parseAddress(server.address()), server.address()), worker,
      [&](EndpointListAnswer a) {
        received_index = a.index;
        io.stop();
        return a.index;
      },
      kSenders, seed);
  watcher.start(0);
  io.run_for(loopback::kLong);
  EXPECT_EQ(received_index, 7);
  std::lock_guard<std::mutex> l(mutex);
  ASSERT_GE(arrivals.size(), 4u);
  EXPECT_GE(arrivals[3] - start, std::chrono::microseconds(min_total_delay));
}

}  // namespace
}  // namespace grademux
