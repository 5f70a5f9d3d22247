// Tests the JSON form of plans and reports, the rules for the next plan, and the requirements that a sender
// lacks.
#include "../../src/fleet/plan.h"

#include <gtest/gtest.h>

namespace grademux::fleet {
namespace {

Plan plan(std::int64_t number, const std::string& settings, bool strict = true) {
  Plan result;
  result.number = number;
  result.requirements.settings = settings;
  result.strict = strict;
  result.lease = result.effective_after = 10'000'000;
  result.author = "anna";
  result.reason = "tariffs";
  return result;
}

TEST(FleetPlan, KeepsAllFieldsInItsJsonForm) {
  Plan draft = plan(7, "aa");
  draft.requirements.daemon = "bb";
  draft.requirements.program = "0.4.0";
  draft.requirements.list_version = 12;
  draft.previous_requirements.settings = "cc";
  draft.max_fenced_fraction = 0.5;
  draft.fenced = {"s1", "s2"};
  draft.zones["a"].phase = zones::ZonePhase::recovering;
  draft.zones["a"].stage = 2;
  draft.zones["a"].traffic_fraction = 0.5;
  draft.zones["a"].probers = {"s1"};
  draft.zones["a"].failed_recoveries = 3;
  draft.zones["a"].pinned_by_operator = true;
  draft.zones["a"].reason = "x";
  draft.changed_at = 1'700'000'000'000'000;
  const Plan parsed = parsePlan(toJson(draft));
  EXPECT_EQ(planDigest(draft), planDigest(parsed));
  EXPECT_EQ(toJson(draft), toJson(parsed));
  EXPECT_TRUE(parsed.unknown_fields.empty());
}

TEST(FleetPlan, ParseErrorNamesTheField) {
  const std::vector<std::pair<json, std::string>> malformed_plans = {
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
  for (const auto& [object, field_name] : malformed_plans) {
    try {
      parsePlan(object);
      ADD_FAILURE() << object;
    } catch (const std::exception& error) {
      EXPECT_NE(std::string(error.what()).find(field_name), std::string::npos) << error.what();
    }
  }
}

// A program that does not implement a requirement of the plan can't claim to meet it.
TEST(FleetPlan, ReportsFieldsOfANewerProgramAsMissing) {
  json object = toJson(plan(3, ""));
  object["quota"] = {{"a", 1}};
  object["needs"]["cipher"] = "x";
  const Plan newer = parsePlan(object);
  EXPECT_EQ(newer.unknown_fields, (std::vector<std::string>{"needs.cipher", "quota"}));
  const auto missing = missingRequirements({"0.4.0", "", "", -1, 0}, newer, "s1");
  ASSERT_EQ(missing.size(), 2u);
  EXPECT_EQ(missing[0].kind, MissingRequirement::Kind::unknown_field);
  EXPECT_NE(toString(missing).find("needs.cipher; program 0.4.0 does not know quota"), std::string::npos);
}

TEST(FleetPlan, StrictPlanIsNotEffectiveBeforeThePreviousLeaseEnds) {
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

TEST(FleetPlan, HaltedPlanRequiresWhatTheLastSoundPlanRequired) {
  const Plan first = plan(1, "aa");
  Plan second = nextPlan(first, "b", "new settings", 1);
  second.requirements.settings = "bb";
  const Plan halt = haltedPlan(second, "s3", "too many", 2);
  EXPECT_EQ(halt.number, 3);
  EXPECT_TRUE(halt.halted);
  EXPECT_EQ(halt.requirements.settings, "aa");
  // The plan after the halt reverts to the requirements before the halted plan, not to those that were
  // halted.
  const Plan third = nextPlan(halt, "b", "again", 3);
  EXPECT_FALSE(third.halted);
  EXPECT_EQ(third.previous_requirements.settings, "aa");
}

TEST(FleetPlan, ListsTheRequirementsThatASenderDoesNotMeet) {
  Plan draft = plan(5, "aa");
  draft.requirements.daemon = "dd";
  draft.requirements.program = "0.10";
  draft.requirements.list_version = 9;
  draft.fenced = {"s2"};
  EXPECT_TRUE(missingRequirements({"0.10.0", "aa", "dd", 9, 0}, draft, "s1").empty());
  EXPECT_TRUE(missingRequirements({"1.0", "aa", "dd", 10, 0}, draft, "s1").empty());
  EXPECT_EQ(missingRequirements({"0.9.9", "a", "d", 8, 0}, draft, "s1").size(), 4u);
  EXPECT_EQ(missingRequirements({"0.10.0", "aa", "dd", 9, 0}, draft, "s2").at(0).kind,
            MissingRequirement::Kind::fenced_by_operator);
  EXPECT_TRUE(isOlderVersion("0.9.1", "0.10"));
  EXPECT_FALSE(isOlderVersion("0.10", "0.10.0"));
  EXPECT_TRUE(isOlderVersion("0.10", "0.10.1"));
}

TEST(FleetPlan, TooManyLagWhenLiveSendersExceedTheFraction) {
  Plan draft = plan(5, "aa");
  draft.max_fenced_fraction = 0.25;
  const auto sender = [](const char* name, const char* settings, bool live) {
    SenderReport report;
    report.name = name;
    report.versions = {"0.4.0", settings, "", -1, 4};
    report.live = live;
    return report;
  };
  std::string names;
  std::vector<SenderReport> all = {sender("a", "aa", true), sender("b", "aa", true), sender("c", "aa", true),
                                   sender("d", "old", true), sender("e", "old", false)};
  EXPECT_FALSE(tooManyLagging(draft, all, names));  // one of four
  all[2] = sender("c", "old", true);
  names.clear();
  EXPECT_TRUE(tooManyLagging(draft, all, names));
  EXPECT_EQ(names, "c, d");
  names.clear();
  draft.fenced = {"c"};                            // fenced by an operator, not by the plan
  EXPECT_TRUE(tooManyLagging(draft, all, names));  // one of three
  draft.fenced.clear();
  // Senders without a session count only if the plan has fenced them.
  all[3].live = all[2].live = false;
  EXPECT_FALSE(tooManyLagging(draft, all, names));
  all[3].compliance = all[2].compliance = kFencedName;
  all[3].newest_plan = all[2].newest_plan = 5;
  EXPECT_TRUE(tooManyLagging(draft, all, names));
  draft.halted = true;  // Else a fleet that can't follow the halted plan either would make plans endlessly.
  EXPECT_FALSE(tooManyLagging(draft, all, names));
  draft.halted = draft.strict = false;
  EXPECT_FALSE(tooManyLagging(draft, all, names));
}

TEST(FleetPlan, KeepsAllFieldsOfAReportInItsJsonForm) {
  SenderReport report;
  report.name = "s1";
  report.compliance = "catching up";
  report.reason = "settings";
  report.versions = {"0.4.0", "aa", "bb", 7, 3};
  report.newest_plan = 4;
  report.since = 5;
  report.at = 6;
  report.epoch = 8;
  report.process = "x";
  report.zones["a"] = {zones::Observation::failing, 4, 2};
  report.action_history = {{1, 2, true}, {3, 4, false}};
  EXPECT_EQ(toJson(parseReport(toJson(report))), toJson(report));
}

}  // namespace
}  // namespace grademux::fleet
