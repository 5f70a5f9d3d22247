// Admission control: rejections, and messages with little or no time before their deadline.
#include <algorithm>

#include "sender_fixture.h"

using namespace grademux;
using Ids = std::vector<std::string>;

namespace {

TEST(AdmissionControl, RejectsLowestPriorityNearMaxOpenMessages) {
  Settings settings = makeSettings();
  settings.max_in_flight = 1;
  settings.max_open_messages = 10;
  settings.classes[1].priority_weight = 4;
  SenderDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  for (int i = 0; i < 4; ++i)
    driver.submit("cheap" + std::to_string(i), "safe", 1);
  std::vector<std::string> rejected;
  for (int i = 0; i < 8; ++i) {
    driver.submit("dear" + std::to_string(i), "keyed", 1);
    for (const auto& rejection : driver.actionsOf<RejectMessage>())
      rejected.push_back(rejection.id);
  }
  ASSERT_GE(rejected.size(), 2u);
  for (std::size_t i = 0; i < 2; ++i)
    EXPECT_EQ(rejected[i].substr(0, 5), "cheap");
}

TEST(AdmissionControl, FailsExpiredMessageWithoutSending) {
  SenderDriver driver;
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  driver.advanceTo(kS);
  for (const Micros left : {-5 * kS, Micros{0}, 3 * kMs}) {
    MessageArrival arrival = driver.makeArrival("m" + std::to_string(left), "safe", 1);
    arrival.deadline = driver.now + left;
    EXPECT_TRUE(driver.decide({arrival}).empty());
    EXPECT_EQ(driver.actionsOf<FailMessage>().size() + driver.actionsOf<RejectMessage>().size(), 1u) << left;
  }
}

TEST(AdmissionControl, IgnoresWithdrawnMessageAndItsLateOutcome) {
  Settings settings = makeSettings();
  settings.max_in_flight = 1;
  SenderDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  driver.decide({driver.makeArrival("a", "safe", 1), driver.makeArrival("b", "safe", 1),
                 driver.makeArrival("c", "safe", 1)});
  driver.decide(
      {MessageWithdrawn{"a"}, MessageWithdrawn{"b"}, MessageWithdrawn{"b"}, MessageWithdrawn{"never seen"}});
  EXPECT_TRUE(driver.actions.empty() || driver.actionsOf<StartAttempt>().empty());
  AttemptOutcome late = driver.makeOutcome("a", 0, AttemptResult::timeout);
  late.already_finished = true;
  // After a stall all events arrive at once, some of them twice or for messages that ended long ago.
  EXPECT_EQ(driver.advanceTo(3 * kS).decide({late, late, MessageWithdrawn{"a"}, TimerFired{}, TimerFired{},
                                             driver.makeOutcome("b", 0, AttemptResult::ok)}),
            Ids{"c"});
  EXPECT_EQ(driver.actionsOf<FailMessage>().size() + driver.actionsOf<RejectMessage>().size(), 0u);
}

// Guards against late delivery by busy senders (scenario big-2 at site debrecen-kelet-later): they queued
// messages worth four seconds of their few calls, so that each was late. In a large fleet a sender rejects
// messages that would be late while all its calls are in use; one of two senders keeps them queued.
TEST(AdmissionControl, RejectsLateMessagesWhenAllCallsAreInUse) {
  auto rejected = [](int senders, bool is_busy) {
    Settings settings = makeSettings();
    settings.sender_count = senders;
    settings.lateness_penalty = LatenessPenalty::halving;
    settings.max_in_flight = 4;
    SenderDriver driver(settings);
    std::vector<Endpoint> endpoints;
    for (int destination = 0; destination < 50; ++destination)
      endpoints.push_back(makeEndpoint("e" + std::to_string(destination), destination));
    driver.updateEndpoints(endpoints);
    for (int i = 0; i < 8; ++i) {
      const std::string id = "w" + std::to_string(i);
      driver.advanceTo(driver.now + kS).submit(id, "safe", i);
      driver.advanceTo(driver.now + 500 * kMs).finishAttempt(id, 0, AttemptResult::ok, 500 * kMs);
    }
    std::vector<Event> arrivals;
    for (int i = 0; i < 40; ++i)
      if (is_busy || i < 4)
        arrivals.push_back(driver.makeArrival("m" + std::to_string(i), "safe", i));
    driver.decide(arrivals);
    return driver.actionsOf<RejectMessage>().size();
  };
  EXPECT_GE(rejected(200, true), 20u);  // 36 queued messages would take 4.5 s, the latency objective is 2 s
  EXPECT_LE(rejected(200, true), 34u);
  EXPECT_EQ(rejected(200, false), 0u);
  EXPECT_EQ(rejected(2, true), 0u);
}

}  // namespace
