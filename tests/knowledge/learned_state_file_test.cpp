// File format of the learned state: round trip, damaged and foreign files, and failed writes.
#include "../../src/knowledge/learned_state_file.h"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>

#include "../../src/core/file.h"
#include "../support/loopback.h"
#include "../support/program_paths.h"

namespace grademux::knowledge {
namespace {

LearnedStateFile sampleFile(int destinations) {
  LearnedStateFile file;
  file.sender = "n3";
  file.written = 1'800'000'000'000'000;
  file.pool = {31'500.25, 40, 2.5, 700'000, file.written - 5, file.written};
  for (int i = 0; i < destinations; ++i) {
    LearnedRecord record;
    record.learned = {"",    i,   80.5 + i,         i % 2 == 0,          0.25, 40'000 + i, 9 + i,
                      0.125, 3.5, file.written - i, file.written - 2 * i};
    file.records.push_back(record);
    record.learned.endpoint = "s-" + std::to_string(i);
    record.learned.message_rate = 0;
    record.learned.last_message_at = 0;
    record.address = "10.1.0." + std::to_string(i) + ":6379";
    file.records.push_back(record);
  }
  return file;
}
std::string encoded(const LearnedStateFile& file, std::uint64_t max_bytes = 1 << 20) {
  std::size_t left_out = 0;
  return encode(file, max_bytes, left_out);
}
// All fields of a record as text, for comparisons.
std::string toText(const LearnedRecord& record) {
  const LearnedEndpoint& learned = record.learned;
  std::ostringstream out;
  out << learned.endpoint << ' ' << record.address << ' ' << learned.destination << ' ' << learned.rate_limit
      << ' ' << learned.limit_is_reported << ' ' << learned.quota_fraction << ' ' << learned.typical_latency
      << ' ' << learned.samples << ' ' << learned.unknown_outcome_fraction << ' ' << learned.message_rate
      << ' ' << learned.last_outcome_at << ' ' << learned.last_message_at;
  return out.str();
}

TEST(LearnedStateFileTest, RoundTripsRecordsNewestFirst) {
  const LearnedStateFile file = sampleFile(3);
  const DecodedFile decoded = decode(encoded(file), "n3");
  EXPECT_EQ(decoded.error, "");
  EXPECT_EQ(decoded.damaged, 0u);
  EXPECT_EQ(decoded.state.written, file.written);
  EXPECT_EQ(decoded.state.pool.mean_latency, file.pool.mean_latency);
  EXPECT_EQ(decoded.state.pool.stale_after_idle, file.pool.stale_after_idle);
  ASSERT_EQ(decoded.state.records.size(), 6u);
  for (std::size_t i = 0; i < 6; ++i)
    EXPECT_EQ(toText(decoded.state.records[i]), toText(file.records[i]));
}

// A file that is cut at any byte yields only records that were written, at most those before the cut.
TEST(LearnedStateFileTest, UsesCompleteRecordsWhenFileIsCutAtAnyByte) {
  const LearnedStateFile file = sampleFile(4);
  const std::string complete = encoded(file);
  for (std::size_t size = 0; size < complete.size(); ++size) {
    const DecodedFile decoded = decode(complete.substr(0, size), "n3");
    if (!decoded.error.empty()) {
      EXPECT_TRUE(decoded.state.records.empty());
      continue;
    }
    ASSERT_LT(decoded.state.records.size(), 8u) << size;
    for (std::size_t i = 0; i < decoded.state.records.size(); ++i)
      ASSERT_EQ(toText(decoded.state.records[i]), toText(file.records[i])) << size;
  }
}

// After a flip of any single bit the damage is detected, and each record is unchanged or skipped.
TEST(LearnedStateFileTest, DetectsDamageWhenAnyBitIsFlipped) {
  const LearnedStateFile file = sampleFile(2);
  const std::string complete = encoded(file);
  for (std::size_t bit = 0; bit < 8 * complete.size(); ++bit) {
    std::string bytes = complete;
    bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << bit % 8));
    const DecodedFile decoded = decode(bytes, "n3");
    ASSERT_TRUE(!decoded.error.empty() || decoded.damaged > 0) << bit;
    for (const LearnedRecord& record : decoded.state.records) {
      bool same = false;
      for (const LearnedRecord& original : file.records)
        same = same || toText(original) == toText(record);
      ASSERT_TRUE(same) << bit << ": " << toText(record);
    }
  }
}

