// grademux: RESP2 requests; see parser.h.
#include "parser.h"

namespace grademux {
namespace {

constexpr std::size_t kLongestCount = 8;  // digits

// "<sign><digits>\r\n" at `at`; moves past it.
Parsed readCount(std::string_view in, std::size_t& at, char sign, std::size_t most, std::size_t& count,
                 std::string& error) {
  if (at >= in.size()) return Parsed::partial;
  if (in[at] != sign) {
    error = std::string("Protocol error: expected '") + sign + "'";
    return Parsed::malformed;
  }
  std::size_t i = at + 1, value = 0, digits = 0;
  for (; i < in.size() && in[i] >= '0' && in[i] <= '9'; ++i) {
    if (++digits > kLongestCount) break;
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
  if (i + 1 >= in.size()) return Parsed::partial;
  if (in[i + 1] != '\n') {
    error = "Protocol error: invalid length";
    return Parsed::malformed;
  }
  at = i + 2;
  count = value;
  return Parsed::whole;
}

}  // namespace

Parsed parseRequest(std::string_view in, std::vector<std::string>& words, std::size_t& used,
                    std::string& error) {
  words.clear();
  std::size_t at = 0, count = 0;
  Parsed p = readCount(in, at, '*', kMostWords, count, error);
  if (p != Parsed::whole) return p;
  if (count == 0) {
    error = "Protocol error: empty request";
    return Parsed::malformed;
  }
  std::size_t total = 0;
  for (std::size_t i = 0; i < count; ++i) {
    std::size_t size = 0;
    p = readCount(in, at, '$', kLongestWord, size, error);
    if (p != Parsed::whole) return p;
    total += size;
    if (total > 2 * kLongestWord) {
      error = "Protocol error: too long";
      return Parsed::malformed;
    }
    if (in.size() - at < size + 2) return Parsed::partial;
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
