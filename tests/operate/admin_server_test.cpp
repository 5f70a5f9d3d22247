// The admin server and the drain of a sender, over loopback sockets, with the real program.
#include "../support/http_client.h"

namespace grademux {
namespace {

using namespace loopback;

Act deliver(const Seen&) {
  return {answer("200 OK")};
}

struct SenderEnvironment {
  explicit SenderEnvironment(const std::string& daemon_file = "", int max_descriptors = 1024)
      : endpoint(deliver),
        program(folder.path(), agent.address(), json::array({listed("e1", endpoint.address(), 7)}), 3,
                plainSettings(), max_descriptors, daemon_file) {}
  // Restarts the program with an admin server.
  void restartWithAdminServer() {
    program.kill();
    admin_port = harness::ownPort();
    program.configure("mgmt", "127.0.0.1:" + std::to_string(admin_port));
    program.restart();
  }
  // Sends a line to the admin server, and returns the line that it answers.
  std::string command(const std::string& line) {
    Client client(admin_port);
    client.send(line);
    return readAnswer(client);
  }
  // Answers end with a bare line feed.
  static std::string readAnswer(Client& client) {
    const std::string answer = client.rest();
    return answer.substr(0, answer.find('\n'));
  }
  TempFolder folder;
  Agent agent;
  Server endpoint;
  Program program;
  int admin_port = 0;
};

bool isAck(const std::string& line) {
  return line.rfind("ACK", 0) == 0;
}
bool isNak(const std::string& line) {
  return line.rfind("NAK", 0) == 0;
}

TEST(AdminServer, AnswersOneLinePerConnection) {
  SenderEnvironment environment;
  environment.restartWithAdminServer();
  EXPECT_TRUE(isAck(environment.command("status\n")));
  EXPECT_TRUE(isAck(environment.command("status\r\n")));
  EXPECT_TRUE(isAck(environment.command("active\n")));
  EXPECT_TRUE(isNak(environment.command("\n")));
  EXPECT_TRUE(isNak(environment.command("restart\n")));
  EXPECT_TRUE(isNak(environment.command(std::string("sta\0tus\n", 8))));
  EXPECT_TRUE(isNak(environment.command(std::string(100'000, 'x'))));
  EXPECT_TRUE(isNak(environment.command(std::string(127, 'x') + "\n")));
  Client byte_by_byte(environment.admin_port);
  for (const char b : std::string("status\n")) {
    byte_by_byte.send(std::string(1, b));
    std::this_thread::sleep_for(2ms);
  }
  EXPECT_TRUE(isAck(SenderEnvironment::readAnswer(byte_by_byte)));
}

// Guards against connections with a partial line that use up all connections of the admin server, so that
// nobody can send the sender's clients away.
TEST(AdminServer, AnswersBesideTwoHundredPartialLines) {
  SenderEnvironment environment("", 256);
  environment.restartWithAdminServer();
  std::vector<std::unique_ptr<Client>> partial;
  for (int i = 0; i < 200; ++i) {
    partial.push_back(std::make_unique<Client>(environment.admin_port));
    partial.back()->send("stat");
  }
  EXPECT_TRUE(isAck(environment.command("status\n")));
  EXPECT_TRUE(isAck(environment.command("standby\n")));
  Client client(environment.program.port());
  EXPECT_EQ(0u, client.ask({"PING"}).find("-AWAY"));
}

// Guards against clients that use up all descriptors, including those of the admin server.
TEST(AdminServer, AnswersWhileClientsUseAllTheirDescriptors) {
  SenderEnvironment environment("", 128);
  environment.restartWithAdminServer();
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 200; ++i)
    clients.push_back(std::make_unique<Client>(environment.program.port()));
  for (int i = 0; i < 20; ++i)
    EXPECT_TRUE(isAck(environment.command("status\n")));
}

TEST(AdminServer, ProcessExitsWhenTheAddressIsInUseOrInvalid) {
  SenderEnvironment environment;
  environment.program.kill();
  Listener in_use;
  environment.program.configure("mgmt", in_use.address());
  int status = 0;
  ASSERT_GT(::waitpid(Program::spawn(environment.program.path(), environment.folder.path()), &status, 0), 0);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 2);
  environment.program.configure("mgmt", "nowhere");
  ASSERT_GT(::waitpid(Program::spawn(environment.program.path(), environment.folder.path()), &status, 0), 0);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 2);
}

// Guards against clients that stay at a sender in standby, and against the loss of messages that it has
// accepted.
TEST(Standby, SendsClientsAwayUntilActive) {
  SenderEnvironment environment;
  environment.restartWithAdminServer();
  Client idle(environment.program.port()), busy(environment.program.port());
  ASSERT_EQ("+OK", idle.put("a", "order", 7));
  ASSERT_EQ("+OK", busy.put("b", "order", 7));
  ASSERT_TRUE(isAck(environment.command("standby\n")));
  ASSERT_TRUE(isAck(environment.command("standby\n")));  // the command is idempotent
  Client ping(environment.program.port());
  EXPECT_EQ(0u, ping.ask({"PING"}).find("-AWAY"));
  EXPECT_TRUE(ping.ended());
  EXPECT_EQ("+OK", busy.put("c", "order", 7));  // served, then closed
  EXPECT_TRUE(busy.ended());
  EXPECT_TRUE(idle.ended());
  Client late(environment.program.port());  // a new client is served as well
  EXPECT_EQ("+OK", late.put("d", "order", 7));
  EXPECT_TRUE(late.ended());
  Client silent(environment.program.port());
  EXPECT_TRUE(silent.ended());
  EXPECT_TRUE(isAck(environment.command("status\n")));
  ASSERT_TRUE(isAck(environment.command("active\n")));
  Client back(environment.program.port());
  EXPECT_EQ("+PONG", back.ask({"PING"}));
  EXPECT_EQ("+OK", back.put("e", "order", 7));
  EXPECT_EQ("+PONG", back.ask({"PING"}));  // the connection stays open
  EXPECT_TRUE(environment.endpoint.waitFor(5));
}

// Guards against requests that a client has sent before its connection is closed and that get no answer.
TEST(Standby, AnswersAPipelineBeforeClosing) {
  SenderEnvironment environment;
  environment.restartWithAdminServer();
  Client client(environment.program.port());
  ASSERT_TRUE(isAck(environment.command("standby\n")));
  std::string pipeline;
  for (int i = 0; i < 50; ++i)
    pipeline += Client::request({"MSG.PUT", "0", "p" + std::to_string(i), "c=notice,d=20000,dest=7", "x"});
  client.send(pipeline);
  for (int i = 0; i < 50; ++i)
    ASSERT_EQ("+OK", client.line()) << i;
  EXPECT_TRUE(client.ended());
  EXPECT_TRUE(environment.endpoint.waitFor(50));
}

// Guards against a client that sends requests without a pause on one connection and is never sent away.
TEST(Standby, ClosesAConnectionThatIsNeverIdle) {
  SenderEnvironment environment;
  environment.restartWithAdminServer();
  Client client(environment.program.port());
  ASSERT_TRUE(isAck(environment.command("standby\n")));
  std::atomic<bool> closed{false};
  std::thread sender([&] {
    for (int i = 0; i < 200'000 && !closed; ++i)
      client.send(Client::request({"PING"}) + Client::request({"PING"}));
  });
  while (!client.line().empty()) {
  }
  closed = true;
  sender.join();
  Client other(environment.program.port());
  EXPECT_EQ(0u, other.ask({"PING"}).find("-AWAY"));
}

TEST(Standby, AcceptsActiveAndSigtermDuringADrain) {
  SenderEnvironment environment;
  environment.restartWithAdminServer();
  Client open(environment.program.port());
  ASSERT_EQ("+PONG", open.ask({"PING"}));
  ASSERT_TRUE(isAck(environment.command("standby\n")));
  ASSERT_TRUE(isAck(environment.command("active\n")));  // while connections are being closed
  EXPECT_EQ("+PONG", Client(environment.program.port()).ask({"PING"}));
  ASSERT_TRUE(isAck(environment.command("standby\n")));
  environment.program.signal(SIGTERM);
  const int status = environment.program.wait();
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
}

TEST(Standby, HttpListenerSendsClientsAway) {
  const int http = harness::ownPort();
  SenderEnvironment environment("[[door]]\nkind = \"http\"\nlisten = \"127.0.0.1:" + std::to_string(http) +
                                "\"\n");
  environment.restartWithAdminServer();
  HttpClient idle(http), batch(http);
  EXPECT_EQ(404, idle.ask("GET", "/v1/messages/x").status);
  batch.send("POST /v1/messages:batch HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
  ASSERT_TRUE(isAck(environment.command("standby\n")));
  EXPECT_EQ(0, idle.reply().status);  // the connection is closed
  // The listener ends a batch that has no end, with a line that has the reason.
  const HttpReply ended = batch.reply();
  EXPECT_EQ(200, ended.status);
  EXPECT_NE(std::string::npos, ended.body.find("draining")) << ended.body;
  HttpClient put(http);  // served, then closed
  const HttpReply reply = put.ask("PUT", "/v1/messages/m1", "", messageDocument("notice", 7));
  EXPECT_EQ(202, reply.status);
  EXPECT_EQ("close", reply.field("Connection"));
  EXPECT_EQ(0, put.reply().status);
  ASSERT_TRUE(isAck(environment.command("active\n")));
  HttpClient back(http);
  EXPECT_EQ(404, back.ask("GET", "/v1/messages/x").status);
  EXPECT_EQ(404, back.ask("GET", "/v1/messages/x").status);
}

}  // namespace
}  // namespace grademux
