// Fair queue: dual tags as in the paper "RePAIR", with expected orders computed by hand.
#include <algorithm>

#include "sender_fixture.h"

using namespace grademux;
using Ids = std::vector<std::string>;

namespace {

// The paper's Table 3: M1 = 20, M2 = 40 a second, w1:w2 = 3:1, one server with 100 a second. In each 50 ms
// three starts go to c1 and two to c2.
TEST(FairQueue, FollowsTable3OfThePaper) {
  Settings settings = makeSettings();
  settings.max_in_flight = 1;
  settings.weight_kind = WeightKind::nominal;
  settings.classes = {makeClass("c1", Idempotency::idempotent, 50 * kMs),
                      makeClass("c2", Idempotency::idempotent, 25 * kMs)};
  SenderDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1, "shared", 3000), makeEndpoint("e2", 2, "shared", 1000)});
  // Weights in the ratio 3:1, far above the server's rate, so that no rate limit affects the order.
  std::vector<Event> arrivals;
  for (int i = 0; i < 30; ++i) {
    arrivals.push_back(driver.makeArrival("a" + std::to_string(i), "c1", 1));
    arrivals.push_back(driver.makeArrival("b" + std::to_string(i), "c2", 2));
  }
  Ids order = driver.decide(arrivals);
  for (int tick = 1; order.size() < 25 && tick < 100; ++tick) {
    const std::string last = order.back();
    for (const auto& id :
         driver.advanceTo(tick * 10 * kMs).finishAttempt(last, 0, AttemptResult::ok, 10 * kMs))
      order.push_back(id);
  }
  ASSERT_GE(order.size(), 25u);
  std::string destinations_served;
  for (int i = 0; i < 25; ++i)
    destinations_served += order[static_cast<std::size_t>(i)].substr(0, 1);
  EXPECT_EQ(destinations_served.substr(0, 5), "ababa");
  for (std::size_t from = 0; from < 25; from += 5) {
    const std::string group = destinations_served.substr(from, 5);
    EXPECT_EQ(std::count(group.begin(), group.end(), 'a'), 3) << destinations_served;
  }
}

TEST(FairQueue, ServesDueLocalTagBeforeSmallerGlobalTag) {
  Settings settings = makeSettings();
  settings.max_in_flight = 1;
  settings.weight_kind = WeightKind::nominal;
  SenderDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1, "shared", 1000), makeEndpoint("e2", 2, "shared", 1)});
  EXPECT_EQ(driver.decide({driver.makeArrival("x", "safe", 1), driver.makeArrival("a1", "safe", 1),
                           driver.makeArrival("b1", "safe", 2)}),
            Ids{"x"});
  // a1 has local tag 2 s, global about 1 ms; b1 has a due local tag and a later global one.
  EXPECT_EQ(driver.advanceTo(100 * kMs).finishAttempt("x", 0, AttemptResult::ok), Ids{"b1"});
  EXPECT_EQ(driver.advanceTo(200 * kMs).finishAttempt("b1", 0, AttemptResult::ok), Ids{"a1"});
}

// Guards against a destination that, after a Retry-After, uses all calls for as long as the others were
// served without it.
TEST(FairQueue, LimitsClaimOfDestinationThatCouldNotSend) {
  Settings settings = makeSettings();
  settings.max_in_flight = 1;
  settings.weight_kind = WeightKind::nominal;
  SenderDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1, "shared", 1000), makeEndpoint("e2", 2, "shared", 1000)});
  driver.submit("a", "safe", 1);
  driver.advanceTo(10 * kMs).finishAttempt("a", 0, AttemptResult::rejected, 10 * kMs, 900 * kMs);
  std::vector<Event> arrivals;
  for (int i = 0; i < 40; ++i)
    arrivals.push_back(driver.makeArrival("a" + std::to_string(i), "safe", 1));
  for (int i = 0; i < 120; ++i)
    arrivals.push_back(driver.makeArrival("b" + std::to_string(i), "safe", 2));
  Ids started = driver.advanceTo(20 * kMs).decide(arrivals);
  int first = 0, second = 0;
  for (Micros time = 40 * kMs; time <= 1700 * kMs; time += 20 * kMs) {
    ASSERT_EQ(started.size(), 1u) << time;
    const bool is_first = started[0][0] == 'a';
    if (time <= 910 * kMs) {
      EXPECT_FALSE(is_first) << time;  // the Retry-After applies
    } else if (time > 940 * kMs) {
      ++(is_first ? first : second);
    }
    started = driver.advanceTo(time).finishAttempt(started[0], started[0] == "a" ? 1 : 0, AttemptResult::ok,
                                                   20 * kMs);
  }
  EXPECT_GE(first, 15);
  EXPECT_GE(second, 15);
}

