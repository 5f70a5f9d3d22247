// Attempts: idempotency, choice of endpoints, connections, batches and retries.
#include <algorithm>
#include <set>

#include "sender_fixture.h"

using namespace grademux;
using Ids = std::vector<std::string>;

namespace {

TEST(RetryPolicy, NeverRetriesNonIdempotentMessageThatMayHaveExecuted) {
  SenderDriver driver;
  driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 1)});
  EXPECT_EQ(driver.submit("p", "unsafe", 1), Ids{"p"});
  EXPECT_TRUE(driver.advanceTo(kS).finishAttempt("p", 0, AttemptResult::reset).empty());
  EXPECT_EQ(driver.actionsOf<FailMessage>().size(), 1u);
  EXPECT_TRUE(driver.actionsOf<RejectMessage>().empty());
}

// Guards against non-idempotent messages lost on stale connections, and against destinations marked down that
// only closed idle connections.
TEST(ConnectionPolicy, AvoidsReuseForNonIdempotentMessagesAfterStaleConnections) {
  SenderDriver driver;
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  const auto deliver = [&](const std::string& id, const std::string& class_name) {
    driver.submit(id, class_name, 1);
    const bool is_closed = !driver.actionsOf<CloseIdleConnections>().empty();
    driver.advanceTo(driver.now + 20 * kMs).finishAttempt(id, 0, AttemptResult::ok, 20 * kMs);
    return is_closed;
  };
  for (int i = 0; i < 10; ++i)
    deliver("w" + std::to_string(i), "safe");
  EXPECT_FALSE(deliver("p0", "unsafe"));
  for (int i = 0; i < 8; ++i) {  // more in a row than count as an outage
    const std::string id = "s" + std::to_string(i), suffix = std::to_string(i);
    driver.decide({driver.makeArrival("u" + suffix, "safe", 1),
                   driver.makeArrival("v" + suffix, "safe", 1)});  // leaves two idle connections
    driver.advanceTo(driver.now + 20 * kMs)
        .decide({driver.makeOutcome("u" + suffix, 0, AttemptResult::ok),
                 driver.makeOutcome("v" + suffix, 0, AttemptResult::ok)});
    driver.submit(id, "safe", 1);
    AttemptOutcome stale_reset = driver.makeOutcome(id, 0, AttemptResult::reset, 1);
    stale_reset.stale_connection = true;
    Ids retried = driver.advanceTo(driver.now + kMs).decide({stale_reset});
    EXPECT_TRUE(driver.actionsOf<DestinationHealth>().empty());
    for (int tick = 0; tick < 40 && retried.empty(); ++tick)
      retried = driver.advanceTo(driver.now + 20 * kMs).fireTimer();
    ASSERT_EQ(retried, Ids{id});
    EXPECT_EQ(driver.actionsOf<CloseIdleConnections>().size(), 1u) << i;  // for the retry
    driver.advanceTo(driver.now + 20 * kMs).finishAttempt(id, 1, AttemptResult::ok, 20 * kMs);
    EXPECT_FALSE(deliver("t" + std::to_string(i), "safe"));  // a first attempt that may be retried
  }
  EXPECT_TRUE(deliver("p1", "unsafe"));
  driver.advanceTo(driver.now + 31 * kS);
  for (int i = 0; i < 10; ++i)
    deliver("x" + std::to_string(i), "safe");
  EXPECT_FALSE(deliver("p2", "unsafe"));  // the evidence has expired
}

TEST(RetryPolicy, RetriesNonIdempotentMessageThatNeverExecuted) {
  SenderDriver driver;
  driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 1)});
  driver.submit("p", "unsafe", 1);
  Ids started = driver.advanceTo(kS).finishAttempt("p", 0, AttemptResult::connect_failed);
  for (int i = 1; i < 40 && started.empty(); ++i)
    started = driver.advanceTo(kS + i * 100 * kMs).fireTimer();
  EXPECT_EQ(started, Ids{"p"});
}

TEST(Dispatcher, BatchesMessagesIntoOneCall) {
  Settings settings = makeSettings();
  settings.max_in_flight = 1;
  SenderDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1, "batch")});  // three messages per call
  std::vector<Event> arrivals;
  for (int i = 0; i < 4; ++i)
    arrivals.push_back(driver.makeArrival("m" + std::to_string(i), "safe", 1));
  EXPECT_EQ(driver.decide(arrivals).size(), 3u);
  driver.advanceTo(50 * kMs).finishAttempt("m0", 0, AttemptResult::ok);
  driver.finishAttempt("m1", 0, AttemptResult::ok);
  EXPECT_TRUE(driver.fireTimer().empty());  // the call is in flight until its last attempt has an outcome
  EXPECT_EQ(driver.advanceTo(2 * kS).finishAttempt("m2", 0, AttemptResult::ok), Ids{"m3"});
}

// Guards against uneven load (scenario big-1 at site debrecen-kelet-later): all senders chose the first
// endpoint of the list, whose connections were exhausted while the other endpoints were idle.
TEST(Dispatcher, SpreadsSendersOverEndpointsWhenAllAreUnused) {
  std::map<std::string, int> chosen;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SenderDriver driver(makeSettings(), seed);
    driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 1)});
    driver.submit("m", "safe", 1);
    ++chosen[driver.endpoint_of["m"]];
  }
  EXPECT_GT(chosen["e1"], 8);
  EXPECT_GT(chosen["e2"], 8);
}

