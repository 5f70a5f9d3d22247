// A response that may be a late copy of an earlier one: what the decision module does while it is set aside,
// and what an outcome that rests on it allows.
#include <algorithm>

#include "ordered_driver.h"

using namespace grademux;
using Ids = std::vector<std::string>;

namespace {

AttemptOutcome makeUnverifiedRejection(SenderDriver& driver, const std::string& id) {
  AttemptOutcome outcome = driver.makeOutcome(id, 0, AttemptResult::rejected);
  outcome.is_unverified = true;
  return outcome;
}

// Whether a further attempt of the message starts within its deadline.
bool isRetried(SenderDriver& driver, const std::string& id) {
  return driver.fireTimersUntilStart(id, driver.now + 20 * kS) > 0;
}

// Guards against a rejection that was written for another message: a payment that is executing would be sent
// a second time, or returned to its client as one that never ran.
TEST(SetAsideResponse, UnverifiedRejectionCountsAsMayHaveRun) {
  for (const char* message_class : {"safe", "keyed", "unsafe"}) {
    SCOPED_TRACE(message_class);
    const bool is_unsafe = std::string(message_class) == "unsafe";
    SenderDriver driver;
    driver.updateEndpoints({makeEndpoint("e", 7)});
    ASSERT_EQ(Ids{"m"}, driver.submit("m", message_class, 7));
    driver.advanceTo(100 * kMs).decide({makeUnverifiedRejection(driver, "m")});
    EXPECT_EQ(is_unsafe ? 1u : 0u, driver.actionsOf<FailMessage>().size());
    EXPECT_TRUE(driver.actionsOf<RejectMessage>().empty());
    EXPECT_EQ(!is_unsafe, isRetried(driver, "m"));
  }
}

// A key is remembered for a time: what may have run is not sent again after it.
TEST(SetAsideResponse, UnverifiedRejectionOfKeyedMessageIsNotRetriedAfterItsWindow) {
  Settings settings = makeSettings();
  for (MessageClass& message_class : settings.classes)
    message_class.idempotency_scope = IdempotencyScope::zone;
  SenderDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e", 7)});
  ASSERT_EQ(Ids{"m"}, driver.submit("m", "keyed", 7));
  driver.advanceTo(5 * kS + 100 * kMs).decide({makeUnverifiedRejection(driver, "m")});
  EXPECT_EQ(1u, driver.actionsOf<FailMessage>().size());
  EXPECT_FALSE(isRetried(driver, "m"));
}

// The next message of the key may only follow what can't be executing any more.
TEST(SetAsideResponse, UnverifiedRejectionBlocksTheOrderingKey) {
  for (const bool is_unverified : {true, false}) {
    OrderedDriver driver;
    ASSERT_EQ(Ids{"m"}, driver.submit("m", "unsafe", 1, "key"));
    AttemptOutcome outcome = makeUnverifiedRejection(driver, "m");
    outcome.is_unverified = is_unverified;
    driver.decide({outcome});
    EXPECT_EQ(is_unverified, !driver.actionsOf<OrderingKeyBlocked>().empty());
  }
}

// Guards against calls while a Retry-After runs whose response was set aside (review/REPORT-2.md: a call 245
// ms into a wait of 400 ms). The wait counts once, not again with the outcome.
TEST(SetAsideResponse, RetryAfterCountsBeforeTheOutcome) {
  SenderDriver driver;
  driver.updateEndpoints({makeEndpoint("e", 7)});
  ASSERT_EQ(Ids{"m"}, driver.submit("m", "safe", 7));
  driver.advanceTo(100 * kMs).decide({ResponseSetAside{"m", 0, 900 * kMs}});
  EXPECT_TRUE(driver.submit("n", "safe", 7).empty());
  EXPECT_TRUE(driver.advanceTo(990 * kMs).fireTimer().empty());
  driver.advanceTo(995 * kMs).decide({driver.makeOutcome("m", 0, AttemptResult::ok)});
  const Micros resumed_at = driver.fireTimersUntilStart("n", 20 * kS);
  EXPECT_GE(resumed_at, 1000 * kMs);
  EXPECT_LT(resumed_at, 1900 * kMs);
}

TEST(SetAsideResponse, OfAnUnknownOrFinishedAttemptIsIgnored) {
  SenderDriver driver;
  driver.updateEndpoints({makeEndpoint("e", 7)});
  ASSERT_EQ(Ids{"m"}, driver.submit("m", "safe", 7));
  driver.advanceTo(100 * kMs).finishAttempt("m", 0, AttemptResult::ok);
  driver.decide(
      {ResponseSetAside{"m", 0, kS}, ResponseSetAside{"unknown", 0, kS}, ResponseSetAside{"m", 5, kS}});
  EXPECT_EQ(Ids{"n"}, driver.submit("n", "safe", 7));
}

// Guards against cancelling an attempt that an endpoint has answered (review/8), and against an endpoint that
// counts as stalled because its answer came early.
TEST(SetAsideResponse, AttemptWithResponseSetAsideIsNotCancelledAsOverdue) {
  for (const bool has_response : {true, false}) {
    Settings settings = makeSettings();
    settings.max_in_flight = 4;
    settings.cancel_allowed = true;
    SenderDriver driver(settings);
    driver.updateEndpoints({makeEndpoint("e1", 1), makeEndpoint("e2", 2), makeEndpoint("e3", 3)});
    for (int i = 0; i < 10; ++i) {
      const std::string id = "w" + std::to_string(i);
      driver.advanceTo(driver.now + 300 * kMs).submit(id, "safe", 1 + i % 3);
      driver.advanceTo(driver.now + 100 * kMs).finishAttempt(id, 0, AttemptResult::ok);
    }
    driver.advanceTo(driver.now + kS)
        .decide({driver.makeArrival("answered", "safe", 1), driver.makeArrival("a", "unsafe", 2),
                 driver.makeArrival("b", "unsafe", 2), driver.makeArrival("c", "unsafe", 2)});
    driver.advanceTo(driver.now + 10 * kMs);
    if (has_response)
      driver.decide({ResponseSetAside{"answered", 0, 0}});
    driver.advanceTo(driver.now + 700 * kMs).submit("healthy", "safe", 3);
    const auto cancelled = driver.actionsOf<CancelAttempt>();
    const bool is_cancelled =
        std::any_of(cancelled.begin(), cancelled.end(),
                    [](const CancelAttempt& cancel) { return cancel.id == "answered"; });
    EXPECT_EQ(!has_response, is_cancelled);
    EXPECT_FALSE(cancelled.empty());
  }
}

}  // namespace
