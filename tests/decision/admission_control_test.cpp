// 5 admission: what is refused, and messages with little or no time.
#include <algorithm>

#include "sender_fixture.h"

using namespace grademux;
using Ids = std::vector<std::string>;

namespace {

TEST(AdmissionControl, RejectsLowestPriorityNearMaxOpenMessages) {
  Settings s = makeSettings();
  s.max_in_flight = 1;
  s.max_open_messages = 10;
  s.classes[1].priority_weight = 4;
  Rig r(s);
  r.list({makeEndpoint("e1", 1)});
  for (int i = 0; i < 4; ++i)
    r.arrive("cheap" + std::to_string(i), "safe", 1);
  std::vector<std::string> refused;
  for (int i = 0; i < 8; ++i) {
    r.arrive("dear" + std::to_string(i), "keyed", 1);
    for (const auto& x : r.got<RejectMessage>())
      refused.push_back(x.id);
  }
  ASSERT_GE(refused.size(), 2u);
  for (std::size_t i = 0; i < 2; ++i)
    EXPECT_EQ(refused[i].substr(0, 5), "cheap");
}

TEST(AdmissionControl, FailsExpiredMessageWithoutSending) {
  Rig r;
  r.list({makeEndpoint("e1", 1)});
  r.at(kS);
  for (const Micros left : {-5 * kS, Micros{0}, 3 * kMs}) {
    MessageArrival a = r.arrival("m" + std::to_string(left), "safe", 1);
    a.deadline = r.now + left;
    EXPECT_TRUE(r.run({a}).empty());
    EXPECT_EQ(r.got<FailMessage>().size() + r.got<RejectMessage>().size(), 1u) << left;
  }
}

TEST(AdmissionControl, IgnoresWithdrawnMessageAndItsLateOutcome) {
  Settings s = makeSettings();
  s.max_in_flight = 1;
  Rig r(s);
  r.list({makeEndpoint("e1", 1)});
  r.run({r.arrival("a", "safe", 1), r.arrival("b", "safe", 1), r.arrival("c", "safe", 1)});
  r.run(
      {MessageWithdrawn{"a"}, MessageWithdrawn{"b"}, MessageWithdrawn{"b"}, MessageWithdrawn{"never seen"}});
  EXPECT_TRUE(r.acts.empty() || r.got<StartAttempt>().empty());
  AttemptOutcome late = r.outcome("a", 0, AttemptResult::timeout);
  late.already_finished = true;
  // After a stall all comes in one heap, also twice and for what is long ended.
  EXPECT_EQ(r.at(3 * kS).run({late, late, MessageWithdrawn{"a"}, TimerFired{}, TimerFired{},
                              r.outcome("b", 0, AttemptResult::ok)}),
            Ids{"c"});
  EXPECT_EQ(r.got<FailMessage>().size() + r.got<RejectMessage>().size(), 0u);
}

// debrecen-kelet-later big-2: busy senders held four seconds of messages for their few slots, and each was
// late. Of many senders one refuses what would come late while its slots are busy; of two it holds them.
TEST(AdmissionControl, RejectsLateMessagesWhenAllCallsAreInUse) {
  auto refused = [](int senders, bool busy) {
    Settings s = makeSettings();
    s.sender_count = senders;
    s.lateness_penalty = LatenessPenalty::halving;
    s.max_in_flight = 4;
    Rig r(s);
    std::vector<Endpoint> all;
    for (int d = 0; d < 50; ++d)
      all.push_back(makeEndpoint("e" + std::to_string(d), d));
    r.list(all);
    for (int i = 0; i < 8; ++i) {
      const std::string id = "w" + std::to_string(i);
      r.at(r.now + kS).arrive(id, "safe", i);
      r.at(r.now + 500 * kMs).end(id, 0, AttemptResult::ok, 500 * kMs);
    }
    std::vector<Event> heap;
    for (int i = 0; i < 40; ++i)
      if (busy || i < 4)
        heap.push_back(r.arrival("m" + std::to_string(i), "safe", i));
    r.run(heap);
    return r.got<RejectMessage>().size();
  };
  EXPECT_GE(refused(200, true), 20u);  // 36 waiting messages would take 4.5 s, the aim is 2 s
  EXPECT_LE(refused(200, true), 34u);
  EXPECT_EQ(refused(200, false), 0u);
  EXPECT_EQ(refused(2, true), 0u);
}

}  // namespace
