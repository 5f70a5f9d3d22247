// What is listed no more: remembered as long as anything needs it, then freed.
#include "sender_fixture.h"
#include "streams.h"

#ifdef __GLIBC__
#include <malloc.h>
#endif

using namespace grademux;

namespace {

constexpr Micros kKept = 3 * 10 * kS;  // 3 times RampTimeMs of makeSettings()

Endpoint withState(Endpoint endpoint, EndpointState state) {
  endpoint.state = state;
  return endpoint;
}
Endpoint gone(const std::string& id, std::int64_t dest) {
  return withState(makeEndpoint(id, dest), EndpointState::gone);
}

// Every call fails to connect until the module gives out that the destination is down.
bool fellDown(SenderDriver& driver) {
  std::map<std::string, int> attempts;
  std::vector<std::string> sent = driver.submit("x0", "safe", 1);
  for (int i = 1; i < 200; ++i) {
    std::vector<Event> ends;
    for (const std::string& id : sent)
      ends.push_back(driver.makeOutcome(id, attempts[id]++, AttemptResult::connect_failed));
    ends.push_back(driver.makeArrival("x" + std::to_string(i), "safe", 1));
    sent = driver.advanceTo(driver.now + 100 * kMs).decide(ends);
    for (const DestinationHealth& a : driver.actionsOf<DestinationHealth>()) {
      if (!a.down)
        continue;
      for (const std::string& id : sent)
        driver.finishAttempt(id, attempts[id]++, AttemptResult::connect_failed);
      return true;
    }
  }
  return false;
}

// Risk: an id that comes back soon is met as if it were new, in full, while it is cold.
TEST(StateRetention, KeepsHealthOfEndpointThatReturnsInTime) {
  for (const bool soon : {true, false}) {
    SenderDriver driver;
    driver.advanceTo(kS).updateEndpoints({makeEndpoint("e1", 1)});
    ASSERT_TRUE(fellDown(driver));
    driver.updateEndpoints({gone("e1", 1)}, EndpointListKind::delta);
    if (soon)
      driver.advanceTo(driver.now + 25 * kS).fireTimer();  // the messages are over by then
    for (int i = 0; i < 4 && !soon; ++i)
      driver.advanceTo(driver.now + kKept).fireTimer();
    driver.updateEndpoints({makeEndpoint("e1", 1)}, EndpointListKind::delta);
    const std::size_t sent = driver.submit("a", "safe", 1).size() + driver.submit("b", "safe", 1).size();
    if (soon)
      EXPECT_LT(sent, 2u) << "a destination that was down is tried by one call at first";
    else
      EXPECT_EQ(sent, 2u);
  }
}

// Risk: the outcome of a call at what is gone meets freed state.
TEST(StateRetention, AcceptsOutcomeFromRemovedEndpoint) {
  SenderDriver driver;
  driver.advanceTo(kS).updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 1)});
  MessageArrival a = driver.makeArrival("m", "keyed", 1);
  a.deadline = driver.now + 40 * kKept;
  ASSERT_EQ(driver.decide({a}).size(), 1u);
  const std::string first = driver.endpoint_of["m"];
  driver.updateEndpoints({gone(first, 1)}, EndpointListKind::delta);
  for (int i = 0; i < 6; ++i)
    driver.advanceTo(driver.now + kKept).fireTimer();
  driver.finishAttempt("m", 0, AttemptResult::ok);
  driver.advanceTo(driver.now + 3 * kKept).fireTimer();
  EXPECT_TRUE(driver.submit("n", "safe", 1) == std::vector<std::string>{"n"});
  EXPECT_NE(driver.endpoint_of["n"], first);
}

// Risk: while one message holds on to an endpoint that is gone, the zone rule forgets where it ran.
TEST(StateRetention, KeepsRemovedEndpointOfOpenMessage) {
  Settings settings = makeSettings();
  settings.classes[1].idempotency_scope = IdempotencyScope::zone;
  settings.classes[1].deadline = settings.classes[1].idempotency_window = 1000 * kS;
  SenderDriver driver(settings);
  driver.advanceTo(kS).updateEndpoints({makeEndpoint("e1", 1, "shared", 0, "a")});
  ASSERT_EQ(driver.submit("m", "keyed", 1).size(), 1u);
  driver.updateEndpoints({gone("e1", 1)}, EndpointListKind::delta);
  driver.finishAttempt("m", 0, AttemptResult::reset);
  for (int i = 0; i < 5; ++i)
    driver.advanceTo(driver.now + kKept).fireTimer();
  driver.updateEndpoints({makeEndpoint("e2", 1, "shared", 0, "b")}, EndpointListKind::delta);
  driver.advanceTo(driver.now + 60 * kS).fireTimer();
  EXPECT_EQ(driver.endpoint_of["m"], "e1") << "a repeat in another zone would run twice";
}

