// The audit log: records chained by hash, a bounded size, and gaps reported.
#include "../../src/audit/audit_log.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "../../src/audit/audit_reader.h"
#include "../../src/core/clock.h"
#include "../support/loopback.h"
#include "../support/program_paths.h"

namespace grademux::audit {
namespace {

namespace fs = std::filesystem;
using loopback::TempFolder;

struct Read {
  AuditSummary reading;
  std::vector<AuditRecord> entries;
  std::vector<AuditGap> gaps;
};
Read all(const std::string& folder, const std::string& expected = "") {
  Read r;
  r.reading = readAuditLog(
      folder, expected, [&](const AuditRecord& e) { r.entries.push_back(e); },
      [&](const AuditGap& g) { r.gaps.push_back(g); });
  return r;
}
void write(const std::string& folder, int from, int to, AuditBudget budget = {},
           const std::string& sender = "s1") {
  AuditLog t(folder, sender, budget);
  for (int i = from; i <= to; ++i)
    EXPECT_TRUE(t.write({{"kind", "standing"}, {"n", i}}, 1000 * i));
}
std::string segment(const std::string& folder, std::int64_t n) {
  return folder + "/" + segmentName(n);
}
std::string bytesOf(const std::string& path) {
  std::ifstream f(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(f), {}};
}

TEST(AuditLogTest, ReadsRecordsInOrderAfterRestarts) {
  TempFolder f;
  write(f.path() + "/t", 1, 3);
  write(f.path() + "/t", 4, 5);
  const Read r = all(f.path() + "/t", "s1");
  ASSERT_EQ(r.entries.size(), 5u);
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(r.entries[static_cast<std::size_t>(i)].record["n"], i + 1);
    EXPECT_EQ(r.entries[static_cast<std::size_t>(i)].sequence, i + 1);
  }
  EXPECT_TRUE(r.gaps.empty());
  EXPECT_EQ(r.reading.sender, "s1");
}

// A bit in any place of the file: either the reading says that something is not known, or nothing but what
// was written is told.
TEST(AuditLogTest, ReportsAGapForAFlippedBitAnywhere) {
  TempFolder f;
  const std::string folder = f.path() + "/t";
  write(folder, 1, 4);
  const std::string path = segment(folder, 1), sound = bytesOf(path);
  const Read before = all(folder);
  ASSERT_EQ(before.entries.size(), 4u);
  for (std::size_t at = 0; at < sound.size(); ++at) {
    std::string spoilt = sound;
    spoilt[at] = static_cast<char>(spoilt[at] ^ 0x10);
    std::ofstream(path, std::ios::binary | std::ios::trunc) << spoilt;
    const Read r = all(folder);
    EXPECT_FALSE(r.gaps.empty()) << "byte " << at;
    EXPECT_LT(r.entries.size(), 5u);
    for (const AuditRecord& e : r.entries)
      EXPECT_EQ(e.record["n"].get<std::int64_t>(), e.sequence) << "byte " << at;
    // At most two records are doubted for one bit, whichever it is.
    EXPECT_GE(r.entries.size(), 2u) << "byte " << at;
  }
}

TEST(AuditLogTest, ReportsGapsForATornEndAndAMissingSegment) {
  TempFolder f;
  const std::string folder = f.path() + "/t";
  write(folder, 1, 3);
  write(folder, 4, 6);
  write(folder, 7, 9);
  fs::resize_file(segment(folder, 1), fs::file_size(segment(folder, 1)) - 3);
  Read r = all(folder);
  ASSERT_EQ(r.gaps.size(), 1u);
  EXPECT_EQ(r.gaps[0].from, 2000);
  EXPECT_EQ(r.gaps[0].to, 4000);
  EXPECT_EQ(r.entries.size(), 8u);
  fs::remove(segment(folder, 2));
  r = all(folder);
  ASSERT_EQ(r.gaps.size(), 1u);
  EXPECT_EQ(r.gaps[0].to, 7000);
  fs::remove(segment(folder, 1));  // what came before is gone, and is said to be
  r = all(folder);
  ASSERT_EQ(r.gaps.size(), 1u);
  EXPECT_EQ(r.gaps[0].from, 0);
}

TEST(AuditLogTest, StaysWithinItsBudgetAndReportsDroppedRecords) {
  TempFolder f;
  const std::string folder = f.path() + "/t";
  AuditBudget budget;
  budget.bytes = 65536;
  {
    AuditLog t(folder, "s1", budget);
    for (int i = 1; i <= 4000; ++i)
      ASSERT_TRUE(t.write({{"kind", "standing"}, {"text", std::string(50, 'x')}}, i));
  }
  std::uint64_t sum = 0;
  for (const auto& e : fs::directory_iterator(folder))
    sum += e.file_size();
  EXPECT_LE(sum, budget.bytes + budget.bytes / 8);
  const Read r = all(folder);
  ASSERT_FALSE(r.entries.empty());
  EXPECT_EQ(r.entries.back().sequence, 4000);
  EXPECT_EQ(r.gaps.size(), 1u);
}

TEST(AuditLogTest, SetsAsideTheFolderOfAnotherSender) {
  TempFolder f;
  const std::string folder = f.path() + "/t";
  write(folder, 1, 3, {}, "s1");
  {
    AuditLog t(folder, "s2", {});
    EXPECT_EQ(t.foreignFolder(), folder + "-of-s1");
    EXPECT_TRUE(t.write({{"kind", "start"}}, 9000));
  }
  EXPECT_EQ(all(folder, "s2").entries.size(), 1u);
  EXPECT_EQ(all(folder + "-of-s1").entries.size(), 3u);
  EXPECT_FALSE(all(folder + "-of-s1", "s2").gaps.empty());
}

// The segment of another sender among one's own.
TEST(AuditLogTest, ReportsAGapForACopiedSegment) {
  TempFolder f;
  write(f.path() + "/a", 1, 3, {}, "s1");
  write(f.path() + "/a", 4, 5, {}, "s1");
  write(f.path() + "/b", 1, 3, {}, "s2");
  write(f.path() + "/b", 4, 5, {}, "s2");
  fs::copy_file(segment(f.path() + "/b", 2), segment(f.path() + "/a", 2),
                fs::copy_options::overwrite_existing);
  const Read r = all(f.path() + "/a");
  ASSERT_EQ(r.gaps.size(), 1u);
  EXPECT_NE(r.gaps[0].reason.find("s2"), std::string::npos);
}

TEST(AuditLogTest, CountsRecordsThatCouldNotBeWritten) {
  TempFolder f;
  const std::string folder = f.path() + "/t";
  AuditLog t(folder, "s1", {});
  EXPECT_TRUE(t.write({{"kind", "start"}}, 1000));
  AuditBudget small;
  small.bytes = 8;  // every record needs a segment of its own
  AuditLog u(f.path() + "/u", "s1", small);
  EXPECT_TRUE(u.write({{"kind", "start"}}, 1000));
  fs::remove_all(f.path() + "/u");
  std::ofstream(f.path() + "/u") << "no folder";  // as on a disk where nothing can be made
  EXPECT_FALSE(u.write({{"kind", "standing"}}, 2000));
  EXPECT_FALSE(u.write({{"kind", "standing"}}, 3000));
  fs::remove(f.path() + "/u");
  fs::create_directory(f.path() + "/u");
  EXPECT_TRUE(u.write({{"kind", "standing"}}, 4000));
  const Read r = all(f.path() + "/u");
  bool told = false;
  for (const AuditGap& g : r.gaps)
    told = told || g.reason == "2 records could not be written";
  EXPECT_TRUE(told);
}

// Clocks that differ by minutes: the order is that of the store's clock, where the senders know it.
TEST(AuditLogTest, OrdersSeveralLogsByTheStoresClock) {
  TempFolder f;
  const Micros minute = 60'000'000;
  {
    AuditLog a(f.path() + "/a", "s1", {}), b(f.path() + "/b", "s2", {});
    a.write({{"kind", "start"}, {"n", 1}, {"ahead", 0}}, 100 * minute);
    b.write({{"kind", "start"}, {"n", 2}, {"ahead", 5 * minute}}, 96 * minute);  // 101
    a.write({{"kind", "start"}, {"n", 3}, {"ahead", 0}}, 102 * minute);
    b.write({{"kind", "start"}, {"n", 4}, {"ahead", 5 * minute}}, 98 * minute);  // 103
  }
  std::vector<int> order;
  readAuditLogs(
      {f.path() + "/a", f.path() + "/b"},
      [&](std::size_t, const AuditRecord& e) {
        order.push_back(e.record["n"]);
        EXPECT_TRUE(e.store_clock_known);
      },
      [](std::size_t, const AuditGap&) { ADD_FAILURE(); });
  EXPECT_EQ(order, (std::vector<int>{1, 2, 3, 4}));
}

// The fixture was written by version 0.4.0 before the rename of its types; its form must not change.
TEST(AuditLogTest, ReadsTheSegmentOfAnEarlierVersion) {
  const std::string folder = sourceFolder() + "/tests/audit/fixtures/trail";
  constexpr Micros kWrittenAt = 1'700'000'000'000'000;
  const Read log = all(folder, "s1");
  EXPECT_EQ("s1", log.reading.sender);
  EXPECT_TRUE(log.gaps.empty());
  ASSERT_EQ(3u, log.entries.size());
  EXPECT_EQ((json{{"kind", "start"}, {"cause", "start"}, {"epoch", 3}, {"at", kWrittenAt}, {"seq", 1}}),
            log.entries[0].record);
  EXPECT_FALSE(log.entries[0].store_clock_known);
  EXPECT_EQ("standing", log.entries[1].record["kind"]);
  EXPECT_EQ("current", log.entries[1].record["standing"]);
  EXPECT_EQ(7, log.entries[1].record["own"]["plan"]);
  EXPECT_TRUE(log.entries[1].store_clock_known);
  EXPECT_EQ(kWrittenAt + 1'000'250, log.entries[1].storeTime());
  EXPECT_EQ("end", log.entries[2].record["kind"]);
  EXPECT_EQ(40, log.entries[2].record["calls"]);
  EXPECT_EQ(3, log.entries[2].sequence);
  EXPECT_EQ(kWrittenAt + 2'000'000, log.entries[2].at);
}

TEST(AuditLogTest, WritesTheSegmentOfAnEarlierVersionByteForByte) {
  constexpr Micros kWrittenAt = 1'700'000'000'000'000;
  TempFolder folder;
  const std::string path = folder.path() + "/trail";
  {
    AuditLog log(path, "s1", {});
    EXPECT_TRUE(log.write({{"kind", "start"}, {"cause", "start"}, {"epoch", 3}}, kWrittenAt));
    EXPECT_TRUE(log.write(
        {{"kind", "standing"}, {"standing", "current"}, {"why", ""}, {"own", {{"plan", 7}}}, {"ahead", 250}},
        kWrittenAt + 1'000'000));
    EXPECT_TRUE(log.write({{"kind", "end"}, {"cause", "stop"}, {"epoch", 3}, {"version", 2}, {"calls", 40}},
                          kWrittenAt + 2'000'000));
  }
  EXPECT_EQ(bytesOf(segment(sourceFolder() + "/tests/audit/fixtures/trail", 1)), bytesOf(segment(path, 1)));
}

}  // namespace
}  // namespace grademux::audit
