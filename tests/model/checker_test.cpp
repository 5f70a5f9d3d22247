// A module that is spoilt on purpose is caught, once for each rule; the sound one isn't.
#include "spoilt.h"

namespace grademux::model {
namespace {

struct DeafToWaits : Spoilt {
  using Spoilt::Spoilt;
  bool hear(Event& e) override {
    if (auto* o = std::get_if<AttemptOutcome>(&e))
      o->retry_after = 0;
    return true;
  }
};
struct DeafToDrains : Spoilt {
  using Spoilt::Spoilt;
  bool hear(Event& e) override {
    auto* u = std::get_if<EndpointListUpdate>(&e);
    if (!u)
      return true;
    for (Endpoint& x : u->endpoints)
      x.state = EndpointState::ready;
    return true;
  }
};
struct Silent : Spoilt {
  using Spoilt::Spoilt;
  bool act(Action& a) override {
    return !std::holds_alternative<FailMessage>(a) && !std::holds_alternative<RejectMessage>(a);
  }
};

struct Case {
  Rule rule;
  std::unique_ptr<Policy> (*make)(const Making&);
};

TEST(Checker, TheSoundModuleBreaksNoRule) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const json f = played(worldOf(kTroubled), seed);
    EXPECT_EQ(f["broken"], 0) << "seed " << seed << f["breaks"];
    EXPECT_GT(f["worth"], 0.3);
  }
}

TEST(Checker, EachRuleCatchesTheModuleThatBreaksIt) {
  const Case cases[] = {
      {Rule::wait, spoilt<DeafToWaits, nothing>}, {Rule::drain, spoilt<DeafToDrains, nothing>},
      {Rule::lost, spoilt<Silent, nothing>},      {Rule::effect_twice, spoilt<Spoilt, allSafe>},
      {Rule::order, spoilt<Spoilt, noOrder>},     {Rule::pushed_over, spoilt<Reckless, noRamp>}};
  std::string text = kTroubled;
  const auto replace = [&text](const std::string& a, const std::string& b) {
    text.replace(text.find(a), a.size(), b);
  };
  for (const Case& c : cases) {
    if (c.rule == Rule::pushed_over) {  // partners that tell nobody to wait don't protect themselves
      replace("tells_wait = 1", "tells_wait = 0");
      replace("rate = 40", "rate = 200");
    }
    const PolicySpec spec{"spoilt", "", c.make};
    std::uint64_t broken = 0;
    for (std::uint64_t seed = 1; seed <= 8 && broken == 0; ++seed)
      broken += played(worldOf(text), seed, &spec)["rules"].value(nameOf(c.rule), std::uint64_t{0});
    EXPECT_GT(broken, 0u) << nameOf(c.rule);
  }
}

// The checker alone, move by move.
struct Held : ::testing::Test {
  Held() : checker(rules) {
    cls.name = "payment";
    cls.idempotency = Idempotency::non_idempotent;
    rules.drain_grace = 250'000;
  }
  Settings rules;
  MessageClass cls;
  Checker checker;
};

TEST_F(Held, AnUnsafeMessageMayGoAgainOnlyIfItProvablyNeverRan) {
  checker.accepted("1.0", 0, cls, 7, "", 20'000'000);
  checker.sent("1.0", 0, "e", 1000);
  checker.outcome("1.0", 0, 0, false, false, 2000);
  checker.sent("1.0", 0, "e", 3000);
  EXPECT_EQ(checker.total(), 0u);
  checker.outcome("1.0", 0, 1, true, false, 4000);
  checker.sent("1.0", 0, "e", 5000);
  EXPECT_EQ(checker.broken[static_cast<std::size_t>(Rule::effect_twice)], 1u);
}

TEST_F(Held, ADrainLeavesItsGraceAndAWaitBindsWhoWasTold) {
  checker.accepted("1.0", 0, cls, 7, "", 20'000'000);
  checker.accepted("2.0", 1, cls, 7, "", 20'000'000);
  checker.leaves(0, "e", 1'000'000);
  checker.sent("1.0", 0, "e", 1'250'000);
  EXPECT_EQ(checker.total(), 0u);
  checker.outcome("1.0", 0, 0, false, false, 1'300'000);
  checker.sent("1.0", 0, "e", 1'300'001);
  EXPECT_EQ(checker.broken[static_cast<std::size_t>(Rule::drain)], 1u);
  checker.toldToWait(0, 7, 2'000'000, 3'000'000);
  checker.sent("2.0", 1, "f", 2'500'000);
  EXPECT_EQ(checker.broken[static_cast<std::size_t>(Rule::wait)], 0u);
  checker.outcome("1.0", 0, 1, false, false, 2'500'000);
  checker.sent("1.0", 0, "f", 2'500'000);
  EXPECT_EQ(checker.broken[static_cast<std::size_t>(Rule::wait)], 1u);
}

TEST_F(Held, TwoEndsAndNoneAreBreaks) {
  checker.accepted("1.0", 0, cls, 7, "", 20'000'000);
  checker.accepted("2.0", 0, cls, 7, "", 20'000'000);
  checker.ended("1.0", true, false, 1000);
  EXPECT_EQ(checker.total(), 0u);
  checker.ended("1.0", true, false, 1000);
  checker.finish(30'000'000);
  EXPECT_EQ(checker.broken[static_cast<std::size_t>(Rule::lost)], 2u);
}

}  // namespace
}  // namespace grademux::model
