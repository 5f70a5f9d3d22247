// The parser of RESP2 requests: partial input, bounds, and malformed requests.
#include <gtest/gtest.h>

#include "../../src/listener/resp/parser.h"

namespace grademux {
namespace {

ParseStatus parse(const std::string& in, std::vector<std::string>& words, std::size_t& used) {
  std::string error;
  const ParseStatus status = parseRequest(in, words, used, error);
  EXPECT_EQ(status == ParseStatus::malformed, !error.empty());
  return status;
}

TEST(RespParser, ReadsACompleteRequestAndReportsEveryPrefixAsPartial) {
  const std::string request = std::string("*2\r\n$4\r\nPING\r\n$3\r\n\0\r\n", 21) + "\r\n";
  std::vector<std::string> words;
  std::size_t used = 0;
  ASSERT_EQ(ParseStatus::complete, parse(request + "*1", words, used));
  EXPECT_EQ(request.size(), used);
  ASSERT_EQ(2u, words.size());
  EXPECT_EQ("PING", words[0]);
  EXPECT_EQ(std::string("\0\r\n", 3), words[1]);
  for (std::size_t size = 0; size < request.size(); ++size)
    EXPECT_EQ(ParseStatus::partial, parse(request.substr(0, size), words, used)) << size;
}

TEST(RespParser, RejectsMalformedAndTooLongRequestsEarly) {
  const std::string long_word = std::to_string(kMaxWordBytes + 1);
  std::vector<std::string> words;
  std::size_t used = 0;
  for (const std::string& in :
       {std::string("GET / HTTP/1.1\r\n"), std::string("*0\r\n"), std::string("*-1\r\n"),
        std::string("*x\r\n"), std::string("*1\r\n+PING\r\n"), std::string("*1\r\n$-1\r\n"),
        std::string("*99\r\n"), std::string("*999999999999999999999"), std::string("*1\r\n$4\r\nPINGxx"),
        "*1\r\n$" + long_word + "\r\n", std::string("*1\n"), std::string("*1\rx")})
    EXPECT_EQ(ParseStatus::malformed, parse(in, words, used)) << in;
}

TEST(RespParser, AcceptsABodyOfTheMaximumSize) {
  const std::string in =
      "*1\r\n$" + std::to_string(kMaxWordBytes) + "\r\n" + std::string(kMaxWordBytes, 'x') + "\r\n";
  std::vector<std::string> words;
  std::size_t used = 0;
  EXPECT_EQ(ParseStatus::complete, parse(in, words, used));
  EXPECT_LE(in.size(), kMaxRequestBytes);
}

// Guards against words that can't be valid and are kept until the request ends or its time is over.
TEST(RespParser, RejectsALongWordThatIsNotTheLastOnceItsLengthIsKnown) {
  const std::string too_long = "$" + std::to_string(kMaxLeadingWordBytes + 1) + "\r\n";
  const std::string longest = "$" + std::to_string(kMaxLeadingWordBytes) + "\r\n";
  std::vector<std::string> words;
  std::size_t used = 0;
  EXPECT_EQ(ParseStatus::malformed, parse("*2\r\n" + too_long, words, used));
  EXPECT_EQ(ParseStatus::partial, parse("*2\r\n" + longest, words, used));
  EXPECT_EQ(ParseStatus::partial, parse("*1\r\n" + too_long, words, used));
}

// Guards against buffers that grow by guesses: the length that is told says how much memory the request
// needs.
TEST(RespParser, TellsTheLeastLengthOfAPartialRequest) {
  const std::string start = "*2\r\n$4\r\nECHO\r\n";
  std::vector<std::string> words;
  std::size_t used = 0;
  ASSERT_EQ(ParseStatus::partial, parse(start + "$50000\r\nabc", words, used));
  EXPECT_EQ(start.size() + std::string("$50000\r\n").size() + 50'000 + 2, used);
  EXPECT_TRUE(words.empty());
  ASSERT_EQ(ParseStatus::partial, parse(start, words, used));
  EXPECT_GT(used, start.size());
}

bool isPutCommand(std::string_view word, bool complete) {
  const std::string name = "MSG.PUT";
  return !word.empty() && (complete ? word == name : name.compare(0, word.size(), word) == 0);
}

struct InlineCase {
  const char *name, *line;
  std::vector<std::string> words;  // empty: the line is malformed
  friend void PrintTo(const InlineCase& inline_case, std::ostream* out) { *out << inline_case.name; }
};
class InlineCommand : public ::testing::TestWithParam<InlineCase> {};

// Parses the complete line and each prefix: a prefix is neither a complete nor a malformed request.
TEST_P(InlineCommand, IsReadCompletelyAndReportsEveryPrefixAsPartial) {
  const std::string line = GetParam().line;
  std::vector<std::string> words;
  std::size_t used = 0;
  std::string error;
  const ParseStatus status = parseRequest(line, words, used, error, isPutCommand);
  if (GetParam().words.empty()) {
    EXPECT_EQ(status, ParseStatus::malformed);
    EXPECT_EQ(error.rfind("Protocol error", 0), 0u);
    return;
  }
  ASSERT_EQ(status, ParseStatus::complete) << error;
  EXPECT_EQ(words, GetParam().words);
  EXPECT_EQ(line.substr(used), line.substr(line.find('\n') + 1));
  for (std::size_t cut = 0; cut <= line.find('\n'); ++cut)
    EXPECT_EQ(parseRequest(line.substr(0, cut), words, used, error, isPutCommand), ParseStatus::partial)
        << cut;
}
INSTANTIATE_TEST_SUITE_P(
    Table, InlineCommand,
    ::testing::Values(
        InlineCase{"plain", "MSG.PUT 0 id c=x body\r\n*1\r\n", {"MSG.PUT", "0", "id", "c=x", "body"}},
        InlineCase{"bare end", "MSG.PUT\ta  b \n", {"MSG.PUT", "a", "b"}},
        InlineCase{"quotes", "MSG.PUT \"a b\" 'c d' \"\"\r\n", {"MSG.PUT", "a b", "c d", ""}},
        InlineCase{"escapes",
                   "MSG.PUT \"\\x41\\n\\\"\\q\\xZ\" 'it\\'s \\n'\r\n",
                   {"MSG.PUT", "A\n\"qxZ", "it's \\n"}},
        InlineCase{"open quote", "MSG.PUT \"a b\r\n", {}},
        InlineCase{"glued quote", "MSG.PUT \"a\"b\r\n", {}}, InlineCase{"unknown", "GET / HTTP/1.1\r\n", {}},
        InlineCase{"empty", "\r\n", {}},
        InlineCase{"many", "MSG.PUT 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17\r\n", {}}));

// Guards against clients of another protocol that occupy a connection until a time limit.
TEST(InlineCommand, IsRejectedAtOnceWhenUnknownOrTooLong) {
  std::vector<std::string> words;
  std::size_t used = 0;
  std::string error;
  for (const char* text : {"G", "\x16\x03\x01", "MSG.PUX", "MSG.PU ", "$3", " "})
    EXPECT_EQ(parseRequest(text, words, used, error, isPutCommand), ParseStatus::malformed) << text;
  const std::string start = "MSG.PUT ";
  EXPECT_EQ(parseRequest(start + std::string(kMaxInlineBytes - start.size(), 'x'), words, used, error,
                         isPutCommand),
            ParseStatus::partial);
  EXPECT_EQ(parseRequest(start + std::string(kMaxInlineBytes, 'x'), words, used, error, isPutCommand),
            ParseStatus::malformed);
}

}  // namespace
}  // namespace grademux
