// Several sender processes of which some lose the store, are stopped, killed or fenced, or have malformed
// files.
#include <signal.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>

#include "fleet_fixture.h"

namespace grademux::harness {
namespace {

// A sender without a connection to the store, whichever way the link fails, must stop before a plan that it
// has not received becomes effective, and continues by itself when the link is restored.
TEST_F(FleetTest, StopsBeforePlanIsEffectiveWhenStoreIsUnreachable) {
  startFleet(2);
  for (const FaultProxy::Mode link_fault : {FaultProxy::Mode::cut, FaultProxy::Mode::cut_there,
                                            FaultProxy::Mode::cut_back, FaultProxy::Mode::refused}) {
    fleet_->cutStore(0, link_fault);
    const std::int64_t plan = proposeNewSettings();
    ASSERT_TRUE(waitForPlan(1, plan)) << static_cast<int>(link_fault);
    sleepFor(2 * kSecond);
    const std::size_t before = callCount(0);
    sleepFor(kSecond / 2);
    EXPECT_EQ(before, callCount(0)) << static_cast<int>(link_fault);  // no calls
    EXPECT_GT(callCount(1), 0u);
    fleet_->cutStore(0, FaultProxy::Mode::forwarding);
    ASSERT_TRUE(waitForPlan(0, plan)) << static_cast<int>(link_fault);
  }
  expectInvariantsHold();
}

// Under a lenient plan a sender without a connection to the store continues under the last plan that it
// knows: each call carries that plan, and the status shows the sender as lagging.
TEST_F(FleetTest, ContinuesUnderLenientPlanWhenStoreIsUnreachable) {
  startFleet(2, "lenient");
  fleet_->cutStore(0, FaultProxy::Mode::cut);
  const std::int64_t plan = proposeNewSettings();
  ASSERT_TRUE(waitForPlan(1, plan));
  sleepFor(2 * kSecond);
  const std::size_t before = callCount(0);
  ASSERT_TRUE(fleet_->eventually([&] { return callCount(0) > before + 10; }));
  for (std::size_t n = before; n < callCount(0); ++n)
    EXPECT_EQ(fleet_->calls(0)[n].plan, plan - 1);
  const auto result = runOperatorCommand({"fleet", "status"});
  EXPECT_NE(result.text.find("1 behind"), std::string::npos) << result.text;
  fleet_->cutStore(0, FaultProxy::Mode::forwarding);
  ASSERT_TRUE(waitForPlan(0, plan));
  expectInvariantsHold();
}

// A process is stopped for longer than its lease while messages wait and a new plan becomes effective. After
// SIGCONT all timers expire at once; no message may be sent under the old plan. SIGSTOP comes at several
// delays after a plan.
TEST_F(FleetTest, SendsNothingUnderOldPlanAfterProcessWasStopped) {
  startFleet(2);
  for (int ms = 0; ms < 200; ms += 25) {
    latency_objective_ms_ += 100;
    fleet_->setAim(latency_objective_ms_);
    const std::string digest = fleet_->settingsDigest();
    std::thread proposer([&] {
      fleet_->propose({"--settings", digest, "--mode", "strict", "--binds-after", "1.5"});
    });
    proposer.join();
    sleepFor(ms * 1000);
    fleet_->stop(0);
    const std::int64_t plan = proposeNewSettings();
    ASSERT_TRUE(waitForPlan(1, plan));
    sleepFor(2 * kSecond);
    fleet_->go(0);
    ASSERT_TRUE(waitForPlan(0, plan));
  }
  expectInvariantsHold();
}

// A truncated settings file: the report contains the error, the sender stops when the plan becomes effective,
// and reads the file again by itself once it is complete.
TEST_F(FleetTest, ReportsMalformedFileAndCatchesUpWhenFileIsRestored) {
  startFleet(2);
  latency_objective_ms_ += 100;
  fleet_->setAim(latency_objective_ms_);
  fleet_->world(0).writeConfig(false);
  const auto result = fleet_->propose({"--settings", fleet_->settingsDigest(1), "--binds-after", "1.5"});
  ASSERT_EQ(0, result.status) << result.text;
  ASSERT_TRUE(waitForPlan(1, 2));
  ASSERT_TRUE(fleet_->eventually([&] { return complianceOf(0) == "shut out"; })) << reasonOf(0);
  EXPECT_NE(reasonOf(0).find("not a JSON object"), std::string::npos) << reasonOf(0);
  EXPECT_NE(reasonOf(0).find("is asked for"), std::string::npos) << reasonOf(0);
  fleet_->world(0).writeConfig();
  ASSERT_TRUE(waitForPlan(0, 2));
  expectInvariantsHold();
}

// A plan with requirements that no sender meets would fence all of them: a lagging sender halts the plan, and
// all senders continue.
TEST_F(FleetTest, HaltsPlanThatNoSenderCanFollow) {
  startFleet(3, "strict", "0.25");
  const auto result = fleet_->propose({"--settings", "0123456789abcdef", "--binds-after", "6"});
  ASSERT_EQ(0, result.status) << result.text;
  ASSERT_TRUE(fleet_->eventually([&] { return fleet_->planNumber() == 3; }));
  for (std::size_t i = 0; i < 3; ++i)
    ASSERT_TRUE(waitForPlan(i, 3)) << reasonOf(i);
  const auto shown = runOperatorCommand({"fleet", "plan", "show"});
  EXPECT_NE(shown.text.find("plan 3 HALTED"), std::string::npos) << shown.text;
  EXPECT_NE(shown.text.find("plan 2 would shut out too many"), std::string::npos) << shown.text;
  sleepFor(5 * kSecond);  // until after the time at which plan 2 would have become effective
  for (std::size_t i = 0; i < 3; ++i)
    EXPECT_EQ("current", complianceOf(i));
  expectInvariantsHold();
}

TEST_F(FleetTest, AppliesOneOfTwoConcurrentProposalsAndReportsItToTheOther) {
  startFleet(1);
  for (int i = 0; i < 5; ++i) {
    const std::int64_t before = fleet_->planNumber();
    Fleet::Said results[2];
    std::vector<std::string> store_options = fleet_->storeAt();
    // The store answers so late that both commands read the plan before either of them changes it.
    fleet_->onStore([&] { fleet_->store().late(200'000); });
    std::thread operators[2];
    for (int n = 0; n < 2; ++n)
      operators[n] = std::thread([&, n] {
        std::vector<std::string> words = {"fleet",
                                          "plan",
                                          "propose",
                                          "--why",
                                          "w" + std::to_string(n),
                                          "--by",
                                          "op" + std::to_string(n),
                                          "--binds-after",
                                          "1.5"};
        words.insert(words.end(), store_options.begin(), store_options.end());
        results[n] = fleet_->command(words);
      });
    for (std::thread& thread : operators)
      thread.join();
    fleet_->onStore([&] { fleet_->store().late(0); });
    ASSERT_EQ(1, results[0].status + results[1].status) << results[0].text << results[1].text;
    const int winner = results[0].status;  // 0: the first command; 1: the second
    EXPECT_NE(results[1 - winner].text.find("meanwhile op" + std::to_string(winner)), std::string::npos)
        << results[1 - winner].text;
    EXPECT_EQ(before + 1, fleet_->planNumber());
  }
  expectInvariantsHold();
}

// A sender that an operator has fenced makes no calls until it is readmitted.
TEST_F(FleetTest, StopsCallsWhenFencedByOperatorUntilReadmitted) {
  startFleet(2);
  ASSERT_EQ(0, runOperatorCommand({"fleet", "shut-out", "s0", "--why", "disk"}).status);
  ASSERT_TRUE(fleet_->eventually([&] { return complianceOf(0) == "shut out"; }));
  EXPECT_NE(reasonOf(0).find("disk"), std::string::npos);
  sleepFor(kSecond / 5);
  const std::size_t before = callCount(0);
  sleepFor(kSecond);
  EXPECT_EQ(before, callCount(0));
  EXPECT_EQ(1, runOperatorCommand({"fleet", "shut-out", "s0", "--why", "again"}).status);
  EXPECT_EQ(1, runOperatorCommand({"fleet", "shut-out", "nobody", "--why", "x"}).status);
  ASSERT_EQ(0, runOperatorCommand({"fleet", "readmit", "s0", "--why", "new disk"}).status);
  ASSERT_TRUE(waitForPlan(0, 3));
  ASSERT_TRUE(fleet_->eventually([&] { return callCount(0) > before; }));
  expectInvariantsHold();
}

// The store returns to an older state, loses all data, or ends every session. No sender adopts an older plan,
// and a new plan gets a number above the ones that senders know.
TEST_F(FleetTest, AdoptsNoOlderPlanWhenStoreLosesData) {
  startFleet(2);
  fleet_->onStore([&] { fleet_->store().mark(); });
  const std::int64_t second = proposeNewSettings();
  for (std::size_t i = 0; i < 2; ++i)
    ASSERT_TRUE(waitForPlan(i, second));
  fleet_->onStore([&] { fleet_->store().rewind(); });
  ASSERT_EQ(1, fleet_->planNumber());
  ASSERT_TRUE(fleet_->eventually([&] {
    return complianceOf(0) == "shut out" && complianceOf(1) == "shut out";
  })) << complianceOf(0)
      << reasonOf(0);
  EXPECT_NE(reasonOf(0).find("the store has plan 1, here 2 is known"), std::string::npos) << reasonOf(0);
  EXPECT_EQ(3, proposeNewSettings());  // The number follows the newest plan that the senders know.
  for (std::size_t i = 0; i < 2; ++i)
    ASSERT_TRUE(waitForPlan(i, 3)) << reasonOf(i);
  fleet_->onStore([&] { fleet_->store().forget(); });
  ASSERT_TRUE(
      fleet_->eventually([&] { return complianceOf(0) == "shut out" && complianceOf(1) == "shut out"; }));
  latency_objective_ms_ += 100;  // The lost plan can't be read: lease and mode have to be given again.
  fleet_->setAim(latency_objective_ms_);
  const auto again = fleet_->propose(
      {"--settings", fleet_->settingsDigest(), "--mode", "strict", "--lease", "1.5", "--binds-after", "1.5"});
  EXPECT_EQ(0, again.status) << again.text;
  EXPECT_EQ(4, fleet_->planNumber());
  for (std::size_t i = 0; i < 2; ++i)
    ASSERT_TRUE(waitForPlan(i, 4)) << reasonOf(i);
  fleet_->onStore([&] { fleet_->store().expireAll(); });
  EXPECT_EQ(5, proposeNewSettings());
  for (std::size_t i = 0; i < 2; ++i)
    ASSERT_TRUE(waitForPlan(i, 5)) << reasonOf(i);
  expectInvariantsHold();
}

// A blocking read that began under a longer lease must not take longer than the shorter lease of a new plan:
// the sender would be fenced.
TEST_F(FleetTest, FencesNoSenderWhenPlanShortensLease) {
  startFleet(2);
  ASSERT_EQ(0, fleet_->propose({"--lease", "30", "--binds-after", "30"}).status);
  for (std::size_t i = 0; i < 2; ++i)
    ASSERT_TRUE(waitForPlan(i, 2)) << reasonOf(i);
  sleepFor(5 * kSecond);  // a blocking read has waited for longer than the next lease
  const std::string before = fleet_->world(0).log();
  ASSERT_EQ(0, fleet_->propose({"--lease", "4", "--binds-after", "30"}).status);
  for (std::size_t i = 0; i < 2; ++i)
    ASSERT_TRUE(waitForPlan(i, 3)) << reasonOf(i);
  sleepFor(2 * kSecond);
  const std::string new_lines = fleet_->world(0).log().substr(before.size());
  EXPECT_EQ(new_lines.find("standing=\"shut out\""), std::string::npos) << new_lines;
  expectInvariantsHold();
}

// A process of a sender takes over from another by handover while a plan is being adopted. Together they have
// one report and one audit log without gaps.
TEST_F(FleetTest, AdoptsPlanDuringHandoverWithoutAuditGaps) {
  startFleet(2);
  for (int round = 0; round < 3; ++round) {
    const std::int64_t plan = proposeNewSettings();
    auto old = fleet_->world(0).startSecond();
    old->signal(SIGTERM);
    const int status =
        old->wait();  // SIGTERM may arrive when the process has removed its handlers at its exit.
    EXPECT_TRUE(status == 0 || (WIFSIGNALED(status) && WTERMSIG(status) == SIGTERM)) << status;
    ASSERT_TRUE(waitForPlan(0, plan)) << fleet_->world(0).log();
    ASSERT_TRUE(waitForPlan(1, plan));
  }
  const auto result = fleet_->command({"fleet", "audit", fleet_->world(0).state(), "--gaps"});
  EXPECT_EQ(0, result.status) << result.text;
  expectInvariantsHold();
}

// Half of the senders are killed before a plan becomes effective, and continue from their folders after a
// restart.
TEST_F(FleetTest, AdoptsPlanAfterHalfOfTheFleetWasKilled) {
  startFleet(4);
  const std::int64_t plan = proposeNewSettings();
  fleet_->kill(0);
  fleet_->kill(1);
  sleepFor(2 * kSecond);
  const std::int64_t next = proposeNewSettings();
  EXPECT_EQ(plan + 1, next);
  restartAndWaitForReport(0);
  restartAndWaitForReport(1);
  for (std::size_t i = 0; i < 4; ++i)
    ASSERT_TRUE(waitForPlan(i, next)) << reasonOf(i);
  expectInvariantsHold();
}

// A plan is reverted when half of the fleet has adopted it. The other senders, which never received it, go
// from the plan before to the reverting plan and never act under the reverted one.
TEST_F(FleetTest, RevertsPlanThatHalfOfTheFleetHasAdopted) {
  startFleet(4);
  const std::int64_t first = proposeNewSettings();
  for (std::size_t i = 0; i < 4; ++i)
    ASSERT_TRUE(waitForPlan(i, first)) << reasonOf(i);
  for (const std::size_t i : {0, 1})
    fleet_->cutStore(i, FaultProxy::Mode::cut);
  const std::int64_t wrong = proposeNewSettings("4");
  for (const std::size_t i : {2, 3})
    ASSERT_TRUE(waitForPlan(i, wrong)) << reasonOf(i);
  fleet_->setAim(latency_objective_ms_ - 100);  // the earlier files
  ASSERT_EQ(0, runOperatorCommand({"fleet", "plan", "revert", "--why", "wrong aim"}).status);
  for (const std::size_t i : {2, 3})
    ASSERT_TRUE(waitForPlan(i, wrong + 1)) << reasonOf(i);
  for (const std::size_t i : {0, 1})
    fleet_->cutStore(i, FaultProxy::Mode::forwarding);
  for (std::size_t i = 0; i < 4; ++i)
    ASSERT_TRUE(waitForPlan(i, wrong + 1)) << reasonOf(i);
  const json before = fleet_->report(0)["own"]["settings"];
  for (std::size_t i = 0; i < 4; ++i)
    EXPECT_EQ(before, fleet_->report(i)["own"]["settings"]);
  for (const std::size_t i : {0, 1})
    for (const ObservedCall& call : fleet_->calls(i))
      EXPECT_NE(wrong, call.plan);
  expectInvariantsHold();
}

// A program that does not implement a field of the plan can't act under the plan: the sender stops and
// reports the field.
TEST_F(FleetTest, StopsAndReportsWhenPlanHasUnknownField) {
  startFleet(2, "strict", "1");
  json plan = json::parse(fleet_->store().value("rig/plan"));
  plan["number"] = 2;
  plan["binds_after_ms"] = 1500;
  plan["quotas"] = {{"a", 3}};
  fleet_->onStore([&] { fleet_->store().put("rig/plan", plan.dump()); });
  ASSERT_TRUE(
      fleet_->eventually([&] { return complianceOf(0) == "shut out" && complianceOf(1) == "shut out"; }));
  EXPECT_NE(reasonOf(0).find("does not know quotas"), std::string::npos) << reasonOf(0);
  EXPECT_EQ(3, proposeNewSettings());  // a plan without the field
  for (std::size_t i = 0; i < 2; ++i)
    ASSERT_TRUE(waitForPlan(i, 3)) << reasonOf(i);
  expectInvariantsHold();
}

// If the folder of the audit log can't be written, as on a full disk, the sender continues, and the log has a
// record of the gap.
TEST_F(FleetTest, ContinuesWhenAuditLogCannotBeWritten) {
  startFleet(1);
  const std::string trail = fleet_->world(0).state() + "/trail";
  std::filesystem::rename(trail, trail + ".away");
  std::ofstream(trail) << "no folder";
  fleet_->kill(0);
  restartAndWaitForReport(0);
  ASSERT_TRUE(waitForPlan(0, 1)) << reasonOf(0);
  const std::size_t before = callCount(0);
  ASSERT_TRUE(fleet_->eventually([&] { return callCount(0) > before + 10; }));
  std::filesystem::remove(trail);
  std::filesystem::rename(trail + ".away", trail);
  proposeNewSettings();
  ASSERT_TRUE(waitForPlan(0, 2));
  const auto result = fleet_->command({"fleet", "audit", fleet_->world(0).state(), "--gaps"});
  EXPECT_EQ(1, result.status);
  EXPECT_NE(result.text.find("records could not be written"), std::string::npos) << result.text;
}

// Each node of the store fails in turn; the senders use the other nodes.
TEST_F(FleetTest, AdoptsPlansWhenOneStoreNodeIsDown) {
  startFleet(3);
  for (std::size_t node = 0; node < 3; ++node) {
    fleet_->onStore([&] { fleet_->store().node(node, false); });
    const std::int64_t plan = proposeNewSettings();
    for (std::size_t i = 0; i < 3; ++i)
      ASSERT_TRUE(waitForPlan(i, plan)) << reasonOf(i);
    fleet_->onStore([&] { fleet_->store().node(node, true); });
  }
  expectInvariantsHold();
}

// A sender without discovery can't get the endpoint list that the plan requires: it reports the missing list,
// and catches up when the link is restored.
TEST_F(FleetTest, IsFencedWhenPlanRequiresListThatDiscoveryCannotDeliver) {
  startFleet(2);
  TestEnvironment& environment = fleet_->world(0);
  environment.onStandIns([&] { environment.discoveryLink().setMode(FaultProxy::Mode::cut); });
  for (std::size_t i = 0; i < 2; ++i) {
    TestEnvironment& each = fleet_->world(i);
    each.onStandIns(
        [&] { each.discovery().tell(json::array({each.endpoint(0).listed("Terminating")}), false); });
  }
  ASSERT_TRUE(fleet_->eventually([&] {
    const auto result = fleet_->command({"fleet", "audit", fleet_->world(1).state()});
    return result.text.find("\"list\":3") != std::string::npos;  // the list is in use
  }));
  const auto result = fleet_->propose({"--list", "3", "--binds-after", "1.5"});
  ASSERT_EQ(0, result.status) << result.text;
  ASSERT_TRUE(waitForPlan(1, 2)) << reasonOf(1);
  ASSERT_TRUE(fleet_->eventually([&] { return complianceOf(0) == "shut out"; }));
  EXPECT_NE(reasonOf(0).find("list 2, 3 or newer is asked for"), std::string::npos) << reasonOf(0);
  environment.onStandIns([&] { environment.discoveryLink().setMode(FaultProxy::Mode::forwarding); });
  ASSERT_TRUE(waitForPlan(0, 2)) << reasonOf(0);
  expectInvariantsHold();
}

// If the store opens no sessions, no sender is live there, but all adopt the plan: leases depend on reads
// alone.
TEST_F(FleetTest, AdoptsPlanWhenStoreOpensNoSessions) {
  startFleet(2);
  fleet_->onStore([&] {
    fleet_->store().full(true);
    fleet_->store().expireAll();
  });
  const std::int64_t plan = proposeNewSettings();
  ASSERT_TRUE(fleet_->eventually([&] {
    for (std::size_t i = 0; i < 2; ++i) {
      const auto calls = fleet_->calls(i);
      if (calls.empty() || calls.back().plan != plan)
        return false;
    }
    return true;
  }));
  fleet_->onStore([&] { fleet_->store().full(false); });
  for (std::size_t i = 0; i < 2; ++i)
    ASSERT_TRUE(waitForPlan(i, plan)) << reasonOf(i);
  expectInvariantsHold();
}

// An answer that arrives after the timeout of its request renews no lease.
TEST_F(FleetTest, StopsWhenStoreAnswersAfterTheTimeout) {
  startFleet(2);
  fleet_->onStore([&] { fleet_->store().late(30 * kSecond); });
  sleepFor(4 * kSecond);
  const std::size_t before = callCount(0) + callCount(1);
  sleepFor(kSecond);
  EXPECT_EQ(before, callCount(0) + callCount(1));
  fleet_->onStore([&] { fleet_->store().late(0); });
  const std::int64_t plan = proposeNewSettings();
  for (std::size_t i = 0; i < 2; ++i)
    ASSERT_TRUE(waitForPlan(i, plan)) << reasonOf(i);
  expectInvariantsHold();
}

// `fleet audit` reads from the state folder, also while the sender runs, which plan a message was sent under.
TEST_F(FleetTest, AuditShowsPlanThatMessageWasSentUnder) {
  startFleet(1);
  const std::int64_t plan = proposeNewSettings();
  ASSERT_TRUE(waitForPlan(0, plan));
  const std::string state = fleet_->world(0).state();
  sleepFor(kSecond / 2);
  fleet_->stopLoad();
  const std::string id =
      fleet_->world(0).ledger.id(static_cast<std::int64_t>(fleet_->world(0).ledger.size()) - 1);
  ASSERT_TRUE(fleet_->eventually([&] {
    const auto result = fleet_->command({"fleet", "audit", state, "--message", id});
    return result.text.find("\"plan\":" + std::to_string(plan)) != std::string::npos;
  }));
  const auto state_now =
      fleet_->command({"fleet", "audit", state, "--at", std::to_string(unixNow() / 1000000), "--json"});
  EXPECT_EQ(0, state_now.status) << state_now.text;
  EXPECT_NE(state_now.text.find("\"standing\":\"current\""), std::string::npos) << state_now.text;
  const auto adopters = fleet_->command({"fleet", "audit", state, "--version", std::to_string(plan)});
  EXPECT_NE(adopters.text.find("taken over"), std::string::npos) << adopters.text;
  EXPECT_EQ(1, fleet_->command({"fleet", "audit", state, "--message", "nobody"}).status);
  expectInvariantsHold();
}

}  // namespace
}  // namespace grademux::harness
