// The commands of the RESP2 listener: their replies as bytes, and over sockets those that need the core.
#include "../../src/listener/resp/commands.h"
#include "../support/loopback.h"

namespace grademux {
namespace {

using namespace loopback;
using Words = std::vector<std::string>;

std::string said(const Words& words) {
  RespClient c{7, "me"};
  const RespCommand r = readCommand(words, c, {3, 12'000'000});
  return r.action == RespCommand::Action::reply || r.action == RespCommand::Action::quit ? r.reply
                                                                                         : "handed on";
}

struct Row {
  Words words;
  std::string begins;
  friend void PrintTo(const Row& r, std::ostream* out) { *out << r.words[0]; }
};
class RespCommands : public ::testing::TestWithParam<Row> {};
TEST_P(RespCommands, GiveTheReplyThatClientsExpect) {
  const std::string reply = said(GetParam().words);
  EXPECT_EQ(reply.substr(0, GetParam().begins.size()), GetParam().begins);
}
INSTANTIATE_TEST_SUITE_P(
    Table, RespCommands,
    ::testing::Values(
        Row{{"ping"}, "+PONG\r\n"}, Row{{"PING", "hé"}, "$3\r\nhé\r\n"},
        Row{{"PING", "a", "b"}, "-ERR wrong number"}, Row{{"ECHO", ""}, "$0\r\n\r\n"},
        Row{{"ECHO"}, "-ERR wrong number"}, Row{{"HELLO"}, "*14\r\n$6\r\nserver\r\n$8\r\ngrademux\r\n"},
        Row{{"HELLO", "2"}, "*14\r\n"}, Row{{"HELLO", "3"}, "%7\r\n$6\r\nserver\r\n"},
        Row{{"HELLO", "4"}, "-NOPROTO"}, Row{{"HELLO", "2", "AUTH", "u", "p"}, "-ERR no password"},
        Row{{"HELLO", "2", "SETNAME", "x"}, "*14\r\n"}, Row{{"HELLO", "2", "SETNAME"}, "-ERR HELLO takes"},
        Row{{"HELLO", "2", "SETNAME", "x y"}, "-ERR a client's name"}, Row{{"AUTH", "p"}, "-ERR no password"},
        Row{{"CLIENT", "id"}, ":7\r\n"}, Row{{"CLIENT", "GETNAME"}, "$2\r\nme\r\n"},
        Row{{"CLIENT", "SETNAME", "new\n"}, "-ERR a client's name"},
        Row{{"CLIENT", "SETNAME", ""}, "+OK\r\n"},
        Row{{"CLIENT", "SETINFO", "LIB-NAME", "ioredis"}, "+OK\r\n"},
        Row{{"CLIENT", "SETINFO", "lib-ver", "5"}, "+OK\r\n"},
        Row{{"CLIENT", "SETINFO", "AGE", "5"}, "-ERR SETINFO"}, Row{{"CLIENT", "KILL"}, "-ERR CLIENT knows"},
        Row{{"CLIENT"}, "-ERR wrong number"}, Row{{"INFO"}, "$"}, Row{{"INFO", "server", "clients"}, "$"},
        Row{{"SELECT", "0"}, "+OK\r\n"}, Row{{"SELECT", "1"}, "-ERR there is database 0"},
        Row{{"COMMAND"}, "*13\r\n*6\r\n$7\r\nmsg.put\r\n:5\r\n"}, Row{{"COMMAND", "COUNT"}, ":13\r\n"},
        Row{{"COMMAND", "DOCS"}, "*26\r\n"}, Row{{"COMMAND", "DOCS", "PING"}, "*2\r\n$4\r\nping\r\n*2\r\n"},
        Row{{"COMMAND", "DOCS", "none"}, "*0\r\n"},
        Row{{"COMMAND", "INFO", "msg.get", "none"}, "*2\r\n*6\r\n$7\r\nmsg.get\r\n:2\r\n"},
        Row{{"COMMAND", "GETKEYS"}, "-ERR COMMAND knows"}, Row{{"RESET"}, "+RESET\r\n"},
        Row{{"QUIT"}, "+OK\r\n"}, Row{{"GET", "x"}, "-ERR unknown command"},
        Row{{""}, "-ERR unknown command"}, Row{{"MSG.PUT", "0", "m"}, "-ERR wrong number"},
        Row{{"MSG.GET"}, "-ERR wrong number"}, Row{{"MSG.WAIT", "m"}, "-ERR wrong number"},
        Row{{"msg.get", "m"}, "handed on"}));

TEST(RespCommands, ReportMessageStatusAsFieldsAndValues) {
  MessageStatus s;
  EXPECT_EQ(statusReply(s, 2), "*-1\r\n");
  EXPECT_EQ(statusReply(s, 3), "_\r\n");
  s.state = MessageStatus::State::open;
  EXPECT_EQ(statusReply(s, 2), "*2\r\n$5\r\nstate\r\n$4\r\nopen\r\n");
  s.state = MessageStatus::State::finished;
  s.outcome = {FinalStatus::returned, 5'000'999, 1'001};
  EXPECT_EQ(statusReply(s, 2),
            "*6\r\n$5\r\nstate\r\n$11\r\nhanded_back\r\n$8\r\nended_ms\r\n:5000\r\n$14\r\nretry_after_ms\r\n:"
            "2\r\n");
  EXPECT_TRUE(readWait("250") == 250'000);
  EXPECT_TRUE(readWait("999999999999") == kMaxRespWait);
  for (const char* bad : {"", "-1", "1.5", "x", "9999999999999"})
    EXPECT_FALSE(readWait(bad)) << bad;
}

struct One {
  explicit One(Server::Script script) : endpoint(std::move(script)) {}
  TempFolder folder;
  Agent agent;
  Server endpoint;
  Program program{folder.path(), agent.address(), json::array({listed("e1", endpoint.address(), 7)})};
};

// All replies, in order, of what is sent at once.
std::string lines(Client& c, int n) {
  std::string all;
  for (int i = 0; i < n; ++i)
    all += c.line() + "|";
  return all;
}

TEST(RespListener, AnswersGoodAndBadPipelinedRequestsInOrder) {
  One w([](const Seen&) -> Act { return {answer("200 OK")}; });
  Client c(w.program.port());
  c.send(Client::request({"HELLO", "9"}) + Client::request({"CLIENT", "SETINFO", "LIB-NAME", "x"}) +
         Client::request({"FLUSHALL"}) +
         Client::request({"MSG.PUT", "0", "m1", "c=order,d=8000,k=a,dest=7", "b"}) +
         Client::request({"MSG.GET"}) + Client::request({"MSG.WAIT", "m1", "20000"}) +
         Client::request({"QUIT"}));
  EXPECT_EQ(lines(c, 5),
            "-NOPROTO this door speaks RESP2 and RESP3|+OK|-ERR unknown command|+OK|-ERR wrong number of "
            "arguments|");
  EXPECT_EQ(lines(c, 7).substr(0, 34), "*4|$5|state|$9|delivered|$8|ended_");
  EXPECT_EQ(c.line().substr(0, 1), ":");
  EXPECT_EQ(c.line(), "+OK");
  EXPECT_TRUE(c.ended());
}

// Risk: a wait holds a place in the table, or the end of the process, for its whole length.
TEST(RespListener, AnswersAWaitWhenItIsOverOrTheProcessStops) {
  One w([](const Seen&) -> Act { return {"", false, false, true}; });
  Client c(w.program.port()), other(w.program.port());
  ASSERT_EQ("+OK", c.put("slow", "order", 7));
  EXPECT_EQ("*-1", c.ask({"MSG.WAIT", "nobody", "20000"}));
  EXPECT_EQ("*2", c.ask({"MSG.WAIT", "slow", "150"}));
  EXPECT_EQ(lines(c, 4), "$5|state|$4|open|");
  EXPECT_EQ("-ERR a whole number of milliseconds is expected", c.ask({"MSG.WAIT", "slow", "soon"}));
  c.send(Client::request({"MSG.WAIT", "slow", "30000"}));
  ASSERT_EQ("+PONG", other.ask({"PING"}));
  w.program.signal(SIGTERM);
  EXPECT_EQ("*2", c.line());
  EXPECT_EQ(lines(c, 4), "$5|state|$4|open|");
}

}  // namespace
}  // namespace grademux
