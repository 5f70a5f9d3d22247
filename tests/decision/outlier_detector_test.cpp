// 3 health: sickness, the lane, connections that die idle.
#include <algorithm>

#include "sender_fixture.h"

using namespace grademux;

namespace {

// Incident i98b5a8: idle connections died unseen at every destination; each call on a reused one was lost,
// the next, on a fresh one, answered. After a few such signs idle connections are closed before a call.
TEST(ConnectionPolicy, ClosesIdleConnectionsOnceTheyGoStaleSilently) {
  Settings s = makeSettings();
  s.idle_connection_timeout = 60 * kS;
  Rig r(s);
  std::vector<Endpoint> all;
  for (int d = 1; d <= 6; ++d)
    all.push_back(makeEndpoint("e" + std::to_string(d), d));
  r.list(all);
  Micros t = 0;
  int n = 0;
  auto call = [&](int d, AttemptResult result, Micros rtt) {
    const std::string id = "m" + std::to_string(n++);
    r.at(t).arrive(id, "safe", d);
    r.at(t + rtt).wake();  // an overdue call is noticed while it is out
    r.at(t + rtt + 1).end(id, 0, result, rtt);
    t += rtt + 10 * kMs;
  };
  for (int i = 0; i < 10; ++i)
    for (int d = 1; d <= 6; ++d)
      call(d, AttemptResult::ok, 100 * kMs);
  EXPECT_TRUE(r.got<CloseIdleConnections>().empty());
  for (int d = 1; d <= 5; ++d) {
    t += kS;
    call(d, AttemptResult::timeout, 900 * kMs);  // lost on the reused connection
    std::vector<std::string> sent;
    while (sent.empty())
      sent = r.at(t += 50 * kMs).wake();
    r.at(t += 100 * kMs).end(sent[0], 1, AttemptResult::ok);  // its further try, on a fresh one
  }
  t = r.now + kS;
  EXPECT_EQ(r.at(t).arrive("last", "safe", 6).size(), 1u);
  ASSERT_EQ(r.got<CloseIdleConnections>().size(), 1u);
  EXPECT_EQ(r.got<CloseIdleConnections>()[0].endpoint, "e6");
}

// i0e42b8: the same among many senders, that see each endpoint too rarely for the signs to meet there: a call
// lost on one endpoint's reused connection and the next answered on another's fresh one is a sign as well.
TEST(ConnectionPolicy, CombinesStaleEvidencePerDestination) {
  Settings s = makeSettings();
  s.sender_count = 200;
  s.idle_connection_timeout = 60 * kS;
  s.max_attempts = 3;
  Rig r(s);
  std::vector<Endpoint> all;
  for (int d = 1; d <= 3; ++d)
    for (const char* e : {"a", "b"})
      all.push_back(makeEndpoint(e + std::to_string(d), d));
  r.list(all);
  int n = 0;
  auto call = [&](int d, AttemptResult result, Micros rtt) {
    const std::string id = "m" + std::to_string(n++);
    r.at(r.now + 10 * kMs).arrive(id, "safe", d);
    r.at(r.now + rtt).wake();
    r.end(id, 0, result, rtt);
    return id;
  };
  // Busy enough that connections are worth keeping.
  for (int i = 0; i < 200; ++i)
    for (int d = 1; d <= 3; ++d)
      call(d, AttemptResult::ok, 20 * kMs);
  for (int d = 1; d <= 2; ++d) {
    r.at(r.now + 2 * kS);
    const std::string lost = call(d, AttemptResult::timeout, 900 * kMs);
    const std::string first = r.where[lost];
    std::vector<std::string> sent;
    while (sent.empty())
      sent = r.at(r.now + 50 * kMs).wake();
    EXPECT_NE(r.where[lost], first);
    r.at(r.now + 50 * kMs).end(sent[0], 1, AttemptResult::ok, 50 * kMs);
  }
  r.at(r.now + 3 * kS).arrive("last", "safe", 3);
  EXPECT_EQ(r.got<CloseIdleConnections>().size(), 1u);
}

// rough-2 of budapest-kozpont, ie55d22: several destinations hang together; calls that were out when they
// fell sick held all slots. Those beyond the lane are called off, repeatable ones first, and the healthy get
// slots.
TEST(OutlierDetector, CancelsOverdueAttemptsWhenNoCallIsFree) {
  Settings s = makeSettings();
  s.max_in_flight = 4;
  s.cancel_allowed = true;
  Rig r(s);
  r.list({makeEndpoint("e1", 1), makeEndpoint("e2", 2), makeEndpoint("e3", 3)});
  for (int d = 1; d <= 3; ++d)
    for (int i = 0; i < 10; ++i) {
      const std::string id = "w" + std::to_string(d * 100 + i);
      r.at(r.now + 300 * kMs).arrive(id, "safe", d);
      r.at(r.now + 100 * kMs).end(id, 0, AttemptResult::ok);
    }
  r.at(r.now + kS)
      .run({r.arrival("p", "unsafe", 1), r.arrival("a", "safe", 1), r.arrival("b", "safe", 2),
            r.arrival("c", "safe", 2)});
  r.at(r.now + 700 * kMs).arrive("healthy", "safe", 3);
  const auto off = r.got<CancelAttempt>();
  ASSERT_EQ(off.size(), 2u);
  EXPECT_NE(off[0].id, "p");
  EXPECT_NE(off[1].id, "p");
  AttemptOutcome o = r.outcome(off[0].id, 0, AttemptResult::cancelled);
  EXPECT_EQ(r.at(r.now + 5 * kMs).run({o}), std::vector<std::string>{"healthy"});
}

// rough-2 of budapest-kozpont: nine destinations hung with one call each; none counted as sick, all slots
// went.
TEST(OutlierDetector, LimitsOutlierCallsAfterOneOverdueAttemptEach) {
  Settings s = makeSettings();
  s.max_in_flight = 4;
  Rig r(s);
  std::vector<Endpoint> all;
  for (int d = 1; d <= 6; ++d)
    all.push_back(makeEndpoint("e" + std::to_string(d), d));
  r.list(all);
  for (int d = 1; d <= 6; ++d) {
    const std::string id = "w" + std::to_string(d);
    r.at(r.now + 300 * kMs).arrive(id, "safe", d);
    r.at(r.now + 100 * kMs).end(id, 0, AttemptResult::ok);
  }
  r.at(r.now + kS).run({r.arrival("a", "safe", 1), r.arrival("b", "safe", 2)});
  r.at(r.now + 600 * kMs).wake();  // both overdue now: the lane of two is full
  EXPECT_TRUE(r.run({r.arrival("c", "safe", 1), r.arrival("d", "safe", 2)}).empty());
  EXPECT_EQ(r.run({r.arrival("x", "safe", 3), r.arrival("y", "safe", 4)}).size(), 2u);
}

// Risk: a wait is told by a head whose body breaks off, or lies unread as the call is called off, and is
// broken by the next message.
TEST(OutlierDetector, AppliesRetryAfterWithAnyResult) {
  for (const AttemptResult result :
       {AttemptResult::rejected, AttemptResult::reset, AttemptResult::timeout, AttemptResult::cancelled}) {
    for (const bool stale : {false, true}) {
      if (stale && result != AttemptResult::reset)
        continue;
      SCOPED_TRACE(static_cast<int>(result));
      Rig rig;
      rig.list({makeEndpoint("e", 7)});
      ASSERT_EQ(1u, rig.arrive("m", "safe", 7).size());
      rig.at(100 * kMs);
      AttemptOutcome told = rig.outcome("m", 0, result, 100 * kMs, 900 * kMs);
      told.stale_connection = stale;
      EXPECT_TRUE(rig.run({told}).empty());
      EXPECT_TRUE(rig.at(200 * kMs).arrive("n", "safe", 7).empty());
      Micros first = 0;
      for (Micros t = 250 * kMs; t < 15 * kS && first == 0; t += 50 * kMs)
        if (!rig.at(t).wake().empty())
          first = t;
      EXPECT_GE(first, 1000 * kMs);  // and it is sent at all
    }
  }
}

}  // namespace
