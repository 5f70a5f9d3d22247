// grademux: RESP2 requests; see parser.h.
#include "parser.h"

#include <algorithm>

namespace grademux {
namespace {

constexpr std::size_t kLongestCount = 8;  // digits

// "<sign><digits>\r\n" at `at`; moves past it.
Parsed readCount(std::string_view in, std::size_t& at, char sign, std::size_t most, std::size_t& count,
                 std::string& error) {
  if (at >= in.size())
    return Parsed::partial;
  if (in[at] != sign) {
    error = std::string("Protocol error: expected '") + sign + "'";
    return Parsed::malformed;
  }
  std::size_t i = at + 1, value = 0, digits = 0;
  for (; i < in.size() && in[i] >= '0' && in[i] <= '9'; ++i) {
    if (++digits > kLongestCount)
      break;
    value = 10 * value + static_cast<std::size_t>(in[i] - '0');
  }
  if (i < in.size() && (in[i] != '\r' || digits == 0)) {
    error = "Protocol error: invalid length";
    return Parsed::malformed;
  }
  if (value > most) {
    error = "Protocol error: too long";
    return Parsed::malformed;
  }
  if (i + 1 >= in.size())
    return Parsed::partial;
  if (in[i + 1] != '\n') {
    error = "Protocol error: invalid length";
    return Parsed::malformed;
  }
  at = i + 2;
  count = value;
  return Parsed::whole;
}

bool isBlank(char c) {
  return c == ' ' || c == '\t';
}
int hexDigit(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

// One word of an inline command from `at` on; false if its quotes are not balanced.
bool readWord(std::string_view line, std::size_t& at, std::string& word) {
  const char quote = line[at] == '"' || line[at] == '\'' ? line[at] : '\0';
  if (!quote) {
    for (; at < line.size() && !isBlank(line[at]); ++at)
      word += line[at];
    return true;
  }
  for (++at; at < line.size() && line[at] != quote; ++at) {
    if (line[at] != '\\' || at + 1 == line.size()) {
      word += line[at];
      continue;
    }
    const char next = line[at + 1];
    if (quote == '\'') {
      word += next == '\'' ? next : line[at];
      at += next == '\'';
      continue;
    }
    ++at;
    constexpr std::string_view kLetters = "nrtba", kBytes = "\n\r\t\b\a";
    const auto letter = kLetters.find(next);
    if (next == 'x' && at + 2 < line.size() && hexDigit(line[at + 1]) >= 0 && hexDigit(line[at + 2]) >= 0) {
      word += static_cast<char>(16 * hexDigit(line[at + 1]) + hexDigit(line[at + 2]));
      at += 2;
    } else {
      word += letter == std::string_view::npos ? next : kBytes[letter];
    }
  }
  if (at == line.size())
    return false;
  ++at;  // the quote; a blank or the end has to follow
  return at == line.size() || isBlank(line[at]);
}

Parsed parseInline(std::string_view in, std::vector<std::string>& words, std::size_t& used,
                   std::string& error, KnowsCommand knows) {
  const std::size_t end = in.find('\n');
  const std::size_t first = in.substr(0, end).find_first_of(" \t\r");
  const bool whole = end != std::string_view::npos || first != std::string_view::npos;
  if (!knows(in.substr(0, std::min(first, end)), whole)) {
    error = "Protocol error: expected '*'";
    return Parsed::malformed;
  }
  if (std::min(end, in.size()) > kLongestLine) {
    error = "Protocol error: too long";
    return Parsed::malformed;
  }
  if (end == std::string_view::npos)
    return Parsed::partial;
  std::string_view line = in.substr(0, end);
  if (!line.empty() && line.back() == '\r')
    line.remove_suffix(1);
  for (std::size_t at = 0;;) {
    while (at < line.size() && isBlank(line[at]))
      ++at;
    if (at == line.size())
      break;
    if (words.size() == kMostWords) {
      error = "Protocol error: too long";
      return Parsed::malformed;
    }
    words.emplace_back();
    if (!readWord(line, at, words.back())) {
      error = "Protocol error: unbalanced quotes in request";
      return Parsed::malformed;
    }
  }
  used = end + 1;
  return Parsed::whole;
}

}  // namespace

Parsed parseRequest(std::string_view in, std::vector<std::string>& words, std::size_t& used,
                    std::string& error, KnowsCommand knows) {
  words.clear();
  if (knows && !in.empty() && in[0] != '*')
    return parseInline(in, words, used, error, knows);
  std::size_t at = 0, count = 0;
  Parsed p = readCount(in, at, '*', kMostWords, count, error);
  if (p != Parsed::whole)
    return p;
  if (count == 0) {
    error = "Protocol error: empty request";
    return Parsed::malformed;
  }
  std::size_t total = 0;
  for (std::size_t i = 0; i < count; ++i) {
    std::size_t size = 0;
    p = readCount(in, at, '$', kLongestWord, size, error);
    if (p != Parsed::whole)
      return p;
    total += size;
    if (total > 2 * kLongestWord) {
      error = "Protocol error: too long";
      return Parsed::malformed;
    }
    if (in.size() - at < size + 2)
      return Parsed::partial;
    if (in[at + size] != '\r' || in[at + size + 1] != '\n') {
      error = "Protocol error: a string without its end";
      return Parsed::malformed;
    }
    words.emplace_back(in.substr(at, size));
    at += size + 2;
  }
  used = at;
  return Parsed::whole;
}

}  // namespace grademux
