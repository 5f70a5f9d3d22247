// State of removed endpoints and destinations: retained while a message, a Retry-After or a slow start needs
// it, then freed.
#include "sender_fixture.h"
#include "streams.h"

#ifdef __GLIBC__
#include <malloc.h>
#endif

using namespace grademux;

namespace {

constexpr Micros kRetentionTime = 3 * 10 * kS;  // 3 slow start times (RampTimeMs) of makeSettings()

Endpoint withState(Endpoint endpoint, EndpointState state) {
  endpoint.state = state;
  return endpoint;
}
Endpoint removedEndpoint(const std::string& id, std::int64_t destination) {
  return withState(makeEndpoint(id, destination), EndpointState::gone);
}

// Fails every attempt to connect until the module exports that the destination is down. Returns false if the
// module never does.
bool bringDown(SenderDriver& driver) {
  std::map<std::string, int> attempts;
  std::vector<std::string> started = driver.submit("x0", "safe", 1);
  for (int i = 1; i < 200; ++i) {
    std::vector<Event> outcomes;
    for (const std::string& id : started)
      outcomes.push_back(driver.makeOutcome(id, attempts[id]++, AttemptResult::connect_failed));
    outcomes.push_back(driver.makeArrival("x" + std::to_string(i), "safe", 1));
    started = driver.advanceTo(driver.now + 100 * kMs).decide(outcomes);
    for (const DestinationHealth& health : driver.actionsOf<DestinationHealth>()) {
      if (!health.down)
        continue;
      for (const std::string& id : started)
        driver.finishAttempt(id, attempts[id]++, AttemptResult::connect_failed);
      return true;
    }
  }
  return false;
}

// Guards against full rate to a cold endpoint whose id was removed and is listed again within the retention
// time.
TEST(StateRetention, KeepsHealthOfEndpointThatReturnsInTime) {
  for (const bool returns_in_time : {true, false}) {
    SenderDriver driver;
    driver.advanceTo(kS).updateEndpoints({makeEndpoint("e1", 1)});
    ASSERT_TRUE(bringDown(driver));
    driver.updateEndpoints({removedEndpoint("e1", 1)}, EndpointListKind::delta);
    if (returns_in_time)
      driver.advanceTo(driver.now + 25 * kS).fireTimer();  // all messages have finished by then
    for (int i = 0; i < 4 && !returns_in_time; ++i)
      driver.advanceTo(driver.now + kRetentionTime).fireTimer();
    driver.updateEndpoints({makeEndpoint("e1", 1)}, EndpointListKind::delta);
    const std::size_t started = driver.submit("a", "safe", 1).size() + driver.submit("b", "safe", 1).size();
    if (returns_in_time)
      EXPECT_LT(started, 2u) << "a destination that was down gets a single call at first";
    else
      EXPECT_EQ(started, 2u);
  }
}

// Guards against a use of freed state when an outcome arrives from a removed endpoint.
TEST(StateRetention, AcceptsOutcomeFromRemovedEndpoint) {
  SenderDriver driver;
  driver.advanceTo(kS).updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 1)});
  MessageArrival arrival = driver.makeArrival("m", "keyed", 1);
  arrival.deadline = driver.now + 40 * kRetentionTime;
  ASSERT_EQ(driver.decide({arrival}).size(), 1u);
  const std::string first = driver.endpoint_of["m"];
  driver.updateEndpoints({removedEndpoint(first, 1)}, EndpointListKind::delta);
  for (int i = 0; i < 6; ++i)
    driver.advanceTo(driver.now + kRetentionTime).fireTimer();
  driver.finishAttempt("m", 0, AttemptResult::ok);
  driver.advanceTo(driver.now + 3 * kRetentionTime).fireTimer();
  EXPECT_TRUE(driver.submit("n", "safe", 1) == std::vector<std::string>{"n"});
  EXPECT_NE(driver.endpoint_of["n"], first);
}

// Guards against a retry in another zone: the zone of a removed endpoint must be retained while an open
// message was attempted there.
TEST(StateRetention, KeepsRemovedEndpointOfOpenMessage) {
  Settings settings = makeSettings();
  settings.classes[1].idempotency_scope = IdempotencyScope::zone;
  settings.classes[1].deadline = settings.classes[1].idempotency_window = 1000 * kS;
  SenderDriver driver(settings);
  driver.advanceTo(kS).updateEndpoints({makeEndpoint("e1", 1, "shared", 0, "a")});
  ASSERT_EQ(driver.submit("m", "keyed", 1).size(), 1u);
  driver.updateEndpoints({removedEndpoint("e1", 1)}, EndpointListKind::delta);
  driver.finishAttempt("m", 0, AttemptResult::reset);
  for (int i = 0; i < 5; ++i)
    driver.advanceTo(driver.now + kRetentionTime).fireTimer();
  driver.updateEndpoints({makeEndpoint("e2", 1, "shared", 0, "b")}, EndpointListKind::delta);
  driver.advanceTo(driver.now + 60 * kS).fireTimer();
  EXPECT_EQ(driver.endpoint_of["m"], "e1") << "a retry in another zone would be executed twice";
}

