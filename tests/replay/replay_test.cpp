// Recorded decisions: encoded values decode to the same values, and a replay finds the first action that
// differs.
#include "../../src/replay/replay.h"

#include <fstream>
#include <sstream>

#include "../../src/core/json_fields.h"
#include "../../src/replay/recorder.h"
#include "../decision/streams.h"
#include "../support/loopback.h"

namespace grademux {
namespace {

using replay::Report;

std::string recordStream(const char* shape, int iterations, std::uint64_t seed = 1) {
  StreamShape s = streamShape(shape);
  s.iterations = iterations;
  Stream stream(s, seed);
  std::string all = replay::headLine(stream.settings, seed) + "\n";
  stream.on_decision = [&](Micros now, const std::vector<Event>& e, const std::vector<Action>& a) {
    all += replay::iterationLine(now, e, a) + "\n";
  };
  stream.run();
  return all;
}
Report replayText(const std::string& text) {
  std::istringstream in(text);
  return replay::replay(in);
}
std::string joinLines(const std::vector<std::string>& lines) {
  std::string all;
  for (const std::string& l : lines)
    all += l + "\n";
  return all;
}
std::vector<std::string> splitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream in(text);
  for (std::string l; std::getline(in, l);)
    lines.push_back(l);
  return lines;
}

class RecordedStreams : public ::testing::TestWithParam<const char*> {};
// Guards against a field that is not written or a number that loses a digit: the replay would decide
// differently.
TEST_P(RecordedStreams, ReplayWithoutDifference) {
  const std::string text = recordStream(GetParam(), 1500, 5);
  const Report r = replayText(text);
  EXPECT_EQ(r.unreadable, "");
  EXPECT_FALSE(r.difference) << r.difference->recorded << " / " << r.difference->decided;
  EXPECT_EQ(r.iterations, 1500u);
  EXPECT_GT(r.actions, 500u);
}
INSTANTIATE_TEST_SUITE_P(Streams, RecordedStreams,
                         ::testing::Values("calm", "outage", "overload", "churn", "ordered", "limits",
                                           "waits", "many"),
                         [](const auto& p) { return std::string(p.param); });

TEST(Replay, DecodesEveryKindAsEncoded) {
  AttemptOutcome o;
  o.id = "\"\\\n";
  o.attempt = 3;
  o.result = AttemptResult::not_sent;
  o.already_finished = true;
  o.retry_after = INT64_MAX / 4;
  o.round_trip = -1;
  o.limit_report = LimitReport{0.1 + 0.2, 1e-300};
  o.stale_connection = true;
  MessageArrival a{"m", "c", "t", "k", INT64_MIN, 5, 6, true};
  EndpointListUpdate l{EndpointListKind::failed, {{"e", "z", "k", 7, EndpointState::draining, 1.0 / 3}}};
  const std::vector<Event> events{
      a,
      RecoveredMessage{
          a, {{"e", -5, false, true}, {"e", -5, true, false, true}}, std::make_shared<const MessageClass>()},
      DestinationHealth{"e", 7, true, -INT64_MAX / 4},
      ShutdownScheduled{4},
      MessageWithdrawn{"m"},
      o,
      l,
      TimerFired{},
      LearnedEndpoint{"e", 7, 80.5, true, 0.25, 9, 3, 0.5, 2.5, 11, 12},
      LearnedPool{1.5, 2, 3.5, 4, 5, 6},
      ExportLearned{-7, 5},
      SettingsChanged{Stream(streamShape("calm"), 1).settings},
      OrderingKeyBlocked{"k", 5, "m", 2},
      ResponseSetAside{"m", 1, 250'000}};
  const std::vector<Action> actions{StartAttempt{"m", "e", 9},
                                    CancelAttempt{"m", 1},
                                    RejectMessage{"m", 8},
                                    FailMessage{"m"},
                                    WatchEndpoints{},
                                    CloseIdleConnections{"e"},
                                    SetTimer{3},
                                    DestinationHealth{"", 7, false, 1, 2, 3},
                                    LearnedEndpoint{"", 7, 1, false, 1, 0, 0, 0, 0, 0, 0},
                                    LearnedExported{9, true, {}},
                                    OrderingKeyBlocked{"k", 5, "", 0}};
  const std::string line = replay::iterationLine(77, events, actions);
  const replay::Iteration t = replay::readIteration(json::parse(line));
  EXPECT_EQ(line, replay::iterationLine(t.now, t.events, t.actions));
  ASSERT_EQ(t.events.size(), events.size());
  const auto& report = std::get<AttemptOutcome>(t.events[5]).limit_report;
  EXPECT_EQ(report->remaining_fraction, 0.1 + 0.2);
  EXPECT_EQ(report->rate_limit, 1e-300);
  EXPECT_TRUE(std::get<AttemptOutcome>(t.events[5]).stale_connection);
  json old = json::parse(line);  // a recording of a version without this field
  old["events"][5]["outcome"].erase("stale");
  EXPECT_FALSE(std::get<AttemptOutcome>(replay::readIteration(old).events[5]).stale_connection);
  EXPECT_EQ(std::get<EndpointListUpdate>(t.events[6]).endpoints[0].weight, 1.0 / 3);
  Settings s = makeSettings();
  s.tenants = {{"t", 0.1, 0.7}};
  s.zone_cost = {0.3};
  const std::string head = replay::headLine(s, UINT64_MAX);
  const replay::Head h = replay::readHead(json::parse(head));
  EXPECT_EQ(head, replay::headLine(h.settings, h.seed));
}

// Guards against a missed difference and against a difference reported at the wrong place.
TEST(Replay, ReportsFirstDifferentAction) {
  std::vector<std::string> lines = splitLines(recordStream("calm", 200));
  std::size_t at = 120;
  while (json::parse(lines[at])["actions"].empty())
    ++at;
  json iteration = json::parse(lines[at]);
  iteration["actions"][0] = {{"fail", {{"id", "other"}}}};
  lines[at] = iteration.dump();
  Report r = replayText(joinLines(lines));
  ASSERT_TRUE(r.difference);
  EXPECT_EQ(r.difference->line, at + 1);
  EXPECT_EQ(r.difference->action, 0u);
  EXPECT_EQ(r.difference->now, iteration["now"]);
  EXPECT_NE(r.difference->recorded.find("other"), std::string::npos);

  iteration["actions"] = json::array();  // the module decides one action more than recorded
  lines[at] = iteration.dump();
  r = replayText(joinLines(lines));
  ASSERT_TRUE(r.difference);
  EXPECT_EQ(r.difference->recorded, "");
  EXPECT_NE(r.difference->decided, "");
}

TEST(Replay, NamesLineThatCantBeRead) {
  const std::vector<std::string> good = splitLines(recordStream("calm", 20));
  const auto with = [&](std::size_t at, const std::string& line) {
    std::vector<std::string> lines = good;
    lines[at] = line;
    return replayText(joinLines(lines)).unreadable;
  };
  EXPECT_NE(with(0, "{}").find("line 1: a head"), std::string::npos);
  EXPECT_NE(replayText("").unreadable.find("line 1: a head"), std::string::npos);
  EXPECT_NE(with(0, "{\"grademux_decisions\":2}").find("line 1: format 2"), std::string::npos);
  json head = json::parse(good[0]);
  head["settings"]["slots"] = 0;
  EXPECT_NE(with(0, head.dump()).find("slots"), std::string::npos);
  head["settings"]["slots"] = "many";
  EXPECT_NE(with(0, head.dump()).find("can't be used: slots"), std::string::npos);
  head["settings"].erase("tick");
  head["settings"]["slots"] = 4;
  EXPECT_NE(with(0, head.dump()).find("tick"), std::string::npos);
  EXPECT_NE(with(5, "{\"now\":1,\"events\":[],\"actions\":[]}").find("line 6: its time"), std::string::npos);
  EXPECT_NE(with(5, "[]").find("line 6"), std::string::npos);
  json iteration = json::parse(good[5]);
  iteration["events"] = json::array({{{"surprise", json::object()}}});
  EXPECT_NE(with(5, iteration.dump()).find("line 6: unknown kind: surprise"), std::string::npos);
  iteration["events"] = json::array({{{"outcome", {{"id", "m"}}}}});
  EXPECT_NE(with(5, iteration.dump()).find("attempt"), std::string::npos);
  EXPECT_NE(with(5, good[5].substr(0, 20)).find("line 7"),
            std::string::npos);  // not a torn tail: the run continues
}

// Guards against a killed process that makes its own recording or that of the next process unreadable.
TEST(Recorder, SkipsTruncatedLineOfKilledRunAndReplaysNextRun) {
  loopback::TempFolder folder;
  const std::string path = folder.path() + "/record";
  for (int run = 0; run < 3; ++run) {
    StreamShape shape = streamShape("calm");
    shape.iterations = 300;
    Stream s(shape, 3);
    {
      replay::Recorder recorder(path, 1 << 30, s.settings, 3);
      s.on_decision = [&](Micros now, const std::vector<Event>& e, const std::vector<Action>& a) {
        recorder.recordIteration(now, e, a);
      };
      s.run();
    }
    std::error_code e;
    if (run < 2)
      std::filesystem::resize_file(path, std::filesystem::file_size(path) - 7, e);
  }
  std::ifstream in(path);
  const Report r = replay::replay(in);
  EXPECT_EQ(r.unreadable, "");
  EXPECT_FALSE(r.difference);
  EXPECT_EQ(r.runs, 3u);
  EXPECT_EQ(r.truncated, 2u);
  EXPECT_EQ(r.iterations, 898u);
}

TEST(Recorder, StopsAtMaximumSizeWithReadableRecording) {
  loopback::TempFolder folder;
  const std::string path = folder.path() + "/record";
  StreamShape shape = streamShape("calm");
  shape.iterations = 600;
  Stream s(shape, 3);
  replay::Recorder recorder(path, 40'000, s.settings, 3);
  s.on_decision = [&](Micros now, const std::vector<Event>& e, const std::vector<Action>& a) {
    recorder.recordIteration(now, e, a);
  };
  s.run();
  EXPECT_TRUE(recorder.isStopped());
  EXPECT_LE(std::filesystem::file_size(path), 40'000u);
  std::ifstream in(path);
  const Report r = replay::replay(in);
  EXPECT_EQ(r.unreadable, "");
  EXPECT_FALSE(r.difference);
  EXPECT_GT(r.iterations, 50u);
  EXPECT_THROW(replay::Recorder("/nowhere/at/all", 1000, s.settings, 3), std::runtime_error);
}

}  // namespace
}  // namespace grademux
