// Blocks of ordering keys that outlast a process.
#include "ordered_driver.h"

namespace grademux {
namespace {

RecoveredMessage recovered(SenderDriver& driver, const std::string& id, std::vector<PastAttempt> attempts) {
  RecoveredMessage message;
  message.message = driver.makeArrival(id, "unsafe", 1, "key");
  message.attempts = std::move(attempts);
  return message;
}

// Guards against a block that is known to this process alone.
TEST(OrderingKeyBlocks, ResetIsExportedAndRestored) {
  OrderedDriver first;
  first.submit("a", "unsafe", 1, "key");
  first.finishAttempt("a", 0, AttemptResult::reset);
  const auto exported = first.actionsOf<OrderingKeyBlocked>();
  ASSERT_EQ(1u, exported.size());
  EXPECT_EQ("key", exported[0].ordering_key);
  EXPECT_EQ(first.now + kPause, exported[0].until);
  EXPECT_EQ("", exported[0].finished_message);

  OrderedDriver second;
  second.decide({exported[0], recovered(second, "b", {})});
  EXPECT_EQ(exported[0].until, second.fireTimersUntilStart("b", 60 * kS));
}

// Guards against a call that was out when the process was killed, and that no pause follows.
TEST(OrderingKeyBlocks, LostOutcomeBlocksFromTheRecovery) {
  OrderedDriver driver;
  driver.decide({recovered(driver, "a", {{"e1", 0, true, false, true}}), recovered(driver, "b", {})});
  ASSERT_EQ(1u, driver.actionsOf<FailMessage>().size());
  const Micros recovered_at = driver.now;
  EXPECT_EQ(recovered_at + kPause, driver.fireTimersUntilStart("b", 60 * kS));
}

// Guards against a pause after outcomes that are known: they rest no key.
TEST(OrderingKeyBlocks, KnownOutcomeBlocksNothing) {
  OrderedDriver driver;
  const auto started =
      driver.decide({recovered(driver, "a", {{"e1", 0, true, false, false}}), recovered(driver, "b", {})});
  EXPECT_EQ(std::vector<std::string>{"b"}, started);
}

// Guards against a finished message whose attempt is in flight in another process: nobody waits for its end.
TEST(OrderingKeyBlocks, FinishedMessageBlocksUntilItsInheritedAttemptEnds) {
  OrderedDriver first;
  first.submit("a", "safe", 1, "key");
  first.advanceTo(first.now + 20 * kS).fireTimer();  // the deadline
  const auto exported = first.actionsOf<OrderingKeyBlocked>();
  ASSERT_EQ(1u, exported.size());
  EXPECT_EQ("a", exported[0].finished_message);

  OrderedDriver second;
  OrderingKeyBlocked block = exported[0];
  block.attempts_in_flight = 1;
  second.decide({block, recovered(second, "b", {})});
  EXPECT_EQ(0, second.fireTimersUntilStart("b", 10 * kS));
  second.finishAttempt("a", 0, AttemptResult::timeout);
  const Micros ended_at = second.now;
  EXPECT_EQ(ended_at + kPause, second.fireTimersUntilStart("b", 60 * kS));

  OrderedDriver third;  // after a kill nobody reports the outcome
  third.decide({exported[0], recovered(third, "b", {})});
  const Micros recovered_at = third.now;
  EXPECT_EQ(recovered_at + kPause, third.fireTimersUntilStart("b", 60 * kS));
}

// Guards against an attempt in flight in the earlier process whose endpoint is no longer listed: its end was
// ignored.
TEST(OrderingKeyBlocks, InheritedAttemptAtAnUnlistedEndpointBlocksUntilItEnds) {
  OrderedDriver driver;
  driver.decide({recovered(driver, "a", {{"gone", 0, true, true, false}}), recovered(driver, "b", {})});
  EXPECT_EQ(0, driver.fireTimersUntilStart("b", 5 * kS));
  driver.finishAttempt("a", 0, AttemptResult::reset);
  const Micros ended_at = driver.now;
  EXPECT_EQ(ended_at + kPause, driver.fireTimersUntilStart("b", 60 * kS));
}

}  // namespace
}  // namespace grademux
