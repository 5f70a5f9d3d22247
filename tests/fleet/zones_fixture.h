// Fixture for tests with several sender processes and endpoints in several zones.
#pragma once

#include "fleet_fixture.h"

namespace grademux::harness {

class FleetZones : public FleetTest {
 protected:
  // Starts the fleet in three zones and lets traffic run until the senders have a traffic baseline.
  void startFleet(int senders, const std::string& mode = "strict") {
    FleetTest::startFleet(senders, mode, "1", 3);
    sleepFor(4 * kSecond);
  }
  void startFleet(const FleetConfig& shape, const std::string& mode = "strict") {
    FleetTest::startFleet(shape, mode);
    sleepFor(4 * kSecond);
  }
  // The zone's phase by the plan: in, out or back.
  std::string zonePhase(const std::string& zone) const {
    const json state = fleet_->zoneState(zone);
    return state.is_object() ? state["state"].get<std::string>() : "in";
  }
  bool waitForZonePhase(const std::string& zone, const std::string& phase, Micros timeout = 60 * kSecond) {
    return fleet_->eventually([&] { return zonePhase(zone) == phase; }, timeout);
  }
  // Waits until the zone recovers at least at this stage, or is active.
  bool waitForZoneStage(const std::string& zone, int min_stage) {
    return fleet_->eventually(
        [&] {
          const json state = fleet_->zoneState(zone);
          return state.is_null() || (state["state"] == "back" && state["stage"].get<int>() >= min_stage);
        },
        60 * kSecond);
  }
  // The number of calls of all senders into the zone since a time of the monotonic clock.
  std::size_t callsInto(const std::string& zone, Micros since) {
    std::size_t count = 0;
    for (std::size_t i = 0; i < fleet_->size(); ++i)
      count += fleet_->callsInto(zone, i, since);
    return count;
  }
  // Waits until all senders have adopted the plan in the store.
  bool waitUntilAllAdopted() {
    return fleet_->eventually([&] { return fleet_->allAt(fleet_->planNumber()); });
  }
  // The reasons of all plans and the states of the zones, for failure messages.
  std::string describePlans() {
    std::string text;
    for (const auto& change : fleet_->store().changes("rig/plan")) {
      const json plan = json::parse(change.value, nullptr, false);
      text += plan.value("why", "") + " | ";
    }
    return text + runOperatorCommand({"fleet", "zones"}).text;
  }
};

}  // namespace grademux::harness
