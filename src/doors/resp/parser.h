// grademux: a small strict parser of RESP2 requests (arrays of bulk strings), with bounds on all sizes.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace grademux {

constexpr std::size_t kMostWords = 16, kLongestWord = 65536;
// The longest request that can be well formed, so that a reader knows when to stop reading.
constexpr std::size_t kLongestRequest = 64 + kMostWords * 16 + 2 * kLongestWord;

enum class Parsed { whole, partial, malformed };

// Reads one request off the front of `in`; `used` tells how much of it that took. `error` says what is wrong.
Parsed parseRequest(std::string_view in, std::vector<std::string>& words, std::size_t& used,
                    std::string& error);

}  // namespace grademux
