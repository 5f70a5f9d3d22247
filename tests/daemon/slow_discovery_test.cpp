// The real program beside a discovery agent whose answers are slow: it must stop calling endpoints that
// drain, and call new ones, in the time in which a change must be known.
#include "../support/slow_agent.h"

namespace grademux {
namespace {

using namespace loopback;
using Clock = std::chrono::steady_clock;

constexpr int kDestination = 7;
// A change must be known so long after discovery had it; the grace is for calls that go out after it.
constexpr auto kMustBeKnownAfter = 6000ms;
constexpr auto kGrace = 300ms;

Act deliver(const Seen&) {
  return {answer("200 OK")};
}

json endpointEntry(const std::string& name, const Server& server, const std::string& status = "Ready") {
  return listed(name, server.address(), kDestination, status);
}

class SlowDiscoveryOfProgram : public ::testing::TestWithParam<int> {
 protected:
  static Pace pace() { return {std::chrono::milliseconds(GetParam())}; }
  static SlowAgent::Script script() {
    return [](int) { return pace(); };
  }
  // Submits a message each 100 ms until the endpoint is called, or the change must be known.
  void expectCalledInTime(Program& program, Server& ready, Clock::time_point changed_at) {
    while (ready.seen().empty() && Clock::now() < changed_at + kMustBeKnownAfter + kGrace) {
      putMessage(program);
      std::this_thread::sleep_for(100ms);
    }
    EXPECT_FALSE(ready.seen().empty()) << "the endpoint that is ready is not called";
  }
  // No call goes to the endpoint that drains from now on.
  void expectNotCalled(Program& program, Server& drains) {
    std::this_thread::sleep_for(kGrace);
    const std::size_t before = drains.seen().size();
    for (int i = 0; i < 10; ++i) {
      putMessage(program);
      std::this_thread::sleep_for(50ms);
    }
    EXPECT_EQ(before, drains.seen().size());
  }
  void putMessage(Program& program) {
    Client client(program.port());
    EXPECT_EQ("+OK", client.put("m" + std::to_string(next_message_++), "notice", kDestination));
  }

  int next_message_ = 0;
};

// Guards against lists that are never known because each answer takes longer than a limit: calls to endpoints
// that drain, and none to those that replace them (review/9).
TEST_P(SlowDiscoveryOfProgram, EndpointsAreReplacedInTimeAfterAChangeAMoveAndARestart) {
  Server first(deliver), second(deliver), third(deliver), fourth(deliver);
  SlowAgent agent(script(), json::array({endpointEntry("e1", first)}));
  SlowAgent moved(script(), json::array({endpointEntry("e3", third)}));
  TempFolder folder;
  Program program(folder.path(), agent.address(), json::array({endpointEntry("e1", first)}));
  putMessage(program);
  ASSERT_TRUE(first.waitFor(1));

  auto changed_at = Clock::now();
  agent.change(json::array({endpointEntry("e2", second), endpointEntry("e1", first, "Terminating")}));
  expectCalledInTime(program, second, changed_at);
  expectNotCalled(program, first);

  changed_at = Clock::now();
  program.configure("discovery", moved.address());
  program.signal(SIGHUP);
  expectCalledInTime(program, third, changed_at);
  expectNotCalled(program, second);

  program.kill();
  moved.change(json::array({endpointEntry("e4", fourth), endpointEntry("e3", third, "Terminating")}));
  changed_at = Clock::now();
  program.restart();
  expectCalledInTime(program, fourth, changed_at);
  expectNotCalled(program, third);
}
INSTANTIATE_TEST_SUITE_P(AnswersTakeMs, SlowDiscoveryOfProgram, ::testing::Values(600, 2500, 4000));

// Guards against a poll whose end nobody can explain: the log has how far its answer came, and when.
TEST(SlowDiscoveryLog, ReportsWhyAPollEnded) {
  Server endpoint(deliver);
  SlowAgent agent([](int poll) {
    Pace pace;
    pace.end = poll == 0 ? Pace::End::stops : Pace::End::complete;
    return pace;
  });
  TempFolder folder;
  Program program(folder.path(), agent.address(), json::array({endpointEntry("e1", endpoint)}));
  agent.change(json::array({endpointEntry("e2", endpoint)}));
  EXPECT_TRUE(program.waitForLog("result=superseded"));
  const std::string log = program.log();
  const std::string line = log.substr(log.rfind('\n', log.find("result=superseded")) + 1);
  for (const char* field : {"discovery.poll_failed", "from=", "hold_ms=", "bytes=", "since_start_ms=",
                            "since_first_ms=", "since_last_ms="})
    EXPECT_NE(std::string::npos, line.find(field)) << field << " in " << line;
}

}  // namespace
}  // namespace grademux
