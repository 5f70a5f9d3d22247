// Several sender processes evacuate zones that fail and recover them.
#include "zones_fixture.h"

namespace grademux::harness {
namespace {

// A zone whose endpoints do not answer, or refuse connections: all senders evacuate it, make no more calls
// into it, and recover it stage by stage without overloading its cold endpoints.
TEST_F(FleetZones, EvacuatesFailingZoneAndRecoversItByStages) {
  startFleet(3);
  for (const auto fault : {Fleet::ZoneFault::silent, Fleet::ZoneFault::refuses}) {
    fleet_->zone("b", fault);
    ASSERT_TRUE(waitForZonePhase("b", "out", 20 * kSecond)) << static_cast<int>(fault) << describePlans();
    fleet_->zone("b", Fleet::ZoneFault::none);
    ASSERT_TRUE(waitUntilAllAdopted());
    ASSERT_TRUE(waitForZonePhase("b", "back")) << describePlans();
    ASSERT_TRUE(waitForZonePhase("b", "in")) << describePlans();
    ASSERT_TRUE(waitUntilAllAdopted());
    const Micros since = monotonicNow();
    EXPECT_TRUE(fleet_->eventually([&] { return fleet_->callsInto("b", 0, since) > 0; }));
  }
  EXPECT_EQ("in", zonePhase("a"));
  EXPECT_EQ("in", zonePhase("c"));
  expectInvariantsHold();
}

// The zone fails again while probers send to it, and again at the first stage: each time it is evacuated, for
// longer than before.
TEST_F(FleetZones, EvacuatesZoneAgainWhenItFailsDuringRecovery) {
  startFleet(3);
  fleet_->zone("b", Fleet::ZoneFault::errors);
  ASSERT_TRUE(waitForZonePhase("b", "out", 20 * kSecond)) << describePlans();
  ASSERT_TRUE(waitForZonePhase("b", "back"));  // The zone still fails: the probers will see the failure.
  ASSERT_TRUE(waitForZonePhase("b", "out")) << describePlans();
  EXPECT_EQ(1, fleet_->zoneState("b")["failed"]);
  fleet_->zone("b", Fleet::ZoneFault::none);
  ASSERT_TRUE(fleet_->eventually([&] {
    const json state = fleet_->zoneState("b");
    return state.is_object() && state["state"] == "back" && state["stage"] == 1;
  })) << describePlans();
  fleet_->zone("b", Fleet::ZoneFault::errors);
  ASSERT_TRUE(waitForZonePhase("b", "out")) << describePlans();
  EXPECT_EQ(2, fleet_->zoneState("b")["failed"]);
  fleet_->zone("b", Fleet::ZoneFault::none);
  ASSERT_TRUE(waitForZonePhase("b", "in", 90 * kSecond)) << describePlans();
  expectInvariantsHold();
}

// No zone is evacuated if all zones fail at once, or if a single sender sees a zone fail.
TEST_F(FleetZones, EvacuatesNoZoneWhenAllZonesFailOrOneSenderSeesAFailure) {
  startFleet(4);
  for (const char* zone : {"a", "b", "c"})
    fleet_->zone(zone, Fleet::ZoneFault::errors);
  sleepFor(5 * kSecond);
  for (const char* zone : {"a", "b", "c"})
    fleet_->zone(zone, Fleet::ZoneFault::none);
  EXPECT_EQ(1, fleet_->planNumber()) << describePlans();
  sleepFor(15 * kSecond);  // until the endpoints are warm
  fleet_->zone("b", Fleet::ZoneFault::refuses, {0});
  sleepFor(5 * kSecond);
  EXPECT_EQ(1, fleet_->planNumber()) << describePlans();
  const auto result = runOperatorCommand({"fleet", "zones"});
  EXPECT_NE(result.text.find("s1 sees it well"), std::string::npos) << result.text;
  fleet_->zone("b", Fleet::ZoneFault::none, {0});
  expectInvariantsHold();
}

// The links between some senders and the zone are cut. With two of five equally busy senders the zone is not
// evacuated, and each report has the sender's own observation. With a third one all senders evacuate the
// zone, also those that see it healthy. While the fault lasts, recovery is tried after longer and longer
// times (the checker verifies them); after the fault the zone becomes active.
TEST_F(FleetZones, EvacuatesZoneWhenSendersWithMostTrafficSeeItFail) {
  startFleet(5);
  fleet_->zone("b", Fleet::ZoneFault::refuses, {0, 1});
  for (const std::size_t i : {0u, 1u})
    ASSERT_TRUE(fleet_->eventually([&] { return fleet_->report(i)["zones"]["b"]["sight"] == "failing"; },
                                   20 * kSecond))
        << describePlans();
  sleepFor(6 * kSecond);
  EXPECT_EQ(1, fleet_->planNumber()) << describePlans();
  for (const std::size_t i : {2u, 3u, 4u})
    EXPECT_EQ("fine", fleet_->report(i)["zones"]["b"]["sight"]) << describePlans();
  fleet_->zone("b", Fleet::ZoneFault::refuses, {2});
  ASSERT_TRUE(waitForZonePhase("b", "out", 30 * kSecond)) << describePlans();
  ASSERT_TRUE(fleet_->eventually([&] {
    for (std::size_t i = 0; i < 5; ++i)
      if (adoptedPlanOf(i) < 2)
        return false;
    return true;
  }));
  sleepFor(8 * kSecond);
  EXPECT_LE(fleet_->planNumber(), 6)
      << describePlans();  // evacuated, probed, evacuated for 4 s, probed, evacuated for 8 s
  fleet_->zone("b", Fleet::ZoneFault::none, {0, 1, 2});
  ASSERT_TRUE(waitForZonePhase("b", "in", 90 * kSecond)) << describePlans();
  ASSERT_TRUE(waitUntilAllAdopted());
  expectInvariantsHold();
}

// All endpoints of a zone are replaced while the zone is evacuated, and a sender is killed afterwards.
// Endpoints without a baseline get the traffic that their partner's earlier endpoints got, also from the
// restarted sender.
TEST_F(FleetZones, SendsToEndpointsThatWereReplacedDuringEvacuation) {
  startFleet(3);
  ASSERT_EQ(0,
            runOperatorCommandUntilApplied({"fleet", "zone", "leave", "b", "--why", "new machines"}).status);
  ASSERT_TRUE(waitUntilAllAdopted());
  for (std::size_t i = 0; i < fleet_->size(); ++i) {
    TestEnvironment& environment = fleet_->world(i);
    environment.onStandIns([&] {
      json changes = json::array();
      for (std::size_t endpoint = 0; endpoint < environment.endpoints(); ++endpoint) {
        if (environment.zoneOf(endpoint) != "b")
          continue;
        changes.push_back(environment.endpoint(endpoint).listed("Gone"));
        changes.push_back(environment.endpoint(endpoint).listed());
        changes.back()["name"] = changes.back()["name"].get<std::string>() + "-new";
      }
      environment.discovery().tell(std::move(changes), false);
    });
  }
  sleepFor(kSecond);
  fleet_->kill(0);
  restartAndWaitForReport(0);
  const Micros since = monotonicNow();
  ASSERT_EQ(0,
            runOperatorCommandUntilApplied({"fleet", "zone", "return", "b", "--why", "they stand"}).status);
  ASSERT_TRUE(fleet_->eventually(
      [&] { return zonePhase("b") == "in" || fleet_->zoneState("b")["stage"] >= 1; }, 60 * kSecond))
      << describePlans();
  for (std::size_t i = 0; i < fleet_->size(); ++i)
    EXPECT_TRUE(fleet_->eventually([&] { return fleet_->callsInto("b", i, since) > 0; }))
        << i << describePlans();
  ASSERT_TRUE(waitForZonePhase("b", "in")) << describePlans();
  ASSERT_TRUE(waitUntilAllAdopted());
  expectInvariantsHold();
}

// Operator commands evacuate a zone and pin that state whatever the senders see, recover the zone by stages,
// and make it active at once.
TEST_F(FleetZones, FollowsOperatorCommandsForZone) {
  startFleet(2);
  ASSERT_EQ(
      0,
      runOperatorCommandUntilApplied({"fleet", "zone", "leave", "b", "--why", "works on the rack"}).status);
  ASSERT_TRUE(waitUntilAllAdopted());
  sleepFor(kSecond / 2);
  const Micros since = monotonicNow();
  sleepFor(4 * kSecond);  // longer than the minimum evacuation time
  EXPECT_EQ(0u, fleet_->callsInto("b", 0, since) + fleet_->callsInto("b", 1, since));
  EXPECT_EQ("out", zonePhase("b"));
  EXPECT_EQ(1, runOperatorCommand({"fleet", "zone", "leave", "b", "--why", "again"}).status);
  EXPECT_EQ(1, runOperatorCommand({"fleet", "zone", "leave", "nowhere", "--why", "x"}).status);
  const auto shown = runOperatorCommand({"fleet", "zones"});
  EXPECT_NE(shown.text.find("b: out, held: works on the rack"), std::string::npos) << shown.text;
  ASSERT_EQ(0, runOperatorCommandUntilApplied({"fleet", "zone", "return", "b", "--why", "done"}).status);
  EXPECT_EQ("back", zonePhase("b"));
  ASSERT_EQ(
      0, runOperatorCommandUntilApplied({"fleet", "zone", "return", "b", "--at-once", "--why", "in a hurry"})
             .status);
  EXPECT_EQ("in", zonePhase("b"));
  ASSERT_TRUE(waitUntilAllAdopted());
  ASSERT_TRUE(fleet_->eventually([&] { return fleet_->callsInto("b", 0, since) > 0; }));
  expectInvariantsHold();
}

// Senders are killed and stopped while the zone is evacuated and while it recovers, half of them at once, and
// another loses the store. They continue with the zone states of the plan.
TEST_F(FleetZones, RecoversZoneWhenSendersAreKilledStoppedOrWithoutStore) {
  startFleet(4);
  fleet_->zone("b", Fleet::ZoneFault::silent);
  ASSERT_TRUE(waitForZonePhase("b", "out", 20 * kSecond)) << describePlans();
  fleet_->kill(0);
  fleet_->stop(1);
  sleepFor(kSecond);
  fleet_->zone("b", Fleet::ZoneFault::none);
  restartAndWaitForReport(0);
  fleet_->go(1);
  ASSERT_TRUE(waitForZonePhase("b", "back")) << describePlans();
  fleet_->kill(0);
  fleet_->kill(1);
  sleepFor(kSecond);
  restartAndWaitForReport(0);
  restartAndWaitForReport(1);
  fleet_->cutStore(2, FaultProxy::Mode::cut);
  sleepFor(3 * kSecond);
  const Micros since = monotonicNow();
  sleepFor(kSecond);
  EXPECT_EQ(0u, fleet_->callsInto("b", 2, since));
  fleet_->cutStore(2, FaultProxy::Mode::forwarding);
  ASSERT_TRUE(waitForZonePhase("b", "in", 90 * kSecond)) << describePlans();
  ASSERT_TRUE(waitUntilAllAdopted());
  expectInvariantsHold();
}

// Under a lenient plan a sender without the store continues, but sends to a recovering zone only until its
// lease ends.
TEST_F(FleetZones, SendsNothingToRecoveringZoneWhenStoreIsUnreachableUnderLenientPlan) {
  startFleet(3, "lenient");
  fleet_->zone("b", Fleet::ZoneFault::refuses);
  ASSERT_TRUE(waitForZonePhase("b", "out", 20 * kSecond)) << describePlans();
  fleet_->zone("b", Fleet::ZoneFault::none);
  ASSERT_TRUE(fleet_->eventually([&] {
    const json state = fleet_->zoneState("b");
    return state.is_object() && state["state"] == "back" && state["stage"].get<int>() >= 1;
  })) << describePlans();
  fleet_->cutStore(0, FaultProxy::Mode::cut);
  sleepFor(2 * kSecond);  // the lease is 1.5 s
  const Micros since = monotonicNow();
  sleepFor(2 * kSecond);
  EXPECT_EQ(0u, fleet_->callsInto("b", 0, since));
  EXPECT_GT(fleet_->callsInto("a", 0, since), 0u);
  fleet_->cutStore(0, FaultProxy::Mode::forwarding);
  ASSERT_TRUE(waitForZonePhase("b", "in", 90 * kSecond)) << describePlans();
  expectInvariantsHold();
}

}  // namespace
}  // namespace grademux::harness
