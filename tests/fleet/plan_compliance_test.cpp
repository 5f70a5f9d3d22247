// Tests PlanCompliance case by case, and in a simulated fleet in virtual time with clocks that run at wrong
// rates, links that fail and senders that are stopped. The same simulation must detect faults that are
// injected into the rules.
#include "../../src/fleet/plan_compliance.h"

#include <gtest/gtest.h>

#include <queue>
#include <random>

namespace grademux::fleet {
namespace {

constexpr Micros kSecond = 1'000'000;

Plan plan(std::int64_t number, const std::string& settings, bool strict = true,
          Micros effective_after = 10 * kSecond) {
  Plan result;
  result.number = number;
  result.requirements.settings = settings;
  result.strict = strict;
  result.lease = 10 * kSecond;
  result.effective_after = effective_after;
  return result;
}
RunningVersions running(const std::string& settings) {
  return {"0.4.0", settings, "", -1, 0};
}

// A sender that has adopted the plan, by a read that was requested at 100 s.
PlanCompliance adopted(const Plan& plan) {
  PlanCompliance compliance("s1");
  EXPECT_TRUE(compliance.onPlanReceived(plan, 100 * kSecond));
  EXPECT_TRUE(compliance.shouldAdopt(running(plan.requirements.settings), 100 * kSecond));
  compliance.onPlanAdopted(plan);
  return compliance;
}

TEST(FleetStanding, AllowsNothingBeforeTheFirstRead) {
  PlanCompliance compliance("s1");
  EXPECT_FALSE(compliance.evaluate(0, running("aa")).allowed);
  EXPECT_EQ(compliance.evaluate(0, running("aa")).compliance, Compliance::fenced);
  compliance.onPlanReceived(Plan(), 5);  // there is no plan
  EXPECT_TRUE(compliance.evaluate(6, running("aa")).allowed);
  EXPECT_EQ(compliance.evaluate(6, running("aa")).compliance, Compliance::current);
}

TEST(FleetStanding, LeaseRunsFromTheRequestMinusTheMargin) {
  const PlanCompliance compliance = adopted(plan(1, "aa"));
  const Micros ends = 100 * kSecond + 9'900'000;
  EXPECT_EQ(compliance.evaluate(101 * kSecond, running("aa")).compliance, Compliance::current);
  EXPECT_EQ(compliance.evaluate(107 * kSecond, running("aa")).compliance, Compliance::unknown);
  EXPECT_TRUE(compliance.evaluate(ends - 1, running("aa")).allowed);
  EXPECT_FALSE(compliance.evaluate(ends, running("aa")).allowed);
  EXPECT_EQ(compliance.evaluate(ends, running("aa")).compliance, Compliance::fenced);
  EXPECT_EQ(compliance.evaluate(0, running("aa")).until, ends);
}

TEST(FleetStanding, ContinuesUnderLastKnownPlanWhenLenient) {
  const PlanCompliance compliance = adopted(plan(1, "aa", false));
  EXPECT_TRUE(compliance.evaluate(9999 * kSecond, running("aa")).allowed);
  EXPECT_EQ(compliance.evaluate(9999 * kSecond, running("aa")).compliance, Compliance::unknown);
}

TEST(FleetStanding, AllowsActionsUntilPlanIsEffectiveWhenLagging) {
  PlanCompliance compliance = adopted(plan(1, "aa"));
  EXPECT_TRUE(compliance.onPlanReceived(plan(2, "bb", true, 60 * kSecond), 103 * kSecond));
  EXPECT_FALSE(compliance.shouldAdopt(running("aa"), 104 * kSecond));
  EXPECT_EQ(compliance.evaluate(104 * kSecond, running("aa")).compliance, Compliance::catching_up);
  EXPECT_NE(compliance.evaluate(104 * kSecond, running("aa")).reason.find("settings aa, bb is asked for"),
            std::string::npos);
  // The time runs from the last read that showed plan 1: plan 2 may have been made right after that read.
  EXPECT_TRUE(compliance.evaluate(100 * kSecond + 59'000'000, running("aa")).allowed);
  EXPECT_FALSE(compliance.evaluate(100 * kSecond + 59'400'000, running("aa")).allowed);
  // Another read that shows plan 2 gives no more time.
  EXPECT_TRUE(compliance.onPlanReceived(plan(2, "bb", true, 60 * kSecond), 150 * kSecond));
  EXPECT_FALSE(compliance.evaluate(100 * kSecond + 59'400'000, running("aa")).allowed);
  EXPECT_TRUE(compliance.shouldAdopt(running("bb"), 151 * kSecond));
  compliance.onPlanAdopted(compliance.newest());
  EXPECT_TRUE(compliance.evaluate(159 * kSecond, running("bb")).allowed);
}

// The plan between is unknown, and so is the time at which it became effective.
TEST(FleetStanding, AllowsActionsForTheLeaseOnlyWhenAPlanWasMissed) {
  PlanCompliance compliance = adopted(plan(1, "aa"));
  compliance.onPlanReceived(plan(3, "bb", true, 600 * kSecond), 103 * kSecond);
  EXPECT_FALSE(compliance.evaluate(110 * kSecond, running("aa")).allowed);
}

TEST(FleetStanding, IsFencedAtOnceByOperatorAndCanBeReadmitted) {
  PlanCompliance compliance = adopted(plan(1, "aa", false));
  Plan out = plan(2, "aa", false);
  out.fenced = {"s1"};
  compliance.onPlanReceived(out, 101 * kSecond);
  EXPECT_EQ(compliance.evaluate(101 * kSecond, running("aa")).compliance, Compliance::fenced);
  compliance.onPlanReceived(plan(3, "aa", false), 102 * kSecond);
  EXPECT_TRUE(compliance.shouldAdopt(running("aa"), 104 * kSecond));
  compliance.onPlanAdopted(compliance.newest());
  EXPECT_EQ(compliance.evaluate(102 * kSecond, running("aa")).compliance, Compliance::current);
}

TEST(FleetStanding, ExtendsNoLeaseWhenStoreShowsOlderPlan) {
  PlanCompliance compliance = adopted(plan(5, "aa"));
  EXPECT_FALSE(compliance.onPlanReceived(plan(4, "aa"), 105 * kSecond));
  EXPECT_FALSE(compliance.onPlanReceived(Plan(), 106 * kSecond));
  EXPECT_FALSE(
      compliance.onPlanReceived(plan(5, "bb"), 107 * kSecond));  // the same number with different content
  EXPECT_NE(compliance.evaluate(108 * kSecond, running("aa")).reason.find("it is another"),
            std::string::npos);
  EXPECT_EQ(compliance.evaluate(108 * kSecond, running("aa")).compliance, Compliance::unknown);
  EXPECT_FALSE(compliance.evaluate(110 * kSecond, running("aa")).allowed);
}

TEST(FleetStanding, WaitsForTheStoreAfterRestartUnderStrictPlan) {
  PlanCompliance compliance("s1");
  compliance.restorePlan(plan(5, "aa"));
  EXPECT_FALSE(compliance.evaluate(kSecond, running("aa")).allowed);
  compliance.onPlanReceived(plan(5, "aa"), 2 * kSecond);
  EXPECT_TRUE(compliance.evaluate(3 * kSecond, running("aa")).allowed);
  PlanCompliance lenient("s1");
  lenient.restorePlan(plan(5, "aa", false));
  EXPECT_TRUE(lenient.evaluate(kSecond, running("aa")).allowed);
  EXPECT_EQ(lenient.evaluate(kSecond, running("aa")).compliance, Compliance::unknown);
}

// The settings were changed by hand under a strict plan that requires others.
TEST(FleetStanding, StopsAtOnceWhenRunningVersionsMeetNoPlan) {
  const PlanCompliance compliance = adopted(plan(1, "aa"));
  EXPECT_FALSE(compliance.evaluate(101 * kSecond, running("xx")).allowed);
  const PlanCompliance lenient = adopted(plan(1, "aa", false));
  EXPECT_TRUE(lenient.evaluate(101 * kSecond, running("xx")).allowed);
  EXPECT_EQ(lenient.evaluate(101 * kSecond, running("xx")).compliance, Compliance::catching_up);
}

// The answer to the read that showed the plan took longer than the plan's lease.
TEST(FleetStanding, AdoptsPlanOnlyWhileItsLeaseIsLongEnough) {
  PlanCompliance compliance = adopted(plan(1, "aa"));
  Plan shorter = plan(2, "aa");
  shorter.lease = kSecond;
  compliance.onPlanReceived(shorter, 102 * kSecond);
  EXPECT_FALSE(compliance.shouldAdopt(running("aa"), 104 * kSecond));
  EXPECT_TRUE(compliance.evaluate(104 * kSecond, running("aa")).allowed);
  compliance.onPlanReceived(shorter, 104 * kSecond);
  EXPECT_FALSE(
      compliance.shouldAdopt(running("aa"), 104'600'000));  // The lease would end before the next read.
  ASSERT_TRUE(compliance.shouldAdopt(running("aa"), 104'400'000));
  compliance.onPlanAdopted(compliance.newest());
  EXPECT_TRUE(compliance.evaluate(104'900'000, running("aa")).allowed);
  EXPECT_FALSE(compliance.evaluate(105 * kSecond, running("aa")).allowed);
}

TEST(FleetStanding, LagFractionGrowsFromTheFirstReadOfANewPlan) {
  PlanCompliance compliance = adopted(plan(1, "aa"));
  EXPECT_EQ(compliance.lagFraction(200 * kSecond), 0);
  compliance.onPlanReceived(plan(2, "bb"), 101 * kSecond);
  EXPECT_NEAR(compliance.lagFraction(105'950'000), 0.5, 0.01);
  EXPECT_EQ(compliance.lagFraction(200 * kSecond), 1);
  // A sender that has been fenced for long has as much time for a new plan as any other.
  compliance.onPlanReceived(plan(3, "cc"), 300 * kSecond);
  EXPECT_NEAR(compliance.lagFraction(300 * kSecond + 990'000), 0.1, 0.01);
}

// ---- A fleet in virtual time

enum class InjectedFault { none, no_margin, lease_from_the_answer, stale_reads, more_time_when_lagging };

struct SimulationResult {
  std::int64_t actions = 0, late_actions = 0, plans = 0;
  Micros refused_actions = 0;
};

// `time` is real time; each sender's clock runs at its own rate. The plan in the store changes at random;
// reads take time both ways, links fail, senders are stopped. When a sender acts at `time`, it must have
// adopted the plans that were effective by then.
SimulationResult simulate(std::uint64_t seed, InjectedFault fault) {
  std::mt19937_64 random(seed);
  const auto draw = [&](double min, double max) {
    return std::uniform_real_distribution<>(min, max)(random);
  };
  struct Sender {
    PlanCompliance compliance;
    double rate;
    RunningVersions running;
    Micros cut_until = 0, stopped_until = 0;
    std::deque<std::pair<Micros, Plan>> lagging;
  };
  const double margin = fault == InjectedFault::no_margin ? 0 : kClockRateMargin;
  std::vector<Sender> senders;
  for (int i = 0; i < 5; ++i)
    senders.push_back(
        {PlanCompliance("s" + std::to_string(i), margin), draw(0.995, 1.005), running("v1"), 0, 0, {}});
  const auto localTime = [](const Sender& sender, Micros time) {
    return static_cast<Micros>(static_cast<double>(time) * sender.rate);
  };
  struct PlannedChange {
    Micros at, effective_at;
    Plan plan;
    bool applies_to_all;
  };
  std::vector<PlannedChange> plans;
  Plan first = plan(1, "v1", true, 3 * kSecond);
  first.lease = 2 * kSecond;
  plans.push_back({0, 0, first, false});
  const auto planAt = [&](Micros time) {
    const Plan* latest = &plans[0].plan;
    for (const PlannedChange& change : plans)
      if (change.at <= time)
        latest = &change.plan;
    return *latest;
  };
  struct Event {
    Micros at;
    int sender, what;  // 0: sends a read, 1: receives the answer, 2: acts
    Micros requested_at;
    Plan plan;
    bool operator<(const Event& other) const { return at > other.at; }
  };
  std::priority_queue<Event> queue;
  for (int i = 0; i < 5; ++i) {
    queue.push({1, i, 0, 0, {}});
    queue.push({2, i, 2, 0, {}});
  }
  SimulationResult result;
  Micros next_plan = 3 * kSecond;
  while (!queue.empty() && queue.top().at < 60 * kSecond) {
    const Event event = queue.top();
    queue.pop();
    const Micros time = event.at;
    while (time >= next_plan) {
      Plan next = nextPlan(planAt(next_plan), "x", "y", next_plan);
      next.requirements.settings = "v" + std::to_string(next.number);
      next.lease = static_cast<Micros>(draw(1, 3) * kSecond);
      next.effective_after =
          plans.back().plan.lease + static_cast<Micros>(draw(0, 1) < 0.5 ? 0 : draw(0, 3) * kSecond);
      plans.push_back(
          {next_plan, std::max(plans.back().effective_at, next_plan + next.effective_after), next, true});
      next_plan += static_cast<Micros>(draw(0.5, 6) * kSecond);
      ++result.plans;
    }
    Sender& sender = senders[static_cast<std::size_t>(event.sender)];
    if (time < sender.stopped_until) {  // All events of a stopped sender run at once when it continues.
      Event later = event;
      later.at = sender.stopped_until;
      queue.push(later);
      continue;
    }
    if (draw(0, 1) < 0.0005)
      sender.cut_until = time + static_cast<Micros>(draw(0.1, 6) * kSecond);
    if (draw(0, 1) < 0.0005)
      sender.stopped_until = time + static_cast<Micros>(draw(0.1, 6) * kSecond);
    if (event.what == 0) {
      const Micros served_at =
          time + static_cast<Micros>(draw(0, 1) < 0.5 ? draw(100, 1000) : draw(1000, 300'000));
      const Micros answered_at = served_at + static_cast<Micros>(draw(0.0005, 0.1) * kSecond);
      const bool lost = time < sender.cut_until;
      Plan seen = planAt(served_at);
      if (fault == InjectedFault::stale_reads)
        seen = planAt(served_at - kSecond);
      // The worst case: the plan changes right after a read was served, and the reader loses the store.
      if (!lost && draw(0, 1) < 0.01 && next_plan > served_at) {
        next_plan = served_at + 1;
        sender.cut_until = served_at + 5 * kSecond;
      }
      if (!lost)
        queue.push({answered_at, event.sender, 1, localTime(sender, time), seen});
      queue.push({lost ? time + kSecond / 10 : answered_at + 1, event.sender, 0, 0, {}});
    } else if (event.what == 1) {
      sender.compliance.onPlanReceived(event.plan, fault == InjectedFault::lease_from_the_answer
                                                       ? localTime(sender, time)
                                                       : event.requested_at);
      if (draw(0, 1) < 0.7)  // In most cases the sender reads the required settings.
        sender.running.settings = sender.compliance.newest().requirements.settings;
      if (sender.compliance.shouldAdopt(sender.running, localTime(sender, time)))
        sender.compliance.onPlanAdopted(sender.compliance.newest());
    } else {
      const auto decision = sender.compliance.evaluate(localTime(sender, time), sender.running);
      const bool acts =
          decision.allowed ||
          (fault == InjectedFault::more_time_when_lagging && decision.compliance == Compliance::fenced &&
           sender.compliance.newest().number > sender.compliance.acting().number);
      if (acts) {
        ++result.actions;
        for (const PlannedChange& change : plans)
          result.late_actions += change.applies_to_all && time > change.effective_at &&
                                 sender.compliance.acting().number < change.plan.number;
      } else {
        ++result.refused_actions;
      }
      queue.push({time + 1000, event.sender, 2, 0, {}});
    }
  }
  return result;
}

TEST(FleetStanding, NoSenderActsUnderAnOlderPlanThanTheEffectiveOne) {
  std::int64_t actions = 0, refused_actions = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const SimulationResult result = simulate(seed, InjectedFault::none);
    EXPECT_EQ(result.late_actions, 0) << "seed " << seed;
    actions += result.actions;
    refused_actions += result.refused_actions;
    EXPECT_GT(result.plans, 10);
  }
  EXPECT_GT(actions, refused_actions);  // A fleet that refuses most actions would be safe but useless.
  EXPECT_GT(refused_actions, 0);
}

TEST(FleetStanding, SimulationDetectsInjectedFaults) {
  for (const InjectedFault fault : {InjectedFault::no_margin, InjectedFault::lease_from_the_answer,
                                    InjectedFault::stale_reads, InjectedFault::more_time_when_lagging}) {
    std::int64_t late_actions = 0;
    for (std::uint64_t seed = 1; seed <= 10 && late_actions == 0; ++seed)
      late_actions += simulate(seed, fault).late_actions;
    EXPECT_GT(late_actions, 0) << static_cast<int>(fault);
  }
}

}  // namespace
}  // namespace grademux::fleet
