// Rate limiter: limits, quotas, Retry-After, and destinations that return after an outage.
#include <algorithm>

#include "sender_fixture.h"

using namespace grademux;
using Ids = std::vector<std::string>;

namespace {

TEST(RateLimiter, SendsNothingBeforeRetryAfterIsOver) {
  SenderDriver driver;
  driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 1)});
  driver.submit("m1", "safe", 1);
  driver.advanceTo(100 * kMs).finishAttempt("m1", 0, AttemptResult::rejected, 10 * kMs, 700 * kMs);
  EXPECT_TRUE(driver.advanceTo(200 * kMs).submit("m2", "safe", 1).empty());
  EXPECT_TRUE(driver.advanceTo(790 * kMs).fireTimer().empty());
  Ids started;
  for (int i = 0; i < 100; ++i)
    for (const auto& id : driver.advanceTo(800 * kMs + i * 50 * kMs).fireTimer())
      started.push_back(id);
  EXPECT_EQ(started.size(), 2u);
}

// After an outage the calls of this sender within Settings::overload_collapse_time (FallMs) stay below
// cold_capacity_fraction x overload_factor x its even share of the limit, however many messages are queued.
TEST(RateLimiter, LimitsRateDuringSlowStart) {
  Settings settings = makeSettings();
  settings.sender_count = 2;
  settings.max_in_flight = 50;
  settings.weight_kind = WeightKind::nominal;
  settings.classes[0].deadline = 100 * kS;
  SenderDriver driver(settings);
  driver.updateEndpoints(
      {makeEndpoint("e1", 1, "shared", 20)});  // the limit: 20 calls a second from all senders
  for (int i = 0; i < 60; ++i)
    driver.submit("m" + std::to_string(i), "safe", 1);
  std::map<std::string, int> attempts_of;
  std::vector<Micros> sent_at;
  std::vector<std::string> in_flight;
  for (auto& [id, endpoint] : driver.endpoint_of)
    in_flight.push_back(id);
  const Micros returned_at = 8 * kS;
  for (Micros time = 100 * kMs; time < 40 * kS; time += 20 * kMs) {
    std::vector<Event> events{TimerFired{}};
    driver.advanceTo(time);
    for (const auto& id : in_flight)
      events.push_back(driver.makeOutcome(
          id, attempts_of[id]++, time < returned_at ? AttemptResult::connect_failed : AttemptResult::ok,
          20 * kMs));
    in_flight = driver.decide(events);
    for (std::size_t i = 0; i < in_flight.size(); ++i)
      if (time >= returned_at)
        sent_at.push_back(time);
  }
  ASSERT_GT(sent_at.size(), 20u);
  // Counts calls in the first overload collapse time after the return. The bound allows one more trial for
  // chance.
  const auto early_count = std::count_if(sent_at.begin(), sent_at.end(), [&](Micros time) {
    return time < returned_at + settings.overload_collapse_time;
  });
  EXPECT_LE(early_count, 1 + 20 * 0.5 * 1.5 * (0.3 + 0.7 * 0.2) * 2);
  EXPECT_GE(early_count, 4);
}

// A rejection without a Retry-After reduces the sender's quota: the gaps between the next calls are longer.
TEST(RateLimiter, ReducesQuotaAfterRejection) {
  Settings settings = makeSettings();
  settings.max_in_flight = 50;
  settings.weight_kind = WeightKind::nominal;
  auto starts_after = [&](bool is_rejected) {
    SenderDriver driver(settings);
    driver.updateEndpoints({makeEndpoint("e1", 1, "shared", 10)});
    driver.submit("x", "safe", 1);
    driver.advanceTo(100 * kMs).finishAttempt("x", 0,
                                              is_rejected ? AttemptResult::rejected : AttemptResult::ok);
    std::size_t started_count = 0;
    for (int i = 0; i < 100; ++i)
      started_count += driver.submit("m" + std::to_string(i), "safe", 1).size();
    for (int i = 0; i < 40; ++i)
      started_count += driver.advanceTo(200 * kMs + i * 50 * kMs).fireTimer().size();
    return started_count;
  };
  EXPECT_LT(starts_after(true), starts_after(false));
}

