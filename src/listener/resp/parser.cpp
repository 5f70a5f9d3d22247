// See parser.h.
#include "parser.h"

#include <algorithm>
#include <array>

namespace grademux {
namespace {

constexpr std::size_t kMaxCountDigits = 8;
constexpr std::size_t kLineEndBytes = 2;

// Reads "<sign><digits>\r\n" at position `at` and advances `at` past the line.
ParseStatus readCount(std::string_view in, std::size_t& at, char sign, std::size_t max, std::size_t& count,
                      std::string& error) {
  if (at >= in.size())
    return ParseStatus::partial;
  if (in[at] != sign) {
    error = std::string("Protocol error: expected '") + sign + "'";
    return ParseStatus::malformed;
  }
  std::size_t next = at + 1, value = 0, digits = 0;
  for (; next < in.size() && in[next] >= '0' && in[next] <= '9'; ++next) {
    if (++digits > kMaxCountDigits)
      break;
    value = 10 * value + static_cast<std::size_t>(in[next] - '0');
  }
  if (next < in.size() && (in[next] != '\r' || digits == 0)) {
    error = "Protocol error: invalid length";
    return ParseStatus::malformed;
  }
  if (value > max) {
    error = "Protocol error: too long";
    return ParseStatus::malformed;
  }
  if (next + 1 >= in.size())
    return ParseStatus::partial;
  if (in[next + 1] != '\n') {
    error = "Protocol error: invalid length";
    return ParseStatus::malformed;
  }
  at = next + 2;
  count = value;
  return ParseStatus::complete;
}

bool isBlank(char letter) {
  return letter == ' ' || letter == '\t';
}

// The value of a hexadecimal digit; -1 for any other character.
int hexDigit(char digit) {
  if (digit >= '0' && digit <= '9')
    return digit - '0';
  if (digit >= 'a' && digit <= 'f')
    return digit - 'a' + 10;
  return digit >= 'A' && digit <= 'F' ? digit - 'A' + 10 : -1;
}

// Reads one word of an inline command at position `at`. Returns false if the quotes are not balanced.
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
  ++at;  // the closing quote; a blank or the end must follow
  return at == line.size() || isBlank(line[at]);
}

ParseStatus parseInline(std::string_view in, std::vector<std::string>& words, std::size_t& used,
                        std::string& error, IsCommandName is_command) {
  const std::size_t end = in.find('\n');
  const std::size_t first = in.substr(0, end).find_first_of(" \t\r");
  const bool complete = end != std::string_view::npos || first != std::string_view::npos;
  if (!is_command(in.substr(0, std::min(first, end)), complete)) {
    error = "Protocol error: expected '*'";
    return ParseStatus::malformed;
  }
  if (std::min(end, in.size()) > kMaxInlineBytes) {
    error = "Protocol error: too long";
    return ParseStatus::malformed;
  }
  if (end == std::string_view::npos) {
    used = in.size() + 1;
    return ParseStatus::partial;
  }
  std::string_view line = in.substr(0, end);
  if (!line.empty() && line.back() == '\r')
    line.remove_suffix(1);
  for (std::size_t at = 0;;) {
    while (at < line.size() && isBlank(line[at]))
      ++at;
    if (at == line.size())
      break;
    if (words.size() == kMaxWords) {
      error = "Protocol error: too long";
      return ParseStatus::malformed;
    }
    words.emplace_back();
    if (!readWord(line, at, words.back())) {
      error = "Protocol error: unbalanced quotes in request";
      return ParseStatus::malformed;
    }
  }
  used = end + 1;
  return ParseStatus::complete;
}

ParseStatus parseArray(std::string_view in, std::vector<std::string>& words, std::size_t& used,
                       std::string& error) {
  std::size_t at = 0, count = 0;
  used = in.size() + 1;
  ParseStatus status = readCount(in, at, '*', kMaxWords, count, error);
  if (status != ParseStatus::complete)
    return status;
  if (count == 0) {
    error = "Protocol error: empty request";
    return ParseStatus::malformed;
  }
  std::array<std::string_view, kMaxWords> parts;
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t max_size = i + 1 == count ? kMaxWordBytes : kMaxLeadingWordBytes;
    std::size_t size = 0;
    status = readCount(in, at, '$', max_size, size, error);
    if (status != ParseStatus::complete)
      return status;
    if (in.size() - at < size + kLineEndBytes) {
      used = at + size + kLineEndBytes;
      return ParseStatus::partial;
    }
    if (in[at + size] != '\r' || in[at + size + 1] != '\n') {
      error = "Protocol error: a string without its end";
      return ParseStatus::malformed;
    }
    parts[i] = in.substr(at, size);
    at += size + kLineEndBytes;
  }
  words.assign(parts.begin(), parts.begin() + static_cast<std::ptrdiff_t>(count));
  used = at;
  return ParseStatus::complete;
}

}  // namespace

ParseStatus parseRequest(std::string_view in, std::vector<std::string>& words, std::size_t& used,
                         std::string& error, IsCommandName is_command) {
  words.clear();
  if (is_command && !in.empty() && in[0] != '*')
    return parseInline(in, words, used, error, is_command);
  return parseArray(in, words, used, error);
}

}  // namespace grademux
