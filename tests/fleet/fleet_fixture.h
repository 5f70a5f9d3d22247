// Fixture for tests with several sender processes and faults between them. Fleet::finish() checks what
// endpoints and clients observed against the invariants; it shares no code with the sender.
#pragma once

#include <gtest/gtest.h>

#include <thread>

#include "../../harness/fleet.h"
#include "../../src/core/clock.h"
#include "../support/program_paths.h"

namespace grademux::harness {

constexpr Micros kSecond = 1'000'000;

inline void sleepFor(Micros span) {
  std::this_thread::sleep_for(std::chrono::microseconds(span));
}

class FleetTest : public ::testing::Test {
 protected:
  // Starts the senders, waits until they have adopted plan 1, and starts the clients. `max_fenced_fraction`:
  // the fraction of senders that may be fenced.
  void startFleet(int senders, const std::string& mode = "strict",
                  const std::string& max_fenced_fraction = "1", int zones = 1) {
    FleetConfig shape;
    shape.senders = senders;
    shape.zones = zones;
    startFleet(shape, mode, max_fenced_fraction);
  }
  void startFleet(const FleetConfig& shape, const std::string& mode,
                  const std::string& max_fenced_fraction = "1") {
    fleet_ = std::make_unique<Fleet>(senderProgram(), 11, shape);
    fleet_->startAll();
    plan_mode_ = mode;
    const auto result =
        fleet_->propose({"--settings", fleet_->settingsDigest(), "--mode", mode, "--lease", "1.5",
                         "--binds-after", "1.5", "--most-shut-out", max_fenced_fraction});
    ASSERT_EQ(0, result.status) << result.text;
    ASSERT_TRUE(fleet_->eventually([&] { return fleet_->allAt(1); }));
    fleet_->beginLoad();
  }
  // Writes new settings for all senders and proposes a plan that requires them. Returns the number of the
  // plan.
  std::int64_t proposeNewSettings(const std::string& binds_after = "1.5", const std::string& mode = "") {
    latency_objective_ms_ += 100;
    fleet_->setAim(latency_objective_ms_);
    const auto result = fleet_->propose({"--settings", fleet_->settingsDigest(), "--mode",
                                         mode.empty() ? plan_mode_ : mode, "--binds-after", binds_after});
    EXPECT_EQ(0, result.status) << result.text;
    return fleet_->planNumber();
  }
  std::string complianceOf(std::size_t sender) const {
    const json report = fleet_->report(sender);
    return report.is_object() ? report["standing"].get<std::string>() : "";
  }
  std::string reasonOf(std::size_t sender) const {
    const json report = fleet_->report(sender);
    return report.is_object() ? report["why"].get<std::string>() : "";
  }
  std::int64_t adoptedPlanOf(std::size_t sender) const {
    const json report = fleet_->report(sender);
    return report.is_object() ? report["own"]["plan"].get<std::int64_t>() : -1;
  }
  bool waitForPlan(std::size_t sender, std::int64_t plan) {
    return fleet_->eventually(
        [&] { return adoptedPlanOf(sender) >= plan && complianceOf(sender) == "current"; });
  }
  // Starts the sender again and waits for a report of the new process: an earlier process wrote the report
  // before.
  void restartAndWaitForReport(std::size_t sender, const std::string& program = "") {
    const json before = fleet_->report(sender);
    fleet_->restart(sender, program);
    ASSERT_TRUE(fleet_->eventually([&] {
      const json now = fleet_->report(sender);
      return now.is_object() && (!before.is_object() || now["process"] != before["process"]);
    })) << fleet_->world(sender).log();
  }
  std::size_t callCount(std::size_t sender) { return fleet_->calls(sender).size(); }
  void expectInvariantsHold() {
    const json findings = fleet_->finish();
    EXPECT_TRUE(findings["holds"] == true) << findings.dump();
    EXPECT_GT(findings["delivered"], 0);
  }
  Fleet::Said runOperatorCommand(std::vector<std::string> words) { return fleet_->word(std::move(words)); }
  // Repeats a command that failed because a sender changed the plan at the same time.
  Fleet::Said runOperatorCommandUntilApplied(const std::vector<std::string>& words) {
    return fleet_->insist(words);
  }
  std::unique_ptr<Fleet> fleet_;
  std::string plan_mode_;
  double latency_objective_ms_ = 4000;
};

}  // namespace grademux::harness
