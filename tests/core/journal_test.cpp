// The journal on files alone: what a killed process leaves, torn and damaged records, a full budget.
#include "../../src/core/journal.h"

#include <gtest/gtest.h>
#include <sys/stat.h>

#include <filesystem>
#include <fstream>

#include "../support/loopback.h"

namespace grademux {
namespace {

using loopback::TempFolder;

TakenOn message(const std::string& id, std::size_t size = 20) {
  TakenOn m;
  m.id = id;
  m.message_class = "payment";
  m.idempotency_key = "key" + id;
  m.body = std::string(size, 'b') + '\0' + "\r\n";
  m.destination = 7;
  m.give_up_at = 123456789;
  return m;
}

std::string readFile(const std::string& path) {
  std::ifstream f(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(f), {}};
}
void writeFile(const std::string& path, const std::string& data) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << data;
}

TEST(Journal, GivesBackWhatIsOpenInTheOrderTaken) {
  TempFolder t;
  {
    Journal j(t.path(), 3'000'000);
    j.accepted(message("b"));
    j.accepted(message("a"));
    j.accepted(message("c"));
    j.attempted("a", {"e1", 55, false});
    j.attempted("a", {"e2", 66, false});
    j.neverRan("a", 0);
    j.over("c", {});
    j.noticeOwed("b", {true, 250, 0});
    j.ailing({"", 7, false, 11});
    j.ailing({"", 7, true, 99});
    j.listed("{\"index\":4}");
    ASSERT_TRUE(j.flush());
  }
  Journal j(t.path(), 3'000'000);
  const auto& r = j.recovered();
  ASSERT_EQ(2u, r.entries.size());
  EXPECT_EQ("b", r.entries[0].message.id);
  EXPECT_TRUE(r.entries[0].ended && r.entries[0].notice.handed_back);
  EXPECT_EQ(250, r.entries[0].notice.retry_in_ms);
  const auto& a = r.entries[1];
  EXPECT_EQ(message("a").body, a.message.body);
  EXPECT_EQ("keya", a.message.idempotency_key);
  EXPECT_EQ(7, a.message.destination);
  EXPECT_EQ(123456789, a.message.give_up_at);
  ASSERT_EQ(2u, a.attempts.size());
  EXPECT_TRUE(a.attempts[0].never_ran);
  EXPECT_FALSE(a.attempts[1].never_ran);
  EXPECT_EQ("e2", a.attempts[1].endpoint);
  EXPECT_EQ(66, a.attempts[1].sent);
  ASSERT_EQ(1u, r.ailments.size());  // the latest of a destination
  EXPECT_TRUE(r.ailments[0].down);
  EXPECT_EQ(99, r.ailments[0].cold_since);
  EXPECT_EQ("{\"index\":4}", r.list);
  EXPECT_FALSE(r.torn);
  EXPECT_EQ(0u, r.damaged);
}

TEST(Journal, CutsATornTailAtEveryLengthAndKeepsTheRest) {
  TempFolder t;
  const std::string path = t.path() + "/journal";
  {
    Journal j(t.path(), 3'000'000);
    j.accepted(message("a"));
    j.flush();
  }
  const std::string first = readFile(path);
  {
    Journal j(t.path(), 3'000'000);
    j.accepted(message("b"));
    j.flush();
  }
  const std::string both = readFile(path);
  for (std::size_t size = first.size(); size < both.size(); ++size) {
    writeFile(path, both.substr(0, size));
    {
      Journal j(t.path(), 3'000'000);
      ASSERT_EQ(1u, j.recovered().entries.size()) << size;
      EXPECT_EQ(size > first.size(), j.recovered().torn);
      j.accepted(message("c"));  // what comes after the cut is sound
      ASSERT_TRUE(j.flush());
    }
    Journal again(t.path(), 3'000'000);
    ASSERT_EQ(2u, again.recovered().entries.size()) << size;
  }
}

// A damaged record may have been an attempt of what was open: it must not be sent as if untried.
TEST(Journal, PassesOverADamagedRecordAndDoubtsWhatWasOpen) {
  TempFolder t;
  const std::string path = t.path() + "/journal";
  std::size_t before = 0;
  {
    Journal j(t.path(), 3'000'000);
    j.accepted(message("a"));
    j.flush();
    before = std::filesystem::file_size(path);
    j.attempted("a", {"e1", 55, false});
    j.flush();
    j.accepted(message("b"));
    j.flush();
  }
  const std::string whole = readFile(path);
  for (std::size_t at = before; at < before + 20; ++at) {
    std::string data = whole;
    data[at] = static_cast<char>(data[at] ^ 0x55);
    writeFile(path, data);
    Journal j(t.path(), 3'000'000);
    const auto& r = j.recovered();
    ASSERT_EQ(2u, r.entries.size()) << at;
    EXPECT_EQ(1u, r.damaged);
    ASSERT_EQ(1u, r.entries[0].attempts.size());
    EXPECT_FALSE(r.entries[0].attempts[0].never_ran);
    EXPECT_TRUE(r.entries[1].attempts.empty());  // taken on after the damage
  }
}

std::uint64_t onDisk(const std::string& folder) {
  std::uint64_t sum = 0;
  for (const auto& f : std::filesystem::directory_iterator(folder)) sum += (f.file_size() + 511) / 512 * 512;
  return sum;
}

// A budget that is exceeded is a crash: so what would not fit is refused, and room comes back with ends.
TEST(Journal, StaysInsideItsBudgetOldAndNewFileTogether) {
  TempFolder t;
  const std::uint64_t budget = 1'000'000;
  Journal j(t.path(), budget);
  int taken = 0, refused = 0;
  std::vector<std::string> open;
  for (int i = 0; i < 3000; ++i) {
    const TakenOn m = message("m" + std::to_string(i), 3000);
    if (!j.reserve(m)) {
      ++refused;
      ASSERT_FALSE(open.empty());
      j.drop(open.front());
      open.erase(open.begin());
    } else {
      ++taken;
      j.accepted(m);
      open.push_back(m.id);
      for (int a = 0; a < 12; ++a) j.attempted(m.id, {"s-5be2a07c", i, false});
    }
    ASSERT_TRUE(j.flush()) << i;
    ASSERT_LE(onDisk(t.path()), budget);
  }
  EXPECT_GT(taken, 1000);
  EXPECT_GT(refused, 1000);
  Journal again(t.path(), budget);
  EXPECT_EQ(open.size(), again.recovered().entries.size());
}

// Risk: an id whose message ended before a restart is taken on anew, and runs twice.
TEST(Journal, RemembersEndsOverRestartAndCompactionUntilTheirTime) {
  TempFolder t;
  const Past delivered{{Ending::delivered, 5, 0}, 77, 1000}, back{{Ending::handed_back, 6, 250}, 78, 2000};
  {
    Journal j(t.path(), 3'000'000);
    for (const char* id : {"a", "b", "c"}) j.accepted(message(id));
    j.over("a", delivered);
    j.noticeOwed("b", {true, 1, 9});
    j.drop("c");
    ASSERT_TRUE(j.flush());
  }
  {
    Journal j(t.path(), 3'000'000);
    ASSERT_EQ(1u, j.recovered().entries.size());
    EXPECT_EQ(9, j.recovered().entries[0].notice.at);
    ASSERT_NE(nullptr, j.past("a"));
    EXPECT_EQ(77u, j.past("a")->digest);
    EXPECT_EQ(nullptr, j.past("b"));  // not before its notice is told
    EXPECT_EQ(nullptr, j.past("c"));
    j.over("b", back);
    for (int i = 0; i < 3000; ++i) {  // until it has been compacted
      j.accepted(message("x", 1000));
      j.drop("x");
      ASSERT_TRUE(j.flush());
    }
    EXPECT_LT(std::filesystem::file_size(t.path() + "/journal"), 1'500'000u);
  }
  Journal j(t.path(), 3'000'000);
  ASSERT_NE(nullptr, j.past("b"));
  EXPECT_EQ(Ending::handed_back, j.past("b")->end.how);
  EXPECT_EQ(250, j.past("b")->end.pause);
  j.forgetPast(1500);
  EXPECT_EQ(nullptr, j.past("a"));
  EXPECT_NE(nullptr, j.past("b"));
  j.forgetPast(2000);
  EXPECT_EQ(nullptr, j.past("b"));
}

// What is remembered of ends is part of the budget: it is never over it, and room comes back with time.
TEST(Journal, EndsThatAreRememberedStayInsideTheBudget) {
  TempFolder t;
  const std::uint64_t budget = 400'000;
  Journal j(t.path(), budget);
  int taken = 0, refused = 0;
  for (int i = 0; i < 20'000; ++i) {
    const TakenOn m = message("m" + std::to_string(i), 30);
    j.forgetPast(i);
    if (!j.reserve(m)) {
      ++refused;
    } else {
      ++taken;
      j.accepted(m);
      j.over(m.id, {{}, 1, i + 5000});
    }
    ASSERT_TRUE(j.flush()) << i;
    if (i % 50 == 0) ASSERT_LE(onDisk(t.path()), budget);
  }
  EXPECT_GT(taken, 5000);
  EXPECT_GT(refused, 100);
}

TEST(Journal, FailsPlainlyWhereItCannotBeKept) {
  EXPECT_THROW(Journal("/nonexistent/folder", 3'000'000), std::runtime_error);
}

}  // namespace
}  // namespace grademux
