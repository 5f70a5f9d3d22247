// Response parser: what is believed does not depend on how the network cuts the bytes of a response.
#include "../../src/net/answer_reader.h"

#include <gtest/gtest.h>

#include <vector>

namespace grademux {
namespace {

constexpr std::size_t kBodyLimit = 65536;

struct Reading {
  AnswerReader::State state;
  bool has_status_200;
  std::string status_line;
  friend bool operator==(const Reading& a, const Reading& b) {
    return a.state == b.state && a.has_status_200 == b.has_status_200 && a.status_line == b.status_line;
  }
  friend void PrintTo(const Reading& reading, std::ostream* out) {
    *out << "state " << static_cast<int>(reading.state) << ", status 200 " << reading.has_status_200
         << ", status line \"" << reading.status_line << "\"";
  }
};

// Feeds the pieces as the connection does: the parser leaves in the buffer what it has not consumed.
Reading readPieces(const std::vector<std::string>& pieces) {
  AnswerReader reader(kBodyLimit);
  std::string buffer;
  auto state = AnswerReader::State::partial;
  for (const std::string& piece : pieces) {
    buffer += piece;
    state = reader.parse(buffer);
    if (state != AnswerReader::State::partial)
      break;
  }
  return {state, reader.hasStatus200(), reader.statusLine()};
}

std::vector<std::string> singleBytes(const std::string& bytes) {
  std::vector<std::string> pieces;
  for (const char byte : bytes)
    pieces.emplace_back(1, byte);
  return pieces;
}

struct Row {
  const char* name;
  std::string bytes;
  Reading reading;
  friend void PrintTo(const Row& row, std::ostream* out) { *out << row.name; }
};
class AnswerPieces : public ::testing::TestWithParam<Row> {};

// Guards against a status line that is cut by the network and read as another one: a message that an endpoint
// has confirmed would be sent again, or reported to its client as failed.
TEST_P(AnswerPieces, ReadTheSameInOnePieceTwoOrManyPieces) {
  const Row& row = GetParam();
  EXPECT_EQ(row.reading, readPieces({row.bytes}));
  for (std::size_t cut = 1; cut < row.bytes.size(); ++cut)
    EXPECT_EQ(row.reading, readPieces({row.bytes.substr(0, cut), row.bytes.substr(cut)})) << "cut at " << cut;
  EXPECT_EQ(row.reading, readPieces(singleBytes(row.bytes)));
}

const auto kPartial = AnswerReader::State::partial;
const auto kComplete = AnswerReader::State::complete;
const auto kMalformed = AnswerReader::State::malformed;

INSTANTIATE_TEST_SUITE_P(
    Table, AnswerPieces,
    ::testing::Values(
        Row{"complete_200",
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            {kComplete, true, "HTTP/1.1 200 OK"}},
        Row{"unreadable_length_200",
            "HTTP/1.1 200 OK\r\nContent-Length: 4x7\r\n\r\n",
            {kMalformed, true, "HTTP/1.1 200 OK"}},
        Row{"head_without_end_200", "HTTP/1.1 200 OK\r\nX-A: b\r\n", {kPartial, true, "HTTP/1.1 200 OK"}},
        Row{"200_after_interim",
            "HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4x7\r\n\r\n",
            {kMalformed, true, "HTTP/1.1 200 OK"}},
        Row{"503_after_interim",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
            {kComplete, false, "HTTP/1.1 503 Full"}},
        Row{"unreadable_length_503",
            "HTTP/1.1 503 Full\r\nContent-Length: 4x7\r\n\r\n",
            {kMalformed, false, "HTTP/1.1 503 Full"}},
        Row{"503_whose_head_holds_a_200",
            "HTTP/1.1 503 Full\r\nX-A: HTTP/1.1 200 OK\r\nContent-Length: 4x7\r\n\r\n",
            {kMalformed, false, "HTTP/1.1 503 Full"}},
        Row{"status_line_cut_200", "HTTP/1.1 200", {kPartial, false, "HTTP/1.1 200"}}),
    [](const auto& row) { return std::string(row.param.name); });

// Guards against responses that take memory for bodies which nobody reads, one for each call that is out; the
// digest tells copies of a response, however the network cuts them.
TEST(AnswerReader, DropsABodyThatIsNotNeededAndKeepsItsDigest) {
  const std::string body = std::string(kBodyLimit / 2, 'a') + std::string(kBodyLimit / 2, 'b');
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  std::vector<std::uint64_t> digests;
  for (const std::size_t piece_size : {std::size_t{1000}, std::size_t{7777}, body.size()}) {
    AnswerReader reader(kBodyLimit, false);
    std::string buffer = head;
    EXPECT_EQ(kPartial, reader.parse(buffer));
    auto state = kPartial;
    for (std::size_t at = 0; at < body.size(); at += piece_size) {
      buffer += body.substr(at, piece_size);
      state = reader.parse(buffer);
      EXPECT_LT(reader.head().body().capacity(), piece_size);
    }
    EXPECT_EQ(kComplete, state);
    digests.push_back(reader.droppedBodyDigest());
  }
  EXPECT_EQ(digests[0], digests[1]);
  EXPECT_EQ(digests[0], digests[2]);
  AnswerReader other(kBodyLimit, false);
  std::string buffer = head + std::string(body.size(), 'a');
  EXPECT_EQ(kComplete, other.parse(buffer));
  EXPECT_NE(digests[0], other.droppedBodyDigest());
}

// Guards against a limit that no longer holds because the bytes are not kept.
TEST(AnswerReader, RejectsATooLongBodyThatIsDropped) {
  AnswerReader reader(kBodyLimit, false);
  std::string buffer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  EXPECT_EQ(kPartial, reader.parse(buffer));
  auto state = kPartial;
  for (std::size_t sent = 0; sent <= kBodyLimit && state == kPartial; sent += 4096) {
    buffer += "1000\r\n" + std::string(4096, 'x') + "\r\n";
    state = reader.parse(buffer);
  }
  EXPECT_EQ(kMalformed, state);
}

}  // namespace
}  // namespace grademux
