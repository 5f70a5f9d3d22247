// The journal on files: recovery after a kill, torn and damaged records, the disk budget.
#include "../../src/core/journal.h"

#include <gtest/gtest.h>
#include <sys/stat.h>
#include <zlib.h>

#include <filesystem>
#include <fstream>

#include "../support/loopback.h"

namespace grademux {
namespace {

using loopback::TempFolder;

AcceptedMessage message(const std::string& id, std::size_t size = 20) {
  AcceptedMessage m;
  m.id = id;
  m.message_class = "payment";
  m.idempotency_key = "key" + id;
  m.body = std::string(size, 'b') + '\0' + "\r\n";
  m.destination = 7;
  m.deadline = 123456789;
  return m;
}

std::string readFile(const std::string& path) {
  std::ifstream f(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(f), {}};
}
void writeFile(const std::string& path, const std::string& data) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << data;
}

TEST(Journal, RecoversOpenMessagesInTheOrderOfAcceptance) {
  TempFolder t;
  {
    Journal j(t.path(), 3'000'000);
    j.recordAccepted(message("b"));
    j.recordAccepted(message("a"));
    j.recordAccepted(message("c"));
    j.recordAttempt("a", {"e1", 55, false});
    j.recordAttempt("a", {"e2", 66, false});
    j.recordNeverExecuted("a", 0);
    j.recordFinished("c", {});
    j.recordNoticePending("b", {true, 250, 0});
    j.recordHealth({"", 7, false, 11});
    j.recordHealth({"", 7, true, 99});
    ASSERT_TRUE(j.recordEndpointList({{"e1", "{\"name\":\"e1\"}"}}, 4, true));
    ASSERT_TRUE(j.flush());
  }
  Journal j(t.path(), 3'000'000);
  const auto& r = j.recovered();
  ASSERT_EQ(2u, r.entries.size());
  EXPECT_EQ("b", r.entries[0].message.id);
  EXPECT_TRUE(r.entries[0].notice_pending && r.entries[0].notice.returned);
  EXPECT_EQ(250, r.entries[0].notice.retry_after_ms);
  const auto& a = r.entries[1];
  EXPECT_EQ(message("a").body, a.message.body);
  EXPECT_EQ("keya", a.message.idempotency_key);
  EXPECT_EQ(7, a.message.destination);
  EXPECT_EQ(123456789, a.message.deadline);
  ASSERT_EQ(2u, a.attempts.size());
  EXPECT_TRUE(a.attempts[0].never_executed);
  EXPECT_FALSE(a.attempts[1].never_executed);
  EXPECT_EQ("e2", a.attempts[1].endpoint);
  EXPECT_EQ(66, a.attempts[1].sent_at);
  ASSERT_EQ(1u, r.health.size());  // the latest of a destination
  EXPECT_TRUE(r.health[0].down);
  EXPECT_EQ(99, r.health[0].warming_since);
  EXPECT_EQ(r.endpoint_list, std::vector<std::string>{"{\"name\":\"e1\"}"});
  EXPECT_EQ(4, r.list_index);
  EXPECT_FALSE(r.torn_tail);
  EXPECT_EQ(0u, r.damaged_ranges);
}

constexpr std::size_t kEpochRecord = 12 + 1 + 8;  // bytes

TEST(Journal, TruncatesATornTailOfAnyLengthAndKeepsTheRest) {
  TempFolder t;
  const std::string path = t.path() + "/journal";
  {
    Journal j(t.path(), 3'000'000);
    j.recordAccepted(message("a"));
    ASSERT_TRUE(j.flush());
  }
  const std::string first = readFile(path);
  {
    Journal j(t.path(), 3'000'000);
    j.recordAccepted(message("b"));
    ASSERT_TRUE(j.flush());
  }
  const std::string both = readFile(path);
  for (std::size_t size = first.size(); size < both.size(); ++size) {
    writeFile(path, both.substr(0, size));
    {
      Journal j(t.path(), 3'000'000);
      ASSERT_EQ(1u, j.recovered().entries.size()) << size;
      // Cut right after the record of the second owner's epoch nothing is torn.
      EXPECT_EQ(size > first.size() && size != first.size() + kEpochRecord, j.recovered().torn_tail) << size;
      j.recordAccepted(message("c"));  // records after the truncation are intact
      ASSERT_TRUE(j.flush());
    }
    Journal again(t.path(), 3'000'000);
    ASSERT_EQ(2u, again.recovered().entries.size()) << size;
  }
}

// A damaged record may have been an attempt of an open message: the message must not be sent as if it had
// none.
TEST(Journal, SkipsADamagedRecordAndAssumesAttemptsOfOpenMessages) {
  TempFolder t;
  const std::string path = t.path() + "/journal";
  std::size_t before = 0;
  {
    Journal j(t.path(), 3'000'000);
    j.recordAccepted(message("a"));
    ASSERT_TRUE(j.flush());
    before = std::filesystem::file_size(path);
    j.recordAttempt("a", {"e1", 55, false});
    ASSERT_TRUE(j.flush());
    j.recordAccepted(message("b"));
    ASSERT_TRUE(j.flush());
  }
  const std::string whole = readFile(path);
  for (std::size_t at = before; at < before + 20; ++at) {
    std::string data = whole;
    data[at] = static_cast<char>(data[at] ^ 0x55);
    writeFile(path, data);
    Journal j(t.path(), 3'000'000);
    const auto& r = j.recovered();
    ASSERT_EQ(2u, r.entries.size()) << at;
    EXPECT_EQ(1u, r.damaged_ranges);
    ASSERT_EQ(1u, r.entries[0].attempts.size());
    EXPECT_FALSE(r.entries[0].attempts[0].never_executed);
    EXPECT_TRUE(r.entries[1].attempts.empty());  // accepted after the damage
  }
}

std::uint64_t onDisk(const std::string& folder) {
  std::uint64_t sum = 0;
  for (const auto& f : std::filesystem::directory_iterator(folder))
    sum += (f.file_size() + 511) / 512 * 512;
  return sum;
}

// Exceeding the budget would end the process: messages that do not fit are rejected, and finished ones free
// space.
TEST(Journal, StaysWithinTheDiskBudgetDuringCompaction) {
  TempFolder t;
  const std::uint64_t budget = 1'000'000;
  Journal j(t.path(), budget);
  int taken = 0, refused = 0;
  std::vector<std::string> open;
  for (int i = 0; i < 3000; ++i) {
    const AcceptedMessage m = message("m" + std::to_string(i), 3000);
    if (!j.reserveSpace(m)) {
      ++refused;
      ASSERT_FALSE(open.empty());
      j.dropUnwritten(open.front());
      open.erase(open.begin());
    } else {
      ++taken;
      j.recordAccepted(m);
      open.push_back(m.id);
      for (int a = 0; a < 12; ++a)
        j.recordAttempt(m.id, {"s-5be2a07c", i, false});
    }
    ASSERT_TRUE(j.flush()) << i;
    ASSERT_LE(onDisk(t.path()), budget);
  }
  EXPECT_GT(taken, 1000);
  EXPECT_GT(refused, 1000);
  Journal again(t.path(), budget);
  EXPECT_EQ(open.size(), again.recovered().entries.size());
}

// Risk: an id whose message finished before a restart is accepted again, and executes twice.
TEST(Journal, RemembersFinishedMessagesAcrossRestartAndCompactionUntilTheyExpire) {
  TempFolder t;
  const FinishedMessage delivered{{FinalStatus::delivered, 5, 0}, 77, 1000},
      back{{FinalStatus::returned, 6, 250}, 78, 2000};
  {
    Journal j(t.path(), 3'000'000);
    for (const char* id : {"a", "b", "c"})
      j.recordAccepted(message(id));
    j.recordFinished("a", delivered);
    j.recordNoticePending("b", {true, 1, 9});
    j.dropUnwritten("c");
    ASSERT_TRUE(j.flush());
  }
  {
    Journal j(t.path(), 3'000'000);
    ASSERT_EQ(1u, j.recovered().entries.size());
    EXPECT_EQ(9, j.recovered().entries[0].notice.at);
    ASSERT_NE(nullptr, j.findFinished("a"));
    EXPECT_EQ(77u, j.findFinished("a")->digest);
    EXPECT_EQ(nullptr, j.findFinished("b"));  // not before its notice is delivered
    EXPECT_EQ(nullptr, j.findFinished("c"));
    j.recordFinished("b", back);
    for (int i = 0; i < 3000; ++i) {  // until it is compacted
      j.recordAccepted(message("x", 1000));
      j.dropUnwritten("x");
      ASSERT_TRUE(j.flush());
    }
    EXPECT_LT(std::filesystem::file_size(t.path() + "/journal"), 1'500'000u);
  }
  Journal j(t.path(), 3'000'000);
  ASSERT_NE(nullptr, j.findFinished("b"));
  EXPECT_EQ(FinalStatus::returned, j.findFinished("b")->outcome.status);
  EXPECT_EQ(250, j.findFinished("b")->outcome.retry_after);
  j.expireFinished(1500);
  EXPECT_EQ(nullptr, j.findFinished("a"));
  EXPECT_NE(nullptr, j.findFinished("b"));
  j.expireFinished(2000);
  EXPECT_EQ(nullptr, j.findFinished("b"));
}

// Remembered messages count against the budget and free their space when they expire.
TEST(Journal, KeepsRememberedMessagesWithinTheDiskBudget) {
  TempFolder t;
  const std::uint64_t budget = 400'000;
  Journal j(t.path(), budget);
  int taken = 0, refused = 0;
  for (int i = 0; i < 20'000; ++i) {
    const AcceptedMessage m = message("m" + std::to_string(i), 30);
    j.expireFinished(i);
    if (!j.reserveSpace(m)) {
      ++refused;
    } else {
      ++taken;
      j.recordAccepted(m);
      j.recordFinished(m.id, {{}, 1, i + 5000});
    }
    ASSERT_TRUE(j.flush()) << i;
    if (i % 50 == 0)
      ASSERT_LE(onDisk(t.path()), budget);
  }
  EXPECT_GT(taken, 5000);
  EXPECT_GT(refused, 100);
}

TEST(Journal, ThrowsWhenItsFolderDoesNotExist) {
  EXPECT_THROW(Journal("/nonexistent/folder", 3'000'000), std::runtime_error);
}

using Changes = std::vector<std::pair<std::string, std::string>>;
std::string listed(int i) {
  return "{\"name\":\"e" + std::to_string(i) + "\",\"group\":" + std::to_string(i) + "}";
}

ClassVersion version(const std::string& name, Idempotency effect) {
  MessageClass c;
  c.name = name;
  c.latency_objective = 4'000'000;
  c.deadline = 28'000'000;
  c.priority_weight = 2.5;
  c.late_weight_fraction = 0.3;
  c.idempotency = effect;
  c.idempotency_window = 12'000'000;
  c.max_attempts = 7;
  return std::make_shared<const MessageClass>(std::move(c));
}

// Risk: after a restart a message is treated by the newer version of its class.
TEST(JournalClassVersions, RecoversEachMessageWithTheVersionItWasAcceptedUnder) {
  TempFolder t;
  const ClassVersion first = version("payment", Idempotency::non_idempotent),
                     second = version("payment", Idempotency::idempotent);
  {
    Journal j(t.path(), 300'000);
    AcceptedMessage a = message("a"), b = message("b"), c = message("c");
    a.class_version = first;
    b.class_version = second;
    j.recordAccepted(a);
    j.recordAccepted(b);
    j.recordAccepted(c);              // as before class versions were recorded
    for (int i = 0; i < 2000; ++i) {  // enough for compactions
      AcceptedMessage m = message("x" + std::to_string(i));
      m.class_version = second;
      j.recordAccepted(m);
      j.recordFinished(m.id, {});
      ASSERT_TRUE(j.flush());
    }
  }
  for (int i = 0; i < 3; ++i) {
    Journal j(t.path(), 300'000);
    const auto& e = j.recovered().entries;
    ASSERT_EQ(3u, e.size());
    ASSERT_TRUE(e[0].message.class_version && e[1].message.class_version);
    EXPECT_EQ(Idempotency::non_idempotent, e[0].message.class_version->idempotency);
    EXPECT_EQ(Idempotency::idempotent, e[1].message.class_version->idempotency);
    EXPECT_EQ(7, e[0].message.class_version->max_attempts);
    EXPECT_EQ(2.5, e[0].message.class_version->priority_weight);
    EXPECT_EQ(12'000'000, e[0].message.class_version->idempotency_window);
    EXPECT_FALSE(e[2].message.class_version);
    EXPECT_EQ(0u, j.recovered().damaged_ranges);
  }
}

// Risk: the record of the class version is damaged, and a non-idempotent message is repeated.
TEST(JournalClassVersions, FallsBackToTheStrictestWhenTheRecordIsDamaged) {
  TempFolder t;
  {
    Journal j(t.path(), 3'000'000);
    AcceptedMessage a = message("a");
    a.class_version = version("payment", Idempotency::idempotent);
    j.recordAccepted(a);
    ASSERT_TRUE(j.flush());
  }
  std::string data = readFile(t.path() + "/journal");
  const auto at = data.find("payment");  // first in the record of the rules
  ASSERT_NE(std::string::npos, at);
  data[at] = 'q';
  writeFile(t.path() + "/journal", data);
  for (int i = 0; i < 2; ++i) {  // after the compaction that follows damage, too
    Journal j(t.path(), 3'000'000);
    ASSERT_EQ(1u, j.recovered().entries.size());
    ASSERT_TRUE(j.recovered().entries[0].message.class_version);
    EXPECT_EQ(Idempotency::non_idempotent, j.recovered().entries[0].message.class_version->idempotency);
  }
}

// Risk: a process writes into a journal that it released, or reacquires it after another process has written.
TEST(JournalOwnership, WritesNothingAfterRelease) {
  TempFolder t;
  Journal j(t.path(), 3'000'000);
  EXPECT_EQ(1, j.epoch());
  j.recordAccepted(message("a"));
  ASSERT_TRUE(j.flush());
  j.recordAccepted(message("b"));
  j.release();  // flushes the buffer
  const std::string left = readFile(t.path() + "/journal");
  j.recordAccepted(message("c"));
  EXPECT_FALSE(j.flush());
  EXPECT_EQ(left, readFile(t.path() + "/journal"));
  EXPECT_TRUE(j.reacquire());
  ASSERT_TRUE(j.flush());
  j.release();
  {
    Journal next(t.path(), 3'000'000);
    EXPECT_EQ(2, next.epoch());
    EXPECT_EQ(3u, next.recovered().entries.size());
  }
  EXPECT_FALSE(j.reacquire());
  j.recordAccepted(message("d"));
  EXPECT_FALSE(j.flush());
  Journal third(t.path(), 3'000'000);
  EXPECT_EQ(3, third.epoch());
  EXPECT_EQ(3u, third.recovered().entries.size());
}

// Risk: a kill within the write of a long change leaves a list version that claims changes it lacks.
TEST(JournalEndpointList, KeepsThePreviousVersionWhenAChangeIsTorn) {
  TempFolder t;
  const std::string path = t.path() + "/journal";
  Changes many;
  for (int i = 0; i < 3000; ++i)
    many.emplace_back("e" + std::to_string(i), listed(i));
  {
    Journal j(t.path(), 30'000'000);
    ASSERT_TRUE(j.recordEndpointList({{"e7", listed(1)}, {"old", listed(2)}}, 1, true));
    ASSERT_TRUE(j.flush());
  }
  const std::size_t before = readFile(path).size();
  {
    Journal j(t.path(), 30'000'000);
    ASSERT_TRUE(j.recordEndpointList(many, 2, false));
    ASSERT_TRUE(j.recordEndpointList({{"old", ""}}, 3, false));
    ASSERT_TRUE(j.flush());
  }
  const std::string all = readFile(path);
  ASSERT_GT(all.size(), before + 3 * 32768);
  for (std::size_t size = before; size <= all.size(); size += size > all.size() - 90 ? 1 : 997) {
    writeFile(path, all.substr(0, size));
    const Journal j(t.path(), 30'000'000);
    const std::size_t entries = j.recovered().endpoint_list.size();
    if (j.recovered().list_index == 3)
      EXPECT_EQ(entries, 3000u) << size;
    else if (j.recovered().list_index == 2)
      EXPECT_EQ(entries, 3001u) << size;
    else
      EXPECT_EQ(j.recovered().list_index, 1) << size;
    EXPECT_EQ(j.recovered().list_index == 3, size == all.size()) << size;
  }
}

// Risk: the damaged change was a draining endpoint, and the list is used as if it were complete.
TEST(JournalEndpointList, DropsTheListAfterDamageUntilAWholeOneIsRecorded) {
  TempFolder t;
  const std::string path = t.path() + "/journal";
  std::size_t at = 0;
  {
    Journal j(t.path(), 3'000'000);
    ASSERT_TRUE(j.recordEndpointList({{"e1", listed(1)}}, 1, true));
    ASSERT_TRUE(j.flush());
    at = readFile(path).size();
    ASSERT_TRUE(j.recordEndpointList({{"e2", listed(2)}}, 2, false));
    ASSERT_TRUE(j.flush());
    ASSERT_TRUE(j.recordEndpointList({{"e3", listed(3)}}, 3, false));
    ASSERT_TRUE(j.flush());
  }
  std::string data = readFile(path);
  data[at + 20] ^= 1;
  writeFile(path, data);
  {
    Journal j(t.path(), 3'000'000);
    EXPECT_EQ(j.recovered().damaged_ranges, 1u);
    EXPECT_TRUE(j.recovered().endpoint_list.empty());
    EXPECT_EQ(j.recovered().list_index, -1);
    ASSERT_TRUE(j.recordEndpointList({{"e4", listed(4)}}, 4, true));
    ASSERT_TRUE(j.flush());
  }
  const Journal j(t.path(), 3'000'000);
  EXPECT_EQ(j.recovered().endpoint_list, std::vector<std::string>{listed(4)});
  EXPECT_EQ(j.recovered().list_index, 4);
}

TEST(JournalEndpointList, AppendsChangesAloneAndCompactsToTheWholeList) {
  TempFolder t;
  Changes many;
  for (int i = 0; i < 20'000; ++i)
    many.emplace_back("e" + std::to_string(i), listed(i));
  {
    Journal j(t.path(), 20'000'000);
    ASSERT_TRUE(j.recordEndpointList(many, 1, true));
    ASSERT_TRUE(j.flush());
    const auto whole = std::filesystem::file_size(t.path() + "/journal");
    for (int i = 0; i < 200; ++i) {
      ASSERT_TRUE(j.recordEndpointList({{"e" + std::to_string(i), i % 2 ? "" : listed(-i)}}, 2 + i, false));
      ASSERT_TRUE(j.flush());
    }
    EXPECT_LT(std::filesystem::file_size(t.path() + "/journal"), whole + 200 * 128);
    for (int i = 0; i < 9000; ++i) {  // until it is compacted
      ASSERT_TRUE(j.recordEndpointList({{"x", listed(i)}}, 300 + i, false));
      ASSERT_TRUE(j.flush());
    }
  }
  const Journal j(t.path(), 20'000'000);
  EXPECT_EQ(j.recovered().endpoint_list.size(), 20'000u - 100 + 1);
  EXPECT_EQ(j.recovered().list_index, 9299);
  EXPECT_EQ(j.recovered().damaged_ranges, 0u);
}

// Risk: a list that is larger than the disk budget causes every message to be rejected.
TEST(JournalEndpointList, LeavesSpaceForMessagesWhenTheListIsTooLarge) {
  TempFolder t;
  Journal j(t.path(), 1'000'000);
  Changes many;
  for (int i = 0; i < 20'000; ++i)
    many.emplace_back("e" + std::to_string(i), listed(i));
  EXPECT_FALSE(j.recordEndpointList(many, 1, true));
  EXPECT_TRUE(j.recordEndpointList({{"e1", listed(5)}}, 2, false));  // reported once
  ASSERT_TRUE(j.flush());
  ASSERT_TRUE(j.reserveSpace(message("a")));
  j.recordAccepted(message("a"));
  EXPECT_TRUE(j.flush());
  EXPECT_LT(std::filesystem::file_size(t.path() + "/journal"), 500'000u);
}

// Earlier versions wrote the whole list as one text.
TEST(JournalEndpointList, ReadsTheRecordOfEarlierVersions) {
  TempFolder t;
  const std::string text = R"({"index":5,"snapshot":true,"endpoints":[{"group":1,"name":"e1"}]})";
  std::string payload = "L";
  for (int i = 0; i < 8; ++i)
    payload.push_back(static_cast<char>(text.size() >> (8 * i)));
  payload += text;
  std::string record = "\xA7GJ1";
  const std::uint32_t words[] = {
      static_cast<std::uint32_t>(payload.size()),
      static_cast<std::uint32_t>(::crc32(0, reinterpret_cast<const unsigned char*>(payload.data()),
                                         static_cast<unsigned>(payload.size())))};
  for (const std::uint32_t w : words)
    for (int i = 0; i < 4; ++i)
      record.push_back(static_cast<char>(w >> (8 * i)));
  writeFile(t.path() + "/journal", record + payload);
  const Journal j(t.path(), 3'000'000);
  EXPECT_EQ(j.recovered().list_index, 5);
  EXPECT_EQ(j.recovered().endpoint_list, std::vector<std::string>{R"({"group":1,"name":"e1"})"});
}

TEST(JournalHealth, DropsHealthyDestinationsAndExpiresOldRecords) {
  TempFolder t;
  {
    Journal j(t.path(), 3'000'000);
    j.recordHealth({"", 1, true, 100});
    j.recordHealth({"r", 2, true, 100});
    j.recordHealth({"", 3, true, 900});
    j.recordHealth({"", 1, false, -5});
    ASSERT_TRUE(j.flush());
  }
  Journal j(t.path(), 3'000'000);
  ASSERT_EQ(j.recovered().health.size(), 2u);
  j.expireHealth(500);
  j.recordAccepted(message("a"));
  for (int i = 0; i < 20'000; ++i)
    j.recordAttempt("a", {"e", i, false});
  j.recordFinished("a", {});
  ASSERT_TRUE(j.flush());
  j.recordAccepted(message("b"));
  ASSERT_TRUE(j.flush());
  const Journal again(t.path(), 3'000'000);
  ASSERT_EQ(again.recovered().health.size(), 1u);
  EXPECT_EQ(again.recovered().health[0].destination, 3);
}

// Other files in the folder count against the budget, and are removed before a message is rejected.
TEST(JournalDiskBudget, ReclaimsTheSpaceOfOtherFilesWhenNeeded) {
  const auto fill = [](bool gives_way, int& asked) {
    loopback::TempFolder folder;
    Journal j(folder.path(), 2'000'000);
    j.setOtherFilesBytes(1'000'000);
    j.onSpaceNeeded([&] {
      ++asked;
      return gives_way;
    });
    int n = 0;
    for (; n < 100; ++n) {
      AcceptedMessage m;
      m.id = "m" + std::to_string(n);
      m.body.assign(50'000, 'x');
      if (!j.reserveSpace(m))
        break;
      j.recordAccepted(m);
      EXPECT_TRUE(j.flush());
      std::error_code e;
      const auto size = std::filesystem::file_size(folder.path() + "/journal", e);
      EXPECT_LE(size, asked > 0 && gives_way ? 2'000'000u : 1'000'000u);
    }
    if (gives_way) {
      EXPECT_LT(j.spareBytes(), 200'000u);
    }
    return n;
  };
  int stays = 0, goes = 0;
  EXPECT_LE(fill(false, stays), 10);
  EXPECT_GT(stays, 0);
  EXPECT_GE(fill(true, goes), 17);
  EXPECT_EQ(goes, 1);
}

// Health with a pending Retry-After is kept; healthy destinations without one are not.
TEST(JournalHealth, KeepsAPendingRetryAfter) {
  loopback::TempFolder folder;
  {
    Journal j(folder.path(), 3'000'000);
    j.recordHealth({"", 7, false, -5, 900, 100});
    j.recordHealth({"", 8, false, -5, 0, 100});
    EXPECT_TRUE(j.flush());
  }
  const Journal j(folder.path(), 3'000'000);
  ASSERT_EQ(j.recovered().health.size(), 1u);
  EXPECT_EQ(j.recovered().health[0].retry_after_until, 900);
  EXPECT_EQ(j.recovered().health[0].observed_at, 100);
}

TEST(JournalDecisionVersions, RecordsTheVersionOfAttemptsAndFinishedMessages) {
  TempFolder t;
  const auto attempt = [](std::uint32_t version) {
    JournaledAttempt a;
    a.endpoint = "e1";
    a.version = version;
    return a;
  };
  {
    Journal j(t.path(), 3'000'000);
    const std::uint32_t one = j.versionOf("{\"plan\":1}"), two = j.versionOf("{\"plan\":2}");
    EXPECT_EQ(one, 1u);
    EXPECT_EQ(j.versionOf("{\"plan\":2}"), two);
    for (const char* id : {"open", "over"}) {
      j.recordAccepted(message(id));
      j.recordAttempt(id, attempt(one));
    }
    j.recordAttempt("open", attempt(two));
    j.recordAttempt("open", {"e2", 5, false});  // as a program without a fleet writes it
    j.recordFinished("over", {{FinalStatus::delivered, 9, 0}, 1, INT64_MAX / 2});
    ASSERT_TRUE(j.flush());
  }
  for (int round = 0; round < 2; ++round) {  // as it was written, and after a compaction
    const JournaledMessage open = Journal::readMessage(t.path(), "open"),
                           over = Journal::readMessage(t.path(), "over");
    ASSERT_TRUE(open.found && !open.finished && over.found && over.finished);
    ASSERT_EQ(open.attempts.size(), 3u + static_cast<std::size_t>(round));  // one more for the damage
    EXPECT_EQ(open.versions.at(open.attempts[0].version), "{\"plan\":1}");
    EXPECT_EQ(open.versions.at(open.attempts[1].version), "{\"plan\":2}");
    EXPECT_EQ(open.attempts[2].version, 0u);
    EXPECT_EQ(over.versions.at(over.outcome.version), "{\"plan\":1}");
    EXPECT_FALSE(Journal::readMessage(t.path(), "nobody").found);
    // Damage in the middle makes the next start compact.
    std::string data = readFile(t.path() + "/journal");
    Journal j(t.path(), 3'000'000);
    j.recordAccepted(message("gone"));
    j.dropUnwritten("gone");
    ASSERT_TRUE(j.flush());
    j.release();
    data = readFile(t.path() + "/journal");
    data[data.find("gone")] ^= 1;
    writeFile(t.path() + "/journal", data);
    Journal k(t.path(), 3'000'000);
    EXPECT_EQ(k.recovered().damaged_ranges, 1u);
    EXPECT_EQ(k.versionOf("{\"plan\":" + std::to_string(3 + round) + "}"),
              3u + static_cast<std::uint32_t>(round));  // no number is used twice
    ASSERT_TRUE(k.flush());
  }
}

// Not even a torn tail is truncated: the owner may be writing it.
TEST(JournalReadMessage, LeavesTheFileUnchanged) {
  TempFolder t;
  {
    Journal j(t.path(), 3'000'000);
    j.recordAccepted(message("a"));
    ASSERT_TRUE(j.flush());
  }
  const std::string path = t.path() + "/journal";
  std::string data = readFile(path);
  data.resize(data.size() + 7, 'x');
  writeFile(path, data);
  EXPECT_TRUE(Journal::readMessage(t.path(), "a").found);
  EXPECT_EQ(readFile(path), data);
  EXPECT_THROW(Journal::readMessage(t.path() + "/none", "a"), std::runtime_error);
}

}  // namespace
}  // namespace grademux
