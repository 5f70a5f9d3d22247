// The commands of the RESP2 listener: replies as bytes and, over sockets, the commands that need the engine.
#include "../../src/listener/resp/commands.h"
#include "../support/loopback.h"

namespace grademux {
namespace {

using namespace loopback;
using Words = std::vector<std::string>;

// The reply to a command that the listener answers without the engine.
std::string replyTo(const Words& words) {
  RespClient client{7, "me"};
  const RespCommand command = readCommand(words, client, {3, 12'000'000});
  return command.action == RespCommand::Action::reply || command.action == RespCommand::Action::quit
             ? command.reply
             : "no immediate reply";
}

struct CommandCase {
  Words words;
  std::string expected_prefix;
  friend void PrintTo(const CommandCase& command_case, std::ostream* out) { *out << command_case.words[0]; }
};
class RespCommands : public ::testing::TestWithParam<CommandCase> {};
TEST_P(RespCommands, GiveTheReplyThatClientsExpect) {
  const std::string reply = replyTo(GetParam().words);
  EXPECT_EQ(reply.substr(0, GetParam().expected_prefix.size()), GetParam().expected_prefix);
}
INSTANTIATE_TEST_SUITE_P(
    Table, RespCommands,
    ::testing::Values(
        CommandCase{{"ping"}, "+PONG\r\n"}, CommandCase{{"PING", "hé"}, "$3\r\nhé\r\n"},
        CommandCase{{"PING", "a", "b"}, "-ERR wrong number"}, CommandCase{{"ECHO", ""}, "$0\r\n\r\n"},
        CommandCase{{"ECHO"}, "-ERR wrong number"},
        CommandCase{{"HELLO"}, "*14\r\n$6\r\nserver\r\n$8\r\ngrademux\r\n"},
        CommandCase{{"HELLO", "2"}, "*14\r\n"}, CommandCase{{"HELLO", "3"}, "%7\r\n$6\r\nserver\r\n"},
        CommandCase{{"HELLO", "4"}, "-NOPROTO"},
        CommandCase{{"HELLO", "2", "AUTH", "u", "p"}, "-ERR no password"},
        CommandCase{{"HELLO", "2", "SETNAME", "x"}, "*14\r\n"},
        CommandCase{{"HELLO", "2", "SETNAME"}, "-ERR HELLO takes"},
        CommandCase{{"HELLO", "2", "SETNAME", "x y"}, "-ERR a client's name"},
        CommandCase{{"AUTH", "p"}, "-ERR no password"}, CommandCase{{"CLIENT", "id"}, ":7\r\n"},
        CommandCase{{"CLIENT", "GETNAME"}, "$2\r\nme\r\n"},
        CommandCase{{"CLIENT", "SETNAME", "new\n"}, "-ERR a client's name"},
        CommandCase{{"CLIENT", "SETNAME", ""}, "+OK\r\n"},
        CommandCase{{"CLIENT", "SETINFO", "LIB-NAME", "ioredis"}, "+OK\r\n"},
        CommandCase{{"CLIENT", "SETINFO", "lib-ver", "5"}, "+OK\r\n"},
        CommandCase{{"CLIENT", "SETINFO", "AGE", "5"}, "-ERR SETINFO"},
        CommandCase{{"CLIENT", "KILL"}, "-ERR CLIENT knows"}, CommandCase{{"CLIENT"}, "-ERR wrong number"},
        CommandCase{{"INFO"}, "$"}, CommandCase{{"INFO", "server", "clients"}, "$"},
        CommandCase{{"SELECT", "0"}, "+OK\r\n"}, CommandCase{{"SELECT", "1"}, "-ERR there is database 0"},
        CommandCase{{"COMMAND"}, "*13\r\n*6\r\n$7\r\nmsg.put\r\n:5\r\n"},
        CommandCase{{"COMMAND", "COUNT"}, ":13\r\n"}, CommandCase{{"COMMAND", "DOCS"}, "*26\r\n"},
        CommandCase{{"COMMAND", "DOCS", "PING"}, "*2\r\n$4\r\nping\r\n*2\r\n"},
        CommandCase{{"COMMAND", "DOCS", "none"}, "*0\r\n"},
        CommandCase{{"COMMAND", "INFO", "msg.get", "none"}, "*2\r\n*6\r\n$7\r\nmsg.get\r\n:2\r\n"},
        CommandCase{{"COMMAND", "GETKEYS"}, "-ERR COMMAND knows"}, CommandCase{{"RESET"}, "+RESET\r\n"},
        CommandCase{{"QUIT"}, "+OK\r\n"}, CommandCase{{"GET", "x"}, "-ERR unknown command"},
        CommandCase{{""}, "-ERR unknown command"}, CommandCase{{"MSG.PUT", "0", "m"}, "-ERR wrong number"},
        CommandCase{{"MSG.GET"}, "-ERR wrong number"}, CommandCase{{"MSG.WAIT", "m"}, "-ERR wrong number"},
        CommandCase{{"msg.get", "m"}, "no immediate reply"}));

TEST(RespCommands, ReportMessageStatusAsFieldsAndValues) {
  MessageStatus status;
  EXPECT_EQ(statusReply(status, 2), "*-1\r\n");
  EXPECT_EQ(statusReply(status, 3), "_\r\n");
  status.state = MessageStatus::State::open;
  EXPECT_EQ(statusReply(status, 2), "*2\r\n$5\r\nstate\r\n$4\r\nopen\r\n");
  status.state = MessageStatus::State::finished;
  status.outcome = {FinalStatus::returned, 5'000'999, 1'001};
  EXPECT_EQ(statusReply(status, 2),
            "*6\r\n$5\r\nstate\r\n$11\r\nhanded_back\r\n$8\r\nended_ms\r\n:5000\r\n$14\r\nretry_after_ms\r\n:"
            "2\r\n");
  EXPECT_TRUE(readWait("250") == 250'000);
  EXPECT_TRUE(readWait("999999999999") == kMaxRespWait);
  for (const char* bad : {"", "-1", "1.5", "x", "9999999999999"})
    EXPECT_FALSE(readWait(bad)) << bad;
}

struct SenderWithEndpoint {
  explicit SenderWithEndpoint(Server::Script script) : endpoint(std::move(script)) {}
  TempFolder folder;
  Agent agent;
  Server endpoint;
  Program program{folder.path(), agent.address(), json::array({listed("e1", endpoint.address(), 7)})};
};

// Reads `count` lines, joined by '|'.
std::string lines(Client& client, int count) {
  std::string all;
  for (int i = 0; i < count; ++i)
    all += client.line() + "|";
  return all;
}

TEST(RespListener, AnswersGoodAndBadPipelinedRequestsInOrder) {
  SenderWithEndpoint sender([](const Seen&) -> Act { return {answer("200 OK")}; });
  Client client(sender.program.port());
  client.send(Client::request({"HELLO", "9"}) + Client::request({"CLIENT", "SETINFO", "LIB-NAME", "x"}) +
              Client::request({"FLUSHALL"}) +
              Client::request({"MSG.PUT", "0", "m1", "c=order,d=8000,k=a,dest=7", "b"}) +
              Client::request({"MSG.GET"}) + Client::request({"MSG.WAIT", "m1", "20000"}) +
              Client::request({"QUIT"}));
  EXPECT_EQ(lines(client, 5),
            "-NOPROTO this door speaks RESP2 and RESP3|+OK|-ERR unknown command|+OK|-ERR wrong number of "
            "arguments|");
  EXPECT_EQ(lines(client, 7).substr(0, 34), "*4|$5|state|$9|delivered|$8|ended_");
  EXPECT_EQ(client.line().substr(0, 1), ":");
  EXPECT_EQ(client.line(), "+OK");
  EXPECT_TRUE(client.ended());
}

// Guards against a MSG.WAIT that occupies a connection, or delays the end of the process, for its full
// length.
TEST(RespListener, AnswersAWaitWhenItIsOverOrTheProcessStops) {
  SenderWithEndpoint sender([](const Seen&) -> Act { return {"", false, false, true}; });
  Client client(sender.program.port()), other(sender.program.port());
  ASSERT_EQ("+OK", client.put("slow", "order", 7));
  EXPECT_EQ("*-1", client.ask({"MSG.WAIT", "nobody", "20000"}));
  EXPECT_EQ("*2", client.ask({"MSG.WAIT", "slow", "150"}));
  EXPECT_EQ(lines(client, 4), "$5|state|$4|open|");
  EXPECT_EQ("-ERR a whole number of milliseconds is expected", client.ask({"MSG.WAIT", "slow", "soon"}));
  client.send(Client::request({"MSG.WAIT", "slow", "30000"}));
  ASSERT_EQ("+PONG", other.ask({"PING"}));
  sender.program.signal(SIGTERM);
  EXPECT_EQ("*2", client.line());
  EXPECT_EQ(lines(client, 4), "$5|state|$4|open|");
}

}  // namespace
}  // namespace grademux
