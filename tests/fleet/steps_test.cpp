// Several processes of which one is killed or stopped at a step. Each request to the store that follows from
// a plan, a start or an operator's command is a step, before and after the store carries the request out.
#include <signal.h>

#include "../support/program_paths.h"
#include "fleet_fixture.h"

namespace grademux::harness {
namespace {

constexpr int kSteps = 6;  // more than the requests that follow from a plan; the last ones are later requests

class FleetSteps : public FleetTest {
 protected:
  void waitForTrap() {
    ASSERT_TRUE(fleet_->eventually([&] { return fleet_->sprung(); }));
    fleet_->untrap();
  }
  // Kills the sender at its nth request from now on, before or after the store carries the request out.
  void killAtStoreRequest(std::size_t sender, int step, bool before) {
    fleet_->trap(sender, step, before, [this, sender](std::size_t) { fleet_->killNow(sender); });
  }
  bool waitUntilFenced(std::size_t sender) {
    return fleet_->eventually([&] { return complianceOf(sender) == "shut out"; });
  }
  // Whether the sender makes no call for half a second.
  bool sendsNothing(std::size_t sender) {
    sleepFor(kSecond / 10);
    const std::size_t before = callCount(sender);
    sleepFor(kSecond / 2);
    return callCount(sender) == before;
  }
};

// A sender that is killed at any request to the store while it adopts a plan must be current after a restart.
TEST_F(FleetSteps, AdoptsPlanWhenKilledAtEachStoreRequest) {
  startFleet(2);
  for (const bool before : {true, false})
    for (int step = 1; step <= kSteps; ++step) {
      killAtStoreRequest(0, step, before);
      const std::int64_t plan = proposeNewSettings();
      waitForTrap();
      fleet_->kill(0);
      restartAndWaitForReport(0);
      ASSERT_TRUE(waitForPlan(0, plan)) << "step " << step << " " << fleet_->world(0).log();
      ASSERT_TRUE(waitForPlan(1, plan));
    }
  expectInvariantsHold();
}

// The sender is killed twice: while it adopts a plan, and during the restart after that.
TEST_F(FleetSteps, AdoptsPlanWhenKilledAgainDuringRestart) {
  startFleet(2);
  for (int first = 1; first <= 3; ++first)
    for (int second = 1; second <= 4; ++second) {
      killAtStoreRequest(0, first, false);
      const std::int64_t plan = proposeNewSettings();
      waitForTrap();
      fleet_->kill(0);
      killAtStoreRequest(0, second, false);
      try {
        fleet_->restart(0);  // The sender may be killed before it is ready.
      } catch (const std::runtime_error&) {
      }
      waitForTrap();
      fleet_->kill(0);
      restartAndWaitForReport(0);
      ASSERT_TRUE(waitForPlan(0, plan)) << first << ", " << second << " " << fleet_->world(0).log();
      ASSERT_TRUE(waitForPlan(1, plan));
    }
  expectInvariantsHold();
}

// SIGSTOP at each request to the store, for longer than the lease, while the next plan is made and becomes
// effective.
TEST_F(FleetSteps, SendsNothingUnderOldPlanWhenStoppedAtEachStoreRequest) {
  startFleet(2);
  for (const bool before : {true, false})
    for (int step = 1; step <= 4; ++step) {
      fleet_->trap(0, step, before, [this](std::size_t) { fleet_->stop(0); });
      proposeNewSettings();
      waitForTrap();
      const std::int64_t plan = proposeNewSettings();
      ASSERT_TRUE(waitForPlan(1, plan)) << step;
      sleepFor(2 * kSecond);
      fleet_->go(0);
      ASSERT_TRUE(waitForPlan(0, plan)) << step;
    }
  expectInvariantsHold();
}

// SIGKILL at each request to the store of a sender that an operator fences, then of one that is readmitted.
// The sender must be fenced until it is readmitted, and current afterwards, whichever requests were carried
// out.
TEST_F(FleetSteps, IsFencedUntilReadmittedWhenKilledAtEachStoreRequest) {
  startFleet(2);
  for (const bool before : {true, false})
    for (int step = 1; step <= 4; ++step) {
      const std::string at = "step " + std::to_string(step) + (before ? " before" : " after");
      killAtStoreRequest(0, step, before);
      ASSERT_EQ(0, runOperatorCommand({"fleet", "shut-out", "s0", "--why", "disk"}).status);
      waitForTrap();
      fleet_->kill(0);
      restartAndWaitForReport(0);
      ASSERT_TRUE(waitUntilFenced(0)) << at;
      EXPECT_TRUE(sendsNothing(0)) << at;
      killAtStoreRequest(0, step, before);
      ASSERT_EQ(0, runOperatorCommand({"fleet", "readmit", "s0", "--why", "new disk"}).status);
      waitForTrap();
      fleet_->kill(0);
      restartAndWaitForReport(0);
      ASSERT_TRUE(waitForPlan(0, fleet_->planNumber())) << at;
    }
  expectInvariantsHold();
}

// The operator's command is killed at each of its requests. The store has either the plan before or the
// complete new one, all senders adopt it, and the operator, who has seen no result, can repeat the command.
TEST_F(FleetSteps, CommandCanBeRepeatedWhenKilledAtEachStoreRequest) {
  startFleet(2);
  struct Command {
    std::vector<std::string> words;
    bool is_repeatable;  // makes another plan when it is repeated after it was applied
  };
  const std::vector<Command> commands = {{{"plan", "propose", "--list", "0"}, true},
                                         {{"plan", "bind"}, true},
                                         {{"plan", "halt"}, true},
                                         {{"plan", "revert"}, true},
                                         {{"shut-out", "s0"}, false},
                                         {{"readmit", "s0"}, false}};
  for (const Command& command : commands)
    for (const bool before : {true, false})
      for (int step = 1; step <= 2; ++step) {
        std::vector<std::string> words = {"fleet"};
        words.insert(words.end(), command.words.begin(), command.words.end());
        words.insert(words.end(), {"--why", "rig"});
        const std::string at = command.words.back() + ", step " + std::to_string(step);
        const std::int64_t plan = fleet_->planNumber();
        fleet_->trap(Fleet::kCommand, step, before, [this](std::size_t) { fleet_->killCommand(); });
        EXPECT_EQ(-1, runOperatorCommand(words).status) << at;
        waitForTrap();
        // The second request changes the plan, also if the command is killed before the store's answer.
        const bool applied = step == 2;
        const std::int64_t now = fleet_->planNumber();
        EXPECT_EQ(plan + applied, now) << at;
        ASSERT_TRUE(waitForPlan(1, now)) << at;
        const auto repeated = runOperatorCommand(words);
        EXPECT_EQ(applied && !command.is_repeatable ? 1 : 0, repeated.status) << at << repeated.text;
        const bool fences = command.words[0] == "shut-out";
        if (fences)
          ASSERT_TRUE(waitUntilFenced(0)) << at;
        else
          ASSERT_TRUE(waitForPlan(0, fleet_->planNumber())) << at;
        ASSERT_TRUE(waitForPlan(1, fleet_->planNumber())) << at;
        // The next round starts from the same state; the first readmission starts with a fenced sender.
        const bool last = !before && step == 2;
        if (command.words[0] == "plan" || last)
          continue;
        ASSERT_EQ(0,
                  runOperatorCommand({"fleet", fences ? "readmit" : "shut-out", "s0", "--why", "rig"}).status)
            << at;
      }
  expectInvariantsHold();
}

// The store node that received a command's request fails, before or after it carries the request out. The
// command uses another node, and the change is made exactly once.
TEST_F(FleetSteps, AppliesCommandOnceWhenStoreNodeFailsAtEachRequest) {
  startFleet(2);
  for (const bool before : {true, false})
    for (int step = 1; step <= 2; ++step) {
      std::size_t down = 0;
      fleet_->trap(Fleet::kCommand, step, before, [&](std::size_t node) { fleet_->nodeDown(down = node); });
      const std::int64_t plan = fleet_->planNumber();
      EXPECT_EQ(plan + 1, proposeNewSettings()) << step;
      waitForTrap();
      for (std::size_t i = 0; i < 2; ++i)
        ASSERT_TRUE(waitForPlan(i, plan + 1)) << reasonOf(i);
      fleet_->onStore([&] { fleet_->store().node(down, true); });
    }
  expectInvariantsHold();
}

// The store node that received a request of a sender fails, at each request while the sender adopts a plan.
TEST_F(FleetSteps, AdoptsPlanWhenStoreNodeFailsAtEachRequest) {
  startFleet(2);
  for (const bool before : {true, false})
    for (int step = 1; step <= 4; ++step) {
      std::size_t down = 0;
      fleet_->trap(0, step, before, [&](std::size_t node) { fleet_->nodeDown(down = node); });
      const std::int64_t plan = proposeNewSettings();
      waitForTrap();
      for (std::size_t i = 0; i < 2; ++i)
        ASSERT_TRUE(waitForPlan(i, plan)) << step << reasonOf(i);
      fleet_->onStore([&] { fleet_->store().node(down, true); });
    }
  expectInvariantsHold();
}

// The links to the store are delayed, slow, reset repeatedly, or cut within an answer: the senders still
// adopt plans, and none acts under an older plan.
TEST_F(FleetSteps, AdoptsPlansOverDelayedSlowResetAndTruncatedStoreLinks) {
  startFleet(2);
  const auto for_each_link = [&](const std::function<void(FaultProxy&)>& set_fault) {
    fleet_->onStore([&] {
      for (std::size_t node = 0; node < 3; ++node)
        set_fault(fleet_->storeLink(0, node));
    });
  };
  const auto expect_adoption = [&](const char* link_fault) {
    const std::int64_t plan = proposeNewSettings();
    for (std::size_t i = 0; i < 2; ++i)
      ASSERT_TRUE(waitForPlan(i, plan)) << link_fault << ": " << reasonOf(i);
  };
  for_each_link([](FaultProxy& link) { link.delay(100'000); });
  expect_adoption("late");
  for_each_link([](FaultProxy& link) { link.delay(0); });
  for_each_link([](FaultProxy& link) { link.slow(10'000); });
  expect_adoption("slow");
  for_each_link([](FaultProxy& link) { link.slow(0); });
  std::atomic<bool> stopped{false};
  std::thread resets([&] {
    while (!stopped) {
      for_each_link([](FaultProxy& link) { link.resetAll(); });
      sleepFor(kSecond);
    }
  });
  expect_adoption("reset");
  stopped = true;
  resets.join();
  for (const std::size_t bytes : {1, 20, 200, 400, 600}) {
    for_each_link([&](FaultProxy& link) { link.cutAfter(bytes); });
    expect_adoption("cut");
  }
  expectInvariantsHold();
}

// A sender with an older program adopts plans that allow its version. When a plan requires a newer version,
// it reports the missing version and stops until a process with a newer program takes over.
TEST_F(FleetSteps, FencesOlderProgramUntilItIsReplaced) {
  startFleet(3, "strict", "0.5");
  fleet_->kill(0);
  restartAndWaitForReport(0, olderSenderProgram());
  ASSERT_TRUE(waitForPlan(0, 1)) << reasonOf(0);
  EXPECT_EQ("0.3.9", fleet_->report(0)["own"]["program"]);
  const std::int64_t common_plan = proposeNewSettings();
  for (std::size_t i = 0; i < 3; ++i)
    ASSERT_TRUE(waitForPlan(i, common_plan)) << reasonOf(i);
  const std::string newer = fleet_->report(1)["own"]["program"];
  ASSERT_EQ(0, fleet_->propose({"--program", newer, "--binds-after", "1.5"}).status);
  const std::int64_t plan = fleet_->planNumber();
  ASSERT_TRUE(waitForPlan(1, plan)) << reasonOf(1);
  ASSERT_TRUE(waitUntilFenced(0));
  EXPECT_NE(reasonOf(0).find("program 0.3.9, " + newer + " or newer is asked for"), std::string::npos)
      << reasonOf(0);
  EXPECT_TRUE(sendsNothing(0));
  auto old = fleet_->world(0).startSecond();
  old->signal(SIGTERM);
  old->wait();
  ASSERT_TRUE(waitForPlan(0, plan)) << reasonOf(0);
  expectInvariantsHold();
}

// The clock of one machine is three minutes ahead. Plans become effective by durations that each sender
// measures itself, so both senders adopt them; the audit orders records by the store's clock and prints the
// difference between the clocks.
TEST_F(FleetSteps, OrdersAuditByStoreClockWhenOneClockIsMinutesAhead) {
  startFleet(2);
  fleet_->kill(1);
  restartAndWaitForReport(1, fastClockSenderProgram());
  ASSERT_TRUE(waitForPlan(1, 1)) << reasonOf(1);
  for (int n = 0; n < 2; ++n) {
    const std::int64_t plan = proposeNewSettings();
    for (std::size_t i = 0; i < 2; ++i)
      ASSERT_TRUE(waitForPlan(i, plan)) << reasonOf(i);
  }
  const auto audit = [&](std::vector<std::string> words) {
    words.insert(words.begin(),
                 {"fleet", "audit", fleet_->world(0).state(), fleet_->world(1).state(), "--version", "3"});
    return fleet_->command(words).text;
  };
  const std::string text = audit({}), lines = audit({"--json"});
  EXPECT_NE(text.find("clocks of senders differ by up to 1"), std::string::npos) << text;
  std::map<std::string, std::pair<Micros, Micros>> adopted_at;  // by the sender's clock, by the store's
  std::istringstream input(lines);
  for (std::string line; std::getline(input, line);) {
    const json record = json::parse(line, nullptr, false);
    if (record.is_object())
      adopted_at[record["sender"]] = {record["at"], record["common"]};
  }
  ASSERT_EQ(2u, adopted_at.size()) << lines;
  EXPECT_GT(adopted_at["s1"].first - adopted_at["s0"].first, 170 * kSecond);
  EXPECT_LT(std::abs(adopted_at["s1"].second - adopted_at["s0"].second), 4 * kSecond);
  expectInvariantsHold();
}

// The last report at the store shows the plans that a sender without a folder acted under, and until when.
TEST_F(FleetSteps, AuditUsesLastReportWhenFolderIsMissing) {
  startFleet(2);
  const std::int64_t plan = proposeNewSettings();
  for (std::size_t i = 0; i < 2; ++i)
    ASSERT_TRUE(waitForPlan(i, plan)) << reasonOf(i);
  fleet_->kill(0);
  sleepFor(kSecond);
  const std::string time_after_kill = std::to_string(unixNow() / kSecond);
  fleet_->onStore([&] { fleet_->store().expireAll(); });
  const std::string other_folder = fleet_->world(1).state();
  const auto adopters =
      runOperatorCommand({"fleet", "audit", other_folder, "--version", std::to_string(plan)});
  EXPECT_NE(adopters.text.find("s0  by the store: plan " + std::to_string(plan)), std::string::npos)
      << adopters.text;
  EXPECT_EQ(adopters.text.find("s1  by the store"), std::string::npos)
      << adopters.text;  // Its folder is given.
  const auto gaps = runOperatorCommand({"fleet", "audit", other_folder, "--gaps"});
  EXPECT_EQ(1, gaps.status);
  EXPECT_NE(gaps.text.find("s0: unknown from"), std::string::npos) << gaps.text;
  const auto at =
      runOperatorCommand({"fleet", "audit", other_folder, "--at", time_after_kill, "--sender", "s0"});
  EXPECT_EQ(1, at.status) << "actions after the last report are unknown";
  EXPECT_NE(at.text.find("plan " + std::to_string(plan) + " since"), std::string::npos) << at.text;
  EXPECT_NE(at.text.find("gone since"), std::string::npos) << at.text;
  EXPECT_EQ(1, fleet_->command({"fleet", "audit"}).status);
  restartAndWaitForReport(0);
  ASSERT_TRUE(waitForPlan(0, plan));
  expectInvariantsHold();
}

}  // namespace
}  // namespace grademux::harness
