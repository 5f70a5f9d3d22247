// A strict parser of RESP2 requests (arrays of bulk strings) and inline commands, with bounds on all sizes.
// No I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace grademux {

constexpr std::size_t kMaxInlineBytes = 8192;  // of an inline command
constexpr std::size_t kMaxWords = 16, kMaxWordBytes = 65536;
// The length of the longest well-formed request, bytes.
constexpr std::size_t kMaxRequestBytes = 64 + kMaxWords * 16 + 2 * kMaxWordBytes;

enum class ParseStatus { complete, partial, malformed };

// Whether a word or, if it is not complete, the beginning of one is a command's name. Other lines are not
// taken for inline commands.
using IsCommandName = bool (*)(std::string_view word, bool complete);

// Reads one request off the front of `in` into `words`; `used` is set to its length in bytes. `error` is set
// for a malformed one. A request is an array of bulk strings or, if `is_command` is given, an inline command:
// one line of words, with "..." (\n \r \t \b \a \\ \" \xHH in it) or '...' (\' in it) around words with
// blanks.
ParseStatus parseRequest(std::string_view in, std::vector<std::string>& words, std::size_t& used,
                         std::string& error, IsCommandName is_command = nullptr);

}  // namespace grademux
