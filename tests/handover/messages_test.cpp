// What two processes of one sender say to each other, and the steps of the one that goes: as tables.
#include "../../src/handover/messages.h"

#include <gtest/gtest.h>

#include "../../src/core/json_fields.h"
#include "../../src/handover/handover_state.h"

namespace grademux::handover {
namespace {

std::string again(const Message& m) {
  const std::string line = serialize(m);
  EXPECT_EQ('\n', line.back());
  return serialize(parseMessage(line.substr(0, line.size() - 1)));
}

TEST(HandoverMessages, EachReadsBackAsItWas) {
  AttemptOutcome o;
  o.id = "m\"1";
  o.attempt = 3;
  o.result = AttemptResult::rejected;
  o.already_finished = true;
  o.retry_after = 500'000;
  o.round_trip = 7;
  o.limit_report = LimitReport{0.1, 25};
  o.stale_connection = true;
  const std::vector<Message> all{HandoverRequest{9},
                                 OwnershipAcquired{},
                                 CancelInherited{{"m", 2}},
                                 HandoverRejected{"not now"},
                                 OwnershipReleased{true, {{"a", 0}, {"b", 4}}},
                                 AttemptFinished{o}};
  for (const Message& m : all)
    EXPECT_EQ(serialize(m), again(m));
  const Message read = parseMessage(serialize(AttemptFinished{o}));
  const AttemptOutcome& back = std::get<AttemptFinished>(read).outcome;
  EXPECT_EQ(o.id, back.id);
  EXPECT_EQ(o.attempt, back.attempt);
  EXPECT_EQ(o.result, back.result);
  EXPECT_EQ(o.retry_after, back.retry_after);
  EXPECT_EQ(25, back.limit_report->rate_limit);
  EXPECT_TRUE(back.already_finished && back.stale_connection);
}

TEST(HandoverMessages, WhatCantBeReadSaysSo) {
  for (const char* bad :
       {"", "[]", "{}", "{", "{\"take\":1}", "{\"take\":{}}", "{\"other\":{}}", "{\"given\":{\"out\":[]}}",
        "{\"given\":{\"standby\":false,\"out\":[[1,2]]}}", "{\"cancel\":{\"call\":[\"m\"]}}",
        "{\"ended\":{\"call\":[\"m\",0],\"result\":99,\"finished\":false,\"wait\":0,\"rtt\":1,\"stale\":"
        "false}}",
        "{\"take\":{\"version\":1},\"taken\":{}}"})
    EXPECT_THROW(parseMessage(bad), BadInput) << bad;
}

TEST(HandoverSteps, EachEventInEachStep) {
  const auto at = [](HandoverStep step) {
    HandoverState s;
    if (step != HandoverStep::owning)
      s.onRequested();
    if (step == HandoverStep::released || step == HandoverStep::departed)
      s.onReleased();
    if (step == HandoverStep::departed)
      s.onAcquired();
    EXPECT_EQ(step, s.step());
    return s;
  };
  for (const HandoverStep from :
       {HandoverStep::owning, HandoverStep::closing, HandoverStep::released, HandoverStep::departed}) {
    HandoverState s = at(from);
    EXPECT_EQ(from == HandoverStep::owning, s.onRequested());
    s = at(from);
    EXPECT_EQ(from == HandoverStep::closing, s.onReleased());
    s = at(from);
    EXPECT_EQ(from == HandoverStep::released, s.onAcquired());
    EXPECT_EQ(from == HandoverStep::owning || from == HandoverStep::closing, at(from).mayDecide());
  }
  // The other dies. Before the folder was given nobody asks whether it changed.
  const auto must_not_ask = []() -> bool { throw std::runtime_error("asked"); };
  HandoverState owns = at(HandoverStep::owning), closing = at(HandoverStep::closing),
                left = at(HandoverStep::departed);
  EXPECT_FALSE(owns.onPeerClosed(must_not_ask));
  EXPECT_TRUE(closing.onPeerClosed(must_not_ask));
  EXPECT_EQ(HandoverStep::owning, closing.step());
  EXPECT_FALSE(left.onPeerClosed(must_not_ask));
  HandoverState unchanged = at(HandoverStep::released), changed = at(HandoverStep::released);
  EXPECT_TRUE(unchanged.onPeerClosed([] { return true; }));
  EXPECT_EQ(HandoverStep::owning, unchanged.step());
  EXPECT_TRUE(changed.onPeerClosed([] { return false; }));
  EXPECT_EQ(HandoverStep::departed, changed.step());
}

}  // namespace
}  // namespace grademux::handover
