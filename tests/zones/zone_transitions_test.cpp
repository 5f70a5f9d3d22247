#include "../../src/zones/zone_transitions.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>

#include "zone_fixtures.h"

namespace grademux::zones {
namespace {

struct TransitionsFixture {
  std::map<std::string, ZoneReport> zones;
  ZonePolicy policy;
  TransitionsFixture() {
    for (const char* zone : {"a", "b", "c"})
      zones[zone].endpoint_fraction = 1.0 / 3;
  }
  void vote(const std::string& zone, int sender, Observation observation, double traffic = 10,
            int failing_destinations = 3, bool live = true) {
    zones[zone].voters.push_back(
        {"s" + std::to_string(sender), {observation, traffic, failing_destinations}, live});
  }
  struct Step {
    std::string zone;
    ZoneState state;
  };
  ZoneTransitions decide() const {
    return decideTransitions(zones, policy, [](const std::string& name) { return name; });
  }
  std::optional<Step> next() const {
    const ZoneTransitions transitions = decide();
    if (transitions.empty())
      return std::nullopt;
    EXPECT_EQ(1u, transitions.size());
    return Step{transitions.begin()->first, transitions.begin()->second};
  }
  void apply(const Step& step) {
    ZoneReport& report = zones[step.zone];
    report.state = step.state;
    report.since = 0;
    report.voters.clear();
  }
};

TEST(ZoneTransitionsTest, EvacuatesWhenHalfOfTheTrafficSeesTheZoneFail) {
  TransitionsFixture fixture;
  fixture.vote("b", 1, Observation::failing, 10);
  fixture.vote("b", 2, Observation::healthy, 11);
  EXPECT_FALSE(fixture.next());
  fixture.vote("b", 3, Observation::unknown, 100);  // an unknown observation does not count
  EXPECT_FALSE(fixture.next());
  fixture.vote("b", 4, Observation::failing, 1);
  ASSERT_TRUE(fixture.next());
  EXPECT_EQ("b", fixture.next()->zone);
  EXPECT_EQ(ZonePhase::evacuated, fixture.next()->state.phase);
  EXPECT_NE(fixture.next()->state.reason.find("50%"), std::string::npos) << fixture.next()->state.reason;
}

TEST(ZoneTransitionsTest, IgnoresVoteWhenSenderIsNotLive) {
  TransitionsFixture fixture;
  fixture.vote("b", 1, Observation::failing, 10, 3, false);
  EXPECT_FALSE(fixture.next());
  fixture.vote("b", 2, Observation::healthy, 1);
  EXPECT_FALSE(fixture.next());
}

TEST(ZoneTransitionsTest, DoesNotEvacuateWhenOnlyOneDestinationFails) {
  TransitionsFixture fixture;
  fixture.vote("b", 1, Observation::failing, 10, 1);
  EXPECT_FALSE(fixture.next());
}

TEST(ZoneTransitionsTest, DoesNotEvacuateWhenMaximumFractionWouldBeExceeded) {
  TransitionsFixture fixture;
  fixture.vote("a", 1, Observation::failing);
  fixture.vote("b", 1, Observation::failing);
  ASSERT_TRUE(fixture.next());
  fixture.apply(*fixture.next());
  EXPECT_FALSE(fixture.next());  // another third of the endpoints would exceed the maximum
  fixture.zones["a"].state.phase = ZonePhase::recovering;  // a recovering zone counts as evacuated
  EXPECT_FALSE(fixture.next());
  fixture.zones["a"].state = ZoneState();
  EXPECT_TRUE(fixture.next());
}

// Zones a1 and a2 form region a, whose standby is region b (b1 and b2); zone c is a region of its own.
struct RegionsFixture : TransitionsFixture {
  RegionsFixture() {
    zones.clear();
    for (const char* zone : {"a1", "a2", "b1", "b2", "c"})
      zones[zone].endpoint_fraction = 0.2;
    for (const char* zone : {"a1", "a2", "b1", "b2"})
      policy.regions.region_by_zone[zone] = std::string(1, zone[0]);
    policy.regions.standby_by_region["a"] = "b";
  }
};

TEST(ZoneTransitionsTest, EvacuatesZonesTogetherWhenTheyAreInOneRegion) {
  RegionsFixture fixture;
  for (const char* zone : {"a1", "a2", "c"})
    fixture.vote(zone, 1, Observation::failing);
  ZoneTransitions transitions = fixture.decide();
  ASSERT_EQ(2u, transitions.size());
  EXPECT_EQ(ZonePhase::evacuated, transitions["a1"].phase);
  EXPECT_EQ(ZonePhase::evacuated, transitions["a2"].phase);
  fixture.policy.max_evacuated_fraction = 0.3;  // both zones would exceed the maximum
  transitions = fixture.decide();
  ASSERT_EQ(1u, transitions.size());
  EXPECT_EQ("a1", transitions.begin()->first);
  fixture.policy.max_evacuated_fraction = 0.5;
  fixture.zones["a1"].state.pinned_by_operator = true;
  transitions = fixture.decide();
  ASSERT_EQ(1u, transitions.size());
  EXPECT_EQ("a2", transitions.begin()->first);
}

TEST(ZoneTransitionsTest, DoesNotEvacuateWhenStandbyRegionIsAffected) {
  RegionsFixture fixture;
  fixture.vote("b2", 1, Observation::failing);
  EXPECT_EQ(1u, fixture.decide().size());
  for (const ZonePhase phase : {ZonePhase::evacuated, ZonePhase::recovering}) {
    RegionsFixture standby_first = fixture;
    standby_first.zones["a1"].state.phase = phase;
    standby_first.zones["a1"].state.pinned_by_operator = true;
    EXPECT_TRUE(standby_first.decide().empty()) << "region b takes the load of region a";
    RegionsFixture region_first;
    region_first.zones["b1"].state.phase = phase;
    region_first.zones["b1"].state.pinned_by_operator = true;
    region_first.vote("a2", 1, Observation::failing);
    EXPECT_TRUE(region_first.decide().empty()) << "the standby of region a is affected";
    region_first.vote("c", 1, Observation::failing);
    EXPECT_EQ(1u, region_first.decide().count("c"));
  }
}

TEST(ZoneTransitionsTest, KeepsStateWhenZoneIsPinnedByOperator) {
  TransitionsFixture fixture;
  fixture.vote("b", 1, Observation::failing);
  fixture.zones["b"].state.pinned_by_operator = true;
  EXPECT_FALSE(fixture.next());
  fixture.zones["b"].state.phase = ZonePhase::evacuated;
  fixture.zones["b"].since = 3600 * kSecond;
  EXPECT_FALSE(fixture.next());
}

TEST(ZoneTransitionsTest, AdvancesRecoveryWhenStageTimeHasPassedAndVotesAreHealthy) {
  TransitionsFixture fixture;
  fixture.vote("b", 1, Observation::failing);
  fixture.apply(*fixture.next());
  for (int sender = 1; sender <= 5; ++sender)
    fixture.vote("b", sender, Observation::unknown, 10, 0, sender != 2);
  fixture.zones["b"].since = fixture.policy.min_evacuation_time - 1;
  EXPECT_FALSE(fixture.next());
  fixture.zones["b"].since = fixture.policy.min_evacuation_time;
  ASSERT_TRUE(fixture.next());
  fixture.apply(*fixture.next());
  const ZoneState& state = fixture.zones["b"].state;
  EXPECT_EQ(ZonePhase::recovering, state.phase);
  EXPECT_EQ(0, state.stage);
  EXPECT_EQ((std::set<std::string>{"s1", "s3", "s4"}), state.probers);  // s2 is not live
  // In the probe stage only votes of probers count, and min_stage_time has to pass.
  fixture.vote("b", 5, Observation::healthy);
  fixture.zones["b"].since = fixture.policy.min_stage_time;
  EXPECT_FALSE(fixture.next());
  fixture.vote("b", 3, Observation::healthy);
  fixture.zones["b"].since = fixture.policy.min_stage_time - 1;
  EXPECT_FALSE(fixture.next());
  double before = 0;
  for (int stage = 1; stage <= fixture.policy.stage_count; ++stage) {
    fixture.zones["b"].since = fixture.policy.min_stage_time;
    ASSERT_TRUE(fixture.next()) << stage;
    fixture.apply(*fixture.next());
    EXPECT_EQ(stage, fixture.zones["b"].state.stage);
    EXPECT_GT(fixture.zones["b"].state.traffic_fraction, before);
    // At most the load that endpoints can take in this stage if they became available with the first stage.
    EXPECT_LE(fixture.zones["b"].state.traffic_fraction,
              fixture.policy.cold_capacity_fraction +
                  (1 - fixture.policy.cold_capacity_fraction) * (stage - 1) / fixture.policy.stage_count +
                  1e-9);
    before = fixture.zones["b"].state.traffic_fraction;
    EXPECT_FALSE(fixture.next());
    fixture.vote("b", 3, Observation::healthy);
  }
  fixture.zones["b"].since = fixture.policy.min_stage_time;
  ASSERT_TRUE(fixture.next());
  EXPECT_TRUE(fixture.next()->state == ZoneState());
}

TEST(ZoneTransitionsTest, ReplacesProbersWhenTheyCastNoHealthyVoteInTime) {
  TransitionsFixture fixture;
  fixture.zones["b"].state.phase = ZonePhase::recovering;
  fixture.zones["b"].state.probers = {"s1"};
  fixture.policy.prober_count = 1;
  fixture.vote("b", 1, Observation::unknown, 0);
  fixture.vote("b", 2, Observation::unknown);
  fixture.zones["b"].since = fixture.policy.prober_timeout_stages * fixture.policy.min_stage_time - 1;
  EXPECT_FALSE(fixture.next());
  ++fixture.zones["b"].since;
  ASSERT_TRUE(fixture.next());
  EXPECT_EQ(ZonePhase::recovering, fixture.next()->state.phase);
  EXPECT_EQ(std::set<std::string>{"s2"}, fixture.next()->state.probers);
}

TEST(ZoneTransitionsTest, EvacuatesAgainWithBackoffWhenAnyStageFails) {
  for (int stage = 0; stage <= 3; ++stage) {
    TransitionsFixture fixture;
    ZoneState& state = fixture.zones["b"].state;
    state.phase = ZonePhase::recovering;
    state.stage = stage;
    state.traffic_fraction = 0.5;
    state.failed_recoveries = 2;
    if (stage == 0)
      state.probers = {"s1"};
    fixture.vote("b", 1, Observation::failing, 10, 1);
    fixture.vote("b", 2, Observation::healthy, 20);
    ASSERT_TRUE(fixture.next()) << stage;
    fixture.apply(*fixture.next());
    EXPECT_EQ(ZonePhase::evacuated, fixture.zones["b"].state.phase);
    EXPECT_EQ(3, fixture.zones["b"].state.failed_recoveries);
    fixture.vote("b", 1, Observation::unknown);
    fixture.zones["b"].since = 8 * fixture.policy.min_evacuation_time - 1;
    EXPECT_FALSE(fixture.next());
    fixture.zones["b"].since = 8 * fixture.policy.min_evacuation_time;
    EXPECT_TRUE(fixture.next());
  }
}

// The evacuated fraction stays bounded, no stage is skipped, pinned zones do not change, and the result does
// not depend on the order of the votes.
TEST(ZoneTransitionsTest, KeepsInvariantsWhenVotesAreRandom) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    TransitionsFixture fixture;
    fixture.zones["c"].state.pinned_by_operator = random() % 2;
    for (int step = 0; step < 60; ++step) {
      for (auto& [name, report] : fixture.zones) {
        report.voters.clear();
        report.since += static_cast<Micros>(random() % 8) * kSecond;
        for (int sender = 0; sender < 4; ++sender)
          report.voters.push_back({"s" + std::to_string(sender),
                                   {static_cast<Observation>(random() % 3), static_cast<double>(random() % 5),
                                    static_cast<int>(random() % 4)},
                                   random() % 4 != 0});
      }
      const auto transition = fixture.next();
      TransitionsFixture reversed = fixture;
      for (auto& [name, report] : reversed.zones)
        std::reverse(report.voters.begin(), report.voters.end());
      const auto transition_of_reversed = reversed.next();
      ASSERT_EQ(transition.has_value(), transition_of_reversed.has_value()) << seed;
      if (!transition)
        continue;
      ASSERT_TRUE(transition->zone == transition_of_reversed->zone &&
                  transition->state == transition_of_reversed->state)
          << seed;
      const ZoneState before = fixture.zones[transition->zone].state;
      EXPECT_FALSE(before.pinned_by_operator) << seed;
      if (transition->state.phase == ZonePhase::recovering && before.phase == ZonePhase::recovering) {
        EXPECT_TRUE(transition->state.stage == before.stage + 1 ||
                    (transition->state.stage == 0 && before.stage == 0 &&
                     transition->state.probers != before.probers));
      }
      if (transition->state.phase == ZonePhase::recovering && before.phase == ZonePhase::evacuated) {
        EXPECT_EQ(0, transition->state.stage);
      }
      if (transition->state.phase == ZonePhase::active) {
        EXPECT_EQ(fixture.policy.stage_count, before.stage);
      }
      EXPECT_FALSE(before.phase == ZonePhase::active && transition->state.phase == ZonePhase::recovering);
      fixture.apply(*transition);
      double evacuated_fraction = 0;
      for (const auto& [name, report] : fixture.zones)
        evacuated_fraction += report.state.phase == ZonePhase::active ? 0 : report.endpoint_fraction;
      ASSERT_LE(evacuated_fraction, fixture.policy.max_evacuated_fraction) << seed;
    }
  }
}

}  // namespace
}  // namespace grademux::zones
