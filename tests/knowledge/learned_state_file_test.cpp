// The file of what was learned: read back, and every way in which it can be spoilt.
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

LearnedStateFile book(int destinations) {
  LearnedStateFile b;
  b.sender = "n3";
  b.written = 1'800'000'000'000'000;
  b.pool = {31'500.25, 40, 2.5, 700'000, b.written - 5, b.written};
  for (int i = 0; i < destinations; ++i) {
    LearnedRecord k;
    k.learned = {"",    i,   80.5 + i,      i % 2 == 0,       0.25, 40'000 + i, 9 + i,
                 0.125, 3.5, b.written - i, b.written - 2 * i};
    b.records.push_back(k);
    k.learned.endpoint = "s-" + std::to_string(i);
    k.learned.message_rate = 0;
    k.learned.last_message_at = 0;
    k.address = "10.1.0." + std::to_string(i) + ":6379";
    b.records.push_back(k);
  }
  return b;
}
std::string bytesOf(const LearnedStateFile& b, std::uint64_t most = 1 << 20) {
  std::size_t left_out = 0;
  return encode(b, most, left_out);
}
std::string said(const LearnedRecord& k) {
  const LearnedEndpoint& l = k.learned;
  std::ostringstream s;
  s << l.endpoint << ' ' << k.address << ' ' << l.destination << ' ' << l.rate_limit << ' '
    << l.limit_is_reported << ' ' << l.quota_fraction << ' ' << l.typical_latency << ' ' << l.samples << ' '
    << l.unknown_outcome_fraction << ' ' << l.message_rate << ' ' << l.last_outcome_at << ' '
    << l.last_message_at;
  return s.str();
}

TEST(Book, ReadsBackAsItWasNewestFirst) {
  const LearnedStateFile b = book(3);
  const DecodedFile r = decode(bytesOf(b), "n3");
  EXPECT_EQ(r.error, "");
  EXPECT_EQ(r.damaged, 0u);
  EXPECT_EQ(r.state.written, b.written);
  EXPECT_EQ(r.state.pool.mean_latency, b.pool.mean_latency);
  EXPECT_EQ(r.state.pool.stale_after_idle, b.pool.stale_after_idle);
  ASSERT_EQ(r.state.records.size(), 6u);
  for (std::size_t i = 0; i < 6; ++i)
    EXPECT_EQ(said(r.state.records[i]), said(b.records[i]));
}

// Torn at every byte: what stands whole before is used, nothing is made up.
TEST(Book, TornAtEveryByte) {
  const LearnedStateFile b = book(4);
  const std::string whole = bytesOf(b);
  for (std::size_t n = 0; n < whole.size(); ++n) {
    const DecodedFile r = decode(whole.substr(0, n), "n3");
    if (!r.error.empty()) {
      EXPECT_TRUE(r.state.records.empty());
      continue;
    }
    ASSERT_LT(r.state.records.size(), 8u) << n;
    for (std::size_t i = 0; i < r.state.records.size(); ++i)
      ASSERT_EQ(said(r.state.records[i]), said(b.records[i])) << n;
  }
}

// Every single bit flipped: a record is either as it was or not used; a flip is always noticed.
TEST(Book, EveryBitFlipped) {
  const LearnedStateFile b = book(2);
  const std::string whole = bytesOf(b);
  for (std::size_t bit = 0; bit < 8 * whole.size(); ++bit) {
    std::string bytes = whole;
    bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << bit % 8));
    const DecodedFile r = decode(bytes, "n3");
    ASSERT_TRUE(!r.error.empty() || r.damaged > 0) << bit;
    for (const LearnedRecord& k : r.state.records) {
      bool same = false;
      for (const LearnedRecord& o : b.records)
        same = same || said(o) == said(k);
      ASSERT_TRUE(same) << bit << ": " << said(k);
    }
  }
}

TEST(Book, NoiseIsRefused) {
  std::mt19937_64 random(20261201);
  for (int i = 0; i < 2000; ++i) {
    std::string noise(random() % 300, '\0');
    for (char& c : noise)
      c = static_cast<char>(random());
    const DecodedFile r = decode(noise, "n3");
    EXPECT_FALSE(r.error.empty());
    EXPECT_TRUE(r.state.records.empty());
  }
}

// A frame with a good checksum around any payload, as a newer or another program would write it.
std::string framed(const nlohmann::json& j) {
  std::string payload, out;
  nlohmann::json::to_msgpack(j, payload);
  for (int i = 0; i < 4; ++i)
    out.push_back(static_cast<char>(payload.size() >> (8 * i) & 0xff));
  const std::uint64_t sum = XXH3_64bits(payload.data(), payload.size());
  for (int i = 0; i < 8; ++i)
    out.push_back(static_cast<char>(sum >> (8 * i) & 0xff));
  return out + payload;
}
TEST(Book, OfAnotherSenderOfANewerFormOrOfSomethingElse) {
  const std::string bytes = bytesOf(book(1));
  EXPECT_EQ(decode(bytes, "n4").error, "it is of n3, this is n4");
  EXPECT_EQ(decode(bytes, "").error, "");
  EXPECT_EQ(decode("", "n3").error, "it is empty");
  EXPECT_NE(decode(framed({{"what", "grademux knowledge"}, {"form", 2}, {"sender", "n3"}}), "n3")
                .error.find("form 2"),
            std::string::npos);
  EXPECT_EQ(decode(framed({{"what", "other"}, {"form", 1}}), "n3").error, "not a file of knowledge");
  EXPECT_FALSE(decode(framed(nlohmann::json::array({1, 2})), "n3").error.empty());
}