// Guards against a due local tag that bypasses a limit when calls are free: a destination would get its
// minimum rate and every free call besides. A known limit applies to due local tags as well.
TEST(RateLimiter, KeepsReportedLimitWithFreeCalls) {
  Settings settings = makeSettings();
  settings.max_in_flight = 100;
  settings.weight_kind = WeightKind::nominal;
  SenderDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1, "shared", 4)});
  std::size_t started_count = 0;
  for (int i = 0; i < 100; ++i)
    started_count += driver.submit("m" + std::to_string(i), "safe", 1).size();
  for (int i = 1; i <= 60; ++i)
    started_count += driver.advanceTo(i * 50 * kMs).fireTimer().size();
  EXPECT_GE(started_count, 12u);
  EXPECT_LE(started_count, 16u);  // 4 a second for 3 s, and the burst of half a second
}

// Guards against overload of a returning destination (scenario fresh-big at site budapest-kozpont-later):
// first attempts of rare senders ignored the pacing of a destination that had failed for them, and together
// overloaded the destination when it returned. While a destination is down these attempts are paced too.
TEST(RateLimiter, PacesFirstAttemptsOfRareSenderWhileDestinationIsDown) {
  Settings settings = makeSettings();
  settings.sender_count = 200;
  settings.weight_kind = WeightKind::nominal;
  SenderDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1, "shared", 10)});
  driver.submit("m1", "safe", 1);
  driver.advanceTo(kS).finishAttempt("m1", 0, AttemptResult::timeout, kS);
  std::size_t started_count = 0;
  for (int i = 0; i < 10; ++i)
    started_count +=
        driver.advanceTo(driver.now + 200 * kMs).submit("x" + std::to_string(i), "safe", 1).size();
  EXPECT_LE(started_count, 1u);  // at most one trial
}

// Guards against delay by calls that ignored pacing: they advanced the upper-bound tag until pacing outlasted
// the deadline of every message, so that every first attempt ignored pacing.
TEST(RateLimiter, LeavesLaterCallsUndelayedAfterFirstAttemptIgnoredPacing) {
  Settings settings = makeSettings();
  settings.sender_count = 200;
  settings.weight_kind = WeightKind::nominal;
  SenderDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1, "shared", 30)});
  driver.submit("m", "safe", 1);
  driver.advanceTo(100 * kMs).finishAttempt("m", 0, AttemptResult::ok);
  driver.advanceTo(kS).submit("x", "safe", 1);
  driver.advanceTo(kS + 100 * kMs).finishAttempt("x", 0, AttemptResult::rejected);
  for (int i = 0; i < 5; ++i) {
    MessageArrival urgent =
        driver.advanceTo(driver.now + 10 * kMs).makeArrival("hasty" + std::to_string(i), "safe", 1);
    urgent.deadline = driver.now + 165 * kMs;
    const Ids sent = driver.decide({urgent});
    ASSERT_EQ(sent.size(), 1u) << i;
    driver.advanceTo(driver.now + 50 * kMs).finishAttempt(sent[0], 0, AttemptResult::ok, 50 * kMs);
  }
  driver.advanceTo(driver.now + 10 * kMs).submit("patient", "safe", 1);
  Ids sent;
  const Micros from = driver.now;
  while (sent.empty() && driver.now < from + 40 * kS)
    sent = driver.advanceTo(driver.now + 50 * kMs).fireTimer();
  EXPECT_LT(driver.now - from, 15 * kS);
}

