// State that a process of a sender passes to the next process: recovered messages, health, and a planned
// shutdown.
#include <set>

#include "sender_fixture.h"

namespace grademux {
namespace {

RecoveredMessage makeRecovered(const SenderDriver& driver, const std::string& id,
                               const std::string& class_name, std::vector<PastAttempt> past_attempts) {
  RecoveredMessage recovered;
  recovered.message.id = id;
  recovered.message.message_class = class_name;
  recovered.message.destination = 1;
  recovered.message.deadline = driver.now + 15 * kS;
  recovered.attempts = std::move(past_attempts);
  return recovered;
}

TEST(RecoveredMessages, RetriesOnlyAsIdempotencyAllows) {
  SenderDriver driver;
  driver.advanceTo(100 * kS).updateEndpoints({makeEndpoint("e", 1)});
  const PastAttempt expired{"e", 90 * kS, true}, recent{"e", 99 * kS, true},
      not_executed{"e", 99 * kS, false};
  const PastAttempt unlisted{"elsewhere", 99 * kS, true};
  const auto started = driver.decide(
      {makeRecovered(driver, "safe", "safe", {expired}), makeRecovered(driver, "keyed", "keyed", {recent}),
       makeRecovered(driver, "forgotten", "keyed", {expired}),
       makeRecovered(driver, "unsafe", "unsafe", {recent}), makeRecovered(driver, "untried", "unsafe", {}),
       makeRecovered(driver, "refused", "unsafe", {not_executed}),
       makeRecovered(driver, "away", "unsafe", {unlisted})});
  EXPECT_EQ((std::set<std::string>{"safe", "keyed", "untried", "refused"}),
            std::set<std::string>(started.begin(), started.end()));
  std::set<std::string> failed;
  for (const FailMessage& failure : driver.actionsOf<FailMessage>())
    failed.insert(failure.id);
  EXPECT_EQ((std::set<std::string>{"unsafe", "away"}), failed);
  ASSERT_EQ(1u,
            driver.actionsOf<RejectMessage>()
                .size());  // all endpoints recognise the key, so that the client may submit the message again
  EXPECT_EQ("forgotten", driver.actionsOf<RejectMessage>()[0].id);
}

// Guards against attempts that are still in flight in the replaced process, but are started again or do not
// count as calls in flight.
TEST(RecoveredMessages, CountsAttemptInFlightUntilItsOutcome) {
  Settings settings = makeSettings();
  settings.max_in_flight = 1;
  SenderDriver driver(settings);
  driver.advanceTo(100 * kS).updateEndpoints({makeEndpoint("e", 1)});
  PastAttempt in_flight{"e", 99 * kS, true, true};
  EXPECT_TRUE(driver
                  .decide({makeRecovered(driver, "out", "unsafe", {in_flight}),
                           makeRecovered(driver, "next", "safe", {})})
                  .empty());
  EXPECT_TRUE(driver.actionsOf<FailMessage>().empty());
  driver.advanceTo(101 * kS);
  const auto started = driver.decide({driver.makeOutcome("out", 0, AttemptResult::ok)});
  EXPECT_EQ(started, (std::vector<std::string>{"next"}));
  EXPECT_TRUE(driver.actionsOf<FailMessage>().empty());
  // An attempt whose outcome was never received, since its process died, may have been executed.
  SenderDriver other(settings);
  other.advanceTo(100 * kS).updateEndpoints({makeEndpoint("e", 1)});
  other.decide({makeRecovered(other, "out", "unsafe", {in_flight})});
  other.decide({other.makeOutcome("out", 0, AttemptResult::cancelled)});
  ASSERT_EQ(1u, other.actionsOf<FailMessage>().size());
}

// Guards against a changed message class that applies to messages accepted before the change.
TEST(SettingsUpdate, KeepsClassVersionOfOpenMessages) {
  SenderDriver driver;
  driver.advanceTo(100 * kS).updateEndpoints({makeEndpoint("e", 1)});
  EXPECT_EQ(driver.decide({driver.makeArrival("old", "unsafe", 1)}).size(), 1u);
  Settings changed = driver.settings;
  for (MessageClass& message_class : changed.classes)
    message_class.idempotency =
        message_class.name == "unsafe" ? Idempotency::idempotent : message_class.idempotency;
  changed.classes.erase(changed.classes.begin());  // removes "safe"
  changed.max_attempts = 2;
  driver.decide({SettingsChanged{changed}});
  driver.decide({driver.makeArrival("gone", "safe", 1)});
  ASSERT_EQ(driver.actionsOf<FailMessage>().size(), 1u);
  EXPECT_EQ(driver.actionsOf<FailMessage>()[0].id, "gone");
  EXPECT_EQ(driver.decide({driver.makeArrival("new", "unsafe", 1)}).size(), 1u);
  driver.decide({driver.makeOutcome("old", 0, AttemptResult::error),
                 driver.makeOutcome("new", 0, AttemptResult::error)});
  ASSERT_EQ(driver.actionsOf<FailMessage>().size(),
            1u);  // it may have been executed, and its class was non-idempotent at acceptance
  EXPECT_EQ(driver.actionsOf<FailMessage>()[0].id, "old");
  driver.advanceTo(110 * kS);
  EXPECT_EQ(driver.decide({TimerFired{}}), (std::vector<std::string>{"new"}));
  // A recovered message with a class version keeps that version.
  RecoveredMessage recovered = makeRecovered(driver, "resumed", "unsafe", {{"e", 109 * kS, true, false}});
  recovered.class_version = std::make_shared<const MessageClass>([] {
    MessageClass message_class = makeClass("unsafe", Idempotency::non_idempotent);
    message_class.max_attempts = 6;
    return message_class;
  }());
  driver.decide({recovered});
  ASSERT_EQ(driver.actionsOf<FailMessage>().size(), 1u);
  EXPECT_EQ(driver.actionsOf<FailMessage>()[0].id, "resumed");
}

TEST(RecoveredMessages, CountsPastAttemptsTowardsMaxAttempts) {
  SenderDriver driver;
  driver.advanceTo(100 * kS).updateEndpoints({makeEndpoint("e", 1)});
  const std::vector<PastAttempt> past_attempts(static_cast<std::size_t>(driver.settings.max_attempts - 1),
                                               {"e", 99 * kS, true});
  EXPECT_EQ(1u, driver.decide({makeRecovered(driver, "m", "safe", past_attempts)}).size());
  driver.advanceTo(101 * kS);
  EXPECT_TRUE(driver.decide({driver.makeOutcome("m", driver.settings.max_attempts - 1, AttemptResult::error)})
                  .empty());
  EXPECT_EQ(1u, driver.actionsOf<RejectMessage>().size());
}

// A process that recovers a backlog must pace calls to a failing destination as the previous process would
// have.
TEST(RecoveredMessages, RestoresExportedHealth) {
  SenderDriver first;
  first.advanceTo(100 * kS).updateEndpoints({makeEndpoint("e", 1, "shared", 10)});
  std::vector<DestinationHealth> exported;
  for (int i = 0; i < 8; ++i) {
    first.advanceTo(100 * kS + i * 2 * kS);
    first.submit("m" + std::to_string(i), "safe", 1);
    for (const StartAttempt& start : first.actionsOf<StartAttempt>()) {
      first.advanceTo(first.now + 10 * kMs).finishAttempt(start.id, 0, AttemptResult::connect_failed);
      for (const DestinationHealth& health : first.actionsOf<DestinationHealth>())
        exported.push_back(health);
    }
  }
  ASSERT_FALSE(exported.empty());
  EXPECT_TRUE(exported.back().down);
  EXPECT_EQ(1, exported.back().destination);
  // At once or, with the health, within the gap between two calls: one falls at a random moment of it.
  auto starts_with_health = [&](bool is_restored) {
    SenderDriver next;
    next.advanceTo(first.now + kS).updateEndpoints({makeEndpoint("e", 1, "shared", 10)});
    std::vector<Event> events;
    if (is_restored)
      events.push_back(exported.back());
    for (int i = 0; i < 8; ++i)
      events.push_back(makeRecovered(next, "r" + std::to_string(i), "safe", {}));
    std::size_t started_count = next.decide(events).size();
    const Micros gap_end = next.now + 2 * kS;  // 0.9 x 1.5 x 0.3 x 1.2 calls a second
    while (is_restored && next.now < gap_end)
      started_count += next.advanceTo(next.now + 5 * kMs).fireTimer().size();
    return started_count;
  };
  EXPECT_EQ(1u, starts_with_health(true));
  EXPECT_GT(starts_with_health(false), 3u);
}

// Guards against overload of a returning destination: a process whose first outcome is a success took the
// outage of the earlier process for a brief one and sent at full rate. Several senders that were started
// together overloaded the destination.
TEST(RecoveredMessages, StartsSlowlyAfterOutageOfEarlierProcess) {
  const auto starts_after_success = [](std::vector<Event> first) {
    SenderDriver next;
    next.advanceTo(100 * kS).updateEndpoints({makeEndpoint("e", 1, "shared", 10)});
    next.decide(first);
    const bool starts_at_once = next.submit("first", "safe", 1).size() == 1u;
    EXPECT_TRUE(starts_at_once || !first.empty());
    if (!starts_at_once) {
      EXPECT_NE(0, next.fireTimersUntilStart("first", next.now + 2100 * kMs));
    }
    next.advanceTo(next.now + 100 * kMs).finishAttempt("first", 0, AttemptResult::ok);
    std::vector<Event> backlog;
    for (int i = 0; i < 8; ++i)
      backlog.push_back(next.makeArrival("m" + std::to_string(i), "safe", 1));
    next.advanceTo(next.now + 500 * kMs);
    return next.decide(backlog).size();
  };
  DestinationHealth outage;
  outage.destination = 1;
  outage.down = true;
  outage.warming_since = outage.observed_at = 99'900 * kMs;  // observed just before the kill
  EXPECT_LE(starts_after_success({outage}), 1u);
  EXPECT_GT(starts_after_success({}), 3u);
}

TEST(RecoveredMessages, StartsOnlyAttemptsThatEndBeforeShutdown) {
  SenderDriver driver;
  driver.advanceTo(100 * kS).updateEndpoints({makeEndpoint("e", 1)});
  driver.submit("warm", "safe", 1);
  driver.advanceTo(driver.now + 100 * kMs).finishAttempt("warm", 0, AttemptResult::ok);
  driver.advanceTo(101 * kS).decide({ShutdownScheduled{101 * kS + 3 * kS}});
  EXPECT_EQ(1u, driver.submit("soon", "unsafe", 1).size());
  driver.advanceTo(driver.now + 100 * kMs).finishAttempt("soon", 0, AttemptResult::ok);
  // The time left is half of the message's time-out, but many times the usual latency, so that the message is
  // sent and does not wait for the next process.
  driver.advanceTo(104 * kS - 900 * kMs);
  EXPECT_EQ(1u, driver.submit("payment", "unsafe", 1).size());
  EXPECT_GT(driver.now + driver.timeout_of["payment"], 104 * kS);
  driver.advanceTo(driver.now + 100 * kMs).finishAttempt("payment", 0, AttemptResult::ok);
  driver.advanceTo(104 * kS - 50 * kMs);
  EXPECT_TRUE(driver.submit("late", "unsafe", 1).empty());
  EXPECT_TRUE(driver.actionsOf<FailMessage>().empty());
  EXPECT_TRUE(driver.actionsOf<RejectMessage>().empty());  // the message waits for the next process
}

TEST(RecoveredMessages, RejectsArrivalsAboveMaxOpenMessages) {
  Settings settings = makeSettings();
  settings.max_open_messages = 3;
  SenderDriver driver(settings);
  driver.advanceTo(100 * kS).updateEndpoints({});
  int rejections = 0;
  for (int i = 0; i < 6; ++i) {
    driver.submit("m" + std::to_string(i), "safe", 1);
    rejections += static_cast<int>(driver.actionsOf<RejectMessage>().size());
  }
  EXPECT_GE(rejections, 3);
}

}  // namespace
}  // namespace grademux
