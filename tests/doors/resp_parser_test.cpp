// The parser of RESP2 requests: pieces of any size, bounds, and what is malformed.
#include <gtest/gtest.h>

#include "../../src/doors/resp/parser.h"

namespace grademux {
namespace {

Parsed parse(const std::string& in, std::vector<std::string>& words, std::size_t& used) {
  std::string error;
  const Parsed p = parseRequest(in, words, used, error);
  EXPECT_EQ(p == Parsed::malformed, !error.empty());
  return p;
}

TEST(Resp, AWholeRequestIsReadAndEveryPrefixIsPartial) {
  const std::string whole = std::string("*2\r\n$4\r\nPING\r\n$3\r\n\0\r\n", 21) + "\r\n";
  std::vector<std::string> words;
  std::size_t used = 0;
  ASSERT_EQ(Parsed::whole, parse(whole + "*1", words, used));
  EXPECT_EQ(whole.size(), used);
  ASSERT_EQ(2u, words.size());
  EXPECT_EQ("PING", words[0]);
  EXPECT_EQ(std::string("\0\r\n", 3), words[1]);
  for (std::size_t n = 0; n < whole.size(); ++n)
    EXPECT_EQ(Parsed::partial, parse(whole.substr(0, n), words, used)) << n;
}

TEST(Resp, WhatIsMalformedOrTooLongIsRefusedEarly) {
  const std::string long_word = std::to_string(kLongestWord + 1);
  std::vector<std::string> words;
  std::size_t used = 0;
  for (const std::string& in :
       {std::string("GET / HTTP/1.1\r\n"), std::string("*0\r\n"), std::string("*-1\r\n"),
        std::string("*x\r\n"), std::string("*1\r\n+PING\r\n"), std::string("*1\r\n$-1\r\n"),
        std::string("*99\r\n"), std::string("*999999999999999999999"), std::string("*1\r\n$4\r\nPINGxx"),
        "*1\r\n$" + long_word + "\r\n", std::string("*1\n"), std::string("*1\rx")})
    EXPECT_EQ(Parsed::malformed, parse(in, words, used)) << in;
}

TEST(Resp, ABodyOfTheLongestSizeIsTaken) {
  const std::string in =
      "*1\r\n$" + std::to_string(kLongestWord) + "\r\n" + std::string(kLongestWord, 'x') + "\r\n";
  std::vector<std::string> words;
  std::size_t used = 0;
  EXPECT_EQ(Parsed::whole, parse(in, words, used));
  EXPECT_LE(in.size(), kLongestRequest);
}

}  // namespace
}  // namespace grademux
