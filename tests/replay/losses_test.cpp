// Loss analysis: a message's time is divided among phases, and the phases add up to its total time.
#include "../../src/replay/losses.h"

#include <gtest/gtest.h>

#include <sstream>

#include "../../src/replay/stream_codec.h"

namespace grademux::replay {
namespace {

constexpr Micros kMs = 1000;

struct Record {
  Record() {
    MessageClass c;
    c.name = "c";
    c.latency_objective = 100 * kMs;
    c.deadline = 1100 * kMs;
    c.priority_weight = 10;
    c.late_weight_fraction = 0.5;
    settings.classes = {c};
    settings.slow_start_time = 300 * kMs;
    beginRun();
  }
  void beginRun() { text += headLine(settings, 1) + "\n"; }
  void iteration(Micros ms, std::vector<Event> events, std::vector<Action> actions = {}) {
    text += iterationLine(ms * kMs, events, actions) + "\n";
  }
  static MessageArrival arrival(const std::string& id, Micros handed_in_ms, std::int64_t destination = 7) {
    MessageArrival a;
    a.id = id;
    a.message_class = "c";
    a.destination = destination;
    a.deadline = (handed_in_ms + 1100) * kMs;
    return a;
  }
  static AttemptOutcome outcome(const std::string& id, int attempt, AttemptResult r) {
    AttemptOutcome o;
    o.id = id;
    o.attempt = attempt;
    o.result = r;
    o.already_finished = r == AttemptResult::ok;
    return o;
  }
  Losses read() const {
    std::istringstream in(text);
    return analyzeLosses(in);
  }
  Settings settings;
  std::string text;
};

Micros phaseMs(const Loss& loss, Phase phase) {
  return loss.phase_times[static_cast<std::size_t>(phase)] / kMs;
}

TEST(Losses, DividesTimeOfLateMessageAmongPhases) {
  Record r;
  r.iteration(1010, {Record::arrival("m", 1000)});
  r.iteration(1050, {}, {StartAttempt{"m", "e", 0}});
  r.iteration(1130, {Record::outcome("m", 0, AttemptResult::timeout)});
  r.iteration(1400, {}, {StartAttempt{"m", "e", 0}});
  r.iteration(1600, {Record::outcome("m", 1, AttemptResult::ok)});
  const Losses l = r.read();
  EXPECT_EQ(l.unreadable, "");
  ASSERT_EQ(l.by_cause.size(), 1u);
  const Loss& x = l.by_cause.at("late: held for another call");
  EXPECT_EQ(phaseMs(x, Phase::before_decision), 10);
  EXPECT_EQ(phaseMs(x, Phase::before_first_attempt), 40);
  EXPECT_EQ(phaseMs(x, Phase::failed_attempt), 80);
  EXPECT_EQ(phaseMs(x, Phase::before_retry), 270);
  EXPECT_EQ(phaseMs(x, Phase::delivering_attempt), 200);
  EXPECT_NEAR(x.lost_weight, 10 * 0.5 * 500 / 1000,
              1e-9);  // 500 ms past the latency objective, of the 1000 ms until the deadline
  EXPECT_EQ(l.results.at("timeout"), 1u);
  EXPECT_EQ(l.by_destination.at(7).messages, 1u);
}

TEST(Losses, CountsNoLossForMessageOnTime) {
  Record r;
  r.iteration(1000, {Record::arrival("m", 1000)}, {StartAttempt{"m", "e", 0}});
  r.iteration(1100, {Record::outcome("m", 0, AttemptResult::ok)});
  const Losses l = r.read();
  EXPECT_EQ(l.on_time, 1u);
  EXPECT_EQ(l.lost_weight, 0);
  EXPECT_TRUE(l.by_cause.empty());
}

TEST(Losses, CountsFullWeightForUndeliveredMessages) {
  Record r;
  r.iteration(1000, {Record::arrival("door", 1000)}, {RejectMessage{"door", 0}});
  r.iteration(1010,
              {Record::arrival("back", 1000), Record::arrival("up", 1000), Record::arrival("open", 1000)});
  r.iteration(1200, {}, {RejectMessage{"back", 0}, FailMessage{"up"}});
  r.iteration(1400, {});
  const Losses l = r.read();
  for (const char* cause : {"refused at once", "handed back", "given up", "unfinished"}) {
    ASSERT_TRUE(l.by_cause.count(cause)) << cause;
    EXPECT_EQ(l.by_cause.at(cause).messages, 1u);
  }
  EXPECT_EQ(l.by_cause.at("given up").lost_weight, 10);
  EXPECT_NEAR(l.by_cause.at("unfinished").lost_weight, 1.5, 1e-9);
}

TEST(Losses, AssignsRestartTimeToMissingProcessAndFailsItsAttempts) {
  Record r;
  r.iteration(1000, {Record::arrival("m", 1000)}, {StartAttempt{"m", "e", 0}});
  r.iteration(1050, {}, {DestinationHealth{"", 7, true, 1050 * kMs}});
  r.beginRun();
  RecoveredMessage again;
  again.message = Record::arrival("m", 1000);
  again.attempts = {{"e", 1000 * kMs, true}};
  r.iteration(1700, {again}, {StartAttempt{"m", "e", 0}});
  r.iteration(1720, {Record::outcome("m", 1, AttemptResult::ok)});
  const Losses l = r.read();
  const Loss& x = l.by_cause.at("late: the process was away");
  EXPECT_EQ(phaseMs(x, Phase::failed_attempt), 50);
  EXPECT_EQ(phaseMs(x, Phase::no_process), 650);
  EXPECT_EQ(phaseMs(x, Phase::delivering_attempt), 20);
  EXPECT_EQ(x.unhealthy, 1u);
  EXPECT_EQ(x.recently_started, 1u);
  EXPECT_EQ(l.messages, 1u);
  EXPECT_EQ(l.runs, 2u);
}

TEST(Losses, ReportsUnreadableLines) {
  std::istringstream none(""), garbled("{\"now\":1,\"events\":[],\"actions\":[]}\n");
  EXPECT_NE(analyzeLosses(none).unreadable, "");
  EXPECT_EQ(analyzeLosses(garbled).unreadable, "line 1: a head is expected first");
  Record r;
  r.iteration(1000, {Record::arrival("m", 1000)});
  r.text += "{\"now\":1,\"eve";  // truncated by a kill
  EXPECT_EQ(r.read().unreadable, "");
}

}  // namespace
}  // namespace grademux::replay
