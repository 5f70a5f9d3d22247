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
  fixture.vote("b", 3, Observation::unknown, 100);  // does not vote
  EXPECT_FALSE(fixture.next());
  fixture.vote("b", 4, Observation::failing, 1);
  ASSERT_TRUE(fixture.next());
  EXPECT_EQ("b", fixture.next()->zone);
  EXPECT_EQ(ZonePhase::evacuated, fixture.next()->state.phase);
  EXPECT_NE(fixture.next()->state.reason.find("50%"), std::string::npos) << fixture.next()->state.reason;
}

TEST(ZoneTransitionsTest, IgnoresVotesOfSendersThatAreNotLive) {
  TransitionsFixture fixture;
  fixture.vote("b", 1, Observation::failing, 10, 3, false);
  EXPECT_FALSE(fixture.next());
  fixture.vote("b", 2, Observation::healthy, 1);
  EXPECT_FALSE(fixture.next());
}

TEST(ZoneTransitionsTest, DoesNotEvacuateForOneFailingDestination) {
  TransitionsFixture fixture;
  fixture.vote("b", 1, Observation::failing, 10, 1);
  EXPECT_FALSE(fixture.next());
}

TEST(ZoneTransitionsTest, NeverEvacuatesMoreThanTheMaximumFraction) {
  TransitionsFixture fixture;
  fixture.vote("a", 1, Observation::failing);
  fixture.vote("b", 1, Observation::failing);
  ASSERT_TRUE(fixture.next());
  fixture.apply(*fixture.next());
  EXPECT_FALSE(fixture.next());                            // a second third would exceed the maximum
  fixture.zones["a"].state.phase = ZonePhase::recovering;  // a recovering zone counts as evacuated
  EXPECT_FALSE(fixture.next());
  fixture.zones["a"].state = ZoneState();
  EXPECT_TRUE(fixture.next());
}

// Zones a1 and a2 are region a, whose standby is region b; zone c is a region of its own.
struct RegionsFixture : TransitionsFixture {
  RegionsFixture() {
    zones.clear();
    for (const char* zone : {"a1", "a2", "b1", "b2", "c"})
      zones[zone].endpoint_fraction = 0.2;
    for (const char* zone : {"a1", "a2", "b1", "b2"})
      policy.regions.region_by_zone[zone] = std::string(1, zone[0]);
    policy.regions.stand_by["a"] = "b";
  }
};

TEST(ZoneTransitionsTest, EvacuatesFailingZonesOfOneRegionTogether) {
  RegionsFixture fixture;
  for (const char* zone : {"a1", "a2", "c"})
    fixture.vote(zone, 1, Observation::failing);
  ZoneTransitions transitions = fixture.decide();
  ASSERT_EQ(2u, transitions.size());
  EXPECT_EQ(ZonePhase::evacuated, transitions["a1"].phase);
  EXPECT_EQ(ZonePhase::evacuated, transitions["a2"].phase);
  fixture.policy.max_evacuated_fraction = 0.3;  // both would be more
  transitions = fixture.decide();
  ASSERT_EQ(1u, transitions.size());
  EXPECT_EQ("a1", transitions.begin()->first);
  fixture.policy.max_evacuated_fraction = 0.5;
  fixture.zones["a1"].state.pinned_by_operator = true;
  transitions = fixture.decide();
  ASSERT_EQ(1u, transitions.size());
  EXPECT_EQ("a2", transitions.begin()->first);
}

TEST(ZoneTransitionsTest, DoesNotEvacuateWhileTheStandbyRegionIsAffected) {
  RegionsFixture fixture;
  fixture.vote("b2", 1, Observation::failing);
  EXPECT_EQ(1u, fixture.decide().size());
  for (const ZonePhase away : {ZonePhase::evacuated, ZonePhase::recovering}) {
    RegionsFixture standby_first = fixture;
    standby_first.zones["a1"].state.phase = away;
    standby_first.zones["a1"].state.pinned_by_operator = true;
    EXPECT_TRUE(standby_first.decide().empty()) << "its stand-by takes the load of a";
    RegionsFixture region_first;
    region_first.zones["b1"].state.phase = away;
    region_first.zones["b1"].state.pinned_by_operator = true;
    region_first.vote("a2", 1, Observation::failing);
    EXPECT_TRUE(region_first.decide().empty()) << "what stands by for a is away";
    region_first.vote("c", 1, Observation::failing);
    EXPECT_EQ(1u, region_first.decide().count("c"));
  }
}

