// Bad clients over loopback sockets: each is told of an error or closed, and takes nothing from the good
// ones.
#include "../support/loopback.h"

namespace grademux {
namespace {

using namespace loopback;

Act deliver(const Seen&) {
  return {answer("200 OK")};
}

// A program with so few descriptors that a hundred connections fill its table.
struct Small {
  Small()
      : endpoint(deliver),
        program(folder.path(), agent.address(), json::array({listed("e1", endpoint.address(), 7)}), 3,
                plainSettings(), 128) {}
  TempFolder folder;
  Agent agent;
  Server endpoint;
  Program program;
};

// Risk: a connection that says nothing, or half a request, holds its place for good.
TEST(RespListener, ClosesSilentConnectionsAndThoseWithAPartialRequest) {
  Small f;
  Client silent(f.program.port()), half(f.program.port()), head(f.program.port());
  half.send("*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000");
  head.send("*1");
  EXPECT_TRUE(silent.endedInOrder());
  for (Client* c : {&half, &head}) {
    EXPECT_EQ(0u, c->line().find("-ERR"));
    EXPECT_TRUE(c->ended());
  }
}

// Risk: idle and silent connections fill the table, and good clients wait in the backlog for ever.
TEST(RespListener, MakesRoomInAFullTableForClientsWithRequests) {
  Small f;
  std::vector<std::unique_ptr<Client>> kept;
  for (int i = 0; i < 150; ++i) {
    kept.push_back(std::make_unique<Client>(f.program.port()));
    ASSERT_EQ("+PONG", kept.back()->ask({"PING"})) << i;  // asks once and keeps its connection
  }
  for (int i = 0; i < 150; ++i)
    kept.push_back(std::make_unique<Client>(f.program.port()));  // say nothing
  Client good(f.program.port());
  EXPECT_EQ("+OK", good.put("good", "order", 7));
}

// Whether a connection that `fill` brings to its end is ended in order. The sender reads on for half a
// second; a test that is stopped for longer comes too late to see it, so it looks more than once. One that is
// closed at once never passes.
bool endsInOrder(const std::function<void(Small&, std::vector<std::unique_ptr<Client>>&)>& fill) {
  constexpr int kTries = 5;
  for (int i = 0; i < kTries; ++i) {
    Small f;
    std::vector<std::unique_ptr<Client>> kept;
    fill(f, kept);
    if (kept[0]->endedInOrder())
      return true;
  }
  return false;
}

// Risk: clients that ask once and keep their connection use up what they may hold, and ask no more.
TEST(RespListener, ClosesIdleConnectionsWhenCrowded) {
  Small f;
  std::vector<std::unique_ptr<Client>> kept;
  for (int i = 0; i < 40; ++i) {
    kept.push_back(std::make_unique<Client>(f.program.port()));
    ASSERT_EQ("+OK", kept.back()->put("m" + std::to_string(i), "notice", 7));
  }
  EXPECT_TRUE(kept[0]->ended());
  EXPECT_TRUE(kept[1]->ended());
  EXPECT_TRUE(endsInOrder([](Small& small, auto& clients) {
    for (int i = 0; i < 40 && (clients.empty() || !clients[0]->hasEnded()); ++i) {
      clients.push_back(std::make_unique<Client>(small.program.port()));
      EXPECT_EQ("+OK", clients.back()->put("m" + std::to_string(i), "notice", 7));
    }
  }));
}

// Risk: a request crosses the end of its connection. A close over it resets the connection, and the last
// answer, which the client has not read yet, is gone with it.
TEST(RespListener, ClosesConnectionsGracefullyWhenTheProcessStops) {
  Small f;
  Client resting(f.program.port()), idle(f.program.port());
  resting.send(Client::request({"PING"}));  // its answer stays unread
  EXPECT_EQ("+PONG", idle.ask({"PING"}));
  EXPECT_EQ("+OK", idle.put("m", "order", 7));
  f.program.signal(SIGTERM);
  EXPECT_TRUE(idle.endedInOrder());
  EXPECT_EQ("+PONG", resting.line());
  EXPECT_TRUE(resting.endedInOrder());
  EXPECT_EQ(0, f.program.wait());
}

// The same for the one that makes room for others in a table that is nearly full.
TEST(RespListener, ClosesGracefullyToMakeRoom) {
  EXPECT_TRUE(endsInOrder([](Small& small, auto& clients) {
    for (int i = 0; i < 200 && (clients.empty() || !clients[0]->hasEnded()); ++i) {
      clients.push_back(std::make_unique<Client>(small.program.port()));
      EXPECT_EQ("+PONG", clients.back()->ask({"PING"})) << i;
    }
  }));
}

// Risk: the same useless request again and again, or hundreds at once, take the processor from all others.
TEST(RespListener, DisconnectsAfterManyErrorsInARow) {
  Small f;
  Client flood(f.program.port()), good(f.program.port());
  std::string many;
  for (int i = 0; i < 500; ++i)
    many += Client::request({"MSG.PUT", "0", "m" + std::to_string(i), "c=nonsense,d=8000,dest=7", "x"});
  flood.send(many);
  EXPECT_EQ("+OK", good.put("good", "order", 7));
  int told = 0;
  while (!flood.line().empty())
    ++told;
  EXPECT_GT(told, 0);
  EXPECT_LT(told, 500);
  EXPECT_EQ("+OK", good.put("good2", "order", 7));
}

// Risk: what can't be read is answered by silence, or is taken on.
TEST(RespListener, AnswersMalformedRequestsWithAnErrorAndCloses) {
  Small f;
  for (const std::string& bytes :
       {std::string("\x16\x03\x01\x02\x00\x01", 6), std::string(100'000, 'a'), std::string("*-1\r\n"),
        std::string("*5\r\n$-7\r\n"), std::string("*5\r\n$60000000\r\n") + std::string(3'000'000, 'x'),
        std::string("*99999999999999999999\r\n"), std::string("*1\r\n$4\r\nPINGxx")}) {
    Client c(f.program.port());
    c.send(bytes);
    const std::string told = c.line();  // a close with input unread may overtake the line
    EXPECT_TRUE(told.empty() || told.rfind("-ERR", 0) == 0) << told;
    EXPECT_TRUE(c.ended());
  }
  EXPECT_EQ(0u, f.endpoint.seen().size());
}

// Risk: the id of a message that is over is taken on once more, and an unsafe one runs twice.
TEST(RespListener, DeliversARepeatedIdOnce) {
  Small f;
  Client c(f.program.port());
  ASSERT_EQ("+OK", c.put("once", "payment", 7));
  ASSERT_TRUE(f.endpoint.waitFor(1));
  for (int i = 0; i < 3; ++i) {
    Client other(f.program.port());
    EXPECT_FALSE(other.put("once", "payment", 7).empty());
  }
  ASSERT_EQ("+OK", c.put("next", "payment", 7));
  ASSERT_TRUE(f.endpoint.waitFor(2));
  EXPECT_EQ("next", f.endpoint.seen()[1].field("X-Txn"));
}

}  // namespace
}  // namespace grademux
