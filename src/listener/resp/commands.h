// The commands of the RESP2 listener: a table of them, and the replies of those that the engine is not needed
// for. Client libraries open a connection with HELLO, CLIENT, INFO, SELECT or COMMAND; replies follow
// https://redis.io/docs/latest/commands/. No I/O; a reply is the bytes to send.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../../core/message.h"

namespace grademux {

// What a client has set on its connection.
struct RespClient {
  std::int64_t id = 0;
  std::string name;
  int protocol = 2;  // 3 after HELLO 3: the reply to HELLO is a map then, and null is RESP3's
};

// What INFO and PING report of the listener.
struct ListenerStatus {
  std::size_t connections = 0;
  Micros uptime = 0;      // since the listener was started
  bool draining = false;  // PING is answered with an error: clients are to go elsewhere
};

// What a request asks for. For put, get and wait the number of words is right, and the session makes the
// reply.
struct RespCommand {
  enum class Action {
    reply,  // send `reply`
    quit,   // send `reply`, then close the connection
    put,    // MSG.PUT
    get,    // MSG.GET
    wait    // MSG.WAIT
  };
  Action action = Action::reply;
  std::string reply;
};

// Reads one request of at least one word. Unknown commands and wrong arguments give replies that begin with
// -ERR.
RespCommand readCommand(const std::vector<std::string>& words, RespClient& client,
                        const ListenerStatus& status);

// Whether a word is the name of a command or, if it is not complete, the beginning of one. Ignores case.
bool isCommandName(std::string_view word, bool complete);

// The reply to MSG.GET and MSG.WAIT: fields and values; null for an unknown message.
std::string statusReply(const MessageStatus& status, int protocol);

// The longest wait of a MSG.WAIT, microseconds.
constexpr Micros kMaxRespWait = 30'000'000;
// The milliseconds of a MSG.WAIT, as microseconds cut to kMaxRespWait; none if they are no whole number.
std::optional<Micros> readWait(const std::string& milliseconds);

}  // namespace grademux