TEST(ZoneTransitionsTest, DoesNotChangeAZonePinnedByTheOperator) {
  TransitionsFixture fixture;
  fixture.vote("b", 1, Observation::failing);
  fixture.zones["b"].state.pinned_by_operator = true;
  EXPECT_FALSE(fixture.next());
  fixture.zones["b"].state.phase = ZonePhase::evacuated;
  fixture.zones["b"].since = 3600 * kSecond;
  EXPECT_FALSE(fixture.next());
}

TEST(ZoneTransitionsTest, RecoversByProbeAndStagesNotBeforeTheirTime) {
  TransitionsFixture fixture;
  fixture.vote("b", 1, Observation::failing);
  fixture.apply(*fixture.next());
  for (int s = 1; s <= 5; ++s)
    fixture.vote("b", s, Observation::unknown, 10, 0, s != 2);
  fixture.zones["b"].since = fixture.policy.min_evacuation_time - 1;
  EXPECT_FALSE(fixture.next());
  fixture.zones["b"].since = fixture.policy.min_evacuation_time;
  ASSERT_TRUE(fixture.next());
  fixture.apply(*fixture.next());
  const ZoneState& s = fixture.zones["b"].state;
  EXPECT_EQ(ZonePhase::recovering, s.phase);
  EXPECT_EQ(0, s.stage);
  EXPECT_EQ((std::set<std::string>{"s1", "s3", "s4"}), s.probers);  // s2 is not live
  // In the probe stage only the probers vote, and the least stage time has to pass.
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
    // Under what the endpoints bear by then, had they come back with the first stage.
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

TEST(ZoneTransitionsTest, ReplacesProbersThatReportNothing) {
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

TEST(ZoneTransitionsTest, EvacuatesAgainFromEachStageWithBackoff) {
  for (int stage = 0; stage <= 3; ++stage) {
    TransitionsFixture fixture;
    ZoneState& s = fixture.zones["b"].state;
    s.phase = ZonePhase::recovering;
    s.stage = stage;
    s.traffic_fraction = 0.5;
    s.failed_recoveries = 2;
    if (stage == 0)
      s.probers = {"s1"};
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

// Random votes: the evacuated fraction stays bounded, no stage is skipped, pinned zones do not change, and
// the order of the votes does not matter.
TEST(ZoneTransitionsTest, KeepsItsInvariantsUnderRandomVotes) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    TransitionsFixture fixture;
    fixture.zones["c"].state.pinned_by_operator = random() % 2;
    for (int step = 0; step < 60; ++step) {
      for (auto& [name, report] : fixture.zones) {
        report.voters.clear();
        report.since += static_cast<Micros>(random() % 8) * kSecond;
        for (int s = 0; s < 4; ++s)
          report.voters.push_back({"s" + std::to_string(s),
                                   {static_cast<Observation>(random() % 3), static_cast<double>(random() % 5),
                                    static_cast<int>(random() % 4)},
                                   random() % 4 != 0});
      }
      const auto transitions = fixture.next();
      TransitionsFixture turned = fixture;
      for (auto& [name, report] : turned.zones)
        std::reverse(report.voters.begin(), report.voters.end());
      const auto same = turned.next();
      ASSERT_EQ(transitions.has_value(), same.has_value()) << seed;
      if (!transitions)
        continue;
      ASSERT_TRUE(transitions->zone == same->zone && transitions->state == same->state) << seed;
      const ZoneState before = fixture.zones[transitions->zone].state;
      EXPECT_FALSE(before.pinned_by_operator) << seed;
      if (transitions->state.phase == ZonePhase::recovering && before.phase == ZonePhase::recovering) {
        EXPECT_TRUE(transitions->state.stage == before.stage + 1 ||
                    (transitions->state.stage == 0 && before.stage == 0 &&
                     transitions->state.probers != before.probers));
      }
      if (transitions->state.phase == ZonePhase::recovering && before.phase == ZonePhase::evacuated) {
        EXPECT_EQ(0, transitions->state.stage);
      }
      if (transitions->state.phase == ZonePhase::active) {
        EXPECT_EQ(fixture.policy.stage_count, before.stage);
      }
      EXPECT_FALSE(before.phase == ZonePhase::active && transitions->state.phase == ZonePhase::recovering);
      fixture.apply(*transitions);
      double out = 0;
      for (const auto& [name, report] : fixture.zones)
        out += report.state.phase == ZonePhase::active ? 0 : report.endpoint_fraction;
      ASSERT_LE(out, fixture.policy.max_evacuated_fraction) << seed;
    }
  }
}

}  // namespace
}  // namespace grademux::zones