// An older program knew fewer fields, a newer one of the same form knows more; kinds that don't fit are
// unknown.
TEST(Book, FieldsThatLackOrThatNobodyKnows) {
  const std::string head = framed({{"what", "grademux knowledge"}, {"form", 1}, {"sender", "n3"}});
  const DecodedFile r = decode(
      head + framed({{"d", 5}, {"usual", 9000}, {"n", 3}, {"colour", "red"}}) +
          framed(
              {{"d", "five"}, {"limit", "much"}, {"heard", INT64_MIN}, {"usual", -4}, {"n", 3}, {"risk", 7}}),
      "n3");
  EXPECT_EQ(r.error, "");
  ASSERT_EQ(r.state.records.size(), 2u);
  EXPECT_EQ(r.state.records[0].learned.typical_latency, 9000);
  EXPECT_EQ(r.state.records[0].learned.rate_limit, 0);
  EXPECT_EQ(r.state.records[1].learned.samples, 0);
  EXPECT_EQ(r.state.records[1].learned.last_outcome_at, 0);
  EXPECT_EQ(r.state.records[1].learned.rate_limit, 0);
  EXPECT_EQ(r.state.records[1].learned.unknown_outcome_fraction, 1);
  EXPECT_EQ(r.state.pool.latency_samples, 0);
}

TEST(Book, OverItsBoundTheOldestAreLeftOut) {
  const LearnedStateFile b = book(50);
  std::size_t left_out = 0;
  const std::string bytes = encode(b, 2000, left_out);
  EXPECT_LE(bytes.size(), 2000u);
  const DecodedFile r = decode(bytes, "n3");
  EXPECT_EQ(r.state.records.size() + left_out, 100u);
  EXPECT_GT(r.state.records.size(), 5u);
  EXPECT_EQ(r.state.records[0].learned.destination, 0);  // heard of last
  EXPECT_EQ(encode(b, 20, left_out), "");
}

TEST(Book, IsWrittenWholeOrNotAtAll) {
  loopback::TempFolder folder;
  const std::string path = folder.path() + "/knowledge";
  EXPECT_FALSE(loadLearnedState(path, "n3").found);
  EXPECT_EQ(replaceFile(path, bytesOf(book(2))), "");
  EXPECT_EQ(loadLearnedState(path, "n3").state.records.size(), 4u);
  EXPECT_NE(::access((path + ".new").c_str(), F_OK), 0);
  EXPECT_NE(replaceFile(folder.path() + "/none/knowledge", "x"), "");
  EXPECT_EQ(replaceFile("/dev/full/knowledge", "x").empty(), false);
  ASSERT_EQ(::mkdir((path + ".new").c_str(), 0755), 0);  // the fresh file can't be made
  EXPECT_NE(replaceFile(path, "x"), "");
  EXPECT_EQ(loadLearnedState(path, "n3").state.records.size(), 4u);   // the old one stands
  EXPECT_FALSE(loadLearnedState(folder.path(), "n3").error.empty());  // a folder
}

// A disk that is full in the middle of a write: the old file stands, and nothing is left beside it.
TEST(Book, ADiskThatIsFullLeavesTheOldFile) {
  loopback::TempFolder folder;
  const std::string path = folder.path() + "/knowledge", bytes = bytesOf(book(2));
  ASSERT_EQ(replaceFile(path, bytes), "");
  rlimit before{};
  ASSERT_EQ(::getrlimit(RLIMIT_FSIZE, &before), 0);
  const auto handler = std::signal(SIGXFSZ, SIG_IGN);
  rlimit small = before;
  small.rlim_cur = 100;
  ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &small), 0);
  const std::string wrong = replaceFile(path, bytesOf(book(9)));
  ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &before), 0);
  std::signal(SIGXFSZ, handler);
  EXPECT_NE(wrong, "");
  EXPECT_EQ(loadLearnedState(path, "n3").state.records.size(), 4u);
  EXPECT_NE(::access((path + ".new").c_str(), F_OK), 0);
}

// A file written by version 0.4 of the program, before its types were renamed: the stored format is
// unchanged.
TEST(LearnedStateFixture, ReadsTheFileOfVersion04) {
  const DecodedFile decoded =
      loadLearnedState(sourceFolder() + "/tests/knowledge/fixtures/learned-state-0.4", "n3");
  const LearnedStateFile expected = book(2);
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
    EXPECT_EQ(said(decoded.state.records[i]), said(expected.records[i]));
}

}  // namespace
}  // namespace grademux::knowledge
