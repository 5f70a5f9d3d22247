// 1 tags: the ordinary path, dual tags as in the paper, computed by hand.
#include <algorithm>

#include "sender_fixture.h"

using namespace grademux;
using Ids = std::vector<std::string>;

namespace {

// The paper's Table 3: M1 = 20, M2 = 40 a second, w1:w2 = 3:1, one server of 100 a second. Each 50 ms three
// starts go to c1 and two to c2.
TEST(FairQueue, FollowsTable3OfThePaper) {
  Settings s = makeSettings();
  s.max_in_flight = 1;
  s.weight_kind = WeightKind::nominal;
  s.classes = {makeClass("c1", Idempotency::idempotent, 50 * kMs),
               makeClass("c2", Idempotency::idempotent, 25 * kMs)};
  Rig r(s);
  r.list({makeEndpoint("e1", 1, "shared", 3000), makeEndpoint("e2", 2, "shared", 1000)});
  // Weights in the ratio 3:1, far above what the server does, so that no bound decides.
  std::vector<Event> all;
  for (int i = 0; i < 30; ++i) {
    all.push_back(r.arrival("a" + std::to_string(i), "c1", 1));
    all.push_back(r.arrival("b" + std::to_string(i), "c2", 2));
  }
  Ids order = r.run(all);
  for (int t = 1; order.size() < 25 && t < 100; ++t) {
    const std::string last = order.back();
    for (const auto& id : r.at(t * 10 * kMs).end(last, 0, AttemptResult::ok, 10 * kMs))
      order.push_back(id);
  }
  ASSERT_GE(order.size(), 25u);
  std::string who;
  for (int i = 0; i < 25; ++i)
    who += order[static_cast<std::size_t>(i)].substr(0, 1);
  EXPECT_EQ(who.substr(0, 5), "ababa");
  for (std::size_t from = 0; from < 25; from += 5) {
    const std::string five = who.substr(from, 5);
    EXPECT_EQ(std::count(five.begin(), five.end(), 'a'), 3) << who;
  }
}

TEST(FairQueue, ServesDueLocalTagBeforeSmallerGlobalTag) {
  Settings s = makeSettings();
  s.max_in_flight = 1;
  s.weight_kind = WeightKind::nominal;
  Rig r(s);
  r.list({makeEndpoint("e1", 1, "shared", 1000), makeEndpoint("e2", 2, "shared", 1)});
  EXPECT_EQ(r.run({r.arrival("x", "safe", 1), r.arrival("a1", "safe", 1), r.arrival("b1", "safe", 2)}),
            Ids{"x"});
  // a1 has local tag 2 s, global about 1 ms; b1 has a due local tag and a later global one.
  EXPECT_EQ(r.at(100 * kMs).end("x", 0, AttemptResult::ok), Ids{"b1"});
  EXPECT_EQ(r.at(200 * kMs).end("b1", 0, AttemptResult::ok), Ids{"a1"});
}

// Risk: after a told wait a destination takes all slots for as long as the others were served without it.
TEST(FairQueue, LimitsClaimOfDestinationThatCouldNotSend) {
  Settings s = makeSettings();
  s.max_in_flight = 1;
  s.weight_kind = WeightKind::nominal;
  Rig r(s);
  r.list({makeEndpoint("e1", 1, "shared", 1000), makeEndpoint("e2", 2, "shared", 1000)});
  r.arrive("a", "safe", 1);
  r.at(10 * kMs).end("a", 0, AttemptResult::rejected, 10 * kMs, 900 * kMs);
  std::vector<Event> all;
  for (int i = 0; i < 40; ++i)
    all.push_back(r.arrival("a" + std::to_string(i), "safe", 1));
  for (int i = 0; i < 120; ++i)
    all.push_back(r.arrival("b" + std::to_string(i), "safe", 2));
  Ids sent = r.at(20 * kMs).run(all);
  int first = 0, second = 0;
  for (Micros t = 40 * kMs; t <= 1700 * kMs; t += 20 * kMs) {
    ASSERT_EQ(sent.size(), 1u) << t;
    const bool of_first = sent[0][0] == 'a';
    if (t <= 910 * kMs) {
      EXPECT_FALSE(of_first) << t;  // told to wait
    } else if (t > 940 * kMs) {
      ++(of_first ? first : second);
    }
    sent = r.at(t).end(sent[0], sent[0] == "a" ? 1 : 0, AttemptResult::ok, 20 * kMs);
  }
  EXPECT_GE(first, 15);
  EXPECT_GE(second, 15);
}

TEST(Dispatcher, ChoosesEndpointWithFewestCallsInFlight) {
  Rig r;
  r.list({makeEndpoint("e1", 1), makeEndpoint("e2", 1)});
  r.arrive("m1", "safe", 1);
  r.arrive("m2", "safe", 1);
  EXPECT_NE(r.where["m1"], r.where["m2"]);
}

TEST(FairQueue, LimitsIdleCreditToSigmaStarts) {
  Settings s = makeSettings();
  s.max_in_flight = 1;
  s.weight_kind = WeightKind::nominal;
  Rig r(s);
  r.list({makeEndpoint("e1", 1, "shared", 100), makeEndpoint("e2", 2, "shared", 100)});
  r.arrive("old", "safe", 2);
  r.at(100 * kMs).end("old", 0, AttemptResult::ok);
  // Destination 1 is backlogged, 2 comes back from idleness with four messages: its lag of two starts lets
  // the second and third go before those of 1, not the fourth.
  r.at(5 * kS);
  std::vector<Event> all;
  for (int i = 0; i < 5; ++i)
    all.push_back(r.arrival("a" + std::to_string(i), "safe", 1));
  for (int i = 0; i < 4; ++i)
    all.push_back(r.arrival("b" + std::to_string(i), "safe", 2));
  Ids order = r.run(all);
  for (int i = 0; order.size() < 6 && i < 20; ++i)
    for (const auto& id : r.at(5 * kS + (i + 1) * 20 * kMs).end(order.back(), 0, AttemptResult::ok, 20 * kMs))
      order.push_back(id);
  std::string who;
  for (const auto& id : order)
    who += id[0];
  EXPECT_EQ(who.substr(0, 2), "ab");  // the due local tags
  EXPECT_EQ(who.substr(2, 2), "bb");  // the credit
  EXPECT_NE(who.substr(4, 2), "bb");
}

// Tag adjustment: global tags of a backlog that ran ahead of real time move back so that the smallest is now;
// else a newly active destination would starve the backlogged one until its tags had caught up.
TEST(FairQueue, ShiftsGlobalTagsOnArrivalSoThatSmallestIsNow) {
  Settings s = makeSettings();
  s.max_in_flight = 1;
  Rig r(s);
  r.list({makeEndpoint("e1", 1), makeEndpoint("e2", 2)});
  std::vector<Event> all;
  for (int i = 0; i < 30; ++i)
    all.push_back(r.arrival("a" + std::to_string(i), "safe", 1));
  Ids order = r.run(all);
  for (int i = 1; i <= 10; ++i)
    order = r.at(i * 10 * kMs).end(order.at(0), 0, AttemptResult::ok, 10 * kMs);
  all.clear();
  for (int i = 0; i < 5; ++i)
    all.push_back(r.arrival("b" + std::to_string(i), "safe", 2));
  EXPECT_TRUE(r.run(all).empty());
  std::string who;
  for (int i = 11; i <= 16; ++i) {
    order = r.at(i * 10 * kMs).end(order.at(0), 0, AttemptResult::ok, 10 * kMs);
    who += order.at(0)[0];
  }
  EXPECT_GE(std::count(who.begin(), who.end(), 'a'), 2) << who;
  EXPECT_GE(std::count(who.begin(), who.end(), 'b'), 3) << who;
}

}  // namespace
