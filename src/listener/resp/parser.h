// grademux: a small strict parser of RESP2 requests (arrays of bulk strings), with bounds on all sizes.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace grademux {

constexpr std::size_t kLongestLine = 8192;  // of an inline command, bytes
constexpr std::size_t kMostWords = 16, kLongestWord = 65536;
// The longest request that can be well formed, so that a reader knows when to stop reading.
constexpr std::size_t kLongestRequest = 64 + kMostWords * 16 + 2 * kLongestWord;

enum class Parsed { whole, partial, malformed };

// Whether a word, or its beginning, is a command's name: what else begins a line is no inline command.
using KnowsCommand = bool (*)(std::string_view word, bool whole);

// Reads one request off the front of `in`; `used` tells how much of it that took. `error` says what is wrong.
// A request is an array of bulk strings or, if `knows` is given, an inline command: one line of words, as
// people type them, with "..." (\n \r \t \b \a \\ \" \xHH in it) and '...' (\' in it) around words with
// blanks.
Parsed parseRequest(std::string_view in, std::vector<std::string>& words, std::size_t& used,
                    std::string& error, KnowsCommand knows = nullptr);

}  // namespace grademux