// Guards against full connection tables. Scenario quiet at site gyor-nyugat-later: 66% of the attempts got no
// connection, since 67 senders kept an idle one each. Scenario join+vast, seed 397371456577: 10 to 16 of 100
// senders with 1.5 messages a second each filled the table of the busiest endpoint, which refused all other
// senders all day.
TEST(ConnectionPolicy, ClosesIdleConnectionInLargeFleetWithoutExpectedReuse) {
  auto count_closings = [](int senders, Micros interval) {
    Settings settings = makeSettings();
    settings.sender_count = senders;
    SenderDriver driver(settings);
    driver.updateEndpoints({makeEndpoint("e1", 1)});
    std::size_t closings = 0;
    for (int i = 0; i < 40; ++i) {
      const std::string id = "m" + std::to_string(i);
      driver.advanceTo(driver.now + interval).submit(id, "safe", 1);
      driver.advanceTo(driver.now + 50 * kMs).finishAttempt(id, 0, AttemptResult::ok, 50 * kMs);
      if (i >= 20)
        closings += driver.actionsOf<CloseIdleConnections>().size();
    }
    return closings;
  };
  EXPECT_EQ(count_closings(200, 30 * kS), 20u);  // messages are too rare for a reuse
  EXPECT_EQ(count_closings(200, kS),
            20u);  // frequent enough for one sender, but 200 such senders would keep 200 connections
  EXPECT_EQ(count_closings(100, 620 * kMs), 20u);  // as in join+vast
  EXPECT_EQ(count_closings(30, 50 * kMs), 0u);     // frequent messages: reuse is expected
  EXPECT_EQ(count_closings(3, kS), 0u);            // few senders cannot fill a connection table
}

// Guards against late deliveries (scenario rough-2 at site budapest-kozpont-later): retries of many senders
// delayed first attempts that could still meet their latency objective.
TEST(OutcomeHandler, DelaysRetryByOneLatencyObjectiveInLargeFleet) {
  Settings settings = makeSettings();
  settings.sender_count = 200;
  SenderDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 1)});
  driver.submit("m", "safe", 1);
  driver.advanceTo(100 * kMs).finishAttempt("m", 0, AttemptResult::error);
  Ids started;
  while (started.empty() && driver.now < 19 * kS)
    started = driver.advanceTo(driver.now + 50 * kMs).fireTimer();
  EXPECT_EQ(started, Ids{"m"});
  EXPECT_GE(driver.now, 100 * kMs + settings.classes[0].latency_objective);
}

// Guards against full connection tables (scenario overload at site budapest-kozpont-later): endpoints accept
// few connections, and idle connections of many senders filled their tables, which looked like an outage to
// all other senders. After a failed connect no idle connection to the endpoint is kept.
TEST(ConnectionPolicy, ClosesIdleConnectionsInLargeFleetAfterFailedConnect) {
  auto keeps_connection_after_failed_connect = [](int senders) {
    Settings settings = makeSettings();
    settings.sender_count = senders;
    settings.idle_connection_timeout = 15 * kS;
    settings.classes[0].deadline = 100 * kS;
    SenderDriver driver(settings);
    driver.updateEndpoints({makeEndpoint("e1", 1)});
    int message_count = 0;
    auto call = [&](AttemptResult result) {
      const std::string id = "m" + std::to_string(message_count++);
      driver.advanceTo(driver.now + 100 * kMs).submit(id, "safe", 1);
      driver.advanceTo(driver.now + 50 * kMs).finishAttempt(id, 0, result, 50 * kMs);
      return driver.actionsOf<CloseIdleConnections>().empty();
    };
    for (int i = 0; i < 200; ++i)
      call(AttemptResult::ok);
    EXPECT_TRUE(call(AttemptResult::ok));  // the traffic is high enough to keep the connection
    call(AttemptResult::connect_failed);
    std::vector<std::string> started;
    while (started.empty())
      started = driver.advanceTo(driver.now + 50 * kMs).fireTimer();
    driver.advanceTo(driver.now + 50 * kMs).finishAttempt(started[0], 1, AttemptResult::ok, 50 * kMs);
    return driver.actionsOf<CloseIdleConnections>().empty();
  };
  EXPECT_FALSE(keeps_connection_after_failed_connect(200));
  EXPECT_TRUE(
      keeps_connection_after_failed_connect(2));  // two senders cannot fill a table: the endpoint was down
}

// Guards against a thundering herd (scenario fresh-big, seed 2598684461, at site budapest-kozpont-later): all
// senders retried the messages that failed in an outage one latency objective later, at the same time, and
// overloaded the returning destination. In a large fleet these retries get jitter.
TEST(OutcomeHandler, SpreadsRetriesToDestinationThatIsDown) {
  Settings settings = makeSettings();
  settings.sender_count = 200;
  std::set<Micros> retry_at;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SenderDriver driver(settings, seed);
    driver.updateEndpoints({makeEndpoint("e1", 1)});
    driver.submit("m", "safe", 1);
    driver.advanceTo(50 * kMs).finishAttempt("m", 0, AttemptResult::connect_failed, 50 * kMs);
    while (driver.advanceTo(driver.now + 10 * kMs).fireTimer().empty() && driver.now < 19 * kS)
      continue;
    EXPECT_GE(driver.now, 2 * kS);  // one latency objective
    retry_at.insert(driver.now / (500 * kMs));
  }
  EXPECT_GE(retry_at.size(), 8u);
}

}  // namespace
