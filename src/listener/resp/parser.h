// A strict parser of RESP2 requests (arrays of bulk strings) and inline commands, with bounds on all sizes.
// No I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace grademux {

constexpr std::size_t kMaxInlineBytes = 8192;  // length of an inline command
constexpr std::size_t kMaxWords = 16, kMaxWordBytes = 65536;
// Only the last word of a request may be longer than this: it is the body of a message, all others are names,
// ids, keys and lists of values.
constexpr std::size_t kMaxLeadingWordBytes = 4096;
// The length in bytes of the longest well-formed request.
constexpr std::size_t kMaxRequestBytes =
    64 + kMaxWords * 16 + (kMaxWords - 1) * kMaxLeadingWordBytes + kMaxWordBytes;

enum class ParseStatus { complete, partial, malformed };

// Whether `word` is the name of a command or, if the word is not complete, a prefix of one. A line that
// begins with another word is not an inline command.
using IsCommandName = bool (*)(std::string_view word, bool complete);

// Reads one request from the beginning of `in` into `words` and sets `used` to the request's length in bytes.
// Of a partial request, `words` stays empty and `used` is the least length that the request can have, as far
// as its lengths are known. Sets `error` for a malformed request. A request is an array of bulk strings or,
// if `is_command` is given, an inline command: one line of words. Words that contain blanks are enclosed in
// "..." (with the escapes \n \r \t \b \a \\ \" \xHH) or in '...' (with the escape \').
ParseStatus parseRequest(std::string_view in, std::vector<std::string>& words, std::size_t& used,
                         std::string& error, IsCommandName is_command = nullptr);

}  // namespace grademux