// Risk: a destination comes back under a new id within a wait that it told.
TEST(StateRetention, KeepsRetryAfterOfRemovedEndpoint) {
  SenderDriver driver;
  driver.advanceTo(kS).updateEndpoints({makeEndpoint("e1", 1)});
  driver.submit("a", "safe", 1);
  driver.finishAttempt("a", 0, AttemptResult::rejected, 10 * kMs, 5 * kKept);
  driver.updateEndpoints({gone("e1", 1)}, EndpointListKind::delta);
  driver.advanceTo(driver.now + 2 * kKept).fireTimer();
  driver.advanceTo(driver.now + 2 * kKept).updateEndpoints({makeEndpoint("e9", 1)}, EndpointListKind::delta);
  EXPECT_TRUE(driver.submit("b", "safe", 1).empty());
  driver.advanceTo(kS + 6 * kKept).fireTimer();
  EXPECT_EQ(driver.submit("c", "safe", 1).size(), 1u);
}

// Risk: a drain is forgotten with the id, and what returns as draining is sent to.
TEST(StateRetention, SendsNothingToEndpointThatReturnsDraining) {
  SenderDriver driver;
  driver.advanceTo(kS).updateEndpoints({makeEndpoint("e1", 1)});
  driver.updateEndpoints({withState(makeEndpoint("e1", 1), EndpointState::draining)},
                         EndpointListKind::delta);
  driver.advanceTo(2 * kS).updateEndpoints({gone("e1", 1)}, EndpointListKind::delta);
  driver.advanceTo(3 * kS).updateEndpoints({withState(makeEndpoint("e1", 1), EndpointState::draining)},
                                           EndpointListKind::delta);
  EXPECT_TRUE(driver.submit("a", "safe", 1).empty());
  driver.updateEndpoints({makeEndpoint("e1", 1)}, EndpointListKind::delta);
  EXPECT_EQ(driver.endpoint_of["a"], "e1");
}

// Risk: what was given to the host to keep stays there for ever.
TEST(StateRetention, WithdrawsExportedHealthWithDestination) {
  SenderDriver driver;
  driver.advanceTo(kS).updateEndpoints({makeEndpoint("e1", 1)});
  ASSERT_TRUE(fellDown(driver));
  driver.updateEndpoints({gone("e1", 1)}, EndpointListKind::delta);
  std::vector<DestinationHealth> last;
  for (int i = 0; i < 8; ++i) {
    driver.advanceTo(driver.now + kKept / 2).fireTimer();
    for (const DestinationHealth& a : driver.actionsOf<DestinationHealth>())
      last.push_back(a);
  }
  ASSERT_EQ(last.size(), 1u);
  EXPECT_FALSE(last[0].down);
  EXPECT_LT(last[0].warming_since, 0);
}

// 100,000 ids pass through a list of 1,000, each with a message and some with an order key of its own: what
// the allocator has given out stays flat over the second half.
TEST(StateRetention, KeepsMemoryConstantWithManyRemovedIds) {
#if defined(__GLIBC__) && !defined(__SANITIZE_ADDRESS__)
  Settings settings = makeSettings();
  for (MessageClass& c : settings.classes)
    c.ordered = true;
  settings.ordering_backoff = 500 * kMs;
  settings.max_in_flight = 64;
  settings.slow_start_time = kS;
  SenderDriver driver(settings);
  driver.advanceTo(kS);
  constexpr int kIds = 100'000, kListed = 1000, kStep = 50;
  std::vector<std::size_t> used;
  for (int i = 0; i < kIds; i += kStep) {
    std::vector<Endpoint> change;
    std::vector<Event> events;
    for (int k = i; k < i + kStep; ++k) {
      change.push_back(makeEndpoint("id-of-an-endpoint-" + std::to_string(k), k));
      if (k >= kListed)
        change.push_back(gone("id-of-an-endpoint-" + std::to_string(k - kListed), k - kListed));
      events.push_back(driver.makeArrival("m" + std::to_string(k), "safe", k, "order-" + std::to_string(k)));
    }
    driver.advanceTo(driver.now + 100 * kMs).updateEndpoints(std::move(change), EndpointListKind::delta);
    std::vector<Event> ends;
    for (const std::string& id : driver.decide(events))
      ends.push_back(
          driver.makeOutcome(id, 0, id.back() == '3' ? AttemptResult::reset : AttemptResult::ok, 10 * kMs));
    driver.decide(ends);
    driver.endpoint_of.clear();
    driver.timeout_of.clear();
    if (i % 10'000 == 0)
      used.push_back(mallinfo2().uordblks);
  }
  ASSERT_EQ(used.size(), 10u);
  const std::size_t half = used[5], last = used[9];
  std::cout << "bytes in use at half " << half << ", at the end " << last << '\n';
  EXPECT_LT(last, half + half / 20);
#else
  GTEST_SKIP() << "the sanitizer's allocator keeps what is freed";
#endif
}

}  // namespace
