// The one state of a process toward those outside, as a table: what each call does and answers in each phase.
#include "../../src/operate/state.h"

#include <gtest/gtest.h>

#include <vector>

namespace grademux::operate {
namespace {

State in(Phase p) {
  State s;
  if (p != Phase::starting)
    s.ready();
  if (p == Phase::standby)
    s.on(Call::standby, true);
  if (p == Phase::shut_out)
    s.shutOut("by the plan");
  if (p == Phase::stopping)
    s.stop("SIGTERM");
  return s;
}

TEST(OperateState, EachCallInEachPhase) {
  struct Row {
    Phase from;
    Call call;
    bool yes;
    Phase to;
  };
  const std::vector<Row> rows{
      {Phase::starting, Call::status, false, Phase::starting},
      {Phase::starting, Call::standby, true, Phase::starting},  // carried out once it can
      {Phase::starting, Call::active, true, Phase::starting},
      {Phase::serving, Call::status, true, Phase::serving},
      {Phase::serving, Call::standby, true, Phase::standby},
      {Phase::serving, Call::active, true, Phase::serving},  // idempotent
      {Phase::standby, Call::status, true, Phase::standby},  // it can serve, and does serve who comes
      {Phase::standby, Call::standby, true, Phase::standby},
      {Phase::standby, Call::active, true, Phase::serving},
      {Phase::shut_out, Call::status, false, Phase::shut_out},  // no word of the operators' lets it in
      {Phase::shut_out, Call::standby, true, Phase::shut_out},
      {Phase::shut_out, Call::active, true, Phase::shut_out},
      {Phase::stopping, Call::status, false, Phase::stopping},
      {Phase::stopping, Call::standby, false, Phase::stopping},
      {Phase::stopping, Call::active, false, Phase::stopping},  // there is no way back
  };
  for (const Row& r : rows) {
    State s = in(r.from);
    ASSERT_EQ(r.from, s.phase());
    const Verdict v = s.on(r.call, true);
    EXPECT_EQ(r.yes, v.yes) << nameOf(r.from) << " " << v.why;
    EXPECT_FALSE(v.why.empty());
    EXPECT_EQ(r.to, s.phase()) << nameOf(r.from);
  }
}

TEST(OperateState, WhoIsSentAway) {
  EXPECT_FALSE(in(Phase::starting).sendsAway());
  EXPECT_FALSE(in(Phase::serving).sendsAway());
  EXPECT_TRUE(in(Phase::standby).sendsAway());
  EXPECT_TRUE(in(Phase::stopping).sendsAway());
}

// Risk: standby that came just before readiness is forgotten, and the front sends clients to a sender that
// the operators took out.
TEST(OperateState, StandbyBeforeReadinessHoldsFromThenOn) {
  State s;
  s.on(Call::standby, false);
  s.ready();
  EXPECT_EQ(Phase::standby, s.phase());
  State taken_back;
  taken_back.on(Call::standby, false);
  taken_back.on(Call::active, false);
  taken_back.ready();
  EXPECT_EQ(Phase::serving, taken_back.phase());
}

TEST(OperateState, NoListNoYes) {
  State s = in(Phase::serving);
  EXPECT_FALSE(s.on(Call::status, false).yes);
  EXPECT_TRUE(s.on(Call::status, true).yes);
}

TEST(OperateState, LinesThatAreCalls) {
  Call c;
  for (const char* good : {"status", "standby", "active", "status\r"})
    EXPECT_TRUE(readCall(good, c)) << good;
  for (const char* bad : {"", "\r", "STATUS", "status ", " status", "statu", "stop", "status\nactive"})
    EXPECT_FALSE(readCall(bad, c)) << bad;
  EXPECT_FALSE(readCall(std::string_view("status\0", 7), c));
}

}  // namespace
}  // namespace grademux::operate
