// Tests the audit log: records chained by checksums, a bounded size, and gaps reported by the reader.
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

struct LogContents {
  AuditSummary summary;
  std::vector<AuditRecord> records;
  std::vector<AuditGap> gaps;
};
LogContents readLog(const std::string& folder, const std::string& expected_sender = "") {
  LogContents contents;
  contents.summary = readAuditLog(
      folder, expected_sender, [&](const AuditRecord& record) { contents.records.push_back(record); },
      [&](const AuditGap& gap) { contents.gaps.push_back(gap); });
  return contents;
}
// Writes records with the numbers `from` to `to` into a new segment.
void writeRecords(const std::string& folder, int from, int to, AuditBudget budget = {},
                  const std::string& sender = "s1") {
  AuditLog log(folder, sender, budget);
  for (int i = from; i <= to; ++i)
    EXPECT_TRUE(log.write({{"kind", "standing"}, {"n", i}}, 1000 * i));
}
std::string segmentPath(const std::string& folder, std::int64_t number) {
  return folder + "/" + segmentName(number);
}
std::string readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

TEST(AuditLogTest, ReadsRecordsInOrderAfterRestarts) {
  TempFolder temp;
  writeRecords(temp.path() + "/t", 1, 3);
  writeRecords(temp.path() + "/t", 4, 5);
  const LogContents contents = readLog(temp.path() + "/t", "s1");
  ASSERT_EQ(contents.records.size(), 5u);
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(contents.records[static_cast<std::size_t>(i)].record["n"], i + 1);
    EXPECT_EQ(contents.records[static_cast<std::size_t>(i)].sequence, i + 1);
  }
  EXPECT_TRUE(contents.gaps.empty());
  EXPECT_EQ(contents.summary.sender, "s1");
}

// A flipped bit anywhere in the segment must be reported as a gap, and the records that are still returned
// must be the ones that were written.
TEST(AuditLogTest, ReportsAGapForAFlippedBitAnywhere) {
  TempFolder temp;
  const std::string folder = temp.path() + "/t";
  writeRecords(folder, 1, 4);
  const std::string path = segmentPath(folder, 1), original = readFile(path);
  const LogContents before = readLog(folder);
  ASSERT_EQ(before.records.size(), 4u);
  for (std::size_t at = 0; at < original.size(); ++at) {
    std::string damaged = original;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x10);
    std::ofstream(path, std::ios::binary | std::ios::trunc) << damaged;
    const LogContents contents = readLog(folder);
    EXPECT_FALSE(contents.gaps.empty()) << "byte " << at;
    EXPECT_LT(contents.records.size(), 5u);
    for (const AuditRecord& record : contents.records)
      EXPECT_EQ(record.record["n"].get<std::int64_t>(), record.sequence) << "byte " << at;
    // One flipped bit affects at most two records.
    EXPECT_GE(contents.records.size(), 2u) << "byte " << at;
  }
}

TEST(AuditLogTest, ReportsGapsForATornEndAndAMissingSegment) {
  TempFolder temp;
  const std::string folder = temp.path() + "/t";
  writeRecords(folder, 1, 3);
  writeRecords(folder, 4, 6);
  writeRecords(folder, 7, 9);
  fs::resize_file(segmentPath(folder, 1), fs::file_size(segmentPath(folder, 1)) - 3);
  LogContents contents = readLog(folder);
  ASSERT_EQ(contents.gaps.size(), 1u);
  EXPECT_EQ(contents.gaps[0].from, 2000);
  EXPECT_EQ(contents.gaps[0].to, 4000);
  EXPECT_EQ(contents.records.size(), 8u);
  fs::remove(segmentPath(folder, 2));
  contents = readLog(folder);
  ASSERT_EQ(contents.gaps.size(), 1u);
  EXPECT_EQ(contents.gaps[0].to, 7000);
  fs::remove(segmentPath(folder, 1));  // The records before are reported as a gap.
  contents = readLog(folder);
  ASSERT_EQ(contents.gaps.size(), 1u);
  EXPECT_EQ(contents.gaps[0].from, 0);
}

TEST(AuditLogTest, StaysWithinItsBudgetAndReportsDroppedRecords) {
  TempFolder temp;
  const std::string folder = temp.path() + "/t";
  AuditBudget budget;
  budget.bytes = 65536;
  {
    AuditLog log(folder, "s1", budget);
    for (int i = 1; i <= 4000; ++i)
      ASSERT_TRUE(log.write({{"kind", "standing"}, {"text", std::string(50, 'x')}}, i));
  }
  std::uint64_t total_bytes = 0;
  for (const auto& file : fs::directory_iterator(folder))
    total_bytes += file.file_size();
  EXPECT_LE(total_bytes, budget.bytes + budget.bytes / 8);
  const LogContents contents = readLog(folder);
  ASSERT_FALSE(contents.records.empty());
  EXPECT_EQ(contents.records.back().sequence, 4000);
  EXPECT_EQ(contents.gaps.size(), 1u);
}

TEST(AuditLogTest, SetsAsideTheFolderOfAnotherSender) {
  TempFolder temp;
  const std::string folder = temp.path() + "/t";
  writeRecords(folder, 1, 3, {}, "s1");
  {
    AuditLog log(folder, "s2", {});
    EXPECT_EQ(log.foreignFolder(), folder + "-of-s1");
    EXPECT_TRUE(log.write({{"kind", "start"}}, 9000));
  }
  EXPECT_EQ(readLog(folder, "s2").records.size(), 1u);
  EXPECT_EQ(readLog(folder + "-of-s1").records.size(), 3u);
  EXPECT_FALSE(readLog(folder + "-of-s1", "s2").gaps.empty());
}

