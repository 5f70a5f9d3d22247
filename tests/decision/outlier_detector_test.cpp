// Outlier detection and stale idle connections.
#include <algorithm>

#include "sender_fixture.h"

using namespace grademux;

namespace {

// Guards against lost calls on stale connections (incident i98b5a8): idle connections to all destinations
// went stale silently; each call on a reused connection was lost, and the next call on a new connection was
// answered. After a few such observations idle connections are closed before a call.
TEST(ConnectionPolicy, ClosesIdleConnectionsOnceTheyGoStaleSilently) {
  Settings settings = makeSettings();
  settings.idle_connection_timeout = 60 * kS;
  SenderDriver driver(settings);
  std::vector<Endpoint> endpoints;
  for (int destination = 1; destination <= 6; ++destination)
    endpoints.push_back(makeEndpoint("e" + std::to_string(destination), destination));
  driver.updateEndpoints(endpoints);
  Micros time = 0;
  int message_count = 0;
  auto call = [&](int destination, AttemptResult result, Micros round_trip) {
    const std::string id = "m" + std::to_string(message_count++);
    driver.advanceTo(time).submit(id, "safe", destination);
    driver.advanceTo(time + round_trip).fireTimer();  // an overdue attempt counts while it is in flight
    driver.advanceTo(time + round_trip + 1).finishAttempt(id, 0, result, round_trip);
    time += round_trip + 10 * kMs;
  };
  for (int i = 0; i < 10; ++i)
    for (int destination = 1; destination <= 6; ++destination)
      call(destination, AttemptResult::ok, 100 * kMs);
  EXPECT_TRUE(driver.actionsOf<CloseIdleConnections>().empty());
  for (int destination = 1; destination <= 5; ++destination) {
    time += kS;
    call(destination, AttemptResult::timeout, 900 * kMs);  // lost on a reused connection
    std::vector<std::string> started;
    while (started.empty())
      started = driver.advanceTo(time += 50 * kMs).fireTimer();
    driver.advanceTo(time += 100 * kMs)
        .finishAttempt(started[0], 1, AttemptResult::ok);  // its retry on a new connection
  }
  time = driver.now + kS;
  EXPECT_EQ(driver.advanceTo(time).submit("last", "safe", 6).size(), 1u);
  ASSERT_EQ(driver.actionsOf<CloseIdleConnections>().size(), 1u);
  EXPECT_EQ(driver.actionsOf<CloseIdleConnections>()[0].endpoint, "e6");
}

// Incident i0e42b8: the same failure in a large fleet, whose senders use each endpoint too rarely to observe
// both calls there. A call lost on a reused connection of one endpoint, followed by an answered call on a new
// connection of another endpoint of the destination, counts as evidence too.
TEST(ConnectionPolicy, CombinesStaleEvidencePerDestination) {
  Settings settings = makeSettings();
  settings.sender_count = 200;
  settings.idle_connection_timeout = 60 * kS;
  settings.max_attempts = 3;
  SenderDriver driver(settings);
  std::vector<Endpoint> endpoints;
  for (int destination = 1; destination <= 3; ++destination)
    for (const char* name : {"a", "b"})
      endpoints.push_back(makeEndpoint(name + std::to_string(destination), destination));
  driver.updateEndpoints(endpoints);
  int message_count = 0;
  auto call = [&](int destination, AttemptResult result, Micros round_trip) {
    const std::string id = "m" + std::to_string(message_count++);
    driver.advanceTo(driver.now + 10 * kMs).submit(id, "safe", destination);
    driver.advanceTo(driver.now + round_trip).fireTimer();
    driver.finishAttempt(id, 0, result, round_trip);
    return id;
  };
  // The traffic is high enough that idle connections are kept.
  for (int i = 0; i < 200; ++i)
    for (int destination = 1; destination <= 3; ++destination)
      call(destination, AttemptResult::ok, 20 * kMs);
  for (int destination = 1; destination <= 2; ++destination) {
    driver.advanceTo(driver.now + 2 * kS);
    const std::string lost = call(destination, AttemptResult::timeout, 900 * kMs);
    const std::string first = driver.endpoint_of[lost];
    std::vector<std::string> started;
    while (started.empty())
      started = driver.advanceTo(driver.now + 50 * kMs).fireTimer();
    EXPECT_NE(driver.endpoint_of[lost], first);
    driver.advanceTo(driver.now + 50 * kMs).finishAttempt(started[0], 1, AttemptResult::ok, 50 * kMs);
  }
  driver.advanceTo(driver.now + 3 * kS).submit("last", "safe", 3);
  EXPECT_EQ(driver.actionsOf<CloseIdleConnections>().size(), 1u);
}

// Guards against stalled destinations that use all calls (scenario rough-2 at site budapest-kozpont, incident
// ie55d22): several destinations stalled together, and the attempts in flight to them used all calls.
// Attempts beyond the outlier call limit are cancelled, those of idempotent messages first, so that healthy
// destinations get calls.
TEST(OutlierDetector, CancelsOverdueAttemptsWhenNoCallIsFree) {
  Settings settings = makeSettings();
  settings.max_in_flight = 4;
  settings.cancel_allowed = true;
  SenderDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 2), makeEndpoint("e3", 3)});
  for (int destination = 1; destination <= 3; ++destination)
    for (int i = 0; i < 10; ++i) {
      const std::string id = "w" + std::to_string(destination * 100 + i);
      driver.advanceTo(driver.now + 300 * kMs).submit(id, "safe", destination);
      driver.advanceTo(driver.now + 100 * kMs).finishAttempt(id, 0, AttemptResult::ok);
    }
  driver.advanceTo(driver.now + kS)
      .decide({driver.makeArrival("p", "unsafe", 1), driver.makeArrival("a", "safe", 1),
               driver.makeArrival("b", "safe", 2), driver.makeArrival("c", "safe", 2)});
  driver.advanceTo(driver.now + 700 * kMs).submit("healthy", "safe", 3);
  const auto cancelled = driver.actionsOf<CancelAttempt>();
  ASSERT_EQ(cancelled.size(), 2u);
  EXPECT_NE(cancelled[0].id, "p");
  EXPECT_NE(cancelled[1].id, "p");
  AttemptOutcome outcome = driver.makeOutcome(cancelled[0].id, 0, AttemptResult::cancelled);
  EXPECT_EQ(driver.advanceTo(driver.now + 5 * kMs).decide({outcome}), std::vector<std::string>{"healthy"});
}

