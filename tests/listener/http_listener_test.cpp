// The HTTP listener of the sender process over loopback sockets: responses, pipelines, batches, and clients
// that are slow, malformed or never read.
#include "../support/http_client.h"

namespace grademux {
namespace {

using namespace loopback;

Act deliver(const Seen&) {
  return {answer("200 OK")};
}

TEST(HttpListener, AcceptsAndDeliversAMessageAndReportsItsOutcome) {
  HttpFleet fleet(deliver);
  const HttpReply reply = fleet.put("9b1f", messageDocument("order", 7, "hi", "k1"));
  EXPECT_EQ(202, reply.status);
  EXPECT_EQ("open", reply.document()["state"]);
  ASSERT_TRUE(fleet.endpoint.waitFor(1));
  EXPECT_EQ("9b1f", fleet.endpoint.seen()[0].field("X-Txn"));
  EXPECT_EQ("k1", fleet.endpoint.seen()[0].field("Idempotency-Key"));
  EXPECT_EQ("hi", fleet.endpoint.seen()[0].body);
  ASSERT_TRUE(fleet.waitForState("9b1f", "delivered"));
  EXPECT_GT(fleet.get("9b1f").document()["ended_ms"], 1'600'000'000'000);
  EXPECT_EQ(404, fleet.get("unheard").status);
}

TEST(HttpListener, AnswersAWaitWhenTheMessageFinishesOrTheWaitIsOver) {
  std::atomic<bool> silent{false};
  HttpFleet fleet([&](const Seen&) { return silent ? Act{} : Act{answer("200 OK")}; }, "max_wait_s = 1\n");
  HttpReply reply = fleet.put("a", messageDocument("notice", 7), "Prefer: wait=600\r\n");
  EXPECT_EQ(200, reply.status);
  EXPECT_EQ("delivered", reply.document()["state"]);
  silent = true;
  reply = fleet.put("b", messageDocument("notice", 7), "Prefer: wait=600\r\n");
  EXPECT_EQ(202, reply.status);
  reply = fleet.put("c", messageDocument("payment", 7, "x", "", 300), "Prefer: wait=1\r\n");
  EXPECT_TRUE(reply.status == 200 ||
              reply.status == 202);  // the deadline passes at about the end of the wait
  EXPECT_TRUE(fleet.waitForState("c", "given_up"));
}

// Guards against a lost answer: a request arrives while the listener closes the connection, a close over
// unread input resets the connection, and the client loses an answer that it has not read. After a reset, the
// second send fails.
TEST(HttpListener, ClosesIdleConnectionsGracefullyWhenTheProcessStops) {
  HttpFleet fleet(deliver);
  HttpClient idle(fleet.http);
  EXPECT_EQ(202, idle.ask("PUT", "/v1/messages/a", "", messageDocument("notice", 7)).status);
  fleet.program.signal(SIGTERM);
  EXPECT_EQ(0, idle.reply().status);
  EXPECT_TRUE(idle.send("P"));
  EXPECT_TRUE(idle.send("U"));
}

TEST(HttpListener, AnswersUnusableRequestsWithAProblemAndKeepsTheConnection) {
  HttpFleet fleet(deliver);
  HttpClient client(fleet.http);
  EXPECT_EQ(422, client.ask("PUT", "/v1/messages/a", "", messageDocument("nonsense", 7)).status);
  EXPECT_EQ(422, client.ask("PUT", "/v1/messages/a", "", messageDocument("notice", 99)).status);
  const HttpReply reply = client.ask("PUT", "/v1/messages/a", "", messageDocument("order", 7));
  EXPECT_EQ(422, reply.status);
  EXPECT_EQ("urn:grademux:problem:missing-key", reply.document()["type"]);
  EXPECT_EQ("application/problem+json", reply.field("Content-Type"));
  EXPECT_EQ(400, client.ask("PUT", "/v1/messages/a", "", "{").status);
  EXPECT_EQ(404, client.ask("GET", "/nothing").status);
  EXPECT_EQ("GET, PUT", client.ask("DELETE", "/v1/messages/a").field("Allow"));
  EXPECT_EQ(405, client.ask("GET", "/v1/messages:batch").status);
  EXPECT_EQ(202, client.ask("PUT", "/v1/messages/a", "", messageDocument("notice", 7)).status);
}

TEST(HttpListener, AnswersPipelinedRequestsInOrderWithEarlierOnesApplied) {
  std::atomic<bool> silent{true};
  HttpFleet fleet(
      [&](const Seen& request) { return silent && request.body == "stay" ? Act{} : Act{answer("200 OK")}; });
  HttpClient client(fleet.http);
  std::string all;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "p" + std::to_string(i);
    all +=
        HttpClient::request("PUT", "/v1/messages/" + id, "", messageDocument("notice", 7, i ? "x" : "stay"));
    all += HttpClient::request("GET", "/v1/messages/" + id);
  }
  client.send(all);
  for (int i = 0; i < 40; ++i) {
    const std::string id = "p" + std::to_string(i);
    for (const int status : {202, 200}) {
      const HttpReply reply = client.reply();
      ASSERT_EQ(status, reply.status) << id;
      EXPECT_EQ(id, reply.document()["id"]);
    }
  }
}

TEST(HttpListener, AnswersClientsThatHaveClosedTheirSendingSide) {
  HttpFleet fleet(deliver);
  HttpClient client(fleet.http);
  client.send(
      HttpClient::request("PUT", "/v1/messages/a", "Prefer: wait=5\r\n", messageDocument("notice", 7)) +
      HttpClient::request("GET", "/v1/messages/a"));
  ::shutdown(client.fd(), SHUT_WR);
  EXPECT_EQ(200, client.reply().status);
  EXPECT_EQ("delivered", client.reply().document()["state"]);
  EXPECT_TRUE(client.ended());
}

TEST(HttpListener, SendsContinueWhenTheClientExpectsIt) {
  HttpFleet fleet(deliver);
  HttpClient client(fleet.http);
  const std::string body = messageDocument("notice", 7);
  client.send("PUT /v1/messages/a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n");
  ASSERT_TRUE(client.waitFor("100 Continue\r\n\r\n"));
  client.send(body);
  EXPECT_EQ(202, client.reply().status);
  EXPECT_EQ(1, client.interim);
  EXPECT_EQ(202, client.ask("PUT", "/v1/messages/b", "", body).status);
}

TEST(HttpListener, AnswersEachBatchLineAndRejectsOnlyMalformedOnes) {
  HttpFleet fleet(deliver, "max_request_bytes = 2000\nbatch_window = 8\n");
  std::string body;
  const int kLines = 60;  // below the limits of endpoint and decision module, well above the batch window
  for (int i = 0; i < kLines; ++i) {
    const std::string id = "b" + std::to_string(i);
    if (i % 20 == 3)
      body += "rubbish\n";
    else if (i % 20 == 7)
      body += std::string(5000, 'x') + "\n";
    else
      body += R"({"id":")" + id + R"(","class":"notice","destination":7,"deadline_ms":9000})" + "\n\r\n";
  }
  HttpClient client(fleet.http);
  // Sent in small pieces, so that lines are split at any position.
  client.send("POST /v1/messages:batch HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (std::size_t at = 0; at < body.size(); at += 333) {
    const std::string piece = body.substr(at, 333);
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
    client.send(size + piece + "\r\n");
  }
  client.send("0\r\n\r\n");
  const HttpReply reply = client.reply();
  EXPECT_EQ(200, reply.status);
  EXPECT_EQ("application/x-ndjson", reply.field("Content-Type"));
  const auto lines = reply.lines();
  ASSERT_EQ(static_cast<std::size_t>(kLines), lines.size());
  for (int i = 0; i < kLines; ++i) {
    const json& line = lines[static_cast<std::size_t>(i)];
    const int status = line["status"];
    if (i % 20 == 3)
      EXPECT_EQ(400, status) << i;
    else if (i % 20 == 7)
      EXPECT_EQ(413, status) << i;
    else
      EXPECT_TRUE((status == 202 || status == 429) && line["id"] == "b" + std::to_string(i)) << line;
  }
  EXPECT_EQ(202, client.ask("PUT", "/v1/messages/after", "", messageDocument("notice", 7)).status);
}

TEST(HttpListener, KeepsTheResultsOfLinesWhenABatchIsCutOff) {
  HttpFleet fleet(deliver);
  HttpClient client(fleet.http);
  const std::string line = R"({"id":"l1","class":"notice","destination":7,"deadline_ms":9000})";
  client.send("POST /v1/messages:batch HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n" + line +
              "\n{\"id\":\"l2");
  ::shutdown(client.fd(), SHUT_WR);
  const auto lines = client.reply().lines();
  ASSERT_EQ(2u, lines.size());
  EXPECT_EQ(202, lines[0]["status"]);
  EXPECT_EQ(400, lines[1]["status"]);
  EXPECT_TRUE(client.ended());
  EXPECT_EQ(404, fleet.get("l2").status);  // an incomplete line is not submitted
}

// Guards against request smuggling: when two recipients disagree on the length of a body, one of them reads a
// second request in the body.
TEST(HttpListener, RejectsRequestsWithAmbiguousFraming) {
  HttpFleet fleet(deliver);
  const std::string hidden =
      HttpClient::request("PUT", "/v1/messages/hidden", "", messageDocument("notice", 7));
  const std::string start = "PUT /v1/messages/a HTTP/1.1\r\nHost: x\r\n";
  for (const std::string& head :
       {std::string("Content-Length: 5\r\nContent-Length: 6\r\n"),
        std::string("Content-Length: 5\r\nContent-Length: 5\r\n"),
        std::string("Content-Length: 0\r\nTransfer-Encoding: chunked\r\n"),
        std::string("Transfer-Encoding: chunked\r\nContent-Length: 0\r\n"),
        std::string("Transfer-Encoding: gzip, chunked\r\n"), std::string("Transfer-Encoding: identity\r\n"),
        std::string("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
        std::string("Content-Length: +5\r\n"), std::string("Content-Length: -1\r\n"),
        std::string("Content-Length: 99999999999999999999\r\n"), std::string("Host: y\r\n"),
        std::string("Content Length: 5\r\n"), std::string("Transfer-Encoding : chunked\r\n")}) {
    HttpClient client(fleet.http);
    client.send(start + head + "\r\n0\r\n\r\n" + hidden);
    const HttpReply reply = client.reply();
    EXPECT_TRUE(reply.status == 0 || reply.status / 100 == 4 || reply.status / 100 == 5)
        << head << reply.status;
    EXPECT_TRUE(client.ended()) << head;
  }
  HttpClient old(fleet.http);
  old.send("PUT /v1/messages/a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden);
  EXPECT_EQ(400, old.reply().status);
  EXPECT_EQ(404, fleet.get("hidden").status);
  EXPECT_EQ(0u, fleet.endpoint.seen().size());
}

// Guards against clients that are slow or send without end, and so occupy a connection or memory forever.
// Each gets an error or is disconnected.
TEST(HttpListener, DisconnectsSlowAndEndlessClients) {
  HttpFleet fleet(deliver);
  const std::string put = "PUT /v1/messages/a HTTP/1.1\r\nHost: x\r\n";
  HttpClient head(fleet.http), body(fleet.http), line(fleet.http);
  head.send("PUT /v1/messages/a HTTP/1.1\r\nHos");
  body.send(put + "Content-Length: 50\r\n\r\n");
  line.send("POST /v1/messages:batch HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n{\"id\":");
  std::atomic<bool> stop{false};
  std::thread drip([&] {
    while (!stop && body.send("x"))
      std::this_thread::sleep_for(100ms);
  });
  for (HttpClient* client : {&head, &body}) {
    EXPECT_EQ(408, client->reply().status);
    EXPECT_TRUE(client->ended());
  }
  const auto lines = line.reply().lines();
  ASSERT_EQ(1u, lines.size());
  EXPECT_EQ(408, lines[0]["status"]);
  EXPECT_TRUE(line.ended());
  stop = true;
  drip.join();
  HttpClient endless(fleet.http);
  endless.send(put);
  const std::string field = "X-Field: " + std::string(1000, 'x') + "\r\n";
  for (int i = 0; i < 40 && endless.send(field); ++i) {
  }
  const HttpReply reply = endless.reply();  // a close over unread input may discard the answer
  EXPECT_TRUE(reply.status == 431 || reply.status == 0) << reply.status;
  EXPECT_TRUE(endless.ended());
  EXPECT_EQ(202, fleet.put("good", messageDocument("notice", 7)).status);
}

// The peak resident memory of the process, in kB.
long peakKb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.rfind("VmHWM:", 0) == 0)
      return std::stol(line.substr(6));
  return -1;
}

// Guards against memory that is allocated for an announced length or held for endless input: 60 MB for each
// client.
TEST(HttpListener, AllocatesNoMemoryForAnnouncedLengthsOf60Megabytes) {
  HttpFleet fleet(deliver);
  EXPECT_EQ(202, fleet.put("first", messageDocument("notice", 7)).status);
  const long before = peakKb(fleet.program.pid());
  const std::string piece(100'000, 'x');
  for (const char* length :
       {"Content-Length: 60000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n3938700\r\n"}) {
    for (const char* start : {"PUT /v1/messages/a", "POST /v1/messages:batch"}) {
      HttpClient client(fleet.http);
      client.send(std::string(start) + " HTTP/1.1\r\nHost: x\r\n" + length);
      for (int i = 0; i < 600 && client.send(piece); ++i) {
      }
    }
  }
#ifdef __SANITIZE_ADDRESS__
  const long most = 300'000;  // AddressSanitizer holds freed memory in quarantine, up to 256 MB
#else
  const long most = 40'000;
#endif
  EXPECT_LT(peakKb(fleet.program.pid()) - before, most);
  EXPECT_EQ(202, fleet.put("good", messageDocument("notice", 7)).status);
}

// Guards against responses that accumulate for a client that sends requests and never reads.
TEST(HttpListener, DisconnectsAndBoundsClientsThatNeverRead) {
  HttpFleet fleet(deliver);
  HttpClient client(fleet.http);
  int small = 4096;
  ::setsockopt(client.fd(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  std::string many;
  ASSERT_EQ(202, fleet.put("known", messageDocument("notice", 7)).status);
  for (int i = 0; i < 500; ++i)
    many += HttpClient::request("GET", "/v1/messages/known");
  int sent = 0;
  while (sent < 2000 && client.send(many))
    ++sent;  // the receive window fills, then the connection is closed
  EXPECT_LT(sent, 2000);
  EXPECT_EQ(202, fleet.put("good", messageDocument("notice", 7)).status);
}

TEST(HttpListener, DisconnectsAfterManyClientErrorsInARow) {
  HttpFleet fleet(deliver);
  HttpClient client(fleet.http);
  std::string many;
  for (int i = 0; i < 500; ++i)
    many += HttpClient::request("GET", "/nothing");
  client.send(many);
  int error_count = 0;
  while (client.reply().status == 404)
    ++error_count;
  EXPECT_GT(error_count, 0);
  EXPECT_LT(error_count, 500);
}

TEST(HttpListener, MakesRoomInAFullTableOnceConnectionsAreIdle) {
  HttpFleet fleet(deliver, "max_connections = 4\n");
  std::vector<std::unique_ptr<HttpClient>> clients;
  for (int i = 0; i < 12; ++i) {
    clients.push_back(std::make_unique<HttpClient>(fleet.http));
    EXPECT_EQ(202, clients.back()
                       ->ask("PUT", "/v1/messages/m" + std::to_string(i), "", messageDocument("notice", 7))
                       .status);
  }
  EXPECT_TRUE(clients[0]->ended());
}

}  // namespace
}  // namespace grademux
