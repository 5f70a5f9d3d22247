// Faulty clients of the RESP2 listener over loopback sockets: each gets an error or is disconnected, and
// other clients are not affected.
#include "../support/loopback.h"

namespace grademux {
namespace {

using namespace loopback;

Act deliver(const Seen&) {
  return {answer("200 OK")};
}

// A sender with so few descriptors that about a hundred connections fill its connection table.
struct SmallSender {
  SmallSender()
      : endpoint(deliver),
        program(folder.path(), agent.address(), json::array({listed("e1", endpoint.address(), 7)}), 3,
                plainSettings(), 128) {}
  TempFolder folder;
  Agent agent;
  Server endpoint;
  Program program;
};

// Guards against connections that occupy a place forever because they send nothing or half a request.
TEST(RespListener, ClosesSilentConnectionsAndThoseWithAPartialRequest) {
  SmallSender sender;
  Client silent(sender.program.port()), half(sender.program.port()), head(sender.program.port());
  half.send("*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000");
  head.send("*1");
  EXPECT_TRUE(silent.endedInOrder());
  for (Client* client : {&half, &head}) {
    EXPECT_EQ(0u, client->line().find("-ERR"));
    EXPECT_TRUE(client->ended());
  }
}

// Guards against idle and silent connections that fill the table while working clients wait in the backlog.
TEST(RespListener, MakesRoomInAFullTableForClientsWithRequests) {
  SmallSender sender;
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 150; ++i) {
    clients.push_back(std::make_unique<Client>(sender.program.port()));
    ASSERT_EQ("+PONG", clients.back()->ask({"PING"})) << i;  // one request, then the connection stays open
  }
  for (int i = 0; i < 150; ++i)
    clients.push_back(std::make_unique<Client>(sender.program.port()));  // sends nothing
  Client good(sender.program.port());
  EXPECT_EQ("+OK", good.put("good", "order", 7));
}

// Whether the sender gracefully closes a connection that `fill` causes it to close. The sender reads for half
// a second after it has shut down its side; a test process that is suspended for longer misses the graceful
// close, so there are several tries. A connection that is closed without that phase never passes.
bool endsInOrder(const std::function<void(SmallSender&, std::vector<std::unique_ptr<Client>>&)>& fill) {
  constexpr int kTries = 5;
  for (int i = 0; i < kTries; ++i) {
    SmallSender sender;
    std::vector<std::unique_ptr<Client>> clients;
    fill(sender, clients);
    if (clients[0]->endedInOrder())
      return true;
  }
  return false;
}

// Guards against clients that send one request for each connection, keep the connections open, and run out of
// the connections that they may hold.
TEST(RespListener, ClosesIdleConnectionsWhenCrowded) {
  SmallSender sender;
  std::vector<std::unique_ptr<Client>> idle_clients;
  for (int i = 0; i < 40; ++i) {
    idle_clients.push_back(std::make_unique<Client>(sender.program.port()));
    ASSERT_EQ("+OK", idle_clients.back()->put("m" + std::to_string(i), "notice", 7));
  }
  EXPECT_TRUE(idle_clients[0]->ended());
  EXPECT_TRUE(idle_clients[1]->ended());
  EXPECT_TRUE(endsInOrder([](SmallSender& small, auto& clients) {
    for (int i = 0; i < 40 && (clients.empty() || !clients[0]->hasEnded()); ++i) {
      clients.push_back(std::make_unique<Client>(small.program.port()));
      EXPECT_EQ("+OK", clients.back()->put("m" + std::to_string(i), "notice", 7));
    }
  }));
}

// Guards against a lost answer: a request arrives while the listener closes the connection, a close over
// unread input resets the connection, and the client loses the last answer, which it has not read.
TEST(RespListener, ClosesConnectionsGracefullyWhenTheProcessStops) {
  SmallSender sender;
  Client resting(sender.program.port()), idle(sender.program.port());
  resting.send(Client::request({"PING"}));  // the client does not read the answer yet
  EXPECT_EQ("+PONG", idle.ask({"PING"}));
  EXPECT_EQ("+OK", idle.put("m", "order", 7));
  sender.program.signal(SIGTERM);
  EXPECT_TRUE(idle.endedInOrder());
  EXPECT_EQ("+PONG", resting.line());
  EXPECT_TRUE(resting.endedInOrder());
  EXPECT_EQ(0, sender.program.wait());
}

// The same for a connection that is closed to make room in a table that is nearly full.
TEST(RespListener, ClosesGracefullyToMakeRoom) {
  EXPECT_TRUE(endsInOrder([](SmallSender& small, auto& clients) {
    for (int i = 0; i < 200 && (clients.empty() || !clients[0]->hasEnded()); ++i) {
      clients.push_back(std::make_unique<Client>(small.program.port()));
      EXPECT_EQ("+PONG", clients.back()->ask({"PING"})) << i;
    }
  }));
}

// Guards against clients that use up the processor time of all others by repeating an invalid request, or by
// sending hundreds at once.
TEST(RespListener, DisconnectsAfterManyErrorsInARow) {
  SmallSender sender;
  Client flood(sender.program.port()), good(sender.program.port());
  std::string many;
  for (int i = 0; i < 500; ++i)
    many += Client::request({"MSG.PUT", "0", "m" + std::to_string(i), "c=nonsense,d=8000,dest=7", "x"});
  flood.send(many);
  EXPECT_EQ("+OK", good.put("good", "order", 7));
  int error_count = 0;
  while (!flood.line().empty())
    ++error_count;
  EXPECT_GT(error_count, 0);
  EXPECT_LT(error_count, 500);
  EXPECT_EQ("+OK", good.put("good2", "order", 7));
}

// Guards against malformed requests that get no answer, or are accepted.
TEST(RespListener, AnswersMalformedRequestsWithAnErrorAndCloses) {
  SmallSender sender;
  for (const std::string& bytes :
       {std::string("\x16\x03\x01\x02\x00\x01", 6), std::string(100'000, 'a'), std::string("*-1\r\n"),
        std::string("*5\r\n$-7\r\n"), std::string("*5\r\n$60000000\r\n") + std::string(3'000'000, 'x'),
        std::string("*99999999999999999999\r\n"), std::string("*1\r\n$4\r\nPINGxx")}) {
    Client client(sender.program.port());
    client.send(bytes);
    const std::string reply = client.line();  // a close over unread input may discard the line
    EXPECT_TRUE(reply.empty() || reply.rfind("-ERR", 0) == 0) << reply;
    EXPECT_TRUE(client.ended());
  }
  EXPECT_EQ(0u, sender.endpoint.seen().size());
}

// Guards against a second execution of a non-idempotent message whose id is submitted again after its final
// outcome.
TEST(RespListener, DeliversARepeatedIdOnce) {
  SmallSender sender;
  Client client(sender.program.port());
  ASSERT_EQ("+OK", client.put("once", "payment", 7));
  ASSERT_TRUE(sender.endpoint.waitFor(1));
  for (int i = 0; i < 3; ++i) {
    Client other(sender.program.port());
    EXPECT_FALSE(other.put("once", "payment", 7).empty());
  }
  ASSERT_EQ("+OK", client.put("next", "payment", 7));
  ASSERT_TRUE(sender.endpoint.waitFor(2));
  EXPECT_EQ("next", sender.endpoint.seen()[1].field("X-Txn"));
}

}  // namespace
}  // namespace grademux