// Guards against stalled destinations that use all calls before any is marked down (scenario rough-2 at site
// budapest-kozpont): nine destinations stalled with one call each, none counted as an outlier, and no call
// was free.
TEST(OutlierDetector, LimitsOutlierCallsAfterOneOverdueAttemptEach) {
  Settings settings = makeSettings();
  settings.max_in_flight = 4;
  SenderDriver driver(settings);
  std::vector<Endpoint> endpoints;
  for (int destination = 1; destination <= 6; ++destination)
    endpoints.push_back(makeEndpoint("e" + std::to_string(destination), destination));
  driver.updateEndpoints(endpoints);
  for (int destination = 1; destination <= 6; ++destination) {
    const std::string id = "w" + std::to_string(destination);
    driver.advanceTo(driver.now + 300 * kMs).submit(id, "safe", destination);
    driver.advanceTo(driver.now + 100 * kMs).finishAttempt(id, 0, AttemptResult::ok);
  }
  driver.advanceTo(driver.now + kS)
      .decide({driver.makeArrival("a", "safe", 1), driver.makeArrival("b", "safe", 2)});
  driver.advanceTo(driver.now + 600 * kMs)
      .fireTimer();  // both attempts are overdue: the outlier call limit of two is reached
  EXPECT_TRUE(
      driver.decide({driver.makeArrival("c", "safe", 1), driver.makeArrival("d", "safe", 2)}).empty());
  EXPECT_EQ(driver.decide({driver.makeArrival("x", "safe", 3), driver.makeArrival("y", "safe", 4)}).size(),
            2u);
}

// Guards against attempts during a Retry-After that the sender received with a failed call: the response
// headers carried it, but the body was cut off, or the call was cancelled before the body was read.
TEST(OutlierDetector, AppliesRetryAfterWithAnyResult) {
  for (const AttemptResult result :
       {AttemptResult::rejected, AttemptResult::reset, AttemptResult::timeout, AttemptResult::cancelled}) {
    for (const bool stale : {false, true}) {
      if (stale && result != AttemptResult::reset)
        continue;
      SCOPED_TRACE(static_cast<int>(result));
      SenderDriver driver;
      driver.updateEndpoints({makeEndpoint("e", 7)});
      ASSERT_EQ(1u, driver.submit("m", "safe", 7).size());
      driver.advanceTo(100 * kMs);
      AttemptOutcome outcome = driver.makeOutcome("m", 0, result, 100 * kMs, 900 * kMs);
      outcome.stale_connection = stale;
      EXPECT_TRUE(driver.decide({outcome}).empty());
      EXPECT_TRUE(driver.advanceTo(200 * kMs).submit("n", "safe", 7).empty());
      Micros first = 0;
      for (Micros time = 250 * kMs; time < 15 * kS && first == 0; time += 50 * kMs)
        if (!driver.advanceTo(time).fireTimer().empty())
          first = time;
      EXPECT_GE(first, 1000 * kMs);  // 0 would mean that the message is never sent
    }
  }
}

}  // namespace
