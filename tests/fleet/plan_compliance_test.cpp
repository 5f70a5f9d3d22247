// How a sender stands to the plan: tables, and a fleet in virtual time with clocks that go wrong, links that
// are cut and senders that stand still. Versions spoilt on purpose have to be caught by the same run.
#include "../../src/fleet/plan_compliance.h"

#include <gtest/gtest.h>

#include <queue>
#include <random>

namespace grademux::fleet {
namespace {

constexpr Micros kSecond = 1'000'000;

Plan plan(std::int64_t number, const std::string& settings, bool strict = true, Micros binds = 10 * kSecond) {
  Plan p;
  p.number = number;
  p.requirements.settings = settings;
  p.strict = strict;
  p.lease = 10 * kSecond;
  p.effective_after = binds;
  return p;
}
RunningVersions own(const std::string& settings) {
  return {"0.4.0", settings, "", -1, 0};
}

// One that has taken plan 1 over, on a read asked for at 100 s.
PlanCompliance taken(const Plan& p) {
  PlanCompliance s("s1");
  EXPECT_TRUE(s.onPlanReceived(p, 100 * kSecond));
  EXPECT_TRUE(s.shouldAdopt(own(p.requirements.settings), 100 * kSecond));
  s.onPlanAdopted(p);
  return s;
}

TEST(FleetStanding, WithoutAWordOfTheStoreNobodyActs) {
  PlanCompliance s("s1");
  EXPECT_FALSE(s.evaluate(0, own("aa")).allowed);
  EXPECT_EQ(s.evaluate(0, own("aa")).compliance, Compliance::fenced);
  s.onPlanReceived(Plan(), 5);  // there is no plan
  EXPECT_TRUE(s.evaluate(6, own("aa")).allowed);
  EXPECT_EQ(s.evaluate(6, own("aa")).compliance, Compliance::current);
}

TEST(FleetStanding, TheLeaseRunsFromTheAskingLessTheMargin) {
  const PlanCompliance s = taken(plan(1, "aa"));
  const Micros ends = 100 * kSecond + 9'900'000;
  EXPECT_EQ(s.evaluate(101 * kSecond, own("aa")).compliance, Compliance::current);
  EXPECT_EQ(s.evaluate(107 * kSecond, own("aa")).compliance, Compliance::unknown);
  EXPECT_TRUE(s.evaluate(ends - 1, own("aa")).allowed);
  EXPECT_FALSE(s.evaluate(ends, own("aa")).allowed);
  EXPECT_EQ(s.evaluate(ends, own("aa")).compliance, Compliance::fenced);
  EXPECT_EQ(s.evaluate(0, own("aa")).until, ends);
}

TEST(FleetStanding, LenientServesOnUnderTheLastPlanItKnows) {
  const PlanCompliance s = taken(plan(1, "aa", false));
  EXPECT_TRUE(s.evaluate(9999 * kSecond, own("aa")).allowed);
  EXPECT_EQ(s.evaluate(9999 * kSecond, own("aa")).compliance, Compliance::unknown);
}

TEST(FleetStanding, BehindItServesUntilThePlanBindsAndNoLonger) {
  PlanCompliance s = taken(plan(1, "aa"));
  EXPECT_TRUE(s.onPlanReceived(plan(2, "bb", true, 60 * kSecond), 103 * kSecond));
  EXPECT_FALSE(s.shouldAdopt(own("aa"), 104 * kSecond));
  EXPECT_EQ(s.evaluate(104 * kSecond, own("aa")).compliance, Compliance::catching_up);
  EXPECT_NE(s.evaluate(104 * kSecond, own("aa")).reason.find("settings aa, bb is asked for"),
            std::string::npos);
  // From the last read that showed plan 1: nobody knows how soon after that plan 2 was made.
  EXPECT_TRUE(s.evaluate(100 * kSecond + 59'000'000, own("aa")).allowed);
  EXPECT_FALSE(s.evaluate(100 * kSecond + 59'400'000, own("aa")).allowed);
  // More of the same is no more time.
  EXPECT_TRUE(s.onPlanReceived(plan(2, "bb", true, 60 * kSecond), 150 * kSecond));
  EXPECT_FALSE(s.evaluate(100 * kSecond + 59'400'000, own("aa")).allowed);
  EXPECT_TRUE(s.shouldAdopt(own("bb"), 151 * kSecond));
  s.onPlanAdopted(s.newest());
  EXPECT_TRUE(s.evaluate(159 * kSecond, own("bb")).allowed);
}

// Of a plan between nothing is known, nor of when it bound.
TEST(FleetStanding, OneThatMissedAPlanHasItsLeaseAlone) {
  PlanCompliance s = taken(plan(1, "aa"));
  s.onPlanReceived(plan(3, "bb", true, 600 * kSecond), 103 * kSecond);
  EXPECT_FALSE(s.evaluate(110 * kSecond, own("aa")).allowed);
}

TEST(FleetStanding, AnOperatorsWordHoldsAtOnceAndIsTakenBack) {
  PlanCompliance s = taken(plan(1, "aa", false));
  Plan out = plan(2, "aa", false);
  out.fenced = {"s1"};
  s.onPlanReceived(out, 101 * kSecond);
  EXPECT_EQ(s.evaluate(101 * kSecond, own("aa")).compliance, Compliance::fenced);
  s.onPlanReceived(plan(3, "aa", false), 102 * kSecond);
  EXPECT_TRUE(s.shouldAdopt(own("aa"), 104 * kSecond));
  s.onPlanAdopted(s.newest());
  EXPECT_EQ(s.evaluate(102 * kSecond, own("aa")).compliance, Compliance::current);
}

TEST(FleetStanding, AStoreThatWentBackGivesNoLease) {
  PlanCompliance s = taken(plan(5, "aa"));
  EXPECT_FALSE(s.onPlanReceived(plan(4, "aa"), 105 * kSecond));
  EXPECT_FALSE(s.onPlanReceived(Plan(), 106 * kSecond));
  EXPECT_FALSE(s.onPlanReceived(plan(5, "bb"), 107 * kSecond));  // the number used twice
  EXPECT_NE(s.evaluate(108 * kSecond, own("aa")).reason.find("it is another"), std::string::npos);
  EXPECT_EQ(s.evaluate(108 * kSecond, own("aa")).compliance, Compliance::unknown);
  EXPECT_FALSE(s.evaluate(110 * kSecond, own("aa")).allowed);
}

TEST(FleetStanding, AfterARestartAStrictPlanWaitsForTheStore) {
  PlanCompliance s("s1");
  s.restorePlan(plan(5, "aa"));
  EXPECT_FALSE(s.evaluate(kSecond, own("aa")).allowed);
  s.onPlanReceived(plan(5, "aa"), 2 * kSecond);
  EXPECT_TRUE(s.evaluate(3 * kSecond, own("aa")).allowed);
  PlanCompliance lenient("s1");
  lenient.restorePlan(plan(5, "aa", false));
  EXPECT_TRUE(lenient.evaluate(kSecond, own("aa")).allowed);
  EXPECT_EQ(lenient.evaluate(kSecond, own("aa")).compliance, Compliance::unknown);
}

// Settings put in by hand under a strict plan that asks for others.
TEST(FleetStanding, OneThatGoesAstrayStopsAtOnce) {
  const PlanCompliance s = taken(plan(1, "aa"));
  EXPECT_FALSE(s.evaluate(101 * kSecond, own("xx")).allowed);
  const PlanCompliance lenient = taken(plan(1, "aa", false));
  EXPECT_TRUE(lenient.evaluate(101 * kSecond, own("xx")).allowed);
  EXPECT_EQ(lenient.evaluate(101 * kSecond, own("xx")).compliance, Compliance::catching_up);
}

// The read that showed it was held back for longer than its lease is.
TEST(FleetStanding, APlanIsTakenOverOnAReadThatGivesItALease) {
  PlanCompliance s = taken(plan(1, "aa"));
  Plan shorter = plan(2, "aa");
  shorter.lease = kSecond;
  s.onPlanReceived(shorter, 102 * kSecond);
  EXPECT_FALSE(s.shouldAdopt(own("aa"), 104 * kSecond));
  EXPECT_TRUE(s.evaluate(104 * kSecond, own("aa")).allowed);
  s.onPlanReceived(shorter, 104 * kSecond);
  EXPECT_FALSE(s.shouldAdopt(own("aa"), 104'600'000));  // it would be over before the next comes
  ASSERT_TRUE(s.shouldAdopt(own("aa"), 104'400'000));
  s.onPlanAdopted(s.newest());
  EXPECT_TRUE(s.evaluate(104'900'000, own("aa")).allowed);
  EXPECT_FALSE(s.evaluate(105 * kSecond, own("aa")).allowed);
}

TEST(FleetStanding, HowFarOneIsOnTheWayOut) {
  PlanCompliance s = taken(plan(1, "aa"));
  EXPECT_EQ(s.lagFraction(200 * kSecond), 0);
  s.onPlanReceived(plan(2, "bb"), 101 * kSecond);
  EXPECT_NEAR(s.lagFraction(105'950'000), 0.5, 0.01);
  EXPECT_EQ(s.lagFraction(200 * kSecond), 1);
  // One that has been out for long has as much time for a plan as any other.
  s.onPlanReceived(plan(3, "cc"), 300 * kSecond);
  EXPECT_NEAR(s.lagFraction(300 * kSecond + 990'000), 0.1, 0.01);
}

// ---- a fleet in virtual time

enum class Spoilt { no, no_margin, lease_from_the_answer, lagging_reads, more_time_when_behind };

struct Played {
  std::int64_t acts = 0, acts_too_late = 0, plans = 0;
  Micros shut = 0;
};

// Real time is `t`; a sender's clock runs at its own rate. The store changes its plan at random; reads take
// time both ways, links are cut, senders stand still. Whatever a sender does, it does at `t`, and by then it
// must have the plans that had bound.
Played play(std::uint64_t seed, Spoilt spoilt) {
  std::mt19937_64 random(seed);
  const auto draw = [&](double a, double b) { return std::uniform_real_distribution<>(a, b)(random); };
  struct Sender {
    PlanCompliance standing;
    double rate;
    RunningVersions own;
    Micros cut_until = 0, still_until = 0;
    std::deque<std::pair<Micros, Plan>> lagging;
  };
  const double margin = spoilt == Spoilt::no_margin ? 0 : kClockRateMargin;
  std::vector<Sender> senders;
  for (int i = 0; i < 5; ++i)
    senders.push_back(
        {PlanCompliance("s" + std::to_string(i), margin), draw(0.995, 1.005), own("v1"), 0, 0, {}});
  const auto local = [](const Sender& s, Micros t) {
    return static_cast<Micros>(static_cast<double>(t) * s.rate);
  };
  struct Bound {
    Micros at, binds;
    Plan plan;
    bool everybody;
  };
  std::vector<Bound> plans;
  Plan now = plan(1, "v1", true, 3 * kSecond);
  now.lease = 2 * kSecond;
  plans.push_back({0, 0, now, false});
  const auto shownAt = [&](Micros t) {
    const Plan* p = &plans[0].plan;
    for (const Bound& b : plans)
      if (b.at <= t)
        p = &b.plan;
    return *p;
  };
  struct Due {
    Micros at;
    int sender, what;  // 0 asks, 1 hears, 2 acts
    Micros asked;
    Plan plan;
    bool operator<(const Due& o) const { return at > o.at; }
  };
  std::priority_queue<Due> line;
  for (int i = 0; i < 5; ++i) {
    line.push({1, i, 0, 0, {}});
    line.push({2, i, 2, 0, {}});
  }
  Played run;
  Micros next_plan = 3 * kSecond;
  while (!line.empty() && line.top().at < 60 * kSecond) {
    const Due d = line.top();
    line.pop();
    const Micros t = d.at;
    while (t >= next_plan) {
      Plan p = nextPlan(shownAt(next_plan), "x", "y", next_plan);
      p.requirements.settings = "v" + std::to_string(p.number);
      p.lease = static_cast<Micros>(draw(1, 3) * kSecond);
      p.effective_after =
          plans.back().plan.lease + static_cast<Micros>(draw(0, 1) < 0.5 ? 0 : draw(0, 3) * kSecond);
      plans.push_back({next_plan, std::max(plans.back().binds, next_plan + p.effective_after), p, true});
      next_plan += static_cast<Micros>(draw(0.5, 6) * kSecond);
      ++run.plans;
    }
    Sender& s = senders[static_cast<std::size_t>(d.sender)];
    if (t < s.still_until) {  // all that is due waits, and comes at once
      Due later = d;
      later.at = s.still_until;
      line.push(later);
      continue;
    }
    if (draw(0, 1) < 0.0005)
      s.cut_until = t + static_cast<Micros>(draw(0.1, 6) * kSecond);
    if (draw(0, 1) < 0.0005)
      s.still_until = t + static_cast<Micros>(draw(0.1, 6) * kSecond);
    if (d.what == 0) {
      const Micros there = t + static_cast<Micros>(draw(0, 1) < 0.5 ? draw(100, 1000) : draw(1000, 300'000));
      const Micros back = there + static_cast<Micros>(draw(0.0005, 0.1) * kSecond);
      const bool lost = t < s.cut_until;
      Plan seen = shownAt(there);
      if (spoilt == Spoilt::lagging_reads)
        seen = shownAt(there - kSecond);
      // The worst moment: the plan changes right after a read was served, and the reader is cut off.
      if (!lost && draw(0, 1) < 0.01 && next_plan > there) {
        next_plan = there + 1;
        s.cut_until = there + 5 * kSecond;
      }
      if (!lost)
        line.push({back, d.sender, 1, local(s, t), seen});
      line.push({lost ? t + kSecond / 10 : back + 1, d.sender, 0, 0, {}});
    } else if (d.what == 1) {
      s.standing.onPlanReceived(d.plan, spoilt == Spoilt::lease_from_the_answer ? local(s, t) : d.asked);
      if (draw(0, 1) < 0.7)
        s.own.settings = s.standing.newest().requirements.settings;  // brought up, mostly
      if (s.standing.shouldAdopt(s.own, local(s, t)))
        s.standing.onPlanAdopted(s.standing.newest());
    } else {
      const auto v = s.standing.evaluate(local(s, t), s.own);
      const bool may =
          v.allowed || (spoilt == Spoilt::more_time_when_behind && v.compliance == Compliance::fenced &&
                        s.standing.newest().number > s.standing.acting().number);
      if (may) {
        ++run.acts;
        for (const Bound& b : plans)
          run.acts_too_late += b.everybody && t > b.binds && s.standing.acting().number < b.plan.number;
      } else {
        ++run.shut;
      }
      line.push({t + 1000, d.sender, 2, 0, {}});
    }
  }
  return run;
}

TEST(FleetStanding, NobodyActsUnderAPlanOlderThanOneThatHasBound) {
  std::int64_t acts = 0, shut = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const Played run = play(seed, Spoilt::no);
    EXPECT_EQ(run.acts_too_late, 0) << "seed " << seed;
    acts += run.acts;
    shut += run.shut;
    EXPECT_GT(run.plans, 10);
  }
  EXPECT_GT(acts, shut);  // it is no use to be safe and shut
  EXPECT_GT(shut, 0);
}

TEST(FleetStanding, TheSameRunCatchesWhatIsSpoilt) {
  for (const Spoilt spoilt : {Spoilt::no_margin, Spoilt::lease_from_the_answer, Spoilt::lagging_reads,
                              Spoilt::more_time_when_behind}) {
    std::int64_t late = 0;
    for (std::uint64_t seed = 1; seed <= 10 && late == 0; ++seed)
      late += play(seed, spoilt).acts_too_late;
    EXPECT_GT(late, 0) << static_cast<int>(spoilt);
  }
}

}  // namespace
}  // namespace grademux::fleet
