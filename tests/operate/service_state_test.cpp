// The one state of a process toward those outside, as a table: what each call does and answers in each phase.
#include "../../src/operate/service_state.h"

#include <gtest/gtest.h>

#include <vector>

namespace grademux::operate {
namespace {

ServiceState in(Phase p) {
  ServiceState s;
  if (p != Phase::starting)
    s.setReady();
  if (p == Phase::standby)
    s.handleCommand(AdminCommand::standby, true);
  if (p == Phase::fenced)
    s.fence("by the plan");
  if (p == Phase::stopping)
    s.stop("SIGTERM");
  return s;
}

TEST(OperateState, EachCallInEachPhase) {
  struct Row {
    Phase from;
    AdminCommand call;
    bool yes;
    Phase to;
  };
  const std::vector<Row> rows{
      {Phase::starting, AdminCommand::status, false, Phase::starting},
      {Phase::starting, AdminCommand::standby, true, Phase::starting},  // carried out once it can
      {Phase::starting, AdminCommand::active, true, Phase::starting},
      {Phase::serving, AdminCommand::status, true, Phase::serving},
      {Phase::serving, AdminCommand::standby, true, Phase::standby},
      {Phase::serving, AdminCommand::active, true, Phase::serving},  // idempotent
      {Phase::standby, AdminCommand::status, true, Phase::standby},  // it can serve, and does serve who comes
      {Phase::standby, AdminCommand::standby, true, Phase::standby},
      {Phase::standby, AdminCommand::active, true, Phase::serving},
      {Phase::fenced, AdminCommand::status, false, Phase::fenced},  // no word of the operators' lets it in
      {Phase::fenced, AdminCommand::standby, true, Phase::fenced},
      {Phase::fenced, AdminCommand::active, true, Phase::fenced},
      {Phase::stopping, AdminCommand::status, false, Phase::stopping},
      {Phase::stopping, AdminCommand::standby, false, Phase::stopping},
      {Phase::stopping, AdminCommand::active, false, Phase::stopping},  // there is no way back
  };
  for (const Row& r : rows) {
    ServiceState s = in(r.from);
    ASSERT_EQ(r.from, s.phase());
    const CommandResult v = s.handleCommand(r.call, true);
    EXPECT_EQ(r.yes, v.ok) << nameOf(r.from) << " " << v.reason;
    EXPECT_FALSE(v.reason.empty());
    EXPECT_EQ(r.to, s.phase()) << nameOf(r.from);
  }
}

TEST(OperateState, WhoIsSentAway) {
  EXPECT_FALSE(in(Phase::starting).isDraining());
  EXPECT_FALSE(in(Phase::serving).isDraining());
  EXPECT_TRUE(in(Phase::standby).isDraining());
  EXPECT_TRUE(in(Phase::stopping).isDraining());
}

// Risk: standby that came just before readiness is forgotten, and the front sends clients to a sender that
// the operators took out.
TEST(OperateState, StandbyBeforeReadinessHoldsFromThenOn) {
  ServiceState s;
  s.handleCommand(AdminCommand::standby, false);
  s.setReady();
  EXPECT_EQ(Phase::standby, s.phase());
  ServiceState taken_back;
  taken_back.handleCommand(AdminCommand::standby, false);
  taken_back.handleCommand(AdminCommand::active, false);
  taken_back.setReady();
  EXPECT_EQ(Phase::serving, taken_back.phase());
}

TEST(OperateState, NoListNoYes) {
  ServiceState s = in(Phase::serving);
  EXPECT_FALSE(s.handleCommand(AdminCommand::status, false).ok);
  EXPECT_TRUE(s.handleCommand(AdminCommand::status, true).ok);
}

TEST(OperateState, LinesThatAreCalls) {
  AdminCommand c;
  for (const char* good : {"status", "standby", "active", "status\r"})
    EXPECT_TRUE(parseAdminCommand(good, c)) << good;
  for (const char* bad : {"", "\r", "STATUS", "status ", " status", "statu", "stop", "status\nactive"})
    EXPECT_FALSE(parseAdminCommand(bad, c)) << bad;
  EXPECT_FALSE(parseAdminCommand(std::string_view("status\0", 7), c));
}

}  // namespace
}  // namespace grademux::operate