// Guards against lost messages of clients with short deadlines (scenario rough-1 at site
// debrecen-kelet-later): pacing that outlasts the deadline of a message only loses the message.
TEST(RateLimiter, SendsFirstAttemptWhenPacingWouldOutlastDeadline) {
  Settings settings = makeSettings();
  settings.sender_count = 200;
  settings.weight_kind = WeightKind::nominal;
  SenderDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1, "shared", 10)});
  driver.submit("m", "safe", 1);
  driver.advanceTo(100 * kMs).finishAttempt("m", 0, AttemptResult::ok);
  driver.advanceTo(kS).submit("x", "safe", 1);
  driver.advanceTo(kS + 100 * kMs)
      .finishAttempt("x", 0, AttemptResult::rejected);  // without a Retry-After, so the next calls are paced
  driver.advanceTo(kS + 110 * kMs);
  MessageArrival patient = driver.makeArrival("patient", "safe", 1),
                 urgent = driver.makeArrival("hasty", "safe", 1);
  urgent.deadline = driver.now + 250 * kMs;
  EXPECT_EQ(driver.decide({patient, urgent}), Ids{"hasty"});
}

// Guards against a limit that stays exhausted (scenario herd+vast, seed 359820571784): where rejected calls
// count towards the limit, first attempts that ignore pacing keep the limit exhausted for all senders.
TEST(RateLimiter, PacesFirstAttemptAfterTwoConsecutiveRejections) {
  Settings settings = makeSettings();
  settings.sender_count = 200;
  settings.weight_kind = WeightKind::nominal;
  SenderDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1, "shared", 10)});
  auto is_started = [&](const std::string& id) {
    MessageArrival urgent = driver.advanceTo(driver.now + 10 * kMs).makeArrival(id, "safe", 1);
    urgent.deadline = driver.now + 250 * kMs;
    return !driver.decide({urgent}).empty();
  };
  driver.submit("m", "safe", 1);
  driver.advanceTo(100 * kMs).finishAttempt("m", 0, AttemptResult::ok);
  ASSERT_EQ(driver.advanceTo(kS).submit("x", "safe", 1), Ids{"x"});
  driver.advanceTo(kS + 100 * kMs).finishAttempt("x", 0, AttemptResult::rejected);
  ASSERT_TRUE(is_started("one"));
  driver.advanceTo(driver.now + 50 * kMs).finishAttempt("one", 0, AttemptResult::rejected);
  EXPECT_FALSE(is_started("two"));
}

// Guards against a thundering herd (scenario big-1 at site gyor-nyugat-later): the Retry-After spans of a
// rejecting destination ended for all senders at the same time, and the destination was overloaded.
TEST(RateLimiter, SpreadsSendersAfterLongRetryAfter) {
  Settings settings = makeSettings();
  settings.sender_count = 200;
  std::vector<Micros> returned_at;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SenderDriver driver(settings, seed);
    driver.updateEndpoints({makeEndpoint("e1", 1)});
    driver.submit("m", "safe", 1);
    driver.advanceTo(50 * kMs).finishAttempt("m", 0, AttemptResult::rejected, 50 * kMs, 3 * kS);
    Ids sent;
    for (Micros time = 100 * kMs; sent.empty() && time < 19 * kS; time += 50 * kMs)
      sent = driver.advanceTo(time).fireTimer();
    EXPECT_GE(driver.now, 3 * kS + 50 * kMs);
    returned_at.push_back(driver.now);
  }
  std::sort(returned_at.begin(), returned_at.end());
  EXPECT_GT(returned_at[15] - returned_at[4], settings.overload_collapse_time / 2);
}

