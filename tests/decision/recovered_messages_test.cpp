// What one process of the sender leaves to the next: resumed messages, health, and the end of a process.
#include <set>

#include "sender_fixture.h"

namespace grademux {
namespace {

RecoveredMessage resumed(const SenderDriver& driver, const std::string& id, const std::string& cls,
                         std::vector<PastAttempt> past) {
  RecoveredMessage recovered;
  recovered.message.id = id;
  recovered.message.message_class = cls;
  recovered.message.destination = 1;
  recovered.message.deadline = driver.now + 15 * kS;
  recovered.attempts = std::move(past);
  return recovered;
}

TEST(RecoveredMessages, RetriesOnlyAsIdempotencyAllows) {
  SenderDriver driver;
  driver.advanceTo(100 * kS).updateEndpoints({makeEndpoint("e", 1)});
  const PastAttempt old{"e", 90 * kS, true}, young{"e", 99 * kS, true}, none{"e", 99 * kS, false};
  const PastAttempt unlisted{"elsewhere", 99 * kS, true};
  const auto sent = driver.decide(
      {resumed(driver, "safe", "safe", {old}), resumed(driver, "keyed", "keyed", {young}),
       resumed(driver, "forgotten", "keyed", {old}), resumed(driver, "unsafe", "unsafe", {young}),
       resumed(driver, "untried", "unsafe", {}), resumed(driver, "refused", "unsafe", {none}),
       resumed(driver, "away", "unsafe", {unlisted})});
  EXPECT_EQ((std::set<std::string>{"safe", "keyed", "untried", "refused"}),
            std::set<std::string>(sent.begin(), sent.end()));
  std::set<std::string> failed;
  for (const FailMessage& f : driver.actionsOf<FailMessage>())
    failed.insert(f.id);
  EXPECT_EQ((std::set<std::string>{"unsafe", "away"}), failed);
  ASSERT_EQ(1u,
            driver.actionsOf<RejectMessage>()
                .size());  // repeats are dropped at all of its endpoints: harmless to hand in
  EXPECT_EQ("forgotten", driver.actionsOf<RejectMessage>()[0].id);
}

// Risk: calls that stayed with the process that was replaced are made again, or take no slot.
TEST(RecoveredMessages, CountsAttemptInFlightUntilItsOutcome) {
  Settings settings = makeSettings();
  settings.max_in_flight = 1;
  SenderDriver driver(settings);
  driver.advanceTo(100 * kS).updateEndpoints({makeEndpoint("e", 1)});
  PastAttempt out{"e", 99 * kS, true, true};
  EXPECT_TRUE(
      driver.decide({resumed(driver, "out", "unsafe", {out}), resumed(driver, "next", "safe", {})}).empty());
  EXPECT_TRUE(driver.actionsOf<FailMessage>().empty());
  driver.advanceTo(101 * kS);
  const auto sent = driver.decide({driver.makeOutcome("out", 0, AttemptResult::ok)});
  EXPECT_EQ(sent, (std::vector<std::string>{"next"}));
  EXPECT_TRUE(driver.actionsOf<FailMessage>().empty());
  // One whose end was never heard, since its process died, may have run.
  SenderDriver other(settings);
  other.advanceTo(100 * kS).updateEndpoints({makeEndpoint("e", 1)});
  other.decide({resumed(other, "out", "unsafe", {out})});
  other.decide({other.makeOutcome("out", 0, AttemptResult::cancelled)});
  ASSERT_EQ(1u, other.actionsOf<FailMessage>().size());
}

// Risk: a class that is altered while messages are open binds these too.
TEST(SettingsUpdate, KeepsClassVersionOfOpenMessages) {
  SenderDriver driver;
  driver.advanceTo(100 * kS).updateEndpoints({makeEndpoint("e", 1)});
  EXPECT_EQ(driver.decide({driver.makeArrival("old", "unsafe", 1)}).size(), 1u);
  Settings other = driver.settings;
  for (MessageClass& c : other.classes)
    c.idempotency = c.name == "unsafe" ? Idempotency::idempotent : c.idempotency;
  other.classes.erase(other.classes.begin());  // "safe" is dropped
  other.max_attempts = 2;
  driver.decide({SettingsChanged{other}});
  driver.decide({driver.makeArrival("gone", "safe", 1)});
  ASSERT_EQ(driver.actionsOf<FailMessage>().size(), 1u);
  EXPECT_EQ(driver.actionsOf<FailMessage>()[0].id, "gone");
  EXPECT_EQ(driver.decide({driver.makeArrival("new", "unsafe", 1)}).size(), 1u);
  driver.decide({driver.makeOutcome("old", 0, AttemptResult::error),
                 driver.makeOutcome("new", 0, AttemptResult::error)});
  ASSERT_EQ(driver.actionsOf<FailMessage>().size(),
            1u);  // it may have run, and came when its class was unsafe
  EXPECT_EQ(driver.actionsOf<FailMessage>()[0].id, "old");
  driver.advanceTo(110 * kS);
  EXPECT_EQ(driver.decide({TimerFired{}}), (std::vector<std::string>{"new"}));
  // One that a restart brings back with its rules is held to those.
  RecoveredMessage recovered = resumed(driver, "resumed", "unsafe", {{"e", 109 * kS, true, false}});
  recovered.class_version = std::make_shared<const MessageClass>([] {
    MessageClass c = makeClass("unsafe", Idempotency::non_idempotent);
    c.max_attempts = 6;
    return c;
  }());
  driver.decide({recovered});
  ASSERT_EQ(driver.actionsOf<FailMessage>().size(), 1u);
  EXPECT_EQ(driver.actionsOf<FailMessage>()[0].id, "resumed");
}

TEST(RecoveredMessages, CountsPastAttemptsTowardsMaxAttempts) {
  SenderDriver driver;
  driver.advanceTo(100 * kS).updateEndpoints({makeEndpoint("e", 1)});
  const std::vector<PastAttempt> past(static_cast<std::size_t>(driver.settings.max_attempts - 1),
                                      {"e", 99 * kS, true});
  EXPECT_EQ(1u, driver.decide({resumed(driver, "m", "safe", past)}).size());
  driver.advanceTo(101 * kS);
  EXPECT_TRUE(driver.decide({driver.makeOutcome("m", driver.settings.max_attempts - 1, AttemptResult::error)})
                  .empty());
  EXPECT_EQ(1u, driver.actionsOf<RejectMessage>().size());
}

// The next process resumes a backlog: it must pace what it heard failing as the one before would have.
TEST(RecoveredMessages, RestoresExportedHealth) {
  SenderDriver first;
  first.advanceTo(100 * kS).updateEndpoints({makeEndpoint("e", 1, "shared", 10)});
  std::vector<DestinationHealth> kept;
  for (int i = 0; i < 8; ++i) {
    first.advanceTo(100 * kS + i * 2 * kS);
    first.submit("m" + std::to_string(i), "safe", 1);
    for (const StartAttempt& start : first.actionsOf<StartAttempt>()) {
      first.advanceTo(first.now + 10 * kMs).finishAttempt(start.id, 0, AttemptResult::connect_failed);
      for (const DestinationHealth& a : first.actionsOf<DestinationHealth>())
        kept.push_back(a);
    }
  }
  ASSERT_FALSE(kept.empty());
  EXPECT_TRUE(kept.back().down);
  EXPECT_EQ(1, kept.back().destination);
  auto sends = [&](bool told) {
    SenderDriver next;
    next.advanceTo(first.now + kS).updateEndpoints({makeEndpoint("e", 1, "shared", 10)});
    std::vector<Event> events;
    if (told)
      events.push_back(kept.back());
    for (int i = 0; i < 8; ++i)
      events.push_back(resumed(next, "r" + std::to_string(i), "safe", {}));
    return next.decide(events).size();
  };
  EXPECT_EQ(1u, sends(true));
  EXPECT_GT(sends(false), 3u);
}

// Risk: the next process hears a success first, takes the outage for a moment's and sends as to one that was
// never away. Several senders started together pushed over what returned.
TEST(RecoveredMessages, StartsSlowlyAfterOutageOfEarlierProcess) {
  const auto burst = [](std::vector<Event> first) {
    SenderDriver next;
    next.advanceTo(100 * kS).updateEndpoints({makeEndpoint("e", 1, "shared", 10)});
    next.decide(first);
    EXPECT_EQ(1u, next.submit("first", "safe", 1).size());
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
  outage.warming_since = outage.observed_at = 99'900 * kMs;  // heard of just before the kill
  EXPECT_LE(burst({outage}), 1u);
  EXPECT_GT(burst({}), 3u);
}

TEST(RecoveredMessages, StartsOnlyAttemptsThatEndBeforeShutdown) {
  SenderDriver driver;
  driver.advanceTo(100 * kS).updateEndpoints({makeEndpoint("e", 1)});
  driver.submit("warm", "safe", 1);
  driver.advanceTo(driver.now + 100 * kMs).finishAttempt("warm", 0, AttemptResult::ok);
  driver.advanceTo(101 * kS).decide({ShutdownScheduled{101 * kS + 3 * kS}});
  EXPECT_EQ(1u, driver.submit("soon", "unsafe", 1).size());
  driver.advanceTo(driver.now + 100 * kMs).finishAttempt("soon", 0, AttemptResult::ok);
  // Half of its time-out is left, many times what an answer takes: it is not kept waiting for the next
  // process.
  driver.advanceTo(104 * kS - 900 * kMs);
  EXPECT_EQ(1u, driver.submit("payment", "unsafe", 1).size());
  EXPECT_GT(driver.now + driver.timeout_of["payment"], 104 * kS);
  driver.advanceTo(driver.now + 100 * kMs).finishAttempt("payment", 0, AttemptResult::ok);
  driver.advanceTo(104 * kS - 50 * kMs);
  EXPECT_TRUE(driver.submit("late", "unsafe", 1).empty());
  EXPECT_TRUE(driver.actionsOf<FailMessage>().empty());
  EXPECT_TRUE(driver.actionsOf<RejectMessage>().empty());  // it is left to the next process
}

TEST(RecoveredMessages, RejectsArrivalsAboveMaxOpenMessages) {
  Settings settings = makeSettings();
  settings.max_open_messages = 3;
  SenderDriver driver(settings);
  driver.advanceTo(100 * kS).updateEndpoints({});
  int refused = 0;
  for (int i = 0; i < 6; ++i) {
    driver.submit("m" + std::to_string(i), "safe", 1);
    refused += static_cast<int>(driver.actionsOf<RejectMessage>().size());
  }
  EXPECT_GE(refused, 3);
}

}  // namespace
}  // namespace grademux