TEST(LearnedStateFileTest, RejectsRandomBytes) {
  std::mt19937_64 random(20261201);
  for (int i = 0; i < 2000; ++i) {
    std::string noise(random() % 300, '\0');
    for (char& byte : noise)
      byte = static_cast<char>(random());
    const DecodedFile decoded = decode(noise, "n3");
    EXPECT_FALSE(decoded.error.empty());
    EXPECT_TRUE(decoded.state.records.empty());
  }
}

// Returns a frame with a valid checksum around any payload, as a newer version or another program may write
// it.
std::string framed(const nlohmann::json& record) {
  std::string payload, out;
  nlohmann::json::to_msgpack(record, payload);
  for (int i = 0; i < 4; ++i)
    out.push_back(static_cast<char>(payload.size() >> (8 * i) & 0xff));
  const std::uint64_t checksum = XXH3_64bits(payload.data(), payload.size());
  for (int i = 0; i < 8; ++i)
    out.push_back(static_cast<char>(checksum >> (8 * i) & 0xff));
  return out + payload;
}
TEST(LearnedStateFileTest, RejectsFileOfAnotherSenderVersionOrType) {
  const std::string bytes = encoded(sampleFile(1));
  EXPECT_EQ(decode(bytes, "n4").error, "it is of n3, this is n4");
  EXPECT_EQ(decode(bytes, "").error, "");
  EXPECT_EQ(decode("", "n3").error, "it is empty");
  EXPECT_NE(decode(framed({{"what", "grademux knowledge"}, {"form", 2}, {"sender", "n3"}}), "n3")
                .error.find("form 2"),
            std::string::npos);
  EXPECT_EQ(decode(framed({{"what", "other"}, {"form", 1}}), "n3").error, "not a file of knowledge");
  EXPECT_FALSE(decode(framed(nlohmann::json::array({1, 2})), "n3").error.empty());
}

// Older programs write fewer fields, newer programs of the same format version write more. Fields of another
// type are unknown.
TEST(LearnedStateFileTest, ReadsRecordsWithAbsentUnknownOrMalformedFields) {
  const std::string header = framed({{"what", "grademux knowledge"}, {"form", 1}, {"sender", "n3"}});
  const DecodedFile decoded = decode(
      header + framed({{"d", 5}, {"usual", 9000}, {"n", 3}, {"colour", "red"}}) +
          framed(
              {{"d", "five"}, {"limit", "much"}, {"heard", INT64_MIN}, {"usual", -4}, {"n", 3}, {"risk", 7}}),
      "n3");
  EXPECT_EQ(decoded.error, "");
  ASSERT_EQ(decoded.state.records.size(), 2u);
  EXPECT_EQ(decoded.state.records[0].learned.typical_latency, 9000);
  EXPECT_EQ(decoded.state.records[0].learned.rate_limit, 0);
  EXPECT_EQ(decoded.state.records[1].learned.samples, 0);
  EXPECT_EQ(decoded.state.records[1].learned.last_outcome_at, 0);
  EXPECT_EQ(decoded.state.records[1].learned.rate_limit, 0);
  EXPECT_EQ(decoded.state.records[1].learned.unknown_outcome_fraction, 1);
  EXPECT_EQ(decoded.state.pool.latency_samples, 0);
}