// Guards against overload of a returning destination (incident hf6a5a4): each of many senders sent three
// attempts to a stalled destination before it counted as down, and together the retries overloaded it when it
// returned. A sender of a large fleet paces after its first failure.
TEST(RateLimiter, PacesRetriesAfterOneFailureInLargeFleet) {
  Settings settings = makeSettings();
  settings.sender_count = 200;
  settings.weight_kind = WeightKind::nominal;
  SenderDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1, "shared", 10)});
  driver.submit("m", "safe", 1);
  driver.advanceTo(kS).finishAttempt("m", 0, AttemptResult::timeout, kS);
  int attempts = 1;
  while (driver.now < 19 * kS)
    if (!driver.advanceTo(driver.now + 50 * kMs).fireTimer().empty())
      driver.finishAttempt("m", attempts++, AttemptResult::timeout, 50 * kMs);
  EXPECT_LE(attempts, 2);
}

// Guards against overload of a returning destination (incident h263b28): each of many senders with a
// timed-out attempt sent another attempt immediately, and together these overloaded the destination when it
// returned. The first trial gets jitter as well.
TEST(RateLimiter, SpreadsFirstTrialInLargeFleet) {
  Settings settings = makeSettings();
  settings.sender_count = 200;
  int started_at_once = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SenderDriver driver(settings, seed);
    driver.updateEndpoints({makeEndpoint("e1", 1)});
    driver.submit("m", "safe", 1);
    driver.advanceTo(kS).finishAttempt("m", 0, AttemptResult::timeout, kS);
    started_at_once += !driver.advanceTo(kS + 10 * kMs).submit("next", "safe", 1).empty();
  }
  EXPECT_LE(started_at_once, 5);
}

// Scenario herd+vast, seed 359820571784: each of 100 senders continued with one and a half even shares after
// a rejection, since it called the destination only every three seconds; rejected calls exhausted the limit,
// and for 7 s no sender was served. Returns how many calls start within 4 s if the first call gets the result
// `first`, and the answers to the others report the remaining fraction of the allowance.
int startsWithin4Seconds(int senders, AttemptResult first, double remaining_fraction) {
  Settings settings = makeSettings();
  settings.sender_count = senders;
  settings.max_in_flight = 50;
  settings.classes[0].deadline = 100 * kS;
  SenderDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  for (int i = 0; i < 200; ++i)
    driver.submit("m" + std::to_string(i), "safe", 1);  // 20 a second
  std::map<std::string, int> attempts_of;
  Ids in_flight;
  for (auto& [id, endpoint] : driver.endpoint_of)
    in_flight.push_back(id);
  int started_count = 0;
  for (Micros time = 20 * kMs; time < 4 * kS; time += 20 * kMs) {
    std::vector<Event> events{TimerFired{}};
    driver.advanceTo(time);
    for (const auto& id : in_flight) {
      AttemptOutcome outcome =
          driver.makeOutcome(id, attempts_of[id]++, time < 50 * kMs ? first : AttemptResult::ok, 20 * kMs);
      outcome.limit_report = LimitReport{time < 50 * kMs ? 0.5 : remaining_fraction, 100};
      events.push_back(outcome);
    }
    in_flight = driver.decide(events);
    started_count += static_cast<int>(in_flight.size());
  }
  return started_count;
}

// A sender in a fleet of 47 with some messages: its first call is rejected while no limit is known, and its
// second call reports a limit of 60 calls a second.
struct FirstReport {
  static constexpr int kMessages = 20;
  SenderDriver driver;
  Micros reported_at = 0;

  FirstReport() : driver(settings()) {
    driver.updateEndpoints({makeEndpoint("e1", 1)});
    driver.submit("first", "safe", 1);
    driver.advanceTo(kMs).finishAttempt("first", 0, AttemptResult::rejected, kMs, 400 * kMs);
    Ids started;
    for (int i = 0; i < kMessages; ++i)
      for (const std::string& id : driver.submit("m" + std::to_string(i), "safe", 1))
        started.push_back(id);
    while (started.empty() && driver.now < 5 * kS)
      started = driver.advanceTo(driver.now + 10 * kMs).fireTimer();
    if (started.size() != 1)
      throw std::logic_error("the second call is expected once the Retry-After has passed");
    AttemptOutcome outcome =
        driver.makeOutcome(started[0], started[0] == "first" ? 1 : 0, AttemptResult::ok, 20 * kMs);
    outcome.limit_report = LimitReport{0.5, 60};
    reported_at = driver.now;
    driver.decide({outcome});
  }

