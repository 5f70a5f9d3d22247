// What one process of the sender leaves to the next: resumed messages, health, and the end of a process.
#include <set>

#include "sender_fixture.h"

namespace grademux {
namespace {

RecoveredMessage resumed(const Rig& rig, const std::string& id, const std::string& cls,
                         std::vector<PastAttempt> past) {
  RecoveredMessage r;
  r.message.id = id;
  r.message.message_class = cls;
  r.message.destination = 1;
  r.message.deadline = rig.now + 15 * kS;
  r.attempts = std::move(past);
  return r;
}

TEST(RecoveredMessages, RetriesOnlyAsIdempotencyAllows) {
  Rig rig;
  rig.at(100 * kS).list({makeEndpoint("e", 1)});
  const PastAttempt old{"e", 90 * kS, true}, young{"e", 99 * kS, true}, none{"e", 99 * kS, false};
  const PastAttempt unlisted{"elsewhere", 99 * kS, true};
  const auto sent =
      rig.run({resumed(rig, "safe", "safe", {old}), resumed(rig, "keyed", "keyed", {young}),
               resumed(rig, "forgotten", "keyed", {old}), resumed(rig, "unsafe", "unsafe", {young}),
               resumed(rig, "untried", "unsafe", {}), resumed(rig, "refused", "unsafe", {none}),
               resumed(rig, "away", "unsafe", {unlisted})});
  EXPECT_EQ((std::set<std::string>{"safe", "keyed", "untried", "refused"}),
            std::set<std::string>(sent.begin(), sent.end()));
  std::set<std::string> failed;
  for (const FailMessage& f : rig.got<FailMessage>())
    failed.insert(f.id);
  EXPECT_EQ((std::set<std::string>{"unsafe", "away"}), failed);
  ASSERT_EQ(
      1u,
      rig.got<RejectMessage>().size());  // repeats are dropped at all of its endpoints: harmless to hand in
  EXPECT_EQ("forgotten", rig.got<RejectMessage>()[0].id);
}

// Risk: calls that stayed with the process that was replaced are made again, or take no slot.
TEST(RecoveredMessages, CountsAttemptInFlightUntilItsOutcome) {
  Settings set = makeSettings();
  set.max_in_flight = 1;
  Rig rig(set);
  rig.at(100 * kS).list({makeEndpoint("e", 1)});
  PastAttempt out{"e", 99 * kS, true, true};
  EXPECT_TRUE(rig.run({resumed(rig, "out", "unsafe", {out}), resumed(rig, "next", "safe", {})}).empty());
  EXPECT_TRUE(rig.got<FailMessage>().empty());
  rig.at(101 * kS);
  const auto sent = rig.run({rig.outcome("out", 0, AttemptResult::ok)});
  EXPECT_EQ(sent, (std::vector<std::string>{"next"}));
  EXPECT_TRUE(rig.got<FailMessage>().empty());
  // One whose end was never heard, since its process died, may have run.
  Rig other(set);
  other.at(100 * kS).list({makeEndpoint("e", 1)});
  other.run({resumed(other, "out", "unsafe", {out})});
  other.run({other.outcome("out", 0, AttemptResult::cancelled)});
  ASSERT_EQ(1u, other.got<FailMessage>().size());
}

// Risk: a class that is altered while messages are open binds these too.
TEST(SettingsUpdate, KeepsClassVersionOfOpenMessages) {
  Rig rig;
  rig.at(100 * kS).list({makeEndpoint("e", 1)});
  EXPECT_EQ(rig.run({rig.arrival("old", "unsafe", 1)}).size(), 1u);
  Settings other = rig.set;
  for (MessageClass& c : other.classes)
    c.idempotency = c.name == "unsafe" ? Idempotency::idempotent : c.idempotency;
  other.classes.erase(other.classes.begin());  // "safe" is dropped
  other.max_attempts = 2;
  rig.run({SettingsChanged{other}});
  rig.run({rig.arrival("gone", "safe", 1)});
  ASSERT_EQ(rig.got<FailMessage>().size(), 1u);
  EXPECT_EQ(rig.got<FailMessage>()[0].id, "gone");
  EXPECT_EQ(rig.run({rig.arrival("new", "unsafe", 1)}).size(), 1u);
  rig.run({rig.outcome("old", 0, AttemptResult::error), rig.outcome("new", 0, AttemptResult::error)});
  ASSERT_EQ(rig.got<FailMessage>().size(), 1u);  // it may have run, and came when its class was unsafe
  EXPECT_EQ(rig.got<FailMessage>()[0].id, "old");
  rig.at(110 * kS);
  EXPECT_EQ(rig.run({TimerFired{}}), (std::vector<std::string>{"new"}));
  // One that a restart brings back with its rules is held to those.
  RecoveredMessage r = resumed(rig, "resumed", "unsafe", {{"e", 109 * kS, true, false}});
  r.class_version = std::make_shared<const MessageClass>([] {
    MessageClass c = makeClass("unsafe", Idempotency::non_idempotent);
    c.max_attempts = 6;
    return c;
  }());
  rig.run({r});
  ASSERT_EQ(rig.got<FailMessage>().size(), 1u);
  EXPECT_EQ(rig.got<FailMessage>()[0].id, "resumed");
}

TEST(RecoveredMessages, CountsPastAttemptsTowardsMaxAttempts) {
  Rig rig;
  rig.at(100 * kS).list({makeEndpoint("e", 1)});
  const std::vector<PastAttempt> past(static_cast<std::size_t>(rig.set.max_attempts - 1),
                                      {"e", 99 * kS, true});
  EXPECT_EQ(1u, rig.run({resumed(rig, "m", "safe", past)}).size());
  rig.at(101 * kS);
  EXPECT_TRUE(rig.run({rig.outcome("m", rig.set.max_attempts - 1, AttemptResult::error)}).empty());
  EXPECT_EQ(1u, rig.got<RejectMessage>().size());
}

// The next process resumes a backlog: it must pace what it heard failing as the one before would have.
TEST(RecoveredMessages, RestoresExportedHealth) {
  Rig first;
  first.at(100 * kS).list({makeEndpoint("e", 1, "shared", 10)});
  std::vector<DestinationHealth> kept;
  for (int i = 0; i < 8; ++i) {
    first.at(100 * kS + i * 2 * kS);
    first.arrive("m" + std::to_string(i), "safe", 1);
    for (const StartAttempt& s : first.got<StartAttempt>()) {
      first.at(first.now + 10 * kMs).end(s.id, 0, AttemptResult::connect_failed);
      for (const DestinationHealth& a : first.got<DestinationHealth>())
        kept.push_back(a);
    }
  }
  ASSERT_FALSE(kept.empty());
  EXPECT_TRUE(kept.back().down);
  EXPECT_EQ(1, kept.back().destination);
  auto sends = [&](bool told) {
    Rig next;
    next.at(first.now + kS).list({makeEndpoint("e", 1, "shared", 10)});
    std::vector<Event> events;
    if (told)
      events.push_back(kept.back());
    for (int i = 0; i < 8; ++i)
      events.push_back(resumed(next, "r" + std::to_string(i), "safe", {}));
    return next.run(events).size();
  };
  EXPECT_EQ(1u, sends(true));
  EXPECT_GT(sends(false), 3u);
}

// Risk: the next process hears a success first, takes the outage for a moment's and sends as to one that was
// never away. Several senders started together pushed over what returned.
TEST(RecoveredMessages, StartsSlowlyAfterOutageOfEarlierProcess) {
  const auto burst = [](std::vector<Event> first) {
    Rig next;
    next.at(100 * kS).list({makeEndpoint("e", 1, "shared", 10)});
    next.run(first);
    EXPECT_EQ(1u, next.arrive("first", "safe", 1).size());
    next.at(next.now + 100 * kMs).end("first", 0, AttemptResult::ok);
    std::vector<Event> backlog;
    for (int i = 0; i < 8; ++i)
      backlog.push_back(next.arrival("m" + std::to_string(i), "safe", 1));
    next.at(next.now + 500 * kMs);
    return next.run(backlog).size();
  };
  DestinationHealth outage;
  outage.destination = 1;
  outage.down = true;
  outage.warming_since = outage.observed_at = 99'900 * kMs;  // heard of just before the kill
  EXPECT_LE(burst({outage}), 1u);
  EXPECT_GT(burst({}), 3u);
}

TEST(RecoveredMessages, StartsOnlyAttemptsThatEndBeforeShutdown) {
  Rig rig;
  rig.at(100 * kS).list({makeEndpoint("e", 1)});
  rig.arrive("warm", "safe", 1);
  rig.at(rig.now + 100 * kMs).end("warm", 0, AttemptResult::ok);
  rig.at(101 * kS).run({ShutdownScheduled{101 * kS + 3 * kS}});
  EXPECT_EQ(1u, rig.arrive("soon", "unsafe", 1).size());
  rig.at(rig.now + 100 * kMs).end("soon", 0, AttemptResult::ok);
  // Half of its time-out is left, many times what an answer takes: it is not kept waiting for the next
  // process.
  rig.at(104 * kS - 900 * kMs);
  EXPECT_EQ(1u, rig.arrive("payment", "unsafe", 1).size());
  EXPECT_GT(rig.now + rig.timeout["payment"], 104 * kS);
  rig.at(rig.now + 100 * kMs).end("payment", 0, AttemptResult::ok);
  rig.at(104 * kS - 50 * kMs);
  EXPECT_TRUE(rig.arrive("late", "unsafe", 1).empty());
  EXPECT_TRUE(rig.got<FailMessage>().empty());
  EXPECT_TRUE(rig.got<RejectMessage>().empty());  // it is left to the next process
}

TEST(RecoveredMessages, RejectsArrivalsAboveMaxOpenMessages) {
  Settings s = makeSettings();
  s.max_open_messages = 3;
  Rig rig(s);
  rig.at(100 * kS).list({});
  int refused = 0;
  for (int i = 0; i < 6; ++i) {
    rig.arrive("m" + std::to_string(i), "safe", 1);
    refused += static_cast<int>(rig.got<RejectMessage>().size());
  }
  EXPECT_GE(refused, 3);
}

}  // namespace
}  // namespace grademux
