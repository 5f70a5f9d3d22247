// A program with the platform's listener and an HTTP listener: the same id at both, drains, SIGTERM, SIGHUP,
// and addresses in use.
#include "../../src/core/journal.h"
#include "../support/http_client.h"

namespace grademux {
namespace {

using namespace loopback;

Act deliver(const Seen&) {
  return {answer("200 OK")};
}
Act neverAnswer(const Seen&) {
  return {};
}

std::string respPut(const std::string& id, const std::string& message_class,
                    const std::string& body = "body") {
  return Client::request({"MSG.PUT", "0000000000000000", id, "c=" + message_class + ",d=28000,dest=7", body});
}

// An attempt times out after a multiple of the usual latency. For an endpoint that answers within 0.1 ms,
// that timeout is shorter than the delays of a busy machine; for an endpoint that answers after 20 ms, it is
// longer.
Act deliverAtAPace(const Seen& seen) {
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  return deliver(seen);
}

// Guards against a message that is submitted at both listeners within one iteration, and that fails at one of
// them or is executed twice.
TEST(TwoListeners, SameIdAtBothListenersIsOneMessage) {
  HttpFleet environment(deliverAtAPace);
  for (int i = 0; i < 20; ++i) {
    const std::string id = "m" + std::to_string(i);
    const std::string put = HttpClient::request("PUT", "/v1/messages/" + id, "Prefer: wait=30\r\n",
                                                messageDocument("payment", 7));
    Client resp(environment.program.port());
    HttpClient http(environment.http);
    if (i % 2 == 0)
      resp.send(respPut(id, "payment"));
    http.send(put);
    if (i % 2 == 1)
      resp.send(respPut(id, "payment"));
    EXPECT_EQ("+OK", resp.line());
    EXPECT_EQ("delivered", http.reply().document()["state"]);
  }
  std::map<std::string, int> runs;
  for (const Seen& request : environment.endpoint.seen())
    ++runs[request.field("X-Txn")];
  EXPECT_EQ(20u, runs.size());
  for (const auto& [id, count] : runs)
    EXPECT_EQ(1, count) << id;
}

TEST(TwoListeners, SameIdWithOtherContentIsAConflictAtBoth) {
  HttpFleet environment(neverAnswer);
  Client resp(environment.program.port());
  EXPECT_EQ(202, environment.put("a", messageDocument("notice", 7, "one")).status);
  EXPECT_EQ(0u, resp.ask({"MSG.PUT", "0", "a", "c=notice,d=28000,dest=7", "two"}).find("-ERR"));
  EXPECT_EQ("+OK", resp.ask({"MSG.PUT", "0", "a", "c=notice,d=9000,dest=7",
                             "one"}));  // the deadline is not part of the content
  EXPECT_EQ(409, environment.put("a", messageDocument("payment", 7, "one")).status);
  EXPECT_EQ(202, environment.put("a", messageDocument("notice", 7, "one")).status);
}

// Guards against a message that was delivered before a kill and is sent again when its id arrives at the
// other listener afterwards.
TEST(TwoListeners, IdDeliveredBeforeAKillIsNotSentAgain) {
  HttpFleet environment(deliver);
  Client before(environment.program.port());
  before.send(respPut("once", "payment"));
  ASSERT_EQ("+OK", before.line());
  ASSERT_TRUE(environment.waitForState("once", "delivered"));
  environment.program.kill();
  environment.program.start();
  const HttpReply reply = environment.put("once", messageDocument("payment", 7));
  EXPECT_EQ(200, reply.status);
  EXPECT_EQ("delivered", reply.document()["state"]);
  EXPECT_EQ(409, environment.put("once", messageDocument("payment", 7, "other")).status);
  ASSERT_EQ(202, environment.put("next", messageDocument("payment", 7)).status);
  ASSERT_TRUE(environment.endpoint.waitFor(2));
  EXPECT_EQ("next", environment.endpoint.seen()[1].field("X-Txn"));
}

TEST(TwoListeners, IdOpenDuringAKillStaysOneMessage) {
  std::atomic<bool> silent{true};
  HttpFleet environment([&](const Seen&) { return silent ? Act{} : Act{answer("200 OK")}; });
  ASSERT_EQ(202, environment.put("safe", messageDocument("notice", 7)).status);
  ASSERT_EQ(202, environment.put("unsafe", messageDocument("payment", 7)).status);
  ASSERT_TRUE(environment.endpoint.waitFor(2));
  environment.program.kill();
  environment.program.start();
  Client resp(environment.program.port());
  resp.send(respPut("safe", "notice"));
  EXPECT_EQ("+OK", resp.line());
  resp.send(respPut("unsafe", "payment"));
  EXPECT_EQ("+OK", resp.line());
  silent = false;
  ASSERT_TRUE(environment.waitForState("safe", "delivered"));
  ASSERT_TRUE(environment.waitForState("unsafe", "given_up"));
  ASSERT_TRUE(environment.agent.waitForNotice("unsafe"));
  int runs = 0;
  for (const Seen& request : environment.endpoint.seen())
    runs += request.field("X-Txn") == "unsafe";
  EXPECT_EQ(1, runs);
  // A final outcome that a notice has reported is remembered after a kill, too.
  environment.program.kill();
  environment.program.start();
  EXPECT_EQ("given_up", environment.put("unsafe", messageDocument("payment", 7)).document()["state"]);
}

// Once the list with the drain has been read and the drain grace is over, no attempt starts at the drained
// endpoint, whichever listener the message came from.
TEST(TwoListeners, DrainAppliesToBothUnderLoad) {
  HttpFleet environment(deliver);
  Server other(deliver);
  std::atomic<bool> stop{false};
  std::vector<std::thread> floods;
  for (int d = 0; d < 4; ++d)
    floods.emplace_back([&, d] {
      Client resp(environment.program.port());
      HttpClient http(environment.http);
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
  ASSERT_TRUE(environment.endpoint.waitFor(50));
  environment.agent.tell(json::array(
      {listed("e1", environment.endpoint.address(), 7, "Terminating"), listed("e2", other.address(), 7)}));
  ASSERT_TRUE(environment.agent.waitForWatch(2));
  ASSERT_TRUE(other.waitFor(20));
  std::this_thread::sleep_for(1s);  // four times the drain grace
  const std::size_t drained_requests = environment.endpoint.seen().size(),
                    other_requests = other.seen().size();
  ASSERT_TRUE(other.waitFor(other_requests + 50));
  EXPECT_EQ(drained_requests, environment.endpoint.seen().size());
  stop = true;
  for (auto& thread : floods)
    thread.join();
}

// Guards against a request that is open at SIGTERM and ends without an answer, or whose message is lost.
TEST(TwoListeners, SigtermAnswersAllOpenRequests) {
  HttpFleet environment(neverAnswer);
  HttpClient waiting(environment.http), partial(environment.http), idle(environment.http);
  Client resp(environment.program.port());
  ASSERT_EQ("+PONG", resp.ask({"PING"}));
  waiting.send(
      HttpClient::request("PUT", "/v1/messages/waits", "Prefer: wait=25\r\n", messageDocument("notice", 7)));
  const std::string l1 = R"({"id":"l1","class":"notice","destination":7,"deadline_ms":28000})";
  const std::string l2 = R"({"id":"l2","class":"notice","destination":7,"deadline_ms":28000})";
  partial.send("POST /v1/messages:batch HTTP/1.1\r\nHost: x\r\nContent-Length: " +
               std::to_string(l1.size() + l2.size() + 2) + "\r\n\r\n" + l1 + "\n" + l2.substr(0, 20));
  ASSERT_EQ(404, idle.ask("GET", "/v1/messages/unheard").status);
  ASSERT_TRUE(environment.endpoint.waitFor(2));  // both messages are accepted and in flight
  environment.program.signal(SIGTERM);
  ASSERT_TRUE(environment.program.waitForLog("stopping"));
  const HttpReply answered = waiting.reply();
  EXPECT_EQ(202, answered.status);
  EXPECT_TRUE(waiting.ended());
  EXPECT_TRUE(idle.ended());
  partial.send(l2.substr(20) + "\n");
  const auto lines = partial.reply().lines();
  ASSERT_EQ(2u, lines.size());
  EXPECT_EQ(202, lines[0]["status"]);
  EXPECT_EQ(503, lines[1]["status"]);
  EXPECT_TRUE(partial.ended());
  const HttpReply late = environment.put("late", messageDocument("notice", 7));
  EXPECT_EQ(503, late.status);
  EXPECT_EQ("1", late.field("Retry-After"));
  EXPECT_EQ("close", late.field("Connection"));
  const int status = environment.program.wait();
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  const Journal journal(environment.folder.path(), 3'000'000);
  std::set<std::string> ids;
  for (const auto& entry : journal.recovered().entries)
    ids.insert(entry.message.id);
  EXPECT_EQ((std::set<std::string>{"l1", "waits"}), ids);
}

// Guards against a process that can't start and has truncated, compacted or locked the journal of another
// process.
TEST(TwoListeners, AddressInUseIsReportedAndTheJournalStaysUnchanged) {
  TempFolder folder;
  Listener in_use;
  const std::string journal = folder.path() + "/journal", torn = "\xA7GJ1 not a whole record";
  std::ofstream(journal, std::ios::binary) << torn;
  std::ofstream(folder.path() + "/journal.new", std::ios::binary) << "rest";
  json config{{"name", "n0"},
              {"seed", "1"},
              {"listen", "127.0.0.1:" + std::to_string(harness::ownPort())},
              {"discovery", closedAddress()},
              {"settings", plainSettings()}};
  const std::string path = folder.path() + "-config.json", daemon = folder.path() + "-daemon.toml",
                    log = folder.path() + "-log";
  for (const bool second : {false, true}) {
    if (second)
      config["listen"] = in_use.address();
    std::ofstream(path) << config.dump();
    std::ofstream(daemon) << httpDoor(second ? harness::ownPort() : in_use.port);
    std::filesystem::remove(log);
    int status = 0;
    ASSERT_GT(::waitpid(Program::spawn(path, folder.path(), {}, {"--daemon", daemon}, log), &status, 0), 0);
    EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 2);
    std::ifstream log_file(log);
    const std::string output{std::istreambuf_iterator<char>(log_file), {}};
    EXPECT_EQ(1, std::count(output.begin(), output.end(), '\n')) << output;
    EXPECT_NE(std::string::npos, output.find(in_use.address())) << output;
    std::ifstream journal_file(journal, std::ios::binary);
    EXPECT_EQ(torn, (std::string{std::istreambuf_iterator<char>(journal_file), {}}));
    EXPECT_TRUE(std::filesystem::exists(folder.path() + "/journal.new"));
  }
  for (const std::string& file : {path, daemon, log})
    std::filesystem::remove(file);
}

TEST(TwoListeners, SighupAddsMovesAndRemovesAListenerWithOpenRequests) {
  std::atomic<bool> silent{true};
  HttpFleet environment([&](const Seen&) { return silent ? Act{} : Act{answer("200 OK")}; });
  HttpClient waits(environment.http);
  waits.send(
      HttpClient::request("PUT", "/v1/messages/waits", "Prefer: wait=25\r\n", messageDocument("notice", 7)));
  ASSERT_TRUE(environment.endpoint.waitFor(1));
  // Moved: the open request is answered, the new address accepts connections, and the old one rejects them.
  const int old_port = environment.http;
  environment.http = harness::ownPort();
  environment.program.writeDaemon(httpDoor(environment.http) +
                                  httpDoor(harness::ownPort(), "max_connections = 3\n"));
  environment.program.signal(SIGHUP);
  EXPECT_EQ(202, waits.reply().status);
  EXPECT_TRUE(waits.ended());
  ASSERT_TRUE(environment.program.waitForLog("file_reloaded doors=2"));
  EXPECT_TRUE(eventually([&] { return !HttpClient(old_port).connected(); }));
  EXPECT_EQ(202, environment.put("moved", messageDocument("notice", 7)).status);
  // A file with a mistake, an address in use, and more connections than there are descriptors: the old
  // configuration stays in force.
  Listener in_use;
  int before = 0;
  for (const std::string& text : {httpDoor(environment.http, "colour = 1\n"), httpDoor(in_use.port),
                                  httpDoor(environment.http, "max_connections = 5000\n")}) {
    environment.program.writeDaemon(text);
    environment.program.signal(SIGHUP);
    ++before;
    ASSERT_TRUE(eventually([&] {
      const std::string log = environment.program.log();
      int count = 0;
      for (std::size_t at = 0; (at = log.find("daemon.file_rejected", at)) != std::string::npos; ++at)
        ++count;
      return count == before;
    })) << text;
    EXPECT_EQ(202, environment.put("still" + std::to_string(before), messageDocument("notice", 7)).status);
  }
  // Removed: nothing listens at that address, and the platform's listener continues.
  environment.program.writeDaemon("# none\n");
  environment.program.signal(SIGHUP);
  ASSERT_TRUE(environment.program.waitForLog("file_reloaded doors=0"));
  EXPECT_TRUE(eventually([&] { return !HttpClient(environment.http).connected(); }));
  Client resp(environment.program.port());
  silent = false;
  EXPECT_EQ("+OK", resp.put("resp", "notice", 7));
}

TEST(TwoListeners, SecondRespListenerAcceptsTheSameMessages) {
  TempFolder folder;
  Agent agent;
  Server endpoint(deliver);
  const int port = harness::ownPort();
  Program program(folder.path(), agent.address(), json::array({listed("e1", endpoint.address(), 7)}), 3,
                  plainSettings(), 1024,
                  "[[door]]\nkind = \"resp\"\nlisten = \"127.0.0.1:" + std::to_string(port) + "\"\n");
  Client first(program.port()), second(port);
  EXPECT_EQ("+OK", first.put("a", "payment", 7));
  EXPECT_EQ("+OK", second.put("a", "payment", 7));
  EXPECT_EQ("+OK", second.put("b", "payment", 7));
  ASSERT_TRUE(endpoint.waitFor(2));
  EXPECT_EQ("b", endpoint.seen()[1].field("X-Txn"));
}

}  // namespace
}  // namespace grademux
