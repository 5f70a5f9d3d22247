// The plan: its form, what may follow what, and what a sender lacks.
#include "../../src/fleet/plan.h"

#include <gtest/gtest.h>

namespace grademux::fleet {
namespace {

Plan plan(std::int64_t number, const std::string& settings, bool strict = true) {
  Plan p;
  p.number = number;
  p.requirements.settings = settings;
  p.strict = strict;
  p.lease = p.effective_after = 10'000'000;
  p.author = "anna";
  p.reason = "tariffs";
  return p;
}

TEST(FleetPlan, ComesBackAsItWasWritten) {
  Plan p = plan(7, "aa");
  p.requirements.daemon = "bb";
  p.requirements.program = "0.4.0";
  p.requirements.list_version = 12;
  p.previous_requirements.settings = "cc";
  p.max_fenced_fraction = 0.5;
  p.fenced = {"s1", "s2"};
  p.zones["a"].phase = zones::ZonePhase::recovering;
  p.zones["a"].stage = 2;
  p.zones["a"].traffic_fraction = 0.5;
  p.zones["a"].probers = {"s1"};
  p.zones["a"].failed_recoveries = 3;
  p.zones["a"].pinned_by_operator = true;
  p.zones["a"].reason = "x";
  p.changed_at = 1'700'000'000'000'000;
  const Plan back = parsePlan(toJson(p));
  EXPECT_EQ(planDigest(p), planDigest(back));
  EXPECT_EQ(toJson(p), toJson(back));
  EXPECT_TRUE(back.unknown_fields.empty());
}

TEST(FleetPlan, WhatCannotBeReadNamesTheField) {
  const std::vector<std::pair<json, std::string>> bad = {
      {json::array(), "object"},
      {{{"number", 0},
        {"needs", json::object()},
        {"strict", true},
        {"lease_ms", 1000},
        {"binds_after_ms", 1}},
       "number"},
      {{{"number", 1}, {"strict", true}, {"lease_ms", 1000}, {"binds_after_ms", 1}}, "needs"},
      {{{"number", 1},
        {"needs", json::object()},
        {"strict", "yes"},
        {"lease_ms", 1000},
        {"binds_after_ms", 1}},
       "strict"},
      {{{"number", 1}, {"needs", json::object()}, {"strict", true}, {"lease_ms", 10}, {"binds_after_ms", 1}},
       "lease_ms"},
      {{{"number", 1},
        {"needs", json::object()},
        {"strict", true},
        {"lease_ms", 1000},
        {"binds_after_ms", -1}},
       "binds_after_ms"},
  };
  for (const auto& [o, name] : bad) {
    try {
      parsePlan(o);
      ADD_FAILURE() << o;
    } catch (const std::exception& e) {
      EXPECT_NE(std::string(e.what()).find(name), std::string::npos) << e.what();
    }
  }
}

// A program that does not know what a plan asks for can't say that it does it.
TEST(FleetPlan, AFieldOfALaterProgramLeavesThisOneBehind) {
  json o = toJson(plan(3, ""));
  o["quota"] = {{"a", 1}};
  o["needs"]["cipher"] = "x";
  const Plan p = parsePlan(o);
  EXPECT_EQ(p.unknown_fields, (std::vector<std::string>{"needs.cipher", "quota"}));
  const auto missing = missingRequirements({"0.4.0", "", "", -1, 0}, p, "s1");
  ASSERT_EQ(missing.size(), 2u);
  EXPECT_EQ(missing[0].kind, MissingRequirement::Kind::field);
  EXPECT_NE(toString(missing).find("needs.cipher; program 0.4.0 does not know quota"), std::string::npos);
}

TEST(FleetPlan, StrictBindsNoSoonerThanTheLeaseBefore) {
  const Plan now = plan(4, "aa");
  Plan next = nextPlan(now, "b", "w", 1);
  EXPECT_TRUE(checkTransition(now, next).has_value());
  next.effective_after = now.lease - 1000;
  EXPECT_FALSE(checkTransition(now, next).has_value());
  next.strict = false;
  EXPECT_TRUE(checkTransition(now, next).has_value());
  next.number = 6;
  EXPECT_FALSE(checkTransition(now, next).has_value());
}

TEST(FleetPlan, HaltingAsksForWhatWasInForceBefore) {
  const Plan first = plan(1, "aa");
  Plan second = nextPlan(first, "b", "new settings", 1);
  second.requirements.settings = "bb";
  const Plan halt = haltedPlan(second, "s3", "too many", 2);
  EXPECT_EQ(halt.number, 3);
  EXPECT_TRUE(halt.halted);
  EXPECT_EQ(halt.requirements.settings, "aa");
  // A plan after the halt goes back, if it has to, to what was sound, not to what was halted.
  const Plan third = nextPlan(halt, "b", "again", 3);
  EXPECT_FALSE(third.halted);
  EXPECT_EQ(third.previous_requirements.settings, "aa");
}

TEST(FleetPlan, WhatASenderLacks) {
  Plan p = plan(5, "aa");
  p.requirements.daemon = "dd";
  p.requirements.program = "0.10";
  p.requirements.list_version = 9;
  p.fenced = {"s2"};
  EXPECT_TRUE(missingRequirements({"0.10.0", "aa", "dd", 9, 0}, p, "s1").empty());
  EXPECT_TRUE(missingRequirements({"1.0", "aa", "dd", 10, 0}, p, "s1").empty());
  EXPECT_EQ(missingRequirements({"0.9.9", "a", "d", 8, 0}, p, "s1").size(), 4u);
  EXPECT_EQ(missingRequirements({"0.10.0", "aa", "dd", 9, 0}, p, "s2").at(0).kind,
            MissingRequirement::Kind::word);
  EXPECT_TRUE(isOlderVersion("0.9.1", "0.10"));
  EXPECT_FALSE(isOlderVersion("0.10", "0.10.0"));
  EXPECT_TRUE(isOlderVersion("0.10", "0.10.1"));
}

TEST(FleetPlan, TooManyBehindIsMoreThanTheShareOfThoseThatLive) {
  Plan p = plan(5, "aa");
  p.max_fenced_fraction = 0.25;
  const auto sender = [](const char* name, const char* settings, bool live) {
    SenderReport r;
    r.name = name;
    r.versions = {"0.4.0", settings, "", -1, 4};
    r.live = live;
    return r;
  };
  std::string names;
  std::vector<SenderReport> all = {sender("a", "aa", true), sender("b", "aa", true), sender("c", "aa", true),
                                   sender("d", "old", true), sender("e", "old", false)};
  EXPECT_FALSE(tooManyLagging(p, all, names));  // one of four
  all[2] = sender("c", "old", true);
  names.clear();
  EXPECT_TRUE(tooManyLagging(p, all, names));
  EXPECT_EQ(names, "c, d");
  names.clear();
  p.fenced = {"c"};                            // by word: not the plan's doing
  EXPECT_TRUE(tooManyLagging(p, all, names));  // one of three
  p.fenced.clear();
  // Those that it has shut out already count, though their sessions are gone; nobody counts before.
  all[3].live = all[2].live = false;
  EXPECT_FALSE(tooManyLagging(p, all, names));
  all[3].compliance = all[2].compliance = kFencedName;
  all[3].newest_plan = all[2].newest_plan = 5;
  EXPECT_TRUE(tooManyLagging(p, all, names));
  p.halted = true;  // or a fleet that can't follow either would make plans without end
  EXPECT_FALSE(tooManyLagging(p, all, names));
  p.halted = p.strict = false;
  EXPECT_FALSE(tooManyLagging(p, all, names));
}

TEST(FleetPlan, AReportComesBackAsItWasWritten) {
  SenderReport r;
  r.name = "s1";
  r.compliance = "catching up";
  r.reason = "settings";
  r.versions = {"0.4.0", "aa", "bb", 7, 3};
  r.newest_plan = 4;
  r.since = 5;
  r.at = 6;
  r.epoch = 8;
  r.process = "x";
  r.zones["a"] = {zones::Observation::failing, 4, 2};
  r.action_history = {{1, 2, true}, {3, 4, false}};
  EXPECT_EQ(toJson(parseReport(toJson(r))), toJson(r));
}

}  // namespace
}  // namespace grademux::fleet