// A segment that was copied from another sender into this sender's log.
TEST(AuditLogTest, ReportsAGapForACopiedSegment) {
  TempFolder temp;
  writeRecords(temp.path() + "/a", 1, 3, {}, "s1");
  writeRecords(temp.path() + "/a", 4, 5, {}, "s1");
  writeRecords(temp.path() + "/b", 1, 3, {}, "s2");
  writeRecords(temp.path() + "/b", 4, 5, {}, "s2");
  fs::copy_file(segmentPath(temp.path() + "/b", 2), segmentPath(temp.path() + "/a", 2),
                fs::copy_options::overwrite_existing);
  const LogContents contents = readLog(temp.path() + "/a");
  ASSERT_EQ(contents.gaps.size(), 1u);
  EXPECT_NE(contents.gaps[0].reason.find("s2"), std::string::npos);
}

TEST(AuditLogTest, CountsRecordsThatCouldNotBeWritten) {
  TempFolder temp;
  const std::string folder = temp.path() + "/t";
  AuditLog log(folder, "s1", {});
  EXPECT_TRUE(log.write({{"kind", "start"}}, 1000));
  AuditBudget small;
  small.bytes = 8;  // Each record starts a new segment.
  AuditLog log_with_small_budget(temp.path() + "/u", "s1", small);
  EXPECT_TRUE(log_with_small_budget.write({{"kind", "start"}}, 1000));
  fs::remove_all(temp.path() + "/u");
  std::ofstream(temp.path() + "/u") << "no folder";  // No segment can be created, as on a full disk.
  EXPECT_FALSE(log_with_small_budget.write({{"kind", "standing"}}, 2000));
  EXPECT_FALSE(log_with_small_budget.write({{"kind", "standing"}}, 3000));
  fs::remove(temp.path() + "/u");
  fs::create_directory(temp.path() + "/u");
  EXPECT_TRUE(log_with_small_budget.write({{"kind", "standing"}}, 4000));
  const LogContents contents = readLog(temp.path() + "/u");
  bool is_reported = false;
  for (const AuditGap& gap : contents.gaps)
    is_reported = is_reported || gap.reason == "2 records could not be written";
  EXPECT_TRUE(is_reported);
}

// The senders' clocks differ by minutes: records are ordered by the store's clock, as far as the senders know
// it.
TEST(AuditLogTest, OrdersSeveralLogsByTheStoresClock) {
  TempFolder temp;
  const Micros minute = 60'000'000;
  {
    AuditLog first(temp.path() + "/a", "s1", {}), second(temp.path() + "/b", "s2", {});
    first.write({{"kind", "start"}, {"n", 1}, {"ahead", 0}}, 100 * minute);
    second.write({{"kind", "start"}, {"n", 2}, {"ahead", 5 * minute}}, 96 * minute);  // 101
    first.write({{"kind", "start"}, {"n", 3}, {"ahead", 0}}, 102 * minute);
    second.write({{"kind", "start"}, {"n", 4}, {"ahead", 5 * minute}}, 98 * minute);  // 103
  }
  std::vector<int> order;
  readAuditLogs(
      {temp.path() + "/a", temp.path() + "/b"},
      [&](std::size_t, const AuditRecord& record) {
        order.push_back(record.record["n"]);
        EXPECT_TRUE(record.store_clock_known);
      },
      [](std::size_t, const AuditGap&) { ADD_FAILURE(); });
  EXPECT_EQ(order, (std::vector<int>{1, 2, 3, 4}));
}

// The fixture was written by version 0.4.0 before the rename of its types; its form must not change.
TEST(AuditLogTest, ReadsTheSegmentOfAnEarlierVersion) {
  const std::string folder = sourceFolder() + "/tests/audit/fixtures/trail";
  constexpr Micros kWrittenAt = 1'700'000'000'000'000;
  const LogContents log = readLog(folder, "s1");
  EXPECT_EQ("s1", log.summary.sender);
  EXPECT_TRUE(log.gaps.empty());
  ASSERT_EQ(3u, log.records.size());
  EXPECT_EQ((json{{"kind", "start"}, {"cause", "start"}, {"epoch", 3}, {"at", kWrittenAt}, {"seq", 1}}),
            log.records[0].record);
  EXPECT_FALSE(log.records[0].store_clock_known);
  EXPECT_EQ("standing", log.records[1].record["kind"]);
  EXPECT_EQ("current", log.records[1].record["standing"]);
  EXPECT_EQ(7, log.records[1].record["own"]["plan"]);
  EXPECT_TRUE(log.records[1].store_clock_known);
  EXPECT_EQ(kWrittenAt + 1'000'250, log.records[1].storeTime());
  EXPECT_EQ("end", log.records[2].record["kind"]);
  EXPECT_EQ(40, log.records[2].record["calls"]);
  EXPECT_EQ(3, log.records[2].sequence);
  EXPECT_EQ(kWrittenAt + 2'000'000, log.records[2].at);
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
  EXPECT_EQ(readFile(segmentPath(sourceFolder() + "/tests/audit/fixtures/trail", 1)),
            readFile(segmentPath(path, 1)));
}

}  // namespace
}  // namespace grademux::audit
