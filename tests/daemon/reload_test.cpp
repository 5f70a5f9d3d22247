// New configurations while the program runs: SIGHUP beside messages, bad files and SIGTERM.
#include "../support/loopback.h"

namespace grademux {
namespace {

using namespace loopback;

Act deliver(const Seen&) {
  return {answer("200 OK")};
}
Act stayOut(const Seen&) {
  return {};
}

// Risk: SIGHUP ends the process. Watch and notices move to the agent that the file names, what is owed with
// them, and the list there is asked for whole.
TEST(Reload, WatchAndOwedNoticesMoveToTheNewAgent) {
  TempFolder folder;
  Agent old_agent, fresh_agent;
  Server first(stayOut), second(deliver);
  Program program(folder.path(), old_agent.address(), json::array({listed("e1", first.address(), 7)}));
  old_agent.refuse_notices = true;
  fresh_agent.tell(json::array({listed("e2", second.address(), 7)}), true);
  Client c(program.port());
  ASSERT_EQ("+OK", c.put("owed", "payment", 7, "x", 300));
  ASSERT_TRUE(eventually([&] { return old_agent.refused > 0; }));
  program.configure("discovery", fresh_agent.address());
  program.signal(SIGHUP);
  EXPECT_TRUE(fresh_agent.waitForNotice("owed"));
  EXPECT_TRUE(fresh_agent.waitForWatch(2));
  ASSERT_EQ("+OK", c.put("new", "notice", 7));
  ASSERT_TRUE(second.waitFor(1));
  EXPECT_EQ("new", second.seen()[0].field("X-Txn"));
  // The next start holds to the file, too, whatever the environment says.
  program.kill();
  old_agent.refuse_notices = false;
  fresh_agent.tell(json::array({listed("e3", second.address(), 9)}));
  program.restart({{"GW_DISCOVERY", old_agent.address()}});
  EXPECT_TRUE(fresh_agent.waitForWatch(3));
  Client again(program.port());
  EXPECT_EQ("+OK", again.put("nine", "notice", 9));
}

// Risk: a file that is half written or wrong takes the program down, or its agent away.
TEST(Reload, ABadFileLeavesTheOldConfigurationInForce) {
  TempFolder folder;
  Agent agent;
  Server endpoint(deliver);
  Program program(folder.path(), agent.address(), json::array({listed("e1", endpoint.address(), 7)}));
  const std::string good = program.configText();
  long index = 1;
  for (const std::string& text :
       {std::string("{"), std::string(), std::string("[]"), std::string(R"({"discovery":"127.0.0.1:1"})")}) {
    program.writeConfig(text);
    for (int i = 0; i < 3; ++i)
      program.signal(SIGHUP);
    agent.tell(json::array({listed("e1", endpoint.address(), 7)}));
    EXPECT_TRUE(agent.waitForWatch(++index));
    Client c(program.port());
    EXPECT_EQ("+OK", c.put("m" + std::to_string(index), "notice", 7));
  }
  program.writeConfig(good);
  program.signal(SIGHUP);
  program.signal(SIGTERM);
  program.signal(SIGHUP);
  const int status = program.wait();
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
}

}  // namespace
}  // namespace grademux
