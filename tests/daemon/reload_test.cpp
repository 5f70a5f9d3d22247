// Reloading of the platform's configuration by SIGHUP, with open messages, malformed files and SIGTERM.
#include "../support/loopback.h"

namespace grademux {
namespace {

using namespace loopback;

Act deliver(const Seen&) {
  return {answer("200 OK")};
}
Act neverAnswer(const Seen&) {
  return {};
}

// Guards against a SIGHUP that ends the process. The watch and the pending notices move to the agent that the
// file names, and the complete endpoint list is requested there.
TEST(Reload, WatchAndPendingNoticesMoveToTheNewAgent) {
  TempFolder folder;
  Agent old_agent, fresh_agent;
  Server first(neverAnswer), second(deliver);
  Program program(folder.path(), old_agent.address(), json::array({listed("e1", first.address(), 7)}));
  old_agent.refuse_notices = true;
  fresh_agent.tell(json::array({listed("e2", second.address(), 7)}), true);
  Client client(program.port());
  ASSERT_EQ("+OK", client.put("owed", "payment", 7, "x", 300));
  ASSERT_TRUE(eventually([&] { return old_agent.refused > 0; }));
  program.configure("discovery", fresh_agent.address());
  program.signal(SIGHUP);
  EXPECT_TRUE(fresh_agent.waitForNotice("owed"));
  EXPECT_TRUE(fresh_agent.waitForWatch(2));
  ASSERT_EQ("+OK", client.put("new", "notice", 7));
  ASSERT_TRUE(second.waitFor(1));
  EXPECT_EQ("new", second.seen()[0].field("X-Txn"));
  // The next start uses the agent of the file as well, whatever the environment says.
  program.kill();
  old_agent.refuse_notices = false;
  fresh_agent.tell(json::array({listed("e3", second.address(), 9)}));
  program.restart({{"GW_DISCOVERY", old_agent.address()}});
  EXPECT_TRUE(fresh_agent.waitForWatch(3));
  Client again(program.port());
  EXPECT_EQ("+OK", again.put("nine", "notice", 9));
}

// Guards against a partly written or invalid file that ends the process or disconnects it from its agent.
TEST(Reload, InvalidFileLeavesTheOldConfigurationInForce) {
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
    Client client(program.port());
    EXPECT_EQ("+OK", client.put("m" + std::to_string(index), "notice", 7));
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