// Guards against calls during a Retry-After to a destination that is listed again under a new endpoint id.
TEST(StateRetention, KeepsRetryAfterOfRemovedEndpoint) {
  SenderDriver driver;
  driver.advanceTo(kS).updateEndpoints({makeEndpoint("e1", 1)});
  driver.submit("a", "safe", 1);
  driver.finishAttempt("a", 0, AttemptResult::rejected, 10 * kMs, 5 * kRetentionTime);
  driver.updateEndpoints({removedEndpoint("e1", 1)}, EndpointListKind::delta);
  driver.advanceTo(driver.now + 2 * kRetentionTime).fireTimer();
  driver.advanceTo(driver.now + 2 * kRetentionTime)
      .updateEndpoints({makeEndpoint("e9", 1)}, EndpointListKind::delta);
  EXPECT_TRUE(driver.submit("b", "safe", 1).empty());
  driver.advanceTo(kS + 6 * kRetentionTime).fireTimer();
  EXPECT_EQ(driver.submit("c", "safe", 1).size(), 1u);
}

// Guards against attempts to an endpoint that is removed while draining and listed again as draining.
TEST(StateRetention, SendsNothingToEndpointThatReturnsDraining) {
  SenderDriver driver;
  driver.advanceTo(kS).updateEndpoints({makeEndpoint("e1", 1)});
  driver.updateEndpoints({withState(makeEndpoint("e1", 1), EndpointState::draining)},
                         EndpointListKind::delta);
  driver.advanceTo(2 * kS).updateEndpoints({removedEndpoint("e1", 1)}, EndpointListKind::delta);
  driver.advanceTo(3 * kS).updateEndpoints({withState(makeEndpoint("e1", 1), EndpointState::draining)},
                                           EndpointListKind::delta);
  EXPECT_TRUE(driver.submit("a", "safe", 1).empty());
  driver.updateEndpoints({makeEndpoint("e1", 1)}, EndpointListKind::delta);
  EXPECT_EQ(driver.endpoint_of["a"], "e1");
}

// Guards against exported health that remains stored forever after the destination is erased.
TEST(StateRetention, WithdrawsExportedHealthWithDestination) {
  SenderDriver driver;
  driver.advanceTo(kS).updateEndpoints({makeEndpoint("e1", 1)});
  ASSERT_TRUE(bringDown(driver));
  driver.updateEndpoints({removedEndpoint("e1", 1)}, EndpointListKind::delta);
  std::vector<DestinationHealth> withdrawn;
  for (int i = 0; i < 8; ++i) {
    driver.advanceTo(driver.now + kRetentionTime / 2).fireTimer();
    for (const DestinationHealth& health : driver.actionsOf<DestinationHealth>())
      withdrawn.push_back(health);
  }
  ASSERT_EQ(withdrawn.size(), 1u);
  EXPECT_FALSE(withdrawn[0].down);
  EXPECT_LT(withdrawn[0].warming_since, 0);
}

// Guards against a memory leak: 100,000 endpoint ids pass through a list of 1,000, each with a message and an
// ordering key of its own. The allocated memory must stay constant over the second half.
TEST(StateRetention, KeepsMemoryConstantWithManyRemovedIds) {
#if defined(__GLIBC__) && !defined(__SANITIZE_ADDRESS__)
  Settings settings = makeSettings();
  for (MessageClass& message_class : settings.classes)
    message_class.ordered = true;
  settings.ordering_backoff = 500 * kMs;
  settings.max_in_flight = 64;
  settings.slow_start_time = kS;
  SenderDriver driver(settings);
  driver.advanceTo(kS);
  constexpr int kIds = 100'000, kListed = 1000, kStep = 50;
  std::vector<std::size_t> bytes_in_use;
  for (int i = 0; i < kIds; i += kStep) {
    std::vector<Endpoint> endpoint_changes;
    std::vector<Event> events;
    for (int id = i; id < i + kStep; ++id) {
      endpoint_changes.push_back(makeEndpoint("id-of-an-endpoint-" + std::to_string(id), id));
      if (id >= kListed)
        endpoint_changes.push_back(
            removedEndpoint("id-of-an-endpoint-" + std::to_string(id - kListed), id - kListed));
      events.push_back(
          driver.makeArrival("m" + std::to_string(id), "safe", id, "order-" + std::to_string(id)));
    }
    driver.advanceTo(driver.now + 100 * kMs)
        .updateEndpoints(std::move(endpoint_changes), EndpointListKind::delta);
    std::vector<Event> outcomes;
    for (const std::string& id : driver.decide(events))
      outcomes.push_back(
          driver.makeOutcome(id, 0, id.back() == '3' ? AttemptResult::reset : AttemptResult::ok, 10 * kMs));
    driver.decide(outcomes);
    driver.endpoint_of.clear();
    driver.timeout_of.clear();
    if (i % 10'000 == 0)
      bytes_in_use.push_back(mallinfo2().uordblks);
  }
  ASSERT_EQ(bytes_in_use.size(), 10u);
  const std::size_t used_at_half = bytes_in_use[5], used_at_end = bytes_in_use[9];
  std::cout << "bytes in use at half " << used_at_half << ", at the end " << used_at_end << '\n';
  EXPECT_LT(used_at_end, used_at_half + used_at_half / 20);
#else
  GTEST_SKIP() << "the sanitizer's allocator retains freed memory";
#endif
}

}  // namespace
