// See commands.h.
#include "commands.h"

#include <algorithm>
#include <cstdlib>

namespace grademux {

namespace {

constexpr std::size_t kMaxNameBytes = 64;  // of a client's name
constexpr std::size_t kMaxWaitDigits = 12;

// RESP2 replies, and RESP3 ones where they differ.

std::string simpleString(const std::string& text) {
  return "+" + text + "\r\n";
}
std::string errorReply(const std::string& text) {
  return "-" + text + "\r\n";
}
std::string integer(std::int64_t value) {
  return ":" + std::to_string(value) + "\r\n";
}
std::string bulkString(const std::string& text) {
  const std::string head = "$" + std::to_string(text.size()) + "\r\n";
  std::string bulk;
  bulk.reserve(head.size() + text.size() + 2);  // appending would take up to twice as much
  return bulk.append(head).append(text).append("\r\n");
}
// `items` are encoded replies.
std::string array(const std::vector<std::string>& items) {
  std::string reply = "*" + std::to_string(items.size()) + "\r\n";
  for (const std::string& item : items)
    reply += item;
  return reply;
}
constexpr const char* kNullBulk = "$-1\r\n";
constexpr const char* kNull = "_\r\n";  // RESP3
constexpr const char* kNullArray = "*-1\r\n";

std::string toUpper(std::string text) {
  for (char& letter : text)
    if (letter >= 'a' && letter <= 'z')
      letter = static_cast<char>(letter - 'a' + 'A');
  return text;
}

using Words = std::vector<std::string>;
using Action = RespCommand::Action;
using Handler = RespCommand (*)(const Words&, RespClient&, const ListenerStatus&);

RespCommand reply(std::string text) {
  return {Action::reply, std::move(text)};
}
RespCommand error(const std::string& reason) {
  return reply(errorReply("ERR " + reason));
}

// Sets the client's name; returns false if the name is not allowed. Names are printed in lists, where a space
// or line end would start the next field.
bool setName(RespClient& client, const std::string& name) {
  const bool valid = name.size() <= kMaxNameBytes && std::all_of(name.begin(), name.end(), [](char letter) {
                       return letter > ' ' && letter < 127;
                     });
  if (valid)
    client.name = name;
  return valid;
}
constexpr const char* kBadName = "a client's name has 64 printable characters without spaces at most";
constexpr const char* kNoPassword = "no password is set at this door";

RespCommand ping(const Words& words, RespClient&, const ListenerStatus& status) {
  if (status.draining)
    return reply(errorReply("AWAY this sender sends clients away"));
  return reply(words.size() > 1 ? bulkString(words[1]) : simpleString("PONG"));
}
RespCommand echo(const Words& words, RespClient&, const ListenerStatus&) {
  return reply(bulkString(words[1]));
}

RespCommand hello(const Words& words, RespClient& client, const ListenerStatus&) {
  const int protocol = words.size() == 1 ? client.protocol : words[1] == "2" ? 2 : words[1] == "3" ? 3 : 0;
  if (protocol == 0)
    return reply(errorReply("NOPROTO this door speaks RESP2 and RESP3"));
  for (std::size_t i = 2; i < words.size();) {
    const std::string option = toUpper(words[i]);
    if (option == "AUTH")
      return error(kNoPassword);
    if (option != "SETNAME" || i + 1 >= words.size())
      return error("HELLO takes a version, then SETNAME name");
    if (!setName(client, words[i + 1]))
      return error(kBadName);
    i += 2;
  }
  client.protocol = protocol;
  const std::vector<std::string> fields{bulkString("server"),  bulkString("grademux"),
                                        bulkString("version"), bulkString(GRADEMUX_VERSION),
                                        bulkString("proto"),   integer(protocol),
                                        bulkString("id"),      integer(client.id),
                                        bulkString("mode"),    bulkString("standalone"),
                                        bulkString("role"),    bulkString("master"),
                                        bulkString("modules"), array({})};
  if (protocol == 2)
    return reply(array(fields));
  std::string map = "%" + std::to_string(fields.size() / 2) + "\r\n";
  for (const std::string& field : fields)
    map += field;
  return reply(map);
}

RespCommand auth(const Words&, RespClient&, const ListenerStatus&) {
  return error(kNoPassword);
}

RespCommand clientCommand(const Words& words, RespClient& client, const ListenerStatus&) {
  const std::string subcommand = toUpper(words[1]);
  if (subcommand == "ID" && words.size() == 2)
    return reply(integer(client.id));
  if (subcommand == "GETNAME" && words.size() == 2)
    return reply(!client.name.empty() ? bulkString(client.name) : client.protocol == 3 ? kNull : kNullBulk);
  if (subcommand == "SETNAME" && words.size() == 3)
    return setName(client, words[2]) ? reply(simpleString("OK")) : error(kBadName);
  if (subcommand == "SETINFO" && words.size() == 4) {
    const std::string field = toUpper(words[2]);
    return field == "LIB-NAME" || field == "LIB-VER" ? reply(simpleString("OK"))
                                                     : error("SETINFO knows LIB-NAME and LIB-VER");
  }
  return error("CLIENT knows ID, GETNAME, SETNAME name and SETINFO LIB-NAME|LIB-VER value");
}

RespCommand info(const Words&, RespClient&, const ListenerStatus& status) {
  return reply(
      bulkString("# Server\r\nserver_name:grademux\r\ngrademux_version:" + std::string(GRADEMUX_VERSION) +
                 "\r\nuptime_in_seconds:" + std::to_string(status.uptime / 1'000'000) +
                 "\r\n\r\n# Clients\r\nconnected_clients:" + std::to_string(status.connections) +
                 "\r\n\r\n# Persistence\r\nloading:0\r\n"));
}

RespCommand select(const Words& words, RespClient&, const ListenerStatus&) {
  return words[1] == "0" ? reply(simpleString("OK")) : error("there is database 0 alone");
}
RespCommand quit(const Words&, RespClient&, const ListenerStatus&) {
  return {Action::quit, simpleString("OK")};
}
RespCommand reset(const Words&, RespClient& client, const ListenerStatus&) {
  client.name.clear();
  client.protocol = 2;
  return reply(simpleString("RESET"));
}
RespCommand put(const Words&, RespClient&, const ListenerStatus&) {
  return {Action::put, {}};
}
RespCommand get(const Words&, RespClient&, const ListenerStatus&) {
  return {Action::get, {}};
}
RespCommand wait(const Words&, RespClient&, const ListenerStatus&) {
  return {Action::wait, {}};
}
RespCommand command(const Words& words, RespClient&, const ListenerStatus&);

struct CommandEntry {
  const char* name;
  std::size_t min_words, max_words;  // including the command's name
  Handler handler;
  const char* summary;
};
constexpr std::size_t kUnlimited = 1000;
constexpr CommandEntry kCommands[] = {
    {"MSG.PUT", 5, 5, put, "Hands a message in: order key or 0, id, values (c, d, dest, k), body"},
    {"MSG.GET", 2, 2, get, "What is known of a message"},
    {"MSG.WAIT", 3, 3, wait, "Waits for a message's end, for so many milliseconds at most"},
    {"PING", 1, 2, ping, "Answers PONG, or the word given"},
    {"ECHO", 2, 2, echo, "Answers the word given"},
    {"HELLO", 1, 7, hello, "Begins with a version of the protocol, 2 or 3"},
    {"AUTH", 2, 3, auth, "There is no password"},
    {"CLIENT", 2, 4, clientCommand, "This connection's id and name"},
    {"INFO", 1, kUnlimited, info, "Figures of this door"},
    {"SELECT", 2, 2, select, "Takes database 0"},
    {"COMMAND", 1, kUnlimited, command, "What this door can do"},
    {"RESET", 1, 1, reset, "Forgets the connection's name"},
    {"QUIT", 1, 1, quit, "Ends the connection"},
};

const CommandEntry* findCommand(const std::string& name) {
  const std::string upper_name = toUpper(name);
  for (const CommandEntry& entry : kCommands)
    if (upper_name == entry.name)
      return &entry;
  return nullptr;
}

std::string toLower(std::string text) {
  for (char& letter : text)
    if (letter >= 'A' && letter <= 'Z')
      letter = static_cast<char>(letter - 'A' + 'a');
  return text;
}

// The entry of COMMAND's reply: name, arity (negative: the minimum), flags, and the positions of keys, which
// no command has.
std::string describe(const CommandEntry& entry) {
  const auto min_words = static_cast<std::int64_t>(entry.min_words);
  return array({bulkString(toLower(entry.name)),
                integer(entry.min_words == entry.max_words ? min_words : -min_words), array({}), integer(0),
                integer(0), integer(0)});
}

RespCommand command(const Words& words, RespClient& client, const ListenerStatus&) {
  const std::string subcommand = words.size() > 1 ? toUpper(words[1]) : "";
  std::vector<std::string> all;
  if (subcommand.empty() || (subcommand == "INFO" && words.size() == 2)) {
    for (const CommandEntry& entry : kCommands)
      all.push_back(describe(entry));
  } else if (subcommand == "COUNT" && words.size() == 2) {
    return reply(integer(std::size(kCommands)));
  } else if (subcommand == "INFO") {
    for (std::size_t i = 2; i < words.size(); ++i)
      all.push_back(findCommand(words[i]) ? describe(*findCommand(words[i]))
                                          : std::string(client.protocol == 3 ? kNull : kNullArray));
  } else if (subcommand == "DOCS") {
    for (const CommandEntry& entry : kCommands) {
      const auto named = [&](const std::string& name) { return toUpper(name) == entry.name; };
      if (words.size() > 2 && std::none_of(words.begin() + 2, words.end(), named))
        continue;
      all.push_back(bulkString(toLower(entry.name)));
      all.push_back(array({bulkString("summary"), bulkString(entry.summary)}));
    }
  } else {
    return error("COMMAND knows COUNT, INFO and DOCS");
  }
  return reply(array(all));
}

}  // namespace

bool isCommandName(std::string_view word, bool complete) {
  const std::string prefix = toUpper(std::string(word.substr(0, kMaxNameBytes)));
  return !prefix.empty() &&
         std::any_of(std::begin(kCommands), std::end(kCommands), [&](const CommandEntry& entry) {
           return complete ? prefix == entry.name
                           : std::string_view(entry.name).substr(0, prefix.size()) == prefix;
         });
}

RespCommand readCommand(const Words& words, RespClient& client, const ListenerStatus& status) {
  const CommandEntry* entry = findCommand(words[0]);
  if (!entry)
    return error("unknown command");
  if (words.size() < entry->min_words || words.size() > entry->max_words)
    return error("wrong number of arguments");
  return entry->handler(words, client, status);
}

std::string statusReply(const MessageStatus& status, int protocol) {
  switch (status.state) {
    case MessageStatus::State::unknown:
      return protocol == 3 ? kNull : kNullArray;
    case MessageStatus::State::open:
      return array({bulkString("state"), bulkString("open")});
    case MessageStatus::State::finished:
      break;
  }
  std::vector<std::string> fields{bulkString("state"), bulkString(nameOf(status.outcome.status)),
                                  bulkString("ended_ms"), integer(status.outcome.at / 1000)};
  if (status.outcome.retry_after > 0) {
    fields.push_back(bulkString("retry_after_ms"));
    fields.push_back(integer((status.outcome.retry_after + 999) / 1000));
  }
  return array(fields);
}

std::optional<Micros> readWait(const std::string& milliseconds) {
  const bool digits = milliseconds.find_first_not_of("0123456789") == std::string::npos;
  if (milliseconds.empty() || milliseconds.size() > kMaxWaitDigits || !digits)
    return std::nullopt;
  return std::min<Micros>(std::strtoll(milliseconds.c_str(), nullptr, 10) * 1000, kMaxRespWait);
}

}  // namespace grademux
