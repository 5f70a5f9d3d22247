// Both doors of one program: the same id at both, drains, SIGTERM, SIGHUP and addresses that can't be had.
#include "../../src/core/journal.h"
#include "../support/http_client.h"

namespace grademux {
namespace {

using namespace loopback;

Act deliver(const Seen&) {
  return {answer("200 OK")};
}
Act stayOut(const Seen&) {
  return {};
}

std::string respPut(const std::string& id, const std::string& cls, const std::string& body = "body") {
  return Client::request({"MSG.PUT", "0000000000000000", id, "c=" + cls + ",d=28000,dest=7", body});
}

// An attempt times out after some multiple of the usual latency. An endpoint that answers in 0.1 ms has a
// limit within the delays of a busy machine; with this pace it is not.
Act deliverAtAPace(const Seen& seen) {
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  return deliver(seen);
}

// Risk: one message submitted at both listeners within one iteration fails at one of them, or executes twice.
TEST(TwoDoors, TheSameIdAtOnceIsOneMessageWithOneEnd) {
  HttpFleet f(deliverAtAPace);
  for (int i = 0; i < 20; ++i) {
    const std::string id = "m" + std::to_string(i);
    const std::string put = HttpClient::request("PUT", "/v1/messages/" + id, "Prefer: wait=30\r\n",
                                                messageDocument("payment", 7));
    Client resp(f.program.port());
    HttpClient http(f.http);
    if (i % 2 == 0)
      resp.send(respPut(id, "payment"));
    http.send(put);
    if (i % 2 == 1)
      resp.send(respPut(id, "payment"));
    EXPECT_EQ("+OK", resp.line());
    EXPECT_EQ("delivered", http.reply().document()["state"]);
  }
  std::map<std::string, int> runs;
  for (const Seen& s : f.endpoint.seen())
    ++runs[s.field("X-Txn")];
  EXPECT_EQ(20u, runs.size());
  for (const auto& [id, n] : runs)
    EXPECT_EQ(1, n) << id;
}

TEST(TwoDoors, AnIdOfOtherContentIsAConflictAtBoth) {
  HttpFleet f(stayOut);
  Client resp(f.program.port());
  EXPECT_EQ(202, f.put("a", messageDocument("notice", 7, "one")).status);
  EXPECT_EQ(0u, resp.ask({"MSG.PUT", "0", "a", "c=notice,d=28000,dest=7", "two"}).find("-ERR"));
  EXPECT_EQ("+OK",
            resp.ask({"MSG.PUT", "0", "a", "c=notice,d=9000,dest=7", "one"}));  // its time is no content
  EXPECT_EQ(409, f.put("a", messageDocument("payment", 7, "one")).status);
  EXPECT_EQ(202, f.put("a", messageDocument("notice", 7, "one")).status);
}

// Risk: what was delivered before a kill runs again when its id comes at the other door after it.
TEST(TwoDoors, AnIdThatEndedBeforeAKillDoesNotRunAgain) {
  HttpFleet f(deliver);
  Client before(f.program.port());
  before.send(respPut("once", "payment"));
  ASSERT_EQ("+OK", before.line());
  ASSERT_TRUE(f.waitForState("once", "delivered"));
  f.program.kill();
  f.program.start();
  const HttpReply r = f.put("once", messageDocument("payment", 7));
  EXPECT_EQ(200, r.status);
  EXPECT_EQ("delivered", r.document()["state"]);
  EXPECT_EQ(409, f.put("once", messageDocument("payment", 7, "other")).status);
  ASSERT_EQ(202, f.put("next", messageDocument("payment", 7)).status);
  ASSERT_TRUE(f.endpoint.waitFor(2));
  EXPECT_EQ("next", f.endpoint.seen()[1].field("X-Txn"));
}

TEST(TwoDoors, AnIdThatIsOpenOverAKillStaysOneMessage) {
  std::atomic<bool> silent{true};
  HttpFleet f([&](const Seen&) { return silent ? Act{} : Act{answer("200 OK")}; });
  ASSERT_EQ(202, f.put("safe", messageDocument("notice", 7)).status);
  ASSERT_EQ(202, f.put("unsafe", messageDocument("payment", 7)).status);
  ASSERT_TRUE(f.endpoint.waitFor(2));
  f.program.kill();
  f.program.start();
  Client resp(f.program.port());
  resp.send(respPut("safe", "notice"));
  EXPECT_EQ("+OK", resp.line());
  resp.send(respPut("unsafe", "payment"));
  EXPECT_EQ("+OK", resp.line());
  silent = false;
  ASSERT_TRUE(f.waitForState("safe", "delivered"));
  ASSERT_TRUE(f.waitForState("unsafe", "given_up"));
  ASSERT_TRUE(f.agent.waitForNotice("unsafe"));
  int runs = 0;
  for (const Seen& s : f.endpoint.seen())
    runs += s.field("X-Txn") == "unsafe";
  EXPECT_EQ(1, runs);
  // An end by notice is remembered over a kill, too.
  f.program.kill();
  f.program.start();
  EXPECT_EQ("given_up", f.put("unsafe", messageDocument("payment", 7)).document()["state"]);
}

// Once the list with the drain was read, and the grace has gone by, nothing more begins there from either
// door.
TEST(TwoDoors, ADrainHoldsForBothWhileTheyAreFlooded) {
  HttpFleet f(deliver);
  Server other(deliver);
  std::atomic<bool> stop{false};
  std::vector<std::thread> floods;
  for (int d = 0; d < 4; ++d)
    floods.emplace_back([&, d] {
      Client resp(f.program.port());
      HttpClient http(f.http);
      for (int i = 0; !stop; ++i) {
        const std::string id = "d" + std::to_string(d) + "-" + std::to_string(i);
        if (d % 2 == 0) {
          resp.send(respPut(id, "notice"));
          if (resp.line().empty())
            break;
        } else if (http.ask("PUT", "/v1/messages/" + id, "", messageDocument("notice", 7)).status == 0) {
          break;
        }
      }
    });
  ASSERT_TRUE(f.endpoint.waitFor(50));
  f.agent.tell(
      json::array({listed("e1", f.endpoint.address(), 7, "Terminating"), listed("e2", other.address(), 7)}));
  ASSERT_TRUE(f.agent.waitForWatch(2));
  ASSERT_TRUE(other.waitFor(20));
  std::this_thread::sleep_for(1s);  // four times the grace
  const std::size_t begun = f.endpoint.seen().size(), elsewhere = other.seen().size();
  ASSERT_TRUE(other.waitFor(elsewhere + 50));
  EXPECT_EQ(begun, f.endpoint.seen().size());
  stop = true;
  for (auto& t : floods)
    t.join();
}

// Risk: a request that is open at SIGTERM ends without an answer, or its message is lost.
TEST(TwoDoors, SigtermAnswersAllThatIsOpen) {
  HttpFleet f(stayOut);
  HttpClient waits(f.http), half(f.http), between(f.http);
  Client resp(f.program.port());
  ASSERT_EQ("+PONG", resp.ask({"PING"}));
  waits.send(
      HttpClient::request("PUT", "/v1/messages/waits", "Prefer: wait=25\r\n", messageDocument("notice", 7)));
  const std::string l1 = R"({"id":"l1","class":"notice","destination":7,"deadline_ms":28000})";
  const std::string l2 = R"({"id":"l2","class":"notice","destination":7,"deadline_ms":28000})";
  half.send("POST /v1/messages:batch HTTP/1.1\r\nHost: x\r\nContent-Length: " +
            std::to_string(l1.size() + l2.size() + 2) + "\r\n\r\n" + l1 + "\n" + l2.substr(0, 20));
  ASSERT_EQ(404, between.ask("GET", "/v1/messages/unheard").status);
  ASSERT_TRUE(f.endpoint.waitFor(2));  // both are taken on and out
  f.program.signal(SIGTERM);
  ASSERT_TRUE(f.program.waitForLog("stopping"));
  const HttpReply told = waits.reply();
  EXPECT_EQ(202, told.status);
  EXPECT_TRUE(waits.ended());
  EXPECT_TRUE(between.ended());
  half.send(l2.substr(20) + "\n");
  const auto lines = half.reply().lines();
  ASSERT_EQ(2u, lines.size());
  EXPECT_EQ(202, lines[0]["status"]);
  EXPECT_EQ(503, lines[1]["status"]);
  EXPECT_TRUE(half.ended());
  const HttpReply late = f.put("late", messageDocument("notice", 7));
  EXPECT_EQ(503, late.status);
  EXPECT_EQ("1", late.field("Retry-After"));
  EXPECT_EQ("close", late.field("Connection"));
  const int status = f.program.wait();
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  const Journal kept(f.folder.path(), 3'000'000);
  std::set<std::string> ids;
  for (const auto& e : kept.recovered().entries)
    ids.insert(e.message.id);
  EXPECT_EQ((std::set<std::string>{"l1", "waits"}), ids);
}

// Risk: a process that can't begin has cut, compacted or claimed the journal of another.
TEST(TwoDoors, AnAddressThatCantBeHadIsALineAStatusAndNoTouchOfTheJournal) {
  TempFolder t;
  Listener taken;
  const std::string journal = t.path() + "/journal", torn = "\xA7GJ1 not a whole record";
  std::ofstream(journal, std::ios::binary) << torn;
  std::ofstream(t.path() + "/journal.new", std::ios::binary) << "rest";
  json config{{"name", "n0"},
              {"seed", "1"},
              {"listen", "127.0.0.1:" + std::to_string(harness::ownPort())},
              {"discovery", closedAddress()},
              {"settings", plainSettings()}};
  const std::string path = t.path() + "-config.json", daemon = t.path() + "-daemon.toml",
                    log = t.path() + "-log";
  for (const bool second : {false, true}) {
    if (second)
      config["listen"] = taken.address();
    std::ofstream(path) << config.dump();
    std::ofstream(daemon) << httpDoor(second ? harness::ownPort() : taken.port);
    std::filesystem::remove(log);
    int status = 0;
    ASSERT_GT(::waitpid(Program::spawn(path, t.path(), {}, {"--daemon", daemon}, log), &status, 0), 0);
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 2);
    std::ifstream f(log);
    const std::string said{std::istreambuf_iterator<char>(f), {}};
    EXPECT_EQ(1, std::count(said.begin(), said.end(), '\n')) << said;
    EXPECT_NE(std::string::npos, said.find(taken.address())) << said;
    std::ifstream j(journal, std::ios::binary);
    EXPECT_EQ(torn, (std::string{std::istreambuf_iterator<char>(j), {}}));
    EXPECT_TRUE(std::filesystem::exists(t.path() + "/journal.new"));
  }
  for (const std::string& f : {path, daemon, log})
    std::filesystem::remove(f);
}

TEST(TwoDoors, SighupAddsMovesAndRemovesADoorWhileRequestsAreOpen) {
  std::atomic<bool> silent{true};
  HttpFleet f([&](const Seen&) { return silent ? Act{} : Act{answer("200 OK")}; });
  HttpClient waits(f.http);
  waits.send(
      HttpClient::request("PUT", "/v1/messages/waits", "Prefer: wait=25\r\n", messageDocument("notice", 7)));
  ASSERT_TRUE(f.endpoint.waitFor(1));
  // Moved: the open request is answered, the new address serves, the old one refuses.
  const int old_port = f.http;
  f.http = harness::ownPort();
  f.program.writeDaemon(httpDoor(f.http) + httpDoor(harness::ownPort(), "max_connections = 3\n"));
  f.program.signal(SIGHUP);
  EXPECT_EQ(202, waits.reply().status);
  EXPECT_TRUE(waits.ended());
  ASSERT_TRUE(f.program.waitForLog("file_reloaded doors=2"));
  EXPECT_TRUE(eventually([&] { return !HttpClient(old_port).connected(); }));
  EXPECT_EQ(202, f.put("moved", messageDocument("notice", 7)).status);
  // A file with a mistake, an address that is taken, and more connections than there are: the old one stays.
  Listener taken;
  int before = 0;
  for (const std::string& text : {httpDoor(f.http, "colour = 1\n"), httpDoor(taken.port),
                                  httpDoor(f.http, "max_connections = 5000\n")}) {
    f.program.writeDaemon(text);
    f.program.signal(SIGHUP);
    ++before;
    ASSERT_TRUE(eventually([&] {
      const std::string log = f.program.log();
      int n = 0;
      for (std::size_t at = 0; (at = log.find("daemon.file_rejected", at)) != std::string::npos; ++at)
        ++n;
      return n == before;
    })) << text;
    EXPECT_EQ(202, f.put("still" + std::to_string(before), messageDocument("notice", 7)).status);
  }
  // Removed: nothing listens there any more, the platform's own door goes on.
  f.program.writeDaemon("# none\n");
  f.program.signal(SIGHUP);
  ASSERT_TRUE(f.program.waitForLog("file_reloaded doors=0"));
  EXPECT_TRUE(eventually([&] { return !HttpClient(f.http).connected(); }));
  Client resp(f.program.port());
  silent = false;
  EXPECT_EQ("+OK", resp.put("resp", "notice", 7));
}

TEST(TwoDoors, ASecondRespDoorTakesTheSameMessages) {
  TempFolder t;
  Agent agent;
  Server endpoint(deliver);
  const int port = harness::ownPort();
  Program p(t.path(), agent.address(), json::array({listed("e1", endpoint.address(), 7)}), 3, plainSettings(),
            1024, "[[door]]\nkind = \"resp\"\nlisten = \"127.0.0.1:" + std::to_string(port) + "\"\n");
  Client first(p.port()), second(port);
  EXPECT_EQ("+OK", first.put("a", "payment", 7));
  EXPECT_EQ("+OK", second.put("a", "payment", 7));
  EXPECT_EQ("+OK", second.put("b", "payment", 7));
  ASSERT_TRUE(endpoint.waitFor(2));
  EXPECT_EQ("b", endpoint.seen()[1].field("X-Txn"));
}

}  // namespace
}  // namespace grademux