  static Settings settings() {
    Settings settings = makeSettings();
    settings.sender_count = 47;
    settings.max_in_flight = 50;
    settings.classes[0].deadline = 100 * kS;
    return settings;
  }

  int startsWithin(Micros span) {
    int started_count = 0;
    while (driver.now < reported_at + span)
      started_count += static_cast<int>(driver.advanceTo(driver.now + 10 * kMs).fireTimer().size());
    return started_count;
  }
};

// The gap that the estimate had set was 20 s.
TEST(RateLimiter, FirstReportedLimitSetsTheNextCall) {
  FirstReport first_report;
  EXPECT_GE(first_report.startsWithin(2 * kS), 1);
}

// The quota of the estimate was 0.19; of the reported limit this is 11 calls a second.
TEST(RateLimiter, FirstReportedLimitReducesQuotaOfEstimate) {
  FirstReport first_report;
  const double slow_start_seconds = 11;
  const double own_rate = FirstReport::kMessages / slow_start_seconds;
  EXPECT_LE(first_report.startsWithin(4 * kS), 4 * 2 * own_rate);  // two shares by its demand
}

TEST(RateLimiter, ReducesQuotaToOneShareAfterRejectionInLargeFleet) {
  EXPECT_LE(startsWithin4Seconds(100, AttemptResult::rejected, 0.5),
            80);  // 129 when the quota starts at two shares
  EXPECT_GE(startsWithin4Seconds(100, AttemptResult::rejected, 0.5),
            40);  // the quota stays at half an even share or more
  EXPECT_GE(startsWithin4Seconds(3, AttemptResult::rejected, 0.5),
            90);  // senders of a small fleet learn of a limit soon enough
}

TEST(RateLimiter, ReducesQuotaAtLowAllowanceInLargeFleet) {
  const int full_allowance = startsWithin4Seconds(100, AttemptResult::rejected, 0.5),
            low_allowance = startsWithin4Seconds(100, AttemptResult::rejected, 0.05);
  EXPECT_LE(low_allowance, 0.8 * full_allowance);
  EXPECT_EQ(startsWithin4Seconds(3, AttemptResult::rejected, 0.05),
            startsWithin4Seconds(3, AttemptResult::rejected, 0.5));
}

// A cold destination is not at its limit: successful calls at the reduced rate are no evidence about the
// limit.
TEST(RateLimiter, KeepsQuotaWhileCold) {
  Settings settings = makeSettings();
  settings.sender_count = 3;
  settings.weight_kind = WeightKind::nominal;
  auto quota_after = [&](bool is_cold) {
    SenderDriver driver(settings);
    driver.advanceTo(kS).updateEndpoints({makeEndpoint("e1", 1, "shared", 40)});
    LearnedEndpoint learned;
    learned.destination = 1;
    learned.rate_limit = 40;
    learned.limit_is_reported = true;
    learned.quota_fraction = 0.3;
    learned.last_outcome_at = learned.last_message_at = kS;
    driver.decide({learned});
    if (is_cold)
      driver.decide({DestinationHealth{"", 1, false, kS, 0, kS}});
    driver.advanceTo(6 * kS).submit("m", "safe", 1);
    driver.decide({ExportLearned{INT64_MIN, 10}});
    for (const LearnedEndpoint& known : driver.actionsOf<LearnedEndpoint>())
      if (known.endpoint.empty())
        return known.quota_fraction;
    return -1.0;
  };
  EXPECT_DOUBLE_EQ(quota_after(true), 0.3);
  EXPECT_GT(quota_after(false), 0.35);
}

}  // namespace
