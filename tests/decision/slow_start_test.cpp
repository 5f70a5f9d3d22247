// Slow start: the calls of all senders together to a destination that comes back from an outage.
#include <cmath>
#include <functional>

#include "sender_fixture.h"

using namespace grademux;

namespace {

constexpr double kLimit = 20;  // calls a second that the destination takes from all senders
constexpr double kLargeLimit = 100;

Settings fleetSettings(int senders) {
  Settings settings = makeSettings();
  settings.sender_count = senders;
  settings.max_in_flight = 50;
  settings.weight_kind = WeightKind::nominal;
  settings.classes[0].deadline = 300 * kS;
  return settings;
}

SenderDriver makeSender(int senders, std::uint64_t seed, double limit = kLimit) {
  SenderDriver driver(fleetSettings(senders), seed);
  driver.advanceTo(100 * kS).updateEndpoints({makeEndpoint("e", 1, "shared", limit)});
  return driver;
}

DestinationHealth makeHealth(bool down, Micros warming_since) {
  DestinationHealth health;
  health.destination = 1;
  health.down = down;
  health.warming_since = health.observed_at = warming_since;
  return health;
}

LearnedEndpoint makeTraffic(double message_rate) {
  LearnedEndpoint learned;
  learned.destination = 1;
  learned.message_rate = message_rate;
  learned.last_message_at = 99 * kS;
  return learned;
}

// Calls within `span` of a sender that starts with `events` and a backlog; each call succeeds at once, or
// none has an outcome.
int countCalls(SenderDriver& driver, std::vector<Event> events, Micros span, bool answered) {
  for (int i = 0; i < 20; ++i)
    events.push_back(RecoveredMessage{driver.makeArrival("m" + std::to_string(i), "safe", 1), {}, nullptr});
  for (Event& event : events)
    if (auto* recovered = std::get_if<RecoveredMessage>(&event))
      recovered->message.resubmitted = true;
  std::vector<std::string> started = driver.decide(events);
  int call_count = static_cast<int>(started.size());
  const Micros end = driver.now + span;
  while (driver.now < end) {
    std::vector<Event> next{TimerFired{}};
    for (const std::string& id : started)
      if (answered)
        next.push_back(driver.makeOutcome(id, 0, AttemptResult::ok, 5 * kMs));
    started = driver.advanceTo(driver.now + 5 * kMs).decide(next);
    call_count += static_cast<int>(started.size());
  }
  return call_count;
}

// Calls of `senders` senders with the message rates `rate_of(sender)` in the first overload collapse time.
int countFleetCalls(int senders, double limit, const std::function<double(int)>& rate_of) {
  int call_count = 0;
  for (int sender = 0; sender < senders; ++sender) {
    SenderDriver driver = makeSender(senders, static_cast<std::uint64_t>(sender) + 1, limit);
    const std::vector<Event> events{makeTraffic(rate_of(sender)), makeHealth(true, 99 * kS)};
    call_count += countCalls(driver, events, driver.settings.overload_collapse_time, false);
  }
  return call_count;
}

// What the settings allow all senders in Settings::overload_collapse_time, and the slack for chance.
double slowStartBudget(const Settings& settings, double limit = kLimit) {
  const double allowed = settings.overload_factor * settings.cold_capacity_fraction * limit *
                         static_cast<double>(settings.overload_collapse_time) / kS;
  return allowed < 30 ? allowed + 3 * std::sqrt(allowed) + 3 : allowed + 2 * std::sqrt(allowed) + 2;
}

// Guards against calls of restarted senders at once: each forgot when it had called last (report dfa0b2).
TEST(SlowStart, RestartedSendersTogetherStayWithinBudget) {
  for (const int senders : {3, 8, 20, 21, 47, 200})
    EXPECT_LE(countFleetCalls(senders, kLimit, [&](int) { return kLimit / senders; }),
              slowStartBudget(fleetSettings(senders)))
        << senders;
}

// Guards against claims by demand on top of even claims: their sum exceeded the budget.
TEST(SlowStart, UnevenDemandsTogetherStayWithinBudget) {
  for (const int senders : {8, 20, 47, 200}) {
    const auto rate_of = [&](int sender) { return sender < 6 ? kLargeLimit / 6 : 0; };
    EXPECT_LE(countFleetCalls(senders, kLargeLimit, rate_of),
              slowStartBudget(fleetSettings(senders), kLargeLimit))
        << senders;
  }
}

// Guards against a restart in slow start that calls at once.
TEST(SlowStart, RestartInSlowStartSpreadsCalls) {
  int called_at_once = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SenderDriver driver = makeSender(47, seed);
    called_at_once += countCalls(driver, {makeTraffic(0.5), makeHealth(false, 99 * kS)}, 0, false);
  }
  EXPECT_EQ(called_at_once, 0);
}

// Guards against a backlog, or messages of clients that come again, which count as demand once more.
TEST(SlowStart, ResumedAndResubmittedMessagesAreNoFurtherDemand) {
  SenderDriver driver = makeSender(47, 1);
  countCalls(driver, {makeTraffic(0.5)}, 0, false);
  MessageArrival again = driver.makeArrival("again", "safe", 1);
  again.resubmitted = true;
  driver.decide({again, ExportLearned{INT64_MIN, 10}});
  for (const LearnedEndpoint& learned : driver.actionsOf<LearnedEndpoint>()) {
    if (learned.endpoint.empty()) {
      EXPECT_DOUBLE_EQ(learned.message_rate, 0.5);
    }
  }
}

