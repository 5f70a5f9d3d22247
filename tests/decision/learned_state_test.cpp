// Learned state: a process exports what it has learned, and the next process acts on the restored state as
// the previous process would have.
#include <algorithm>
#include <deque>

#include "sender_fixture.h"

namespace grademux {
namespace {

// Simulates 20 messages a second to a destination that reports its limit, so that the sender learns all
// values.
void learnFromTraffic(SenderDriver& driver, std::int64_t destination, int messages, double limit = 60) {
  for (int i = 0; i < messages; ++i) {
    const std::string id = "t" + std::to_string(destination) + "-" + std::to_string(i);
    driver.advanceTo(driver.now + 30 * kMs);
    driver.submit(id, "safe", destination);
    AttemptOutcome outcome = driver.makeOutcome(id, 0, AttemptResult::ok, 20 * kMs);
    outcome.limit_report = LimitReport{0.8, limit};
    driver.advanceTo(driver.now + 20 * kMs).decide({outcome});
  }
}
std::vector<LearnedEndpoint> exportLearnedState(SenderDriver& driver, int max_destinations = 1000) {
  std::vector<LearnedEndpoint> endpoints;
  ExportLearned request;
  request.max_destinations = max_destinations;
  for (;;) {
    driver.decide({request});
    for (const LearnedEndpoint& learned : driver.actionsOf<LearnedEndpoint>())
      endpoints.push_back(learned);
    const auto batch_end = driver.actionsOf<LearnedExported>();
    EXPECT_EQ(batch_end.size(), 1u);
    if (batch_end.empty() || batch_end[0].complete)
      return endpoints;
    request.after = batch_end[0].after;
  }
}
std::vector<Endpoint> twoEndpointsOf(std::int64_t destination) {
  return {makeEndpoint("e" + std::to_string(destination), destination),
          makeEndpoint("f" + std::to_string(destination), destination)};
}

TEST(LearnedState, ExportsEachDestinationOnceInBatches) {
  SenderDriver driver;
  driver.advanceTo(100 * kS);
  std::vector<Endpoint> endpoints;
  for (int destination = 1; destination <= 7; ++destination)
    endpoints.push_back(makeEndpoint("e" + std::to_string(destination), destination));
  driver.updateEndpoints(endpoints);
  for (int destination = 1; destination <= 6; ++destination)
    learnFromTraffic(driver, destination, 5);  // the seventh gets no traffic
  for (const int max_destinations : {1, 2, 3, 1000}) {
    const std::vector<LearnedEndpoint> exported = exportLearnedState(driver, max_destinations);
    EXPECT_EQ(exported.size(), 12u) << max_destinations;  // one entry per destination and one per endpoint
    for (const LearnedEndpoint& learned : exported) {
      EXPECT_EQ(learned.typical_latency, 20 * kMs);
      EXPECT_EQ(learned.endpoint.empty(), learned.limit_is_reported);
      if (learned.endpoint.empty()) {
        EXPECT_EQ(learned.rate_limit, 60);
      }
    }
  }
}

TEST(LearnedState, AppliesStateOfEarlierProcess) {
  SenderDriver first;
  first.advanceTo(100 * kS).updateEndpoints(twoEndpointsOf(1));
  learnFromTraffic(first, 1, 100);
  const std::vector<LearnedEndpoint> exported = exportLearnedState(first);
  const auto timeout_after_restoring = [&](const std::vector<LearnedEndpoint>& restored) {
    SenderDriver next;
    next.advanceTo(first.now + kS).updateEndpoints(twoEndpointsOf(1));
    next.decide({restored.begin(), restored.end()});
    next.submit("m", "safe", 1);
    return next.timeout_of["m"];
  };
  EXPECT_LT(timeout_after_restoring(exported), 400 * kMs);
  EXPECT_EQ(timeout_after_restoring({}),
            2 * kS);  // without learned state the time-out is the latency objective

  // The destination was cold at the kill: slow start begins at the sender's learned message rate.
  const auto starts_in_slow_start = [&](const std::vector<LearnedEndpoint>& restored) {
    SenderDriver next;
    next.advanceTo(first.now + kS).updateEndpoints(twoEndpointsOf(1));
    std::vector<Event> events(restored.begin(), restored.end());
    for (Event& event : events)
      std::get<LearnedEndpoint>(event).rate_limit = std::get<LearnedEndpoint>(event).quota_fraction =
          0;  // no limit known
    events.emplace_back(DestinationHealth{"", 1, false, next.now - kS, 0, next.now});
    for (int i = 0; i < 60; ++i)
      events.emplace_back(
          RecoveredMessage{next.makeArrival("r" + std::to_string(i), "safe", 1), {}, nullptr});
    std::size_t started = 0;
    std::vector<std::string> in_flight = next.decide(events);
    for (int k = 0; k < 100; ++k) {
      started += in_flight.size();
      std::vector<Event> outcomes;
      for (const std::string& id : in_flight)
        outcomes.emplace_back(next.makeOutcome(id, 0, AttemptResult::ok, 20 * kMs));
      outcomes.emplace_back(TimerFired{});
      in_flight = next.advanceTo(next.now + 20 * kMs).decide(outcomes);
    }
    return started;
  };
  EXPECT_GT(starts_in_slow_start(exported), 8u);
  EXPECT_LT(starts_in_slow_start(exported), 40u);  // the rate is limited nevertheless
}

TEST(LearnedState, RestoresRetryAfterInNextProcess) {
  SenderDriver first;
  first.advanceTo(100 * kS).updateEndpoints(twoEndpointsOf(1));
  first.submit("m", "safe", 1);
  first.advanceTo(101 * kS).finishAttempt("m", 0, AttemptResult::rejected, 10 * kMs,
                                          900 * kMs);  // too short for an outage
  const auto health = first.actionsOf<DestinationHealth>();
  ASSERT_EQ(health.size(), 1u);
  EXPECT_FALSE(health[0].down);
  EXPECT_EQ(health[0].retry_after_until, 101 * kS + 900 * kMs);
  SenderDriver next;
  next.advanceTo(101 * kS + 300 * kMs).updateEndpoints(twoEndpointsOf(1));
  EXPECT_TRUE(
      next.decide({health[0], RecoveredMessage{next.makeArrival("m", "safe", 1), {}, nullptr}}).empty());
  EXPECT_TRUE(next.advanceTo(101 * kS + 890 * kMs).fireTimer().empty());
  EXPECT_EQ(next.advanceTo(101 * kS + 905 * kMs).fireTimer().size(),
            1u);  // no slow start follows, as nothing was down
  EXPECT_EQ(next.submit("n", "safe", 1).size(), 1u);
}

TEST(LearnedState, IgnoresStateOfKnownOrUnlistedEndpoints) {
  SenderDriver driver;
  driver.advanceTo(100 * kS).updateEndpoints(twoEndpointsOf(1));
  learnFromTraffic(driver, 1, 10);
  LearnedEndpoint learned;
  learned.destination = 1;
  learned.rate_limit = 5;
  learned.limit_is_reported = true;
  learned.typical_latency = 9 * kS;
  learned.samples = 8;
  learned.last_outcome_at = 99 * kS;
  LearnedEndpoint other = learned;
  other.endpoint = "e1";
  other.destination = 2;  // listed for another destination
  LearnedEndpoint unknown = learned;
  unknown.endpoint = "nobody";
  driver.decide({learned, other, unknown});
  for (const LearnedEndpoint& known : exportLearnedState(driver)) {
    EXPECT_EQ(known.typical_latency, 20 * kMs);
    EXPECT_NE(known.rate_limit, 5);
  }
}

TEST(LearnedState, CorrectsRestoredLimitFromLaterAnswers) {
  SenderDriver driver;
  driver.advanceTo(100 * kS).updateEndpoints(twoEndpointsOf(1));
  LearnedEndpoint learned;
  learned.destination = 1;
  learned.rate_limit = 100;
  learned.limit_is_reported = true;
  learned.quota_fraction = 1;
  learned.last_outcome_at = 99 * kS;
  driver.decide({learned});
  learnFromTraffic(driver, 1, 12, 50);
  double limit = 0;
  for (const LearnedEndpoint& known : exportLearnedState(driver))
    if (known.endpoint.empty())
      limit = known.rate_limit;
  EXPECT_LT(limit, 55);
}

// All senders are restarted at once while a destination is cold, each with a backlog. Returns whether
// together they exceed what overloads the destination. `restored`: the next processes get health and learned
// state.
bool overloadsColdDestination(bool restored) {
  constexpr int kSenders = 3;
  constexpr double kCapacity = 40;  // calls a second when warm
  Settings settings = makeSettings();
  settings.sender_count = kSenders;
  settings.max_in_flight = 64;
  settings.max_open_messages = 2000;
  const Micros returned_at = 100 * kS;
  std::vector<SenderDriver> drivers;
  for (int i = 0; i < kSenders; ++i) {
    SenderDriver& driver = drivers.emplace_back(settings, static_cast<std::uint64_t>(i + 1));
    driver.advanceTo(returned_at + 500 * kMs).updateEndpoints(twoEndpointsOf(1));
  }
  std::deque<std::pair<Micros, std::pair<int, std::string>>> in_flight;
  std::deque<Micros> calls;
  bool is_overloaded = false;
  for (Micros time = returned_at + 520 * kMs; time < returned_at + 12 * kS; time += 20 * kMs) {
    for (int i = 0; i < kSenders; ++i) {
      SenderDriver& driver = drivers[static_cast<std::size_t>(i)];
      std::vector<Event> events;
      if (time == returned_at + 520 * kMs) {
        driver.now = time;
        if (restored) {
          LearnedEndpoint learned;
          learned.destination = 1;
          learned.rate_limit = kCapacity;
          learned.limit_is_reported = true;
          learned.quota_fraction = 1.0 / kSenders;
          learned.message_rate = kCapacity / kSenders;
          learned.last_outcome_at = learned.last_message_at = returned_at;
          events.emplace_back(learned);
          events.emplace_back(DestinationHealth{"", 1, false, returned_at, 0, returned_at});
        }
        for (int k = 0; k < 200; ++k)
          events.emplace_back(
              RecoveredMessage{driver.makeArrival("r" + std::to_string(k), "safe", 1), {}, nullptr});
      }
      while (!in_flight.empty() && in_flight.front().first <= time && in_flight.front().second.first == i) {
        AttemptOutcome outcome =
            driver.makeOutcome(in_flight.front().second.second, 0, AttemptResult::ok, 20 * kMs);
        outcome.limit_report = LimitReport{0.5, kCapacity};
        events.emplace_back(outcome);
        in_flight.pop_front();
      }
      events.emplace_back(TimerFired{});
      for (const std::string& id : driver.advanceTo(time).decide(events)) {
        in_flight.push_back({time + 20 * kMs, {i, id}});
        calls.push_back(time);
      }
    }
    std::stable_sort(in_flight.begin(), in_flight.end(), [](const auto& left, const auto& right) {
      return std::make_pair(left.first, left.second.first) < std::make_pair(right.first, right.second.first);
    });
    while (!calls.empty() && calls.front() <= time - settings.overload_collapse_time)
      calls.pop_front();
    const double warmth =
        std::min(1.0, static_cast<double>(time - settings.overload_collapse_time / 2 - returned_at) / 1e7);
    const double share =
        settings.cold_capacity_fraction + (1 - settings.cold_capacity_fraction) * std::max(0.0, warmth);
    is_overloaded =
        is_overloaded || static_cast<double>(calls.size()) > settings.overload_factor * kCapacity * share * 2;
  }
  return is_overloaded;
}
TEST(LearnedState, LimitsRateToColdDestinationAfterAllSendersRestart) {
  EXPECT_FALSE(overloadsColdDestination(true));
  EXPECT_TRUE(overloadsColdDestination(false));  // without restored state they do overload the destination
}

}  // namespace
}  // namespace grademux
