#include "../../src/zones/zone_traffic_controller.h"

#include <gtest/gtest.h>

#include "zone_fixtures.h"

namespace grademux::zones {
namespace {

struct SenderFixture {
  ZoneTrafficController controller;
  std::vector<Endpoint> endpoints;  // a1-0, a2-0, b1-0, b2-0
  explicit SenderFixture(const std::string& name) : controller(name) {
    for (const char* zone : {"a", "b"})
      for (const int destination : {1, 2})
        endpoints.push_back(endpoint(zone, destination));
    for (const Endpoint& listed : endpoints)
      controller.onEndpointListed(listed);
  }
  // Delivers `rate` messages per second to each endpoint for two minutes; returns the end.
  Micros deliver(double rate, Micros now = 0) {
    const Micros until = now + 120 * kSecond;
    for (int attempt = 0; now < until; now += static_cast<Micros>(1e6 / rate))
      for (const Endpoint& target : endpoints) {
        const AttemptId id{target.id, ++attempt};
        if (!controller.admitAttempt(id, target, true, now))
          continue;
        AttemptOutcome delivered = outcome(AttemptResult::ok);
        delivered.id = id.message_id;
        delivered.attempt = id.attempt;
        controller.onAttemptFinished(delivered, now);
      }
    return until;
  }
};

TEST(ZoneTrafficControllerTest, AdmitsNothingWhenZoneIsEvacuated) {
  SenderFixture sender("s1");
  const Micros now = sender.deliver(10);
  EXPECT_TRUE(sender.controller.applyStates({{"b", evacuated()}}, now));
  EXPECT_FALSE(sender.controller.applyStates({{"b", evacuated()}}, now));
  EXPECT_EQ((std::vector<std::string>{"b1-0", "b2-0"}), sender.controller.takeChangedEndpoints(now));
  EXPECT_TRUE(sender.controller.takeChangedEndpoints(now).empty());
  for (const Endpoint& target : sender.endpoints) {
    const bool is_active = target.zone == "a";
    EXPECT_EQ(is_active ? EndpointState::ready : EndpointState::draining,
              sender.controller.visibleState(target, now));
    EXPECT_EQ(is_active, sender.controller.admitAttempt({"x", 0}, target, true, now));
    EXPECT_EQ(is_active, sender.controller.isSendAllowed(target.id));
  }
  sender.controller.applyStates({}, now);
  EXPECT_EQ((std::vector<std::string>{"b1-0", "b2-0"}), sender.controller.takeChangedEndpoints(now));
  for (const Endpoint& target : sender.endpoints)
    EXPECT_EQ(EndpointState::ready, sender.controller.visibleState(target, now));
}

TEST(ZoneTrafficControllerTest, KeepsFleetTrafficBelowFractionWhenSendersRestartOrJoin) {
  std::vector<SenderFixture> senders;
  for (int i = 0; i < 4; ++i)
    senders.emplace_back("s" + std::to_string(i));
  Micros now = 0;
  for (std::size_t i = 0; i < senders.size(); ++i)
    now = senders[i].deliver(5 * static_cast<double>(i + 1));
  for (SenderFixture& sender : senders)
    sender.controller.applyStates({{"b", evacuated()}}, now);
  now += 60 * kSecond;
  senders[1] = SenderFixture("s1");  // restarts without its baseline
  senders.emplace_back("s9");        // a sender that joins the fleet
  const double baseline_rate = 5 + 10 + 15 + 20;
  for (int stage = 1; stage <= 3; ++stage) {
    const double fraction = 0.3 * stage;
    for (SenderFixture& sender : senders)
      sender.controller.applyStates({{"b", recovering(stage, fraction)}}, now);
    int admitted = 0;
    for (const Micros until = now + 10 * kSecond; now < until; now += 1000)
      for (SenderFixture& sender : senders)
        admitted += sender.controller.admitAttempt({"x", 0}, sender.endpoints[2], true, now);
    EXPECT_LE(admitted, fraction * baseline_rate * 10 + 5);
    EXPECT_GT(admitted, 0.6 * fraction * baseline_rate * 10);  // the rate of s1 is missing
  }
}

// A process that starts during a recovery has measured no baseline. If every process were replaced without
// the stored baselines, no recovery stage would have any traffic. A sender that joins the fleet has no
// baseline.
TEST(ZoneTrafficControllerTest, RestoresBaselineOfEarlierProcessWhenReplacedDuringRecovery) {
  SenderFixture before("s1");
  Micros now = before.deliver(10);
  before.controller.applyStates({{"b", evacuated()}}, now);
  const TrafficBaseline baseline =
      parseTrafficBaseline(json::parse(toJson(before.controller.baseline()).dump()));
  EXPECT_TRUE(baseline == before.controller.baseline());
  ASSERT_EQ(2u, baseline.at("b").size());
  SenderFixture after("s1"), joined("s9");
  after.controller.restoreBaseline(baseline);
  int admitted = 0, admitted_by_joined = 0;
  for (SenderFixture* sender : {&after, &joined})
    sender->controller.applyStates({{"b", recovering(1, 0.5)}}, now);
  EXPECT_TRUE(baseline == after.controller.baseline());
  EXPECT_TRUE(joined.controller.baseline().empty());
  for (const Micros until = now + 10 * kSecond; now < until; now += 1000) {
    admitted += after.controller.admitAttempt({"x", 0}, after.endpoints[2], true, now);
    admitted_by_joined += joined.controller.admitAttempt({"x", 0}, joined.endpoints[2], true, now);
  }
  EXPECT_NEAR(0.5 * 10 * 10, admitted, 6);
  EXPECT_EQ(0, admitted_by_joined);
  // After another evacuation the process's own measurement counts, not the restored baseline.
  after.controller.applyStates({}, now);
  EXPECT_TRUE(after.controller.baseline().empty());
  now = after.deliver(2, now);
  after.controller.applyStates({{"b", evacuated()}}, now);
  EXPECT_NEAR(2, after.controller.baseline().at("b").begin()->second.rate, 0.3);
}

TEST(ZoneTrafficControllerTest, AdmitsOnlyIdempotentMessagesOfProbersWhenZoneIsInProbeStage) {
  SenderFixture prober("s1"), other("s2");
  const Micros start = prober.deliver(10);
  other.deliver(10);
  for (SenderFixture* sender : {&prober, &other}) {
    sender->controller.applyStates({{"b", evacuated()}}, start);
    sender->controller.applyStates({{"b", recovering(0, 0, {"s1"})}}, start);
  }
  int admitted = 0, admitted_by_other = 0, admitted_non_idempotent = 0;
  for (Micros now = start; now < start + 10 * kSecond; now += 1000)
    for (const std::size_t index : {2u, 3u}) {
      admitted += prober.controller.admitAttempt({"x", 0}, prober.endpoints[index], true, now);
      admitted_by_other += other.controller.admitAttempt({"x", 0}, other.endpoints[index], true, now);
    }
  for (Micros now = start + 10 * kSecond; now < start + 20 * kSecond; now += 1000)
    admitted_non_idempotent += prober.controller.admitAttempt({"x", 0}, prober.endpoints[2], false, now);
  EXPECT_NEAR(kProbeRate * 10, admitted, 3);
  EXPECT_EQ(0, admitted_by_other);
  EXPECT_EQ(0, admitted_non_idempotent);
}

// The decision module does not select an endpoint whose last attempt failed while the destination has others.
// The destination's other endpoints are therefore hidden during checks, until enough attempts have succeeded.
TEST(ZoneTrafficControllerTest, ChecksEndpointOfRecoveringZoneUntilVoteHasEnoughSamples) {
  SenderFixture sender("s1");
  Micros now = sender.deliver(10);
  sender.controller.applyStates({{"b", evacuated()}}, now);
  sender.controller.takeChangedEndpoints(now);
  sender.controller.applyStates({{"b", recovering(0, 0, {"s1"})}}, now);
  const auto isHidden = [&] {
    return sender.controller.visibleState(sender.endpoints[0], now) == EndpointState::draining;
  };
  Micros hidden = 0, longest = 0, current = 0;
  for (const Micros until = now + 10 * kSecond; now < until; now += 20'000) {
    sender.controller.takeChangedEndpoints(now);
    current = isHidden() ? current + 20'000 : 0;
    longest = std::max(longest, current);
    hidden += isHidden() ? 20'000 : 0;
  }
  EXPECT_GT(hidden, 0);
  EXPECT_LE(hidden, kSecond);  // without attempts: at most a tenth of the time
  EXPECT_LE(longest, kHealthCheckTime + 20'000);
  now += kHealthCheckInterval;
  sender.controller.takeChangedEndpoints(now);
  ASSERT_TRUE(isHidden());
  ASSERT_TRUE(sender.controller.admitAttempt({"x", 1}, sender.endpoints[2], true, now));
  EXPECT_EQ((std::vector<std::string>{"b1-0", "a1-0"}),
            sender.controller.takeChangedEndpoints(now));  // the check has ended
  EXPECT_FALSE(isHidden());
  const auto finishWithSuccess = [&](int attempt) {
    AttemptOutcome finished = outcome(AttemptResult::ok);
    finished.id = "x";
    finished.attempt = attempt;
    sender.controller.onAttemptFinished(finished, now);
  };
  finishWithSuccess(1);
  for (int attempt = 2; attempt <= kMinSamples; ++attempt) {  // the vote needs this many samples
    for (const Micros until = now + 2 * kSecond; !isHidden() && now < until; now += 20'000)
      sender.controller.takeChangedEndpoints(now);
    ASSERT_TRUE(isHidden()) << attempt;
    ASSERT_TRUE(sender.controller.admitAttempt({"x", attempt}, sender.endpoints[2], true, now));
    finishWithSuccess(attempt);
  }
  EXPECT_EQ(Observation::healthy, sender.controller.votes(now)["b"].observation);
  for (const Micros until = now + 10 * kSecond; now < until; now += 20'000) {
    sender.controller.takeChangedEndpoints(now);
    EXPECT_FALSE(isHidden());
  }
}

// A zone that an operator activates without a recovery would stay unused, because the decision module avoids
// endpoints whose last attempt failed.
TEST(ZoneTrafficControllerTest, ChecksEndpointsUntilSuccessWhenZoneIsActivatedWithoutRecovery) {
  SenderFixture sender("s1");
  Micros now = sender.deliver(10);
  sender.controller.applyStates({{"b", evacuated()}}, now);
  sender.controller.takeChangedEndpoints(now);
  EXPECT_FALSE(sender.controller.isRecovering());
  sender.controller.applyStates({}, now);
  EXPECT_TRUE(sender.controller.isRecovering());
  for (const std::size_t index : {2, 3}) {
    EXPECT_EQ(EndpointState::ready, sender.controller.visibleState(sender.endpoints[index], now));
    const auto waitForCheck = [&] {
      for (const Micros until = now + 2 * kSecond; now < until; now += 20'000) {
        sender.controller.takeChangedEndpoints(now);
        if (sender.controller.visibleState(sender.endpoints[index - 2], now) == EndpointState::draining)
          return true;
      }
      return false;
    };
    ASSERT_TRUE(waitForCheck());
    const AttemptId id{"x" + std::to_string(index), 1};
    // Non-idempotent messages are not used for checks.
    EXPECT_FALSE(sender.controller.admitAttempt(id, sender.endpoints[index], false, now));
    ASSERT_TRUE(waitForCheck());
    ASSERT_TRUE(sender.controller.admitAttempt(id, sender.endpoints[index], true, now));
    // The admitted attempt ends the check.
    EXPECT_EQ(EndpointState::ready, sender.controller.visibleState(sender.endpoints[index - 2], now));
    AttemptOutcome finished = outcome(AttemptResult::ok);
    finished.id = id.message_id;
    finished.attempt = id.attempt;
    sender.controller.onAttemptFinished(finished, now);
  }
  EXPECT_FALSE(sender.controller.isRecovering());
  for (const Micros until = now + 5 * kSecond; now < until; now += 20'000) {
    sender.controller.takeChangedEndpoints(now);
    EXPECT_EQ(EndpointState::ready, sender.controller.visibleState(sender.endpoints[0], now));
  }
}

// Without checks a vote would expire after seconds and lose weight, and senders that observe a failure one
// after another would never form a majority.
TEST(ZoneTrafficControllerTest, ChecksEndpointsAndKeepsVoteWeightWhenActiveZoneFails) {
  SenderFixture sender("s1");
  Micros now = sender.deliver(10);
  const ZoneVote healthy_vote = sender.controller.votes(now)["b"];
  EXPECT_EQ(Observation::healthy, healthy_vote.observation);
  int attempt_count = 0, checks = 0;
  Micros hidden = 0;
  const auto run = [&](Micros duration, AttemptResult result_in_b) {
    for (const Micros until = now + duration; now < until; now += 20'000) {
      sender.controller.takeChangedEndpoints(now);
      if (now % kSecond < 20'000)
        sender.controller.expire(now);
      const bool is_check =
          sender.controller.visibleState(sender.endpoints[0], now) == EndpointState::draining;
      hidden += is_check ? 20'000 : 0;
      // Selects endpoints like the decision module: of zone a unless hidden.
      for (const int index : {0, 1}) {
        const Endpoint& target = sender.endpoints[static_cast<std::size_t>(
            index + (sender.controller.visibleState(sender.endpoints[static_cast<std::size_t>(index)], now) ==
                             EndpointState::draining
                         ? 2
                         : 0))];
        const AttemptId id{"check", ++attempt_count};
        if (!sender.controller.admitAttempt(id, target, true, now))
          continue;
        AttemptOutcome finished = outcome(target.zone == "b" ? result_in_b : AttemptResult::ok);
        finished.id = id.message_id;
        finished.attempt = id.attempt;
        sender.controller.onAttemptFinished(finished, now);
        checks += target.zone == "b";
      }
    }
  };
  for (const int index : {0, 1}) {  // both destinations fail in zone b, once
    const AttemptId id{"fails", index};
    ASSERT_TRUE(
        sender.controller.admitAttempt(id, sender.endpoints[static_cast<std::size_t>(2 + index)], true, now));
    AttemptOutcome finished = outcome(AttemptResult::connect_failed);
    finished.id = id.message_id;
    finished.attempt = id.attempt;
    sender.controller.onAttemptFinished(finished, now);
  }
  run(60 * kSecond, AttemptResult::connect_failed);
  EXPECT_EQ(Observation::failing, sender.controller.votes(now)["b"].observation);
  EXPECT_EQ(healthy_vote.traffic, sender.controller.votes(now)["b"].traffic);
  EXPECT_GE(checks, 2 * 10);
  EXPECT_LE(checks, 2 * 15);
  EXPECT_LE(hidden, 2 * kSecond);
  run(10 * kSecond, AttemptResult::ok);  // one success of each endpoint ends the checks
  EXPECT_NE(Observation::failing, sender.controller.votes(now)["b"].observation);
  hidden = 0;
  run(10 * kSecond, AttemptResult::ok);
  EXPECT_EQ(0, hidden);
}

TEST(ZoneTrafficControllerTest, AdmitsNothingToRecoveringZoneWhenLeaseIsInvalid) {
  SenderFixture sender("s1");
  Micros now = sender.deliver(10);
  sender.controller.applyStates({{"b", evacuated()}}, now);
  sender.controller.applyStates({{"b", recovering(1, 1)}}, now);
  sender.controller.takeChangedEndpoints(now);
  now += kSecond;
  EXPECT_TRUE(sender.controller.admitAttempt({"x", 0}, sender.endpoints[2], true, now));
  sender.controller.setLeaseValid(false);
  now += kSecond;
  EXPECT_EQ(EndpointState::draining, sender.controller.visibleState(sender.endpoints[2], now));
  EXPECT_FALSE(sender.controller.admitAttempt({"x", 0}, sender.endpoints[2], true, now));
  EXPECT_FALSE(sender.controller.isSendAllowed(sender.endpoints[2].id));
  // Other zones are not affected.
  EXPECT_TRUE(sender.controller.admitAttempt({"x", 0}, sender.endpoints[0], true, now));
}

TEST(ZoneTrafficControllerTest, AdmitsAverageRateOfDestinationWhenEndpointIsReplaced) {
  SenderFixture sender("s1");
  Micros now = sender.deliver(10);
  sender.controller.applyStates({{"b", evacuated()}}, now);
  Endpoint removed = sender.endpoints[2], replacement = endpoint("b", 1, 7),
           without_baseline = endpoint("b", 9);
  removed.state = EndpointState::gone;
  sender.controller.onEndpointListed(removed);
  sender.controller.onEndpointListed(replacement);
  sender.controller.onEndpointListed(without_baseline);
  sender.controller.applyStates({{"b", recovering(1, 0.5)}}, now);
  int admitted = 0, admitted_without_baseline = 0;
  for (const Micros until = now + 10 * kSecond; now < until; now += 1000) {
    admitted += sender.controller.admitAttempt({"x", 0}, replacement, true, now);
    admitted_without_baseline += sender.controller.admitAttempt({"x", 0}, without_baseline, true, now);
  }
  EXPECT_NEAR(50, admitted, 6);
  EXPECT_EQ(0, admitted_without_baseline);  // no endpoint of its destination has a baseline
  EXPECT_EQ(1u, sender.controller.endpointFractions().count("b"));
}

}  // namespace
}  // namespace grademux::zones
