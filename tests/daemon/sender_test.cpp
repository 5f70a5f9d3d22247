// The complete program as a child process, which is also killed: clients, endpoints and discovery use
// loopback sockets.
#include "../../src/core/journal.h"
#include "../support/loopback.h"

namespace grademux {
namespace {

using namespace loopback;

// One endpoint of destination 7, the agent and the program.
struct SenderEnvironment {
  explicit SenderEnvironment(Server::Script script, double disk_mb = 3)
      : endpoint(std::move(script)),
        program(folder.path(), agent.address(), json::array({listed("e1", endpoint.address(), 7)}), disk_mb) {
  }
  TempFolder folder;
  Agent agent;
  Server endpoint;
  Program program;
};

Act deliver(const Seen&) {
  return {answer("200 OK")};
}
Act neverAnswer(const Seen&) {
  return {};
}

TEST(SenderProgram, AcceptsAMessageAndDeliversItUnchanged) {
  SenderEnvironment environment(deliver);
  Client client(environment.program.port());
  EXPECT_EQ("+OK", client.put("9b1f03aa5c7e2d41", "order", 7, std::string("a\0\r\nb", 5)));
  ASSERT_TRUE(environment.endpoint.waitFor(1));
  const Seen request = environment.endpoint.seen()[0];
  EXPECT_EQ("9b1f03aa5c7e2d41", request.field("X-Txn"));
  EXPECT_EQ("k9b1f03aa5c7e2d41", request.field("Idempotency-Key"));
  EXPECT_EQ(std::string("a\0\r\nb", 5), request.body);
}

TEST(SenderProgram, InvalidInputGetsAnErrorAndServiceContinues) {
  SenderEnvironment environment(deliver);
  Client client(environment.program.port());
  EXPECT_EQ(0u, client.put("a", "nonsense", 7).find("-ERR"));
  EXPECT_EQ(0u, client.put("b", "order", 99).find("-ERR"));
  EXPECT_EQ(0u, client.ask({"MSG.PUT", "0", "id", "c=order,d=soon,dest=7", "x"}).find("-ERR"));
  EXPECT_EQ(0u, client.ask({"MSG.PUT", "0", "i\r\nd", "c=order,d=100,dest=7", "x"}).find("-ERR"));
  EXPECT_EQ(0u, client.ask({"MSG.PUT", "0"}).find("-ERR"));
  EXPECT_EQ(0u, client.ask({"FLUSHALL"}).find("-ERR"));
  EXPECT_EQ("+PONG", client.ask({"PING"}));  // the connection is still usable
  for (const std::string& bytes :
       {std::string("GET / HTTP/1.1\r\n\r\n"), "*1\r\n$99999999\r\n" + std::string(300'000, 'x')}) {
    Client bad(environment.program.port());
    bad.send(bytes);
    EXPECT_EQ(0u, bad.line().find("-ERR"));
    EXPECT_TRUE(bad.ended());
  }
  EXPECT_EQ("+OK", client.put("fine", "order", 7));
}

TEST(SenderProgram, InvalidConfigurationEndsTheProcessWithAnErrorStatus) {
  TempFolder folder;
  for (const std::string& text : {std::string("{"), std::string("{}"), std::string("[1]"),
                                  std::string(R"({"listen":"x","discovery":"127.0.0.1:1","settings":{}})")}) {
    const std::string path = folder.path() + "/config.json";
    std::ofstream(path) << text;
    int status = 0;
    ASSERT_GT(::waitpid(Program::spawn(path, folder.path()), &status, 0), 0);
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) != 0) << text;
  }
}

// Idempotent messages that were in flight when the process was killed are sent again. A non-idempotent
// message may have been executed: it fails with a notice and is never sent again.
TEST(SenderProgram, ResumesAcceptedMessagesAfterAKill) {
  std::atomic<bool> silent{true};
  SenderEnvironment environment([&](const Seen&) { return silent ? Act{} : Act{answer("200 OK")}; });
  {
    Client client(environment.program.port());
    ASSERT_EQ("+OK", client.put("safe", "notice", 7));
    ASSERT_EQ("+OK", client.put("keyed", "order", 7));
    ASSERT_EQ("+OK", client.put("unsafe", "payment", 7));
    ASSERT_TRUE(environment.endpoint.waitFor(3));
  }
  environment.program.kill();
  silent = false;
  environment.program.start();
  ASSERT_TRUE(environment.endpoint.waitFor(5));
  ASSERT_TRUE(environment.agent.waitForNotice("unsafe"));
  EXPECT_EQ("given_up", environment.agent.notice("unsafe")["outcome"]);
  std::map<std::string, int> sends;
  for (const Seen& request : environment.endpoint.seen())
    ++sends[request.field("X-Txn")];
  EXPECT_EQ(2, sends["safe"]);
  EXPECT_EQ(2, sends["keyed"]);
  EXPECT_EQ(1, sends["unsafe"]);
  EXPECT_EQ(1u, environment.agent.noticeCount());
}

// A non-idempotent message may be sent again if its attempt was certainly not executed, also after a kill.
TEST(SenderProgram, RemembersAfterAKillThatAnAttemptWasNotExecuted) {
  std::atomic<bool> full{true};
  SenderEnvironment environment([&](const Seen&) {
    return full ? Act{answer("429 Full", "Retry-After: 2\r\n")} : Act{answer("200 OK")};
  });
  {
    Client client(environment.program.port());
    ASSERT_EQ("+OK", client.put("unsafe", "payment", 7));
    ASSERT_TRUE(environment.endpoint.waitFor(1));
    // A copy of the journal shows when the rejection has been written.
    ASSERT_TRUE(eventually([&] {
      TempFolder copy;
      std::filesystem::copy(environment.folder.path(), copy.path(), std::filesystem::copy_options::recursive);
      const Journal journal(copy.path(), 3'000'000);
      const auto& open = journal.recovered().entries;
      return open.size() == 1 && open[0].attempts.size() == 1 && open[0].attempts[0].never_executed;
    }));
  }
  environment.program.kill();
  full = false;
  environment.program.start();
  ASSERT_TRUE(environment.endpoint.waitFor(2));
  EXPECT_EQ(0u, environment.agent.noticeCount());
}

// A notice stays pending until it is answered 204, also after a kill.
TEST(SenderProgram, PendingNoticeIsDeliveredAfterAKill) {
  SenderEnvironment environment(neverAnswer);
  environment.agent.refuse_notices = true;
  {
    Client client(environment.program.port());
    ASSERT_EQ("+OK", client.put("short", "payment", 7, "x", 300));
    ASSERT_TRUE(environment.endpoint.waitFor(1));
  }
  // The deadline passes, and the agent refuses the notice.
  ASSERT_TRUE(eventually([&] { return environment.agent.refused > 0; }));
  environment.program.kill();
  environment.agent.refuse_notices = false;
  environment.program.start();
  ASSERT_TRUE(environment.agent.waitForNotice("short"));
  EXPECT_EQ("given_up", environment.agent.notice("short")["outcome"]);
}

// A drain is in force from the iteration that receives it, and also in the next process, whose configuration
// is older than the drain.
TEST(SenderProgram, DrainStaysInForceAfterAKill) {
  SenderEnvironment environment(deliver);
  Server other(deliver);
  environment.agent.tell(json::array(
      {listed("e1", environment.endpoint.address(), 7, "Terminating"), listed("e2", other.address(), 7)}));
  ASSERT_TRUE(environment.agent.waitForWatch(2));
  for (int run = 0; run < 2; ++run) {
    Client client(environment.program.port());
    for (int i = 0; i < 5; ++i)
      ASSERT_EQ("+OK", client.put("m" + std::to_string(10 * run + i), "notice", 7));
    ASSERT_TRUE(other.waitFor(static_cast<std::size_t>(5 * (run + 1))));
    EXPECT_EQ(0u, environment.endpoint.seen().size());
    environment.program.kill();
    environment.program.start();
  }
}

TEST(SenderProgram, FullDiskBudgetRejectsNewMessagesAndIsNotExceeded) {
  SenderEnvironment environment(neverAnswer, 0.3);
  Client client(environment.program.port());
  int accepted = 0, rejected = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string reply = client.put("m" + std::to_string(i), "notice", 7, std::string(8000, 'x'));
    if (reply == "+OK")
      ++accepted;
    else if (reply.rfind("-BUSY", 0) == 0)
      ++rejected;
  }
  EXPECT_EQ(40, accepted + rejected);
  EXPECT_GT(accepted, 3);
  EXPECT_GT(rejected, 3);
  std::uint64_t on_disk = 0;
  for (const auto& file : std::filesystem::directory_iterator(environment.folder.path()))
    on_disk += (file.file_size() + 511) / 512 * 512;
  EXPECT_LE(on_disk, 300'000u);
}

// At SIGTERM, attempts in flight finish, messages that can't be sent any more are left to the next process,
// late clients are still answered, and the program exits with status 0.
TEST(SenderProgram, SigtermUnderTrafficLosesNoMessage) {
  SenderEnvironment environment(deliver);
  std::atomic<bool> stop{false};
  std::atomic<int> submitted{0};
  std::vector<std::string> accepted;
  std::thread traffic([&] {
    for (int i = 0; !stop; ++i) {
      Client client(environment.program.port());
      if (!client.connected())
        continue;
      const std::string id = "m" + std::to_string(i);
      ++submitted;
      if (client.put(id, "payment", 7) == "+OK")
        accepted.push_back(id);
      std::this_thread::sleep_for(5ms);
    }
  });
  while (submitted < 20)
    std::this_thread::sleep_for(1ms);
  Client idle(environment.program.port());
  ASSERT_EQ("+PONG", idle.ask({"PING"}));
  environment.program.signal(SIGTERM);
  EXPECT_TRUE(idle.ended());  // an idle connection is closed between requests
  const int before = submitted;
  while (submitted < before + 5)
    std::this_thread::sleep_for(1ms);  // late clients are served
  stop = true;
  traffic.join();
  const int status = environment.program.wait();
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  environment.program.start();
  ASSERT_TRUE(environment.endpoint.waitFor(accepted.size()));
  std::map<std::string, int> sends;
  for (const Seen& request : environment.endpoint.seen())
    ++sends[request.field("X-Txn")];
  for (const std::string& id : accepted)
    EXPECT_EQ(1, sends[id]) << id;
  EXPECT_EQ(0u, environment.agent.noticeCount());
}

}  // namespace
}  // namespace grademux
