// ServiceState: the effect and the answer of each command in each phase, as a table.
#include "../../src/operate/service_state.h"

#include <gtest/gtest.h>

#include <vector>

namespace grademux::operate {
namespace {

ServiceState stateIn(Phase phase) {
  ServiceState state;
  if (phase != Phase::starting)
    state.setReady();
  if (phase == Phase::standby)
    state.handleCommand(AdminCommand::standby, true);
  if (phase == Phase::fenced)
    state.fence("by the plan");
  if (phase == Phase::stopping)
    state.stop("SIGTERM");
  return state;
}

TEST(ServiceState, AnswersEachCommandInEachPhase) {
  struct Row {
    Phase from;
    AdminCommand command;
    bool ok;
    Phase to;
  };
  const std::vector<Row> rows{
      {Phase::starting, AdminCommand::status, false, Phase::starting},
      {Phase::starting, AdminCommand::standby, true, Phase::starting},  // takes effect at readiness
      {Phase::starting, AdminCommand::active, true, Phase::starting},
      {Phase::serving, AdminCommand::status, true, Phase::serving},
      {Phase::serving, AdminCommand::standby, true, Phase::standby},
      {Phase::serving, AdminCommand::active, true, Phase::serving},  // idempotent
      {Phase::standby, AdminCommand::status, true, Phase::standby},  // still serves clients that connect
      {Phase::standby, AdminCommand::standby, true, Phase::standby},
      {Phase::standby, AdminCommand::active, true, Phase::serving},
      {Phase::fenced, AdminCommand::status, false, Phase::fenced},  // operators can't unfence it
      {Phase::fenced, AdminCommand::standby, true, Phase::fenced},
      {Phase::fenced, AdminCommand::active, true, Phase::fenced},
      {Phase::stopping, AdminCommand::status, false, Phase::stopping},
      {Phase::stopping, AdminCommand::standby, false, Phase::stopping},
      {Phase::stopping, AdminCommand::active, false, Phase::stopping},  // final
  };
  for (const Row& row : rows) {
    ServiceState state = stateIn(row.from);
    ASSERT_EQ(row.from, state.phase());
    const CommandResult result = state.handleCommand(row.command, true);
    EXPECT_EQ(row.ok, result.ok) << toString(row.from) << " " << result.reason;
    EXPECT_FALSE(result.reason.empty());
    EXPECT_EQ(row.to, state.phase()) << toString(row.from);
  }
}

TEST(ServiceState, DrainsInStandbyAndWhenStopping) {
  EXPECT_FALSE(stateIn(Phase::starting).isDraining());
  EXPECT_FALSE(stateIn(Phase::serving).isDraining());
  EXPECT_TRUE(stateIn(Phase::standby).isDraining());
  EXPECT_TRUE(stateIn(Phase::stopping).isDraining());
}

// Guards against the loss of a standby command just before readiness: the load balancer would send clients to
// a sender that the operators took out of service.
TEST(ServiceState, EntersStandbyAtReadinessWhenCommandedBefore) {
  ServiceState state;
  state.handleCommand(AdminCommand::standby, false);
  state.setReady();
  EXPECT_EQ(Phase::standby, state.phase());
  ServiceState cancelled;
  cancelled.handleCommand(AdminCommand::standby, false);
  cancelled.handleCommand(AdminCommand::active, false);
  cancelled.setReady();
  EXPECT_EQ(Phase::serving, cancelled.phase());
}

TEST(ServiceState, StatusFailsWithoutEndpoints) {
  ServiceState state = stateIn(Phase::serving);
  EXPECT_FALSE(state.handleCommand(AdminCommand::status, false).ok);
  EXPECT_TRUE(state.handleCommand(AdminCommand::status, true).ok);
}

TEST(AdminCommand, ParsesOnlyTheExactNames) {
  for (const char* good : {"status", "standby", "active", "status\r"})
    EXPECT_TRUE(parseAdminCommand(good).has_value()) << good;
  for (const char* bad : {"", "\r", "STATUS", "status ", " status", "statu", "stop", "status\nactive"})
    EXPECT_FALSE(parseAdminCommand(bad).has_value()) << bad;
  EXPECT_FALSE(parseAdminCommand(std::string_view("status\0", 7)).has_value());
}

}  // namespace
}  // namespace grademux::operate
