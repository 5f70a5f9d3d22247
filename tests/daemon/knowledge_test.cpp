// The learned state of the complete program: after kills, with a damaged file, and when the file can't be
// written.
#include <algorithm>

#include "../../src/core/clock.h"
#include "../../src/core/journal.h"
#include "../../src/knowledge/learned_state_store.h"
#include "../support/command.h"
#include "../support/loopback.h"
#include "../support/program_paths.h"

namespace grademux {
namespace {

using namespace loopback;
namespace fs = std::filesystem;

const char* const kKeepLearnedState =
    "[knowledge]\nkeep = true\ninterval = \"100 ms\"\n[log.parts]\nknowledge = \"debug\"\n";

struct SenderEnvironment {
  explicit SenderEnvironment(Server::Script script, const char* daemon_file = kKeepLearnedState)
      : endpoint(std::move(script)),
        program(folder.path(), agent.address(), json::array({listed("e1", endpoint.address(), 7)}), 3,
                plainSettings(), 1024, daemon_file) {}
  std::string learnedStatePath() const { return knowledge::LearnedStateStore::pathIn(folder.path()); }
  std::string learnedStateBytes() const {
    std::ifstream file(learnedStatePath(), std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
  }
  // Delivers some messages and waits until the learned state of the destination is stored.
  void deliverAndWaitForLearnedState(const std::string& prefix = "m") {
    Client client(program.port());
    for (int i = 0; i < 12; ++i)
      EXPECT_EQ(client.put(prefix + std::to_string(i), "notice", 7), "+OK");
    EXPECT_TRUE(eventually([&] {
      for (const knowledge::LearnedRecord& record :
           knowledge::loadLearnedState(learnedStatePath(), "n0").state.records)
        if (record.learned.endpoint.empty() && record.learned.samples >= 12)
          return true;
      return false;
    })) << program.log();
  }
  // Sends SIGTERM and returns the wait status.
  int terminate() {
    program.signal(SIGTERM);
    return program.wait();
  }
  int countInLog(const std::string& word) const {
    const std::string log = program.log();
    int count = 0;
    for (std::size_t at = log.find(word); at != std::string::npos; at = log.find(word, at + 1))
      ++count;
    return count;
  }
  TempFolder folder;
  Agent agent;
  Server endpoint;
  Program program;
};

Act deliver(const Seen&) {
  return {answer("200 OK", "X-Pressure: x0=0.9,x1=42\r\n")};
}

TEST(Knowledge, SurvivesAKillAndCanBeShownAndForgotten) {
  SenderEnvironment environment(deliver);
  environment.deliverAndWaitForLearnedState();
  environment.program.kill();
  int status = 0;
  const std::string log = environment.folder.path() + "-out";
  json shown = json::parse(
      outputOf({senderProgram(), "knowledge", "show", "--json", environment.folder.path()}, log, status),
      nullptr, false);
  EXPECT_EQ(status, 0);
  ASSERT_TRUE(shown.is_object()) << shown;
  EXPECT_EQ(shown["sender"], "n0");
  bool endpoint = false;
  for (const json& record : shown["known"]) {
    EXPECT_EQ(record["destination"], 7);
    if (!record.contains("endpoint")) {
      EXPECT_EQ(record["limit"], 42);
      EXPECT_GT(record["trust"]["limit"], 0.9);
    } else {
      endpoint = true;
      EXPECT_EQ(record["address"], environment.endpoint.address());
    }
  }
  EXPECT_TRUE(endpoint);
  const std::string table =
      outputOf({senderProgram(), "knowledge", "show", environment.folder.path()}, log, status);
  EXPECT_NE(table.find("42 (1.00)"), std::string::npos) << table;
  environment.program.start();
  EXPECT_EQ(environment.countInLog("knowledge.read records=2"), 1) << environment.program.log();
  environment.deliverAndWaitForLearnedState("n");
  environment.program.kill();
  EXPECT_NE(
      outputOf({senderProgram(), "knowledge", "forget", environment.folder.path(), "--destination", "8"}, log,
               status)
          .find("forgotten: 0"),
      std::string::npos);
  EXPECT_EQ(status, 2);
  outputOf({senderProgram(), "knowledge", "forget", environment.folder.path(), "--destination", "7"}, log,
           status);
  EXPECT_EQ(status, 0);
  EXPECT_TRUE(knowledge::loadLearnedState(environment.learnedStatePath(), "n0").state.records.empty());
  outputOf({senderProgram(), "knowledge", "forget", environment.folder.path()}, log, status);
  EXPECT_FALSE(fs::exists(environment.learnedStatePath()));
  EXPECT_NE(outputOf({senderProgram(), "knowledge", "show", environment.folder.path()}, log, status)
                .find("nothing is kept"),
            std::string::npos);
  EXPECT_EQ(status, 2);
  fs::remove(log);
}

// Guards against a damaged file that keeps the program from serving, or that is ignored without a log line.
TEST(Knowledge, DamagedFileIsLoggedOnceAndServiceStarts) {
  SenderEnvironment environment(deliver);
  environment.deliverAndWaitForLearnedState();
  environment.program.kill();
  const std::string good = environment.learnedStateBytes();
  ASSERT_GT(good.size(), 100u);
  const auto with_flipped_bit = [&](std::size_t at) {
    std::string bytes = good;
    bytes[at] = static_cast<char>(bytes[at] ^ 0x40);
    return bytes;
  };
  std::string of_other_sender = good;
  of_other_sender.replace(of_other_sender.find("n0"), 2, "n4");  // the checksum is wrong as well
  int rejected = 0, damaged = 0, starts = 0;
  for (const std::string& bytes :
       {std::string(), good.substr(0, 5), good.substr(0, 40), with_flipped_bit(20), of_other_sender,
        std::string(5000, 'x'), with_flipped_bit(good.size() - 3), good.substr(0, good.size() - 1)}) {
    std::ofstream(environment.learnedStatePath(), std::ios::binary) << bytes;
    environment.program.start();
    Client client(environment.program.port());
    EXPECT_EQ(client.put("s" + std::to_string(starts), "notice", 7), "+OK");
    EXPECT_TRUE(environment.endpoint.waitFor(static_cast<std::size_t>(12 + ++starts)));
    environment.program.kill();
    const int lines =
        environment.countInLog("knowledge.rejected") + environment.countInLog("knowledge.damaged");
    EXPECT_EQ(lines, rejected + damaged + 1) << starts << environment.program.log();
    rejected = environment.countInLog("knowledge.rejected");
    damaged = environment.countInLog("knowledge.damaged");
  }
  EXPECT_EQ(rejected, 6);
  EXPECT_EQ(damaged, 2);
}

TEST(Knowledge, WriteFailureIsLoggedOnceAndServiceContinues) {
  SenderEnvironment environment(deliver);
  environment.deliverAndWaitForLearnedState();
  environment.program.kill();
  const std::string before = environment.learnedStateBytes();
  fs::remove(environment.learnedStatePath() + ".new");
  fs::create_directory(environment.learnedStatePath() + ".new");
  std::ofstream(environment.learnedStatePath() + ".new/in-the-way") << "x";
  environment.program.start();
  {
    Client client(environment.program.port());
    EXPECT_EQ(client.put("a", "notice", 7), "+OK");
    EXPECT_TRUE(environment.endpoint.waitFor(13));
    EXPECT_TRUE(eventually([&] { return environment.countInLog("knowledge.write_failed") == 1; }))
        << environment.program.log();
    std::this_thread::sleep_for(400ms);  // several more writes fail
    EXPECT_EQ(client.put("b", "notice", 7), "+OK");
    EXPECT_TRUE(environment.endpoint.waitFor(14));
  }
  EXPECT_EQ(environment.countInLog("knowledge.write_failed"), 1);
  EXPECT_EQ(environment.learnedStateBytes(), before);
  fs::remove_all(environment.learnedStatePath() + ".new");
  // The file is written again.
  EXPECT_TRUE(eventually([&] { return environment.learnedStateBytes() != before; }));
}

TEST(Knowledge, PlannedShutdownStoresTheLatestState) {
  SenderEnvironment environment(deliver, "[knowledge]\nkeep = true\ninterval = \"1 h\"\n");
  {
    Client client(environment.program.port());
    for (int i = 0; i < 5; ++i)
      EXPECT_EQ(client.put("m" + std::to_string(i), "notice", 7), "+OK");
    EXPECT_TRUE(environment.endpoint.waitFor(5));
    client.ask({"PING"});
  }
  EXPECT_EQ(environment.terminate(), 0);
  const auto records = knowledge::loadLearnedState(environment.learnedStatePath(), "n0").state.records;
  ASSERT_EQ(records.size(), 2u) << environment.program.log();
  EXPECT_EQ(records[0].learned.samples, 5);
}

TEST(Knowledge, IsNotStoredByDefaultOnAPlatform) {
  SenderEnvironment environment(deliver, "");
  {
    Client client(environment.program.port());
    EXPECT_EQ(client.put("m", "notice", 7), "+OK");
    EXPECT_TRUE(environment.endpoint.waitFor(1));
  }
  EXPECT_EQ(environment.terminate(), 0);
  EXPECT_FALSE(fs::exists(environment.learnedStatePath()));
}

// True if a process that starts now reads a Retry-After from the journal. Reads a copy of the journal.
bool hasJournaledRetryAfter(const std::string& folder) {
  TempFolder copy;
  std::error_code changing;  // a file may be removed during the copy: the next check sees it
  fs::copy(folder, copy.path(), fs::copy_options::recursive, changing);
  const Journal journal(copy.path(), 3'000'000);
  const auto& health = journal.recovered().health;
  return std::any_of(health.begin(), health.end(),
                     [](const DestinationHealth& destination) { return destination.retry_after_until > 0; });
}

// A Retry-After holds also after a kill at any moment: it is in the journal before the next attempt.
TEST(Knowledge, RetryAfterHoldsInTheNextProcess) {
  std::atomic<Micros> rejected_at{0}, retried_at{0};
  SenderEnvironment environment(
      [&](const Seen&) {
        if (rejected_at == 0) {
          rejected_at = monotonicNow();
          return Act{answer("503 Busy", "Retry-After: 4\r\n")};
        }
        if (retried_at == 0)
          retried_at = monotonicNow();
        return Act{answer("200 OK")};
      },
      "");
  {
    Client client(environment.program.port());
    EXPECT_EQ(client.put("m", "notice", 7), "+OK");
    ASSERT_TRUE(eventually([&] { return hasJournaledRetryAfter(environment.folder.path()); }))
        << environment.program.log();
  }
  environment.program.kill();
  environment.program.start();
  ASSERT_TRUE(environment.endpoint.waitFor(2));
  ASSERT_TRUE(eventually([&] { return retried_at != 0; }));  // a request is seen just before its script runs
  EXPECT_GE(retried_at - rejected_at, 4'000'000);
}

}  // namespace
}  // namespace grademux