TEST(LearnedStateFileTest, LeavesOutOldestRecordsWhenFileExceedsTheLimit) {
  const LearnedStateFile file = sampleFile(50);
  std::size_t left_out = 0;
  const std::string bytes = encode(file, 2000, left_out);
  EXPECT_LE(bytes.size(), 2000u);
  const DecodedFile decoded = decode(bytes, "n3");
  EXPECT_EQ(decoded.state.records.size() + left_out, 100u);
  EXPECT_GT(decoded.state.records.size(), 5u);
  EXPECT_EQ(decoded.state.records[0].learned.destination, 0);  // observed last
  EXPECT_EQ(encode(file, 20, left_out), "");
}

TEST(LearnedStateFileTest, KeepsOldFileWhenWriteFails) {
  loopback::TempFolder folder;
  const std::string path = folder.path() + "/knowledge";
  EXPECT_FALSE(loadLearnedState(path, "n3").found);
  EXPECT_EQ(replaceFile(path, encoded(sampleFile(2))), "");
  EXPECT_EQ(loadLearnedState(path, "n3").state.records.size(), 4u);
  EXPECT_NE(::access((path + ".new").c_str(), F_OK), 0);
  EXPECT_NE(replaceFile(folder.path() + "/none/knowledge", "x"), "");
  EXPECT_EQ(replaceFile("/dev/full/knowledge", "x").empty(), false);
  ASSERT_EQ(::mkdir((path + ".new").c_str(), 0755), 0);  // the new file can't be created
  EXPECT_NE(replaceFile(path, "x"), "");
  EXPECT_EQ(loadLearnedState(path, "n3").state.records.size(), 4u);   // the old file is unchanged
  EXPECT_FALSE(loadLearnedState(folder.path(), "n3").error.empty());  // a folder is no file
}

// If the disk is full in the middle of a write, the old file stays and the partial new file is removed.
TEST(LearnedStateFileTest, KeepsOldFileAndRemovesPartialFileWhenDiskIsFull) {
  loopback::TempFolder folder;
  const std::string path = folder.path() + "/knowledge", bytes = encoded(sampleFile(2));
  ASSERT_EQ(replaceFile(path, bytes), "");
  rlimit original{};
  ASSERT_EQ(::getrlimit(RLIMIT_FSIZE, &original), 0);
  const auto handler = std::signal(SIGXFSZ, SIG_IGN);
  rlimit small = original;
  small.rlim_cur = 100;
  ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &small), 0);
  const std::string error = replaceFile(path, encoded(sampleFile(9)));
  ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &original), 0);
  std::signal(SIGXFSZ, handler);
  EXPECT_NE(error, "");
  EXPECT_EQ(loadLearnedState(path, "n3").state.records.size(), 4u);
  EXPECT_NE(::access((path + ".new").c_str(), F_OK), 0);
}

// The fixture was written by version 0.4 of the program, before its types were renamed. The stored format
// must not change.
TEST(LearnedStateFixture, ReadsTheFileOfVersion04) {
  const DecodedFile decoded =
      loadLearnedState(sourceFolder() + "/tests/knowledge/fixtures/learned-state-0.4", "n3");
  const LearnedStateFile expected = sampleFile(2);
  EXPECT_TRUE(decoded.found);
  EXPECT_EQ(decoded.error, "");
  EXPECT_EQ(decoded.damaged, 0u);
  EXPECT_EQ(decoded.state.written, expected.written);
  EXPECT_EQ(decoded.state.pool.last_outcome_at, expected.pool.last_outcome_at);
  EXPECT_EQ(decoded.state.pool.mean_latency, expected.pool.mean_latency);
  EXPECT_EQ(decoded.state.pool.latency_samples, expected.pool.latency_samples);
  EXPECT_EQ(decoded.state.pool.stale_connection_score, expected.pool.stale_connection_score);
  EXPECT_EQ(decoded.state.pool.stale_after_idle, expected.pool.stale_after_idle);
  EXPECT_EQ(decoded.state.pool.stale_observed_at, expected.pool.stale_observed_at);
  ASSERT_EQ(decoded.state.records.size(), expected.records.size());
  for (std::size_t i = 0; i < expected.records.size(); ++i)
    EXPECT_EQ(toText(decoded.state.records[i]), toText(expected.records[i]));
}

}  // namespace
}  // namespace grademux::knowledge
