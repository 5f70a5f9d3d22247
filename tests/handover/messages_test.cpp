// Handover messages on the wire, and the state machine of the process that is replaced.
#include "../../src/handover/messages.h"

#include <gtest/gtest.h>

#include "../../src/core/json_fields.h"
#include "../../src/handover/handover_state.h"

namespace grademux::handover {
namespace {

std::string roundTrip(const Message& message) {
  const std::string line = serialize(message);
  EXPECT_EQ('\n', line.back());
  return serialize(parseMessage(line.substr(0, line.size() - 1)));
}

TEST(HandoverMessages, RoundTripsEveryMessageUnchanged) {
  AttemptOutcome outcome;
  outcome.id = "m\"1";
  outcome.attempt = 3;
  outcome.result = AttemptResult::rejected;
  outcome.already_finished = true;
  outcome.retry_after = 500'000;
  outcome.round_trip = 7;
  outcome.limit_report = LimitReport{0.1, 25};
  outcome.stale_connection = true;
  const std::vector<Message> all{HandoverRequest{9},
                                 OwnershipAcquired{},
                                 CancelInherited{{"m", 2}},
                                 HandoverRejected{"not now"},
                                 OwnershipReleased{true, {{"a", 0}, {"b", 4}}},
                                 AttemptFinished{outcome}};
  for (const Message& message : all)
    EXPECT_EQ(serialize(message), roundTrip(message));
  const OwnershipReleased released{false, {{"a", 0}}, 7};
  EXPECT_EQ(7, std::get<OwnershipReleased>(parseMessage(serialize(released))).journal_epoch);
  const Message read = parseMessage(serialize(AttemptFinished{outcome}));
  const AttemptOutcome& parsed = std::get<AttemptFinished>(read).outcome;
  EXPECT_EQ(outcome.id, parsed.id);
  EXPECT_EQ(outcome.attempt, parsed.attempt);
  EXPECT_EQ(outcome.result, parsed.result);
  EXPECT_EQ(outcome.retry_after, parsed.retry_after);
  EXPECT_EQ(25, parsed.limit_report->rate_limit);
  EXPECT_TRUE(parsed.already_finished && parsed.stale_connection);
  EXPECT_FALSE(parsed.is_unverified);
  outcome.is_unverified = true;
  const Message unverified = parseMessage(serialize(AttemptFinished{outcome}));
  EXPECT_TRUE(std::get<AttemptFinished>(unverified).outcome.is_unverified);
}

// The expected lines are those that processes of earlier versions write.
TEST(HandoverMessages, KeepsWireNamesOfEarlierVersions) {
  AttemptOutcome outcome;
  outcome.id = "m";
  outcome.attempt = 2;
  outcome.result = AttemptResult::rejected;
  outcome.retry_after = 500'000;
  outcome.round_trip = 7;
  outcome.limit_report = LimitReport{0.5, 25};
  const int result = static_cast<int>(AttemptResult::rejected);
  EXPECT_EQ("{\"take\":{\"version\":1}}\n", serialize(HandoverRequest{}));
  EXPECT_EQ("{\"taken\":{}}\n", serialize(OwnershipAcquired{}));
  EXPECT_EQ("{\"cancel\":{\"call\":[\"m\",2]}}\n", serialize(CancelInherited{{"m", 2}}));
  EXPECT_EQ("{\"refused\":{\"why\":\"not now\"}}\n", serialize(HandoverRejected{"not now"}));
  EXPECT_EQ("{\"given\":{\"out\":[[\"a\",0]],\"standby\":true}}\n",
            serialize(OwnershipReleased{true, {{"a", 0}}}));
  EXPECT_EQ(
      "{\"ended\":{\"call\":[\"m\",2],\"finished\":false,\"report\":{\"left\":0.5,\"limit\":25.0},"
      "\"result\":" +
          std::to_string(result) + ",\"rtt\":7,\"stale\":false,\"wait\":500000}}\n",
      serialize(AttemptFinished{outcome}));
}

TEST(HandoverMessages, RejectsMalformedLines) {
  for (const char* bad :
       {"", "[]", "{}", "{", "{\"take\":1}", "{\"take\":{}}", "{\"other\":{}}", "{\"given\":{\"out\":[]}}",
        "{\"given\":{\"standby\":false,\"out\":[[1,2]]}}", "{\"cancel\":{\"call\":[\"m\"]}}",
        "{\"ended\":{\"call\":[\"m\",0],\"result\":99,\"finished\":false,\"wait\":0,\"rtt\":1,\"stale\":"
        "false}}",
        "{\"take\":{\"version\":1},\"taken\":{}}"})
    EXPECT_THROW(parseMessage(bad), BadInput) << bad;
}

TEST(HandoverState, FollowsTheTransitionTable) {
  const auto stateAt = [](HandoverStep step) {
    HandoverState state;
    if (step != HandoverStep::owning)
      state.onRequested();
    if (step == HandoverStep::released || step == HandoverStep::departed)
      state.onReleased();
    if (step == HandoverStep::departed)
      state.onAcquired();
    EXPECT_EQ(step, state.step());
    return state;
  };
  for (const HandoverStep from :
       {HandoverStep::owning, HandoverStep::closing, HandoverStep::released, HandoverStep::departed}) {
    HandoverState state = stateAt(from);
    EXPECT_EQ(from == HandoverStep::owning, state.onRequested());
    state = stateAt(from);
    EXPECT_EQ(from == HandoverStep::closing, state.onReleased());
    state = stateAt(from);
    EXPECT_EQ(from == HandoverStep::released, state.onAcquired());
    EXPECT_EQ(from == HandoverStep::owning || from == HandoverStep::closing, stateAt(from).ownsFolder());
  }
  // The other process dies. Before the folder is released, reacquire() must not be called.
  const auto must_not_reacquire = []() -> bool { throw std::runtime_error("reacquire() was called"); };
  HandoverState owning = stateAt(HandoverStep::owning), closing = stateAt(HandoverStep::closing),
                departed = stateAt(HandoverStep::departed);
  EXPECT_FALSE(owning.onPeerClosed(must_not_reacquire));
  EXPECT_TRUE(closing.onPeerClosed(must_not_reacquire));
  EXPECT_EQ(HandoverStep::owning, closing.step());
  EXPECT_FALSE(departed.onPeerClosed(must_not_reacquire));
  HandoverState unchanged = stateAt(HandoverStep::released), changed = stateAt(HandoverStep::released);
  EXPECT_TRUE(unchanged.onPeerClosed([] { return true; }));
  EXPECT_EQ(HandoverStep::owning, unchanged.step());
  EXPECT_TRUE(changed.onPeerClosed([] { return false; }));
  EXPECT_EQ(HandoverStep::departed, changed.step());
}

}  // namespace
}  // namespace grademux::handover
