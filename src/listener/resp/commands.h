// grademux: the commands of the RESP2 door: a table of them, and the replies of those that need no core.
// Clients open a connection with HELLO, CLIENT, INFO, SELECT or COMMAND before the first request of their
// own; what they are answered follows https://redis.io/docs/latest/commands/. No sockets here; a reply is the
// bytes that go out.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "../../core/message.h"

namespace grademux {

// What a connection has told of itself, and what INFO tells of the door.
struct RespClient {
  std::int64_t id = 0;
  std::string name;
  int protocol = 2;  // 3 after HELLO 3: its HELLO is a map, its null one of its own; all else is the same
};
struct RespFacts {
  std::size_t connections = 0;
  Micros up = 0;            // since the door was opened
  bool sends_away = false;  // PING says no: clients are to go elsewhere
};

struct RespCommand {
  enum class Does {
    reply,  // `reply` goes out
    quit,   // `reply` goes out, then the end of the connection
    put,    // the words are a MSG.PUT, MSG.GET or MSG.WAIT, their number is right
    get,
    wait
  };
  Does does = Does::reply;
  std::string reply;
};

// Reads one request of at least one word. Unknown commands and wrong arguments are replies that begin with
// -ERR.
RespCommand readCommand(const std::vector<std::string>& words, RespClient& client, const RespFacts& facts);

// Whether a word is a command's name or, if it is not whole, its beginning (in any case).
bool knowsCommand(std::string_view word, bool whole);

// Fields and values of what is known of a message; a null for one that is not known.
std::string statusReply(const MessageStatus& s, int protocol);

// MSG.WAIT's milliseconds, as microseconds, at most kLongestRespWait; false if it is no whole number.
constexpr Micros kLongestRespWait = 30'000'000;
bool readWait(const std::string& milliseconds, Micros& wait);

}  // namespace grademux
