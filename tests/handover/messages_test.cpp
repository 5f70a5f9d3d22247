// What two processes of one sender say to each other, and the steps of the one that goes: as tables.
#include "../../src/handover/messages.h"

#include <gtest/gtest.h>

#include "../../src/core/json_fields.h"
#include "../../src/handover/steps.h"

namespace grademux::handover {
namespace {

std::string again(const Message& m) {
  const std::string line = lineOf(m);
  EXPECT_EQ('\n', line.back());
  return lineOf(readMessage(line.substr(0, line.size() - 1)));
}

TEST(HandoverMessages, EachReadsBackAsItWas) {
  Outcome o;
  o.id = "m\"1";
  o.attempt = 3;
  o.result = Result::full;
  o.finished = true;
  o.wait = 500'000;
  o.rtt = 7;
  o.report = LimitReport{0.1, 25};
  o.stale = true;
  const std::vector<Message> all{
      Take{9}, Taken{}, CancelCall{{"m", 2}}, Refused{"not now"}, Given{true, {{"a", 0}, {"b", 4}}},
      Ended{o}};
  for (const Message& m : all)
    EXPECT_EQ(lineOf(m), again(m));
  const Message read = readMessage(lineOf(Ended{o}));
  const Outcome& back = std::get<Ended>(read).outcome;
  EXPECT_EQ(o.id, back.id);
  EXPECT_EQ(o.attempt, back.attempt);
  EXPECT_EQ(o.result, back.result);
  EXPECT_EQ(o.wait, back.wait);
  EXPECT_EQ(25, back.report->limit);
  EXPECT_TRUE(back.finished && back.stale);
}

TEST(HandoverMessages, WhatCantBeReadSaysSo) {
  for (const char* bad :
       {"", "[]", "{}", "{", "{\"take\":1}", "{\"take\":{}}", "{\"other\":{}}", "{\"given\":{\"out\":[]}}",
        "{\"given\":{\"standby\":false,\"out\":[[1,2]]}}", "{\"cancel\":{\"call\":[\"m\"]}}",
        "{\"ended\":{\"call\":[\"m\",0],\"result\":99,\"finished\":false,\"wait\":0,\"rtt\":1,\"stale\":"
        "false}}",
        "{\"take\":{\"version\":1},\"taken\":{}}"})
    EXPECT_THROW(readMessage(bad), BadInput) << bad;
}

TEST(HandoverSteps, EachEventInEachStep) {
  const auto at = [](Step step) {
    Steps s;
    if (step != Step::owns)
      s.asked();
    if (step == Step::given || step == Step::left)
      s.gave();
    if (step == Step::left)
      s.taken();
    EXPECT_EQ(step, s.step());
    return s;
  };
  for (const Step from : {Step::owns, Step::closing, Step::given, Step::left}) {
    Steps s = at(from);
    EXPECT_EQ(from == Step::owns, s.asked());
    s = at(from);
    EXPECT_EQ(from == Step::closing, s.gave());
    s = at(from);
    EXPECT_EQ(from == Step::given, s.taken());
    EXPECT_EQ(from == Step::owns || from == Step::closing, at(from).decides());
  }
  // The other dies. Before the folder was given nobody asks whether it changed.
  const auto must_not_ask = []() -> bool { throw std::runtime_error("asked"); };
  Steps owns = at(Step::owns), closing = at(Step::closing), left = at(Step::left);
  EXPECT_FALSE(owns.gone(must_not_ask));
  EXPECT_TRUE(closing.gone(must_not_ask));
  EXPECT_EQ(Step::owns, closing.step());
  EXPECT_FALSE(left.gone(must_not_ask));
  Steps unchanged = at(Step::given), changed = at(Step::given);
  EXPECT_TRUE(unchanged.gone([] { return true; }));
  EXPECT_EQ(Step::owns, unchanged.step());
  EXPECT_TRUE(changed.gone([] { return false; }));
  EXPECT_EQ(Step::left, changed.step());
}

}  // namespace
}  // namespace grademux::handover
