// The command table of the RESP2 listener, and the replies to the commands that don't need the engine. Client
// libraries open a connection with HELLO, CLIENT, INFO, SELECT or COMMAND; replies follow
// https://redis.io/docs/latest/commands/. No I/O; a reply is the bytes to send.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../../core/message.h"

namespace grademux {

// The settings that a client has made on its connection.
struct RespClient {
  std::int64_t id = 0;
  std::string name;
  int protocol = 2;  // 3 after HELLO 3: HELLO is then answered with a map, and null is encoded as in RESP3
};

// The state of the listener, as reported by INFO and PING.
struct ListenerStatus {
  std::size_t connections = 0;
  Micros uptime = 0;      // since the listener was started
  bool draining = false;  // clients are to disconnect: PING is answered with an error
};

// The action that a request demands. For put, get and wait the number of words has been checked, and the
// session makes the reply.
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

// Interprets a request of at least one word. The reply to an unknown command or to wrong arguments is an
// error that begins with -ERR.
RespCommand readCommand(const std::vector<std::string>& words, RespClient& client,
                        const ListenerStatus& status);

// Whether a word is the name of a command or, if the word is not complete, a prefix of one. Ignores case.
bool isCommandName(std::string_view word, bool complete);

// The reply to MSG.GET and MSG.WAIT: an array of fields and values; null for an unknown message.
std::string statusReply(const MessageStatus& status, int protocol);

// The longest wait of a MSG.WAIT, microseconds.
constexpr Micros kMaxRespWait = 30'000'000;
// The milliseconds of a MSG.WAIT in microseconds, at most kMaxRespWait; none if they are not a whole number.
std::optional<Micros> readWait(const std::string& milliseconds);

}  // namespace grademux
