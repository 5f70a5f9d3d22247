#include "../../src/zones/zone_traffic_controller.h"

#include <gtest/gtest.h>

#include "zone_fixtures.h"

namespace grademux::zones {
namespace {

struct SenderFixture {
  ZoneTrafficController controller;
  std::vector<Endpoint> list;
  explicit SenderFixture(const std::string& name) : controller(name) {
    for (const char* zone : {"a", "b"})
      for (const int d : {1, 2})
        list.push_back(endpoint(zone, d));
    for (const Endpoint& e : list)
      controller.onEndpointListed(e);
  }
  // Delivers `rate` messages per second to each endpoint for two minutes; returns the end.
  Micros deliver(double rate, Micros now = 0) {
    const Micros until = now + 120 * kSecond;
    for (int n = 0; now < until; now += static_cast<Micros>(1e6 / rate))
      for (const Endpoint& e : list) {
        const AttemptId id{e.id, ++n};
        if (!controller.admitAttempt(id, e, true, now))
          continue;
        AttemptOutcome o = outcome(AttemptResult::ok);
        o.id = id.message_id;
        o.attempt = id.attempt;
        controller.onAttemptFinished(o, now);
      }
    return until;
  }
};

TEST(ZoneTrafficControllerTest, AdmitsNothingToAnEvacuatedZone) {
  SenderFixture sender("s1");
  const Micros now = sender.deliver(10);
  EXPECT_TRUE(sender.controller.applyStates({{"b", evacuated()}}, now));
  EXPECT_FALSE(sender.controller.applyStates({{"b", evacuated()}}, now));
  EXPECT_EQ((std::vector<std::string>{"b1-0", "b2-0"}), sender.controller.takeChangedEndpoints(now));
  EXPECT_TRUE(sender.controller.takeChangedEndpoints(now).empty());
  for (const Endpoint& e : sender.list) {
    const bool in = e.zone == "a";
    EXPECT_EQ(in ? EndpointState::ready : EndpointState::draining, sender.controller.visibleState(e, now));
    EXPECT_EQ(in, sender.controller.admitAttempt({"x", 0}, e, true, now));
    EXPECT_EQ(in, sender.controller.isSendAllowed(e.id));
  }
  sender.controller.applyStates({}, now);
  EXPECT_EQ((std::vector<std::string>{"b1-0", "b2-0"}), sender.controller.takeChangedEndpoints(now));
  for (const Endpoint& e : sender.list)
    EXPECT_EQ(EndpointState::ready, sender.controller.visibleState(e, now));
}

TEST(ZoneTrafficControllerTest, KeepsFleetTrafficUnderTheFractionWhenSendersRestartOrJoin) {
  std::vector<SenderFixture> all;
  for (int i = 0; i < 4; ++i)
    all.emplace_back("s" + std::to_string(i));
  Micros now = 0;
  for (std::size_t i = 0; i < all.size(); ++i)
    now = all[i].deliver(5 * static_cast<double>(i + 1));
  for (SenderFixture& sender : all)
    sender.controller.applyStates({{"b", evacuated()}}, now);
  now += 60 * kSecond;
  all[1] = SenderFixture("s1");  // restarted without its baseline
  all.emplace_back("s9");        // joined
  const double usual = 5 + 10 + 15 + 20;
  for (int stage = 1; stage <= 3; ++stage) {
    const double fraction = 0.3 * stage;
    for (SenderFixture& sender : all)
      sender.controller.applyStates({{"b", recovering(stage, fraction)}}, now);
    int admitted = 0;
    for (const Micros until = now + 10 * kSecond; now < until; now += 1000)
      for (SenderFixture& sender : all)
        admitted += sender.controller.admitAttempt({"x", 0}, sender.list[2], true, now);
    EXPECT_LE(admitted, fraction * usual * 10 + 5);
    EXPECT_GT(admitted, 0.6 * fraction * usual * 10);  // without what s1 used to send
  }
}

// Processes that are replaced during a recovery have no baseline of their own; once all are replaced, no
// stage would see traffic. The stored baseline restores their rates; a sender that joins has none.
TEST(ZoneTrafficControllerTest, RestoresTheBaselineOfTheProcessBefore) {
  SenderFixture before("s1");
  Micros now = before.deliver(10);
  before.controller.applyStates({{"b", evacuated()}}, now);
  const TrafficBaseline baseline =
      parseTrafficBaseline(json::parse(toJson(before.controller.baseline()).dump()));
  EXPECT_TRUE(baseline == before.controller.baseline());
  ASSERT_EQ(2u, baseline.at("b").size());
  SenderFixture after("s1"), joined("s9");
  after.controller.restoreBaseline(baseline);
  int admitted = 0, others = 0;
  for (SenderFixture* sender : {&after, &joined})
    sender->controller.applyStates({{"b", recovering(1, 0.5)}}, now);
  EXPECT_TRUE(baseline == after.controller.baseline());
  EXPECT_TRUE(joined.controller.baseline().empty());
  for (const Micros until = now + 10 * kSecond; now < until; now += 1000) {
    admitted += after.controller.admitAttempt({"x", 0}, after.list[2], true, now);
    others += joined.controller.admitAttempt({"x", 0}, joined.list[2], true, now);
  }
  EXPECT_NEAR(0.5 * 10 * 10, admitted, 6);
  EXPECT_EQ(0, others);
  // After another evacuation its own measurement counts, not the restored one.
  after.controller.applyStates({}, now);
  EXPECT_TRUE(after.controller.baseline().empty());
  now = after.deliver(2, now);
  after.controller.applyStates({{"b", evacuated()}}, now);
  EXPECT_NEAR(2, after.controller.baseline().at("b").begin()->second.rate, 0.3);
}

TEST(ZoneTrafficControllerTest, AdmitsIdempotentMessagesOfProbersOnlyInTheProbeStage) {
  SenderFixture one("s1"), other("s2");
  const Micros from = one.deliver(10);
  other.deliver(10);
  for (SenderFixture* sender : {&one, &other}) {
    sender->controller.applyStates({{"b", evacuated()}}, from);
    sender->controller.applyStates({{"b", recovering(0, 0, {"s1"})}}, from);
  }
  int admitted = 0, others = 0, unsafe = 0;
  for (Micros now = from; now < from + 10 * kSecond; now += 1000)
    for (const std::size_t e : {2u, 3u}) {
      admitted += one.controller.admitAttempt({"x", 0}, one.list[e], true, now);
      others += other.controller.admitAttempt({"x", 0}, other.list[e], true, now);
    }
  for (Micros now = from + 10 * kSecond; now < from + 20 * kSecond; now += 1000)
    unsafe += one.controller.admitAttempt({"x", 0}, one.list[2], false, now);
  EXPECT_NEAR(kProbeRate * 10, admitted, 3);
  EXPECT_EQ(0, others);
  EXPECT_EQ(0, unsafe);
}

// The decision module would not select it: the destination's other endpoints are hidden for the length of a
// check until an attempt succeeds.
TEST(ZoneTrafficControllerTest, ChecksAnEndpointOfARecoveringZoneThatFailedLast) {
  SenderFixture sender("s1");
  Micros now = sender.deliver(10);
  sender.controller.applyStates({{"b", evacuated()}}, now);
  sender.controller.takeChangedEndpoints(now);
  sender.controller.applyStates({{"b", recovering(0, 0, {"s1"})}}, now);
  const auto hides = [&] {
    return sender.controller.visibleState(sender.list[0], now) == EndpointState::draining;
  };
  Micros hidden = 0, longest = 0, row = 0;
  for (const Micros until = now + 10 * kSecond; now < until; now += 20'000) {
    sender.controller.takeChangedEndpoints(now);
    row = hides() ? row + 20'000 : 0;
    longest = std::max(longest, row);
    hidden += hides() ? 20'000 : 0;
  }
  EXPECT_GT(hidden, 0);
  EXPECT_LE(hidden, kSecond);  // without attempts: a tenth of the time at most
  EXPECT_LE(longest, kHealthCheckTime + 20'000);
  now += kHealthCheckInterval;
  sender.controller.takeChangedEndpoints(now);
  ASSERT_TRUE(hides());
  ASSERT_TRUE(sender.controller.admitAttempt({"x", 1}, sender.list[2], true, now));
  EXPECT_EQ((std::vector<std::string>{"b1-0", "a1-0"}),
            sender.controller.takeChangedEndpoints(now));  // the check has ended
  EXPECT_FALSE(hides());
  const auto succeed = [&](int attempt) {
    AttemptOutcome o = outcome(AttemptResult::ok);
    o.id = "x";
    o.attempt = attempt;
    sender.controller.onAttemptFinished(o, now);
  };
  succeed(1);
  for (int attempt = 2; attempt <= kMinSamples; ++attempt) {  // the vote needs this many samples
    for (const Micros until = now + 2 * kSecond; !hides() && now < until; now += 20'000)
      sender.controller.takeChangedEndpoints(now);
    ASSERT_TRUE(hides()) << attempt;
    ASSERT_TRUE(sender.controller.admitAttempt({"x", attempt}, sender.list[2], true, now));
    succeed(attempt);
  }
  EXPECT_EQ(Observation::healthy, sender.controller.votes(now)["b"].observation);
  for (const Micros until = now + 10 * kSecond; now < until; now += 20'000) {
    sender.controller.takeChangedEndpoints(now);
    EXPECT_FALSE(hides());
  }
}

// A zone that an operator activates at once would stay unused, because the decision module remembers its
// failure.
TEST(ZoneTrafficControllerTest, ChecksAZoneActivatedWithoutRecoveryUntilAnAttemptSucceeds) {
  SenderFixture sender("s1");
  Micros now = sender.deliver(10);
  sender.controller.applyStates({{"b", evacuated()}}, now);
  sender.controller.takeChangedEndpoints(now);
  EXPECT_FALSE(sender.controller.isRecovering());
  sender.controller.applyStates({}, now);
  EXPECT_TRUE(sender.controller.isRecovering());
  for (const std::size_t b : {2, 3}) {
    EXPECT_EQ(EndpointState::ready, sender.controller.visibleState(sender.list[b], now));
    const auto waitForCheck = [&] {
      for (const Micros until = now + 2 * kSecond; now < until; now += 20'000) {
        sender.controller.takeChangedEndpoints(now);
        if (sender.controller.visibleState(sender.list[b - 2], now) == EndpointState::draining)
          return true;
      }
      return false;
    };
    ASSERT_TRUE(waitForCheck());
    const AttemptId id{"x" + std::to_string(b), 1};
    EXPECT_FALSE(sender.controller.admitAttempt(id, sender.list[b], false,
                                                now));  // non-idempotent messages do not check
    ASSERT_TRUE(waitForCheck());
    ASSERT_TRUE(sender.controller.admitAttempt(id, sender.list[b], true, now));
    EXPECT_EQ(EndpointState::ready,
              sender.controller.visibleState(sender.list[b - 2], now));  // the check has ended
    AttemptOutcome o = outcome(AttemptResult::ok);
    o.id = id.message_id;
    o.attempt = id.attempt;
    sender.controller.onAttemptFinished(o, now);
  }
  EXPECT_FALSE(sender.controller.isRecovering());
  for (const Micros until = now + 5 * kSecond; now < until; now += 20'000) {
    sender.controller.takeChangedEndpoints(now);
    EXPECT_EQ(EndpointState::ready, sender.controller.visibleState(sender.list[0], now));
  }
}

// Without checks the vote would expire after seconds and lose weight, and senders that meet a failure one
// after another would never form a majority.
TEST(ZoneTrafficControllerTest, ChecksAFailingActiveZoneAndKeepsTheWeightOfItsVote) {
  SenderFixture sender("s1");
  Micros now = sender.deliver(10);
  const ZoneVote well = sender.controller.votes(now)["b"];
  EXPECT_EQ(Observation::healthy, well.observation);
  int n = 0, checks = 0;
  Micros hidden = 0;
  const auto run = [&](Micros span, AttemptResult result_in_b) {
    for (const Micros until = now + span; now < until; now += 20'000) {
      sender.controller.takeChangedEndpoints(now);
      if (now % kSecond < 20'000)
        sender.controller.expire(now);
      const bool waitForCheck =
          sender.controller.visibleState(sender.list[0], now) == EndpointState::draining;
      hidden += waitForCheck ? 20'000 : 0;
      // Selects as the decision module would: zone a unless it is hidden.
      for (const int d : {0, 1}) {
        const Endpoint& e = sender.list[static_cast<std::size_t>(
            d + (sender.controller.visibleState(sender.list[static_cast<std::size_t>(d)], now) ==
                         EndpointState::draining
                     ? 2
                     : 0))];
        const AttemptId id{"check", ++n};
        if (!sender.controller.admitAttempt(id, e, true, now))
          continue;
        AttemptOutcome o = outcome(e.zone == "b" ? result_in_b : AttemptResult::ok);
        o.id = id.message_id;
        o.attempt = id.attempt;
        sender.controller.onAttemptFinished(o, now);
        checks += e.zone == "b";
      }
    }
  };
  for (const int d : {0, 1}) {  // both destinations fail in zone b, once
    const AttemptId id{"fails", d};
    ASSERT_TRUE(sender.controller.admitAttempt(id, sender.list[static_cast<std::size_t>(2 + d)], true, now));
    AttemptOutcome o = outcome(AttemptResult::connect_failed);
    o.id = id.message_id;
    o.attempt = id.attempt;
    sender.controller.onAttemptFinished(o, now);
  }
  run(60 * kSecond, AttemptResult::connect_failed);
  EXPECT_EQ(Observation::failing, sender.controller.votes(now)["b"].observation);
  EXPECT_EQ(well.traffic, sender.controller.votes(now)["b"].traffic);
  EXPECT_GE(checks, 2 * 10);
  EXPECT_LE(checks, 2 * 15);
  EXPECT_LE(hidden, 2 * kSecond);
  run(10 * kSecond, AttemptResult::ok);  // one success each, and no more checks
  EXPECT_NE(Observation::failing, sender.controller.votes(now)["b"].observation);
  hidden = 0;
  run(10 * kSecond, AttemptResult::ok);
  EXPECT_EQ(0, hidden);
}

TEST(ZoneTrafficControllerTest, AdmitsNothingToARecoveringZoneWithoutALease) {
  SenderFixture sender("s1");
  Micros now = sender.deliver(10);
  sender.controller.applyStates({{"b", evacuated()}}, now);
  sender.controller.applyStates({{"b", recovering(1, 1)}}, now);
  sender.controller.takeChangedEndpoints(now);
  now += kSecond;
  EXPECT_TRUE(sender.controller.admitAttempt({"x", 0}, sender.list[2], true, now));
  sender.controller.setLeaseValid(false);
  now += kSecond;
  EXPECT_EQ(EndpointState::draining, sender.controller.visibleState(sender.list[2], now));
  EXPECT_FALSE(sender.controller.admitAttempt({"x", 0}, sender.list[2], true, now));
  EXPECT_FALSE(sender.controller.isSendAllowed(sender.list[2].id));
  EXPECT_TRUE(
      sender.controller.admitAttempt({"x", 0}, sender.list[0], true, now));  // other zones are not affected
}

TEST(ZoneTrafficControllerTest, GivesReplacedEndpointsTheAverageRateOfTheirDestination) {
  SenderFixture sender("s1");
  Micros now = sender.deliver(10);
  sender.controller.applyStates({{"b", evacuated()}}, now);
  Endpoint gone = sender.list[2], fresh = endpoint("b", 1, 7), unknown = endpoint("b", 9);
  gone.state = EndpointState::gone;
  sender.controller.onEndpointListed(gone);
  sender.controller.onEndpointListed(fresh);
  sender.controller.onEndpointListed(unknown);
  sender.controller.applyStates({{"b", recovering(1, 0.5)}}, now);
  int admitted = 0, never = 0;
  for (const Micros until = now + 10 * kSecond; now < until; now += 1000) {
    admitted += sender.controller.admitAttempt({"x", 0}, fresh, true, now);
    never += sender.controller.admitAttempt({"x", 0}, unknown, true, now);
  }
  EXPECT_NEAR(50, admitted, 6);
  EXPECT_EQ(0, never);  // its destination has no baseline
  EXPECT_EQ(1u, sender.controller.endpointFractions().count("b"));
}

}  // namespace
}  // namespace grademux::zones