// Guards against a second call right behind the first success, in place of one gap later.
TEST(SlowStart, FirstSuccessAllowsNoSecondCallAtOnce) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SenderDriver driver = makeSender(47, seed);
    // The gap is 5.3 s at first: 0.9 x 1.5 x 0.3 of half of the demand and half of the even part.
    EXPECT_LE(countCalls(driver, {makeTraffic(0.5), makeHealth(true, 99 * kS)}, 4 * kS, true), 1) << seed;
  }
}

// Guards against trials that come sooner after the start of an outage than later in it, because their jitter
// was bounded by the slow start time: in a large fleet the gap between two trials is longer.
TEST(SlowStart, FirstTrialsSpreadOverTheWholeGap) {
  int early = 0;
  constexpr int kSenders = 200;
  for (std::uint64_t seed = 1; seed <= kSenders; ++seed) {
    SenderDriver driver = makeSender(kSenders, seed);
    driver.submit("failing", "safe", 1);
    driver.advanceTo(driver.now + 100 * kMs).finishAttempt("failing", 0, AttemptResult::connect_failed);
    early += driver.fireTimersUntilStart("failing", driver.now + 10 * kS) > 0;
  }
  // 200 senders with one message in 10 s each: 0.9 x 1.5 x 0.3 of their mean claim, (0.1 + 0.1) / 2 a second.
  EXPECT_LE(early, 0.9 * 1.5 * 0.3 * 0.1 * 10 * kSenders + 3 * std::sqrt(kSenders * 0.4 * 0.6));
}

// Guards against rare senders whose first attempts ignored pacing while the destination was in slow start.
TEST(SlowStart, RareSenderPacesFirstAttemptsInSlowStart) {
  int call_count = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SenderDriver driver = makeSender(200, seed);
    driver.decide({makeHealth(false, 100 * kS)});
    for (int i = 0; i < 10; ++i) {
      MessageArrival urgent = driver.makeArrival("u" + std::to_string(i), "safe", 1);
      urgent.deadline = driver.now + kS;
      call_count += static_cast<int>(driver.decide({urgent}).size());
      driver.advanceTo(driver.now + 200 * kMs);
    }
  }
  EXPECT_LE(call_count, 20);  // of 200
}

// Guards against outages that a sender of a middle-sized fleet hardly noticed: it saw a failure or two.
TEST(SlowStart, FollowsOneFailureInFleetOfTwenty) {
  const auto calls_after_outage = [](int senders) {
    SenderDriver driver = makeSender(senders, 1);
    driver.submit("before", "safe", 1);
    driver.advanceTo(driver.now + 10 * kMs).finishAttempt("before", 0, AttemptResult::ok);
    driver.advanceTo(driver.now + 500 * kMs).submit("failing", "safe", 1);
    driver.advanceTo(driver.now + 10 * kMs).finishAttempt("failing", 0, AttemptResult::connect_failed);
    int call_count = 0;
    for (int i = 0; i < 20; ++i)
      call_count += static_cast<int>(driver.submit("m" + std::to_string(i), "safe", 1).size());
    return call_count;
  };
  EXPECT_LE(calls_after_outage(20), 1);
  EXPECT_LE(calls_after_outage(12), 1);
}

// Guards against a slow start that one failure ends: the next success came soon, so the outage counted as
// brief.
TEST(SlowStart, GoesOnAfterFailureBetweenTwoSuccesses) {
  SenderDriver driver = makeSender(47, 1, 0);
  for (const char* id : {"first", "failing", "second"})
    EXPECT_EQ(driver.submit(id, "safe", 1).size(), 1u);
  driver.decide({makeHealth(false, 100 * kS)});
  driver.advanceTo(driver.now + 10 * kMs).finishAttempt("first", 0, AttemptResult::ok);
  driver.advanceTo(driver.now + 10 * kMs).finishAttempt("failing", 0, AttemptResult::connect_failed);
  driver.advanceTo(driver.now + 10 * kMs).finishAttempt("second", 0, AttemptResult::ok);
  const std::vector<DestinationHealth> exported = driver.actionsOf<DestinationHealth>();
  ASSERT_EQ(exported.size(), 1u);
  EXPECT_FALSE(exported[0].down);
  EXPECT_EQ(exported[0].warming_since, 100 * kS);
}

// Guards against the ends of one Retry-After in step: the calls of all senders spread from its end on.
TEST(SlowStart, SendersToldToWaitTogetherStayWithinBudget) {
  for (const int senders : {8, 20, 47, 200}) {
    int call_count = 0;
    for (int sender = 0; sender < senders; ++sender) {
      SenderDriver driver = makeSender(senders, static_cast<std::uint64_t>(sender) + 1);
      driver.decide({makeTraffic(kLimit / senders)});
      driver.submit("rejected", "safe", 1);
      driver.advanceTo(driver.now + 10 * kMs)
          .finishAttempt("rejected", 0, AttemptResult::rejected, 10 * kMs, 3 * kS);
      driver.advanceTo(driver.now + 3 * kS);
      call_count += countCalls(driver, {}, driver.settings.overload_collapse_time, false);
    }
    EXPECT_LE(call_count, slowStartBudget(fleetSettings(senders))) << senders;
  }
}

}  // namespace
