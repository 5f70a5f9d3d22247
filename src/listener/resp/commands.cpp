// grademux: the commands of the RESP2 door; see commands.h.
#include "commands.h"

#include <algorithm>
#include <cstdlib>

namespace grademux {

namespace {

constexpr std::size_t kLongestName = 64;  // of a client, in bytes

std::string simple(const std::string& s) {
  return "+" + s + "\r\n";
}
std::string fault(const std::string& s) {
  return "-" + s + "\r\n";
}
std::string number(std::int64_t n) {
  return ":" + std::to_string(n) + "\r\n";
}
std::string bulk(const std::string& s) {
  return "$" + std::to_string(s.size()) + "\r\n" + s + "\r\n";
}
std::string arrayOf(const std::vector<std::string>& items) {
  std::string a = "*" + std::to_string(items.size()) + "\r\n";
  for (const std::string& i : items)
    a += i;
  return a;
}
constexpr const char* kNullBulk = "$-1\r\n";
constexpr const char* kNull = "_\r\n";  // RESP3
constexpr const char* kNullArray = "*-1\r\n";

std::string upper(std::string s) {
  for (char& c : s)
    if (c >= 'a' && c <= 'z')
      c = static_cast<char>(c - 'a' + 'A');
  return s;
}

using Words = std::vector<std::string>;
using Does = RespCommand::Does;
using Run = RespCommand (*)(const Words&, RespClient&, const RespFacts&);

RespCommand replied(std::string reply) {
  return {Does::reply, std::move(reply)};
}
RespCommand failed(const std::string& why) {
  return replied(fault("ERR " + why));
}

// Names are shown in lists, where a space or a line's end would be taken for the next field.
bool setName(RespClient& c, const std::string& name) {
  const bool good = name.size() <= kLongestName &&
                    std::all_of(name.begin(), name.end(), [](char x) { return x > ' ' && x < 127; });
  if (good)
    c.name = name;
  return good;
}
constexpr const char* kBadName = "a client's name has 64 printable characters without spaces at most";
constexpr const char* kNoPassword = "no password is set at this door";

RespCommand ping(const Words& w, RespClient&, const RespFacts& f) {
  // No word of its own for errors that are the client's: this one is no fault.
  if (f.sends_away)
    return replied(fault("AWAY this sender sends clients away"));
  return replied(w.size() > 1 ? bulk(w[1]) : simple("PONG"));
}
RespCommand echo(const Words& w, RespClient&, const RespFacts&) {
  return replied(bulk(w[1]));
}

RespCommand hello(const Words& w, RespClient& c, const RespFacts&) {
  const int protocol = w.size() == 1 ? c.protocol : w[1] == "2" ? 2 : w[1] == "3" ? 3 : 0;
  if (protocol == 0)
    return replied(fault("NOPROTO this door speaks RESP2 and RESP3"));
  for (std::size_t i = 2; i < w.size();) {
    const std::string option = upper(w[i]);
    if (option == "AUTH")
      return failed(kNoPassword);
    if (option != "SETNAME" || i + 1 >= w.size())
      return failed("HELLO takes a version, then SETNAME name");
    if (!setName(c, w[i + 1]))
      return failed(kBadName);
    i += 2;
  }
  c.protocol = protocol;
  const std::vector<std::string> facts{
      bulk("server"),  bulk("grademux"),   bulk("version"), bulk(GRADEMUX_VERSION),
      bulk("proto"),   number(protocol),   bulk("id"),      number(c.id),
      bulk("mode"),    bulk("standalone"), bulk("role"),    bulk("master"),
      bulk("modules"), arrayOf({})};
  if (protocol == 2)
    return replied(arrayOf(facts));
  std::string map = "%" + std::to_string(facts.size() / 2) + "\r\n";
  for (const std::string& f : facts)
    map += f;
  return replied(map);
}

RespCommand auth(const Words&, RespClient&, const RespFacts&) {
  return failed(kNoPassword);
}

RespCommand client(const Words& w, RespClient& c, const RespFacts&) {
  const std::string what = upper(w[1]);
  if (what == "ID" && w.size() == 2)
    return replied(number(c.id));
  if (what == "GETNAME" && w.size() == 2)
    return replied(!c.name.empty() ? bulk(c.name) : c.protocol == 3 ? kNull : kNullBulk);
  if (what == "SETNAME" && w.size() == 3)
    return setName(c, w[2]) ? replied(simple("OK")) : failed(kBadName);
  if (what == "SETINFO" && w.size() == 4) {
    const std::string field = upper(w[2]);
    return field == "LIB-NAME" || field == "LIB-VER" ? replied(simple("OK"))
                                                     : failed("SETINFO knows LIB-NAME and LIB-VER");
  }
  return failed("CLIENT knows ID, GETNAME, SETNAME name and SETINFO LIB-NAME|LIB-VER value");
}

RespCommand info(const Words&, RespClient&, const RespFacts& f) {
  return replied(
      bulk("# Server\r\nserver_name:grademux\r\ngrademux_version:" + std::string(GRADEMUX_VERSION) +
           "\r\nuptime_in_seconds:" + std::to_string(f.up / 1'000'000) +
           "\r\n\r\n# Clients\r\nconnected_clients:" + std::to_string(f.connections) +
           "\r\n\r\n# Persistence\r\nloading:0\r\n"));
}

RespCommand select(const Words& w, RespClient&, const RespFacts&) {
  return w[1] == "0" ? replied(simple("OK")) : failed("there is database 0 alone");
}
RespCommand quit(const Words&, RespClient&, const RespFacts&) {
  return {Does::quit, simple("OK")};
}
RespCommand reset(const Words&, RespClient& c, const RespFacts&) {
  c.name.clear();
  c.protocol = 2;
  return replied(simple("RESET"));
}
RespCommand put(const Words&, RespClient&, const RespFacts&) {
  return {Does::put, {}};
}
RespCommand get(const Words&, RespClient&, const RespFacts&) {
  return {Does::get, {}};
}
RespCommand wait(const Words&, RespClient&, const RespFacts&) {
  return {Does::wait, {}};
}
RespCommand command(const Words& w, RespClient&, const RespFacts&);

struct Entry {
  const char* name;
  std::size_t least, most;  // words, the command's own among them
  Run run;
  const char* summary;
};
constexpr std::size_t kAny = 1000;
constexpr Entry kCommands[] = {
    {"MSG.PUT", 5, 5, put, "Hands a message in: order key or 0, id, values (c, d, dest, k), body"},
    {"MSG.GET", 2, 2, get, "What is known of a message"},
    {"MSG.WAIT", 3, 3, wait, "Waits for a message's end, for so many milliseconds at most"},
    {"PING", 1, 2, ping, "Answers PONG, or the word given"},
    {"ECHO", 2, 2, echo, "Answers the word given"},
    {"HELLO", 1, 7, hello, "Begins with a version of the protocol, 2 or 3"},
    {"AUTH", 2, 3, auth, "There is no password"},
    {"CLIENT", 2, 4, client, "This connection's id and name"},
    {"INFO", 1, kAny, info, "Figures of this door"},
    {"SELECT", 2, 2, select, "Takes database 0"},
    {"COMMAND", 1, kAny, command, "What this door can do"},
    {"RESET", 1, 1, reset, "Forgets the connection's name"},
    {"QUIT", 1, 1, quit, "Ends the connection"},
};

const Entry* entryOf(const std::string& name) {
  const std::string asked = upper(name);
  for (const Entry& e : kCommands)
    if (asked == e.name)
      return &e;
  return nullptr;
}

std::string lower(std::string s) {
  for (char& c : s)
    if (c >= 'A' && c <= 'Z')
      c = static_cast<char>(c - 'A' + 'a');
  return s;
}

// Name, arity (negative: at least so many), flags, and the places of keys, of which there are none.
std::string describe(const Entry& e) {
  const auto least = static_cast<std::int64_t>(e.least);
  return arrayOf({bulk(lower(e.name)), number(e.least == e.most ? least : -least), arrayOf({}), number(0),
                  number(0), number(0)});
}

RespCommand command(const Words& w, RespClient& c, const RespFacts&) {
  const std::string what = w.size() > 1 ? upper(w[1]) : "";
  std::vector<std::string> all;
  if (what.empty() || (what == "INFO" && w.size() == 2)) {
    for (const Entry& e : kCommands)
      all.push_back(describe(e));
  } else if (what == "COUNT" && w.size() == 2) {
    return replied(number(std::size(kCommands)));
  } else if (what == "INFO") {
    for (std::size_t i = 2; i < w.size(); ++i)
      all.push_back(entryOf(w[i]) ? describe(*entryOf(w[i]))
                                  : std::string(c.protocol == 3 ? kNull : kNullArray));
  } else if (what == "DOCS") {
    for (const Entry& e : kCommands) {
      const auto named = [&](const std::string& n) { return upper(n) == e.name; };
      if (w.size() > 2 && std::none_of(w.begin() + 2, w.end(), named))
        continue;
      all.push_back(bulk(lower(e.name)));
      all.push_back(arrayOf({bulk("summary"), bulk(e.summary)}));
    }
  } else {
    return failed("COMMAND knows COUNT, INFO and DOCS");
  }
  return replied(arrayOf(all));
}

}  // namespace

bool knowsCommand(std::string_view word, bool whole) {
  const std::string asked = upper(std::string(word.substr(0, kLongestName)));
  return !asked.empty() && std::any_of(std::begin(kCommands), std::end(kCommands), [&](const Entry& e) {
    return whole ? asked == e.name : std::string_view(e.name).substr(0, asked.size()) == asked;
  });
}

RespCommand readCommand(const Words& words, RespClient& c, const RespFacts& facts) {
  const Entry* e = entryOf(words[0]);
  if (!e)
    return failed("unknown command");
  if (words.size() < e->least || words.size() > e->most)
    return failed("wrong number of arguments");
  return e->run(words, c, facts);
}

std::string statusReply(const MessageStatus& s, int protocol) {
  switch (s.state) {
    case MessageStatus::State::unknown:
      return protocol == 3 ? kNull : kNullArray;
    case MessageStatus::State::open:
      return arrayOf({bulk("state"), bulk("open")});
    case MessageStatus::State::finished:
      break;
  }
  std::vector<std::string> fields{bulk("state"), bulk(nameOf(s.outcome.status)), bulk("ended_ms"),
                                  number(s.outcome.at / 1000)};
  if (s.outcome.retry_after > 0) {
    fields.push_back(bulk("retry_after_ms"));
    fields.push_back(number((s.outcome.retry_after + 999) / 1000));
  }
  return arrayOf(fields);
}

bool readWait(const std::string& ms, Micros& wait) {
  if (ms.empty() || ms.size() > 12 || ms.find_first_not_of("0123456789") != std::string::npos)
    return false;
  wait = std::min<Micros>(std::strtoll(ms.c_str(), nullptr, 10) * 1000, kLongestRespWait);
  return true;
}

}  // namespace grademux