TEST(Dispatcher, ChoosesEndpointWithFewestCallsInFlight) {
  SenderDriver driver;
  driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 1)});
  driver.submit("m1", "safe", 1);
  driver.submit("m2", "safe", 1);
  EXPECT_NE(driver.endpoint_of["m1"], driver.endpoint_of["m2"]);
}

TEST(FairQueue, LimitsIdleCreditToSigmaStarts) {
  Settings settings = makeSettings();
  settings.max_in_flight = 1;
  settings.weight_kind = WeightKind::nominal;
  SenderDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1, "shared", 100), makeEndpoint("e2", 2, "shared", 100)});
  driver.submit("old", "safe", 2);
  driver.advanceTo(100 * kMs).finishAttempt("old", 0, AttemptResult::ok);
  // Destination 1 has a backlog, destination 2 was idle and gets four messages. Its credit of two starts
  // sends the second and third message, but not the fourth, before those of destination 1.
  driver.advanceTo(5 * kS);
  std::vector<Event> arrivals;
  for (int i = 0; i < 5; ++i)
    arrivals.push_back(driver.makeArrival("a" + std::to_string(i), "safe", 1));
  for (int i = 0; i < 4; ++i)
    arrivals.push_back(driver.makeArrival("b" + std::to_string(i), "safe", 2));
  Ids order = driver.decide(arrivals);
  for (int i = 0; order.size() < 6 && i < 20; ++i)
    for (const auto& id : driver.advanceTo(5 * kS + (i + 1) * 20 * kMs)
                              .finishAttempt(order.back(), 0, AttemptResult::ok, 20 * kMs))
      order.push_back(id);
  std::string destinations_served;
  for (const auto& id : order)
    destinations_served += id[0];
  EXPECT_EQ(destinations_served.substr(0, 2), "ab");  // the due local tags
  EXPECT_EQ(destinations_served.substr(2, 2), "bb");  // the credit
  EXPECT_NE(destinations_served.substr(4, 2), "bb");
}

// Tag adjustment: the global tags of a backlog that are ahead of real time are shifted so that the smallest
// equals the current time. Otherwise a newly active destination would starve the backlogged one until its own
// tags had caught up.
TEST(FairQueue, ShiftsGlobalTagsOnArrivalSoThatSmallestIsNow) {
  Settings settings = makeSettings();
  settings.max_in_flight = 1;
  SenderDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 2)});
  std::vector<Event> arrivals;
  for (int i = 0; i < 30; ++i)
    arrivals.push_back(driver.makeArrival("a" + std::to_string(i), "safe", 1));
  Ids order = driver.decide(arrivals);
  for (int i = 1; i <= 10; ++i)
    order = driver.advanceTo(i * 10 * kMs).finishAttempt(order.at(0), 0, AttemptResult::ok, 10 * kMs);
  arrivals.clear();
  for (int i = 0; i < 5; ++i)
    arrivals.push_back(driver.makeArrival("b" + std::to_string(i), "safe", 2));
  EXPECT_TRUE(driver.decide(arrivals).empty());
  std::string destinations_served;
  for (int i = 11; i <= 16; ++i) {
    order = driver.advanceTo(i * 10 * kMs).finishAttempt(order.at(0), 0, AttemptResult::ok, 10 * kMs);
    destinations_served += order.at(0)[0];
  }
  EXPECT_GE(std::count(destinations_served.begin(), destinations_served.end(), 'a'), 2)
      << destinations_served;
  EXPECT_GE(std::count(destinations_served.begin(), destinations_served.end(), 'b'), 3)
      << destinations_served;
}

}  // namespace
