// Shared parts of the cases of the second review: small stand-ins of clients, endpoints and the platform's
// agent, and the sender as a child process, started by the `run` command of the deploy file. Loopback
// addresses and the real clock only. Each stand-in follows the protocol page; a case changes one thing.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

// ---- time and the record

inline const std::chrono::steady_clock::time_point kBegin = std::chrono::steady_clock::now();

// Milliseconds since the start of the case.
inline double now() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - kBegin).count();
}
inline void sleepMs(double ms) {
  if (ms > 0)
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleepUntil(double at) {
  sleepMs(at - now());
}

// The lines are sorted by time when the case ends.
class Record {
 public:
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[600];
    va_list values;
    va_start(values, format);
    std::vsnprintf(text, sizeof text, format, values);
    va_end(values);
    const std::lock_guard<std::mutex> guard(mutex_);
    lines_.emplace(now(), text);
  }
  void write(const std::string& path) {
    const std::lock_guard<std::mutex> guard(mutex_);
    std::ofstream out(path);
    out << "milliseconds since the start, what happened\n";
    char at[40];
    for (const auto& [time, text] : lines_) {
      std::snprintf(at, sizeof at, "%10.1f  ", time);
      out << at << text << "\n";
    }
  }

 private:
  std::mutex mutex_;
  std::multimap<double, std::string> lines_;
};
inline Record record;

// The case can't run: exit status 2.
struct CannotRun {
  std::string reason;
};

inline bool hasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

// ---- sockets

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// A listening socket on a free port of 127.0.0.1.
inline int listenOnFreePort(int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd, 128) != 0)
    throw CannotRun{"no listening socket"};
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

// A port for a program that is told of it: bound and never listened at, so that the system gives it to nobody
// else while the program binds it with SO_REUSEADDR.
inline int ownPort() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0)
    throw CannotRun{"no free port"};
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline int connectTo(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool sendAll(int fd, const std::string& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Closes with a reset.
inline void resetConnection(int fd) {
  const linger hard{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  ::close(fd);
}

// Whether the peer has ended its side.
inline bool hasEnded(int fd) {
  char byte;
  const ssize_t count = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN);
}

// Whether the peer has ended its side, waiting for at most so long.
inline bool peerEnds(int fd, double ms) {
  const double until = now() + ms;
  while (now() < until) {
    pollfd entry{fd, POLLIN, 0};
    if (::poll(&entry, 1, static_cast<int>(std::max(1.0, until - now()))) <= 0)
      continue;
    if (hasEnded(fd))
      return true;
    sleepMs(5);
  }
  return false;
}

// ---- HTTP stand-ins

struct Request {
  std::string method, target, body;
  std::map<std::string, std::string> fields;  // names in lower case
  double first_byte = 0, last_byte = 0;
  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
};

class HttpServer {
 public:
  // Answers on `fd`; returns false if the connection is to be closed, or is closed already (then fd = -1).
  using Handler = std::function<bool(const Request&, int& fd)>;

  explicit HttpServer(Handler handler) : handler_(std::move(handler)) {
    listener_ = listenOnFreePort(port_);
    std::thread([this] {
      for (;;) {
        const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
          return;
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, fd] { serve(fd); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void serve(int fd) {
    std::string in;
    for (Request request; read(fd, in, request); request = {}) {
      if (handler_(request, fd))
        continue;
      break;
    }
    if (fd >= 0)
      ::close(fd);
  }

  static bool read(int fd, std::string& in, Request& request) {
    char buffer[16384];
    if (!in.empty())
      request.first_byte = now();
    std::size_t head_end, length = 0;
    for (;;) {
      head_end = in.find("\r\n\r\n");
      if (head_end != std::string::npos) {
        parseHead(in.substr(0, head_end), request);
        length = std::strtoul(request.field("content-length").c_str(), nullptr, 10);
        if (in.size() >= head_end + 4 + length)
          break;
      }
      const ssize_t count = ::recv(fd, buffer, sizeof buffer, 0);
      if (count <= 0)
        return false;
      if (in.empty())
        request.first_byte = now();
      in.append(buffer, static_cast<std::size_t>(count));
    }
    request.last_byte = now();
    request.body = in.substr(head_end + 4, length);
    in.erase(0, head_end + 4 + length);
    return true;
  }

  static void parseHead(const std::string& head, Request& request) {
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    std::istringstream(line) >> request.method >> request.target;
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      const auto colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      std::string name = line.substr(0, colon);
      for (char& letter : name)
        letter = static_cast<char>(std::tolower(letter));
      request.fields[name] = line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1)));
    }
  }

  Handler handler_;
  int listener_ = -1, port_ = 0;
};

inline std::string answer(const std::string& status, const std::string& extra = "",
                          const std::string& body = "") {
  return "HTTP/1.1 " + status + "\r\n" + extra + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// One entry of the list of endpoints.
struct Listed {
  std::string name, address;
  int destination = 1;
  std::string status = "Ready", zone = "a", type = "partner";
  double weight = 50;
  std::string json() const {
    char text[400];
    std::snprintf(text, sizeof text,
                  "{\"name\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"type\":\"%s\",\"group\":%d,"
                  "\"status\":\"%s\",\"weight\":%.3f,\"since_ms\":0}",
                  name.c_str(), address.c_str(), zone.c_str(), type.c_str(), destination, status.c_str(),
                  weight);
    return text;
  }
};

// The platform's agent: the list with its watch, and the notices.
class Agent {
 public:
  explicit Agent(std::vector<Listed> list)
      : server_([this](const Request& request, int& fd) { return serve(request, fd); }) {
    for (Listed& entry : list) {
      const std::string name = entry.name;
      entries_[name] = {std::move(entry), 41};
    }
  }
  std::string address() const { return server_.address(); }
  std::string known() {
    const std::lock_guard<std::mutex> guard(mutex_);
    return list(-1);
  }
  // A change of the list that discovery has from now on. Returns its time.
  double change(const Listed& entry) {
    const std::lock_guard<std::mutex> guard(mutex_);
    ++index_;
    entries_[entry.name] = {entry, index_};
    changed_.notify_all();
    record.line("discovery has version %lld: %s is %s", static_cast<long long>(index_), entry.name.c_str(),
                entry.status.c_str());
    return now();
  }
  // While discovery is down the agent is silent: it takes calls and answers none about the list. At the
  // return it answers those that still wait.
  void setSilent(bool silent) {
    const std::lock_guard<std::mutex> guard(mutex_);
    silent_ = silent;
    record.line("discovery %s", silent ? "is down" : "is back");
    changed_.notify_all();
  }
  // Pause between the first and the second piece of each answer about the list; 0: in one piece.
  std::atomic<double> pause_within_answer{0};
  // The outcome of each message for which a notice came.
  std::map<std::string, std::string> notices() {
    const std::lock_guard<std::mutex> guard(mutex_);
    return notices_;
  }
  // Called for the first notice of each message, on a thread of the agent.
  std::function<void(const std::string& id, const std::string& outcome)> on_notice;

 private:
  struct Entry {
    Listed listed;
    std::int64_t version = 0;
  };

  bool serve(const Request& request, int& fd) {
    if (request.method == "POST") {
      takeNotices(request.body);
      return sendAll(fd, "HTTP/1.1 204 No Content\r\n\r\n");
    }
    std::int64_t from = -1;
    double hold = 0;
    const auto value = [&](const std::string& name) -> std::string {
      const auto at = request.target.find(name + "=");
      return at == std::string::npos ? "" : request.target.substr(at + name.size() + 1);
    };
    if (!value("from").empty())
      from = std::strtoll(value("from").c_str(), nullptr, 10);
    hold = std::strtod(value("hold_ms").c_str(), nullptr);
    std::string body;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      const double until = now() + std::min(hold, 60000.0);
      const auto has_answer = [&] { return !silent_ && (from < 0 || index_ > from || now() >= until); };
      while (!has_answer()) {
        changed_.wait_for(lock, std::chrono::milliseconds(10));
        if (hasEnded(fd))
          return false;
      }
      body = list(from);
    }
    const std::string bytes = answer("200 OK", "Content-Type: application/json\r\n", body);
    const double pause = pause_within_answer;
    if (pause <= 0)
      return sendAll(fd, bytes);
    const std::size_t first = bytes.size() / 2;
    if (!sendAll(fd, bytes.substr(0, first)))
      return false;
    const bool ended = peerEnds(fd, pause);
    const bool written = !ended && sendAll(fd, bytes.substr(first));
    record.line("discovery %s an answer (from=%lld), %0.f ms after its first piece",
                written ? "has written" : "could not finish", static_cast<long long>(from), pause);
    return written;
  }

  std::string list(std::int64_t from) const {
    std::string text = "{\"index\":" + std::to_string(index_) +
                       ",\"snapshot\":" + (from < 0 ? "true" : "false") + ",\"endpoints\":[";
    const char* separator = "";
    for (const auto& [name, entry] : entries_) {
      if (entry.version <= from || (from < 0 && entry.listed.status == "Gone"))
        continue;
      text += separator + entry.listed.json();
      separator = ",";
    }
    return text + "]}";
  }

  void takeNotices(const std::string& body) {
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
      const std::string id = text(line, "message"), outcome = text(line, "outcome");
      bool is_new;
      {
        const std::lock_guard<std::mutex> guard(mutex_);
        is_new = notices_.emplace(id, outcome).second;
      }
      if (!is_new)
        continue;
      record.line("notice %s %s", id.c_str(), outcome.c_str());
      if (on_notice)
        on_notice(id, outcome);
    }
  }

  static std::string text(const std::string& line, const std::string& name) {
    const auto at = line.find("\"" + name + "\":\"");
    if (at == std::string::npos)
      return "";
    const auto begin = at + name.size() + 4;
    return line.substr(begin, line.find('"', begin) - begin);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::int64_t index_ = 41;
  bool silent_ = false;
  std::map<std::string, Entry> entries_;
  std::map<std::string, std::string> notices_;
  HttpServer server_;
};

// ---- clients

// One connection of a client; reads one answer at a time.
class Client {
 public:
  explicit Client(int port) : port_(port) {}
  ~Client() { close(); }
  void close() {
    if (fd_ >= 0)
      ::close(fd_);
    fd_ = -1;
  }
  // Sends a command and returns its answer's first line; empty if none came within the limit. After that the
  // connection is closed.
  std::string call(const std::vector<std::string>& words, double limit = 400) {
    for (int tries = 0; tries < 2; ++tries) {
      if (fd_ < 0 || peerEnds(fd_, 0.01)) {
        close();
        fd_ = connectTo(port_);
      }
      if (fd_ < 0)
        return "";
      std::string bytes = "*" + std::to_string(words.size()) + "\r\n";
      for (const std::string& word : words)
        bytes += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
      bool ended = false;
      const std::string line = sendAll(fd_, bytes) ? readLine(limit, ended) : (ended = true, "");
      if (!line.empty())
        return line;
      close();
      if (!ended)
        return "";
    }
    return "";
  }

 private:
  std::string readLine(double limit, bool& ended) {
    std::string line;
    const double until = now() + limit;
    while (now() < until) {
      pollfd entry{fd_, POLLIN, 0};
      if (::poll(&entry, 1, static_cast<int>(std::max(1.0, until - now()))) <= 0)
        continue;
      char byte;
      if (::recv(fd_, &byte, 1, 0) <= 0) {
        ended = true;
        return "";
      }
      if (byte == '\n')
        return line;
      if (byte != '\r')
        line += byte;
    }
    return "";
  }

  int port_, fd_ = -1;
};

inline std::string newId() {
  static std::atomic<std::uint64_t> last{0x5a00000000000000ull};
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++last));
  return text;
}
inline const char* kNoOrder = "0000000000000000";

struct Message {
  std::string id, message_class;
  int destination = 1;
  int deadline = 20000;
  std::string order = kNoOrder, key;
  std::string what;  // the work: the same for a message that is handed in again
};

// Hands a message in and records the answer.
inline std::string put(Client& client, const Message& message) {
  std::string values = "c=" + message.message_class + ",d=" + std::to_string(message.deadline);
  if (!message.key.empty())
    values += ",k=" + message.key;
  values += ",dest=" + std::to_string(message.destination);
  const double sent = now();
  const std::string reply = client.call(
      {"MSG.PUT", message.order, message.id, values, message.what.empty() ? "work" : message.what});
  record.line("client: %s %s dest %d%s%s%s%s, handed in at %.1f: %s", message.id.c_str(),
              message.message_class.c_str(), message.destination,
              message.order == kNoOrder ? "" : " order key ",
              message.order == kNoOrder ? "" : message.order.c_str(), message.what.empty() ? "" : " work ",
              message.what.c_str(), sent, reply.empty() ? "(no answer)" : reply.c_str());
  return reply;
}

// ---- the sender

inline std::string rootFolder() {
  const char* root = std::getenv("GRADEMUX_ROOT");
  if (!root)
    throw CannotRun{"GRADEMUX_ROOT is not set: use run.sh"};
  return root;
}

// The `run` command of the deploy file.
inline std::string runCommand() {
  std::ifstream file(rootFolder() + "/deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("run = \"", 0) != 0)
      continue;
    const auto begin = line.find('"') + 1;
    return line.substr(begin, line.rfind('"') - begin);
  }
  throw CannotRun{"the deploy file has no run command"};
}

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(name.data()))
      throw CannotRun{"no temporary folder"};
    path_ = name;
    std::filesystem::create_directory(path_ + "/state");
    std::filesystem::create_directory(path_ + "/tmp");
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// A process of the sender.
class Process {
 public:
  Process() = default;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() { kill(); }

  // `passed`: the clients' listening socket, which the process gets as descriptor 7; -1: none.
  void start(const std::vector<std::string>& variables, const std::string& log, int passed = -1) {
    const std::string command = runCommand(), root = rootFolder();
    std::vector<char*> environment;
    for (char** inherited = environ; *inherited; ++inherited)
      if (std::strncmp(*inherited, "GW_", 3) != 0 && std::strncmp(*inherited, "TMPDIR=", 7) != 0)
        environment.push_back(*inherited);
    for (const std::string& variable : variables)
      environment.push_back(const_cast<char*>(variable.c_str()));
    environment.push_back(nullptr);
    pid_ = ::fork();
    if (pid_ != 0)
      return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    if (passed == 7)
      ::fcntl(7, F_SETFD, 0);
    else if (passed >= 0)
      ::dup2(passed, 7);
    if (::chdir(root.c_str()) != 0)
      ::_exit(127);
    char shell[] = "sh", option[] = "-c";
    char* words[] = {shell, option, const_cast<char*>(command.c_str()), nullptr};
    ::execve("/bin/sh", words, environment.data());
    ::_exit(127);
  }
  void signal(int number) const {
    if (pid_ > 0)
      ::kill(pid_, number);
  }
  bool running() {
    if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_)
      pid_ = -1;
    return pid_ > 0;
  }
  bool waitForEnd(double ms) {
    for (const double until = now() + ms; running() && now() < until;)
      sleepMs(10);
    return pid_ < 0;
  }
  void kill() {
    if (!running())
      return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, &status_, 0);
    pid_ = -1;
  }
  int status() const { return status_; }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  int status_ = 0;
};

// Waits until the sender answers PING.
inline bool waitForPong(int port, double ms) {
  for (const double until = now() + ms; now() < until; sleepMs(20)) {
    Client client(port);
    if (client.call({"PING"}) == "+PONG")
      return true;
  }
  return false;
}

// The answer of the operators' address to a line.
inline std::string operators(int port, const std::string& line) {
  const int fd = connectTo(port);
  if (fd < 0)
    return "";
  sendAll(fd, line + "\n");
  std::string text;
  char buffer[256];
  pollfd entry{fd, POLLIN, 0};
  while (text.find('\n') == std::string::npos && ::poll(&entry, 1, 1000) > 0) {
    const ssize_t count = ::recv(fd, buffer, sizeof buffer, 0);
    if (count <= 0)
      break;
    text.append(buffer, static_cast<std::size_t>(count));
  }
  ::close(fd);
  return text.substr(0, text.find('\n'));
}

// ---- settings: those of the wire page's example, with what a case changes

struct Class {
  std::string name, effect;  // idempotent, deduplicated, at_most_once
  int aim = 3000, deadline = 24000, memory = 5000;
  double worth = 1;
  bool ordered = false;
};

struct Settings {
  std::vector<Class> classes{{"status-update", "idempotent", 4000, 28000, 5000, 1, false},
                             {"print-order", "deduplicated", 3000, 28000, 12000, 3, false},
                             {"payment", "at_most_once", 3000, 24000, 5000, 4, false}};
  int senders = 2, slots = 9, max_open = 269, order_pause = -1;
  double dial_timeout = 1000;
  std::string max_attempts = "12";

  std::string json() const {
    std::string text =
        "{\"Azs\":[\"a\"],\"Balancers\":" + std::to_string(senders) +
        ",\"Blend\":{\"Whole\":0.55,\"WorstClass\":0.2,\"WorstTenant\":0.0,\"WorstWindow\":0.25},"
        "\"Categories\":[";
    const char* separator = "";
    for (const Class& c : classes) {
      char entry[500];
      std::snprintf(
          entry, sizeof entry,
          "%s{\"AimMs\":%d.0,\"DeadlineMs\":%d.0,\"Group\":\"all\",\"Idempotency\":\"%s\",%s"
          "\"LateWorth\":0.3,\"MemorySpanMs\":%d.0,\"Name\":\"%s\",\"Stream\":false,\"Worth\":%.1f}",
          separator, c.aim, c.deadline, c.effect.c_str(), c.ordered ? "\"KeepOrder\":true," : "", c.memory,
          c.name.c_str(), c.worth);
      text += entry;
      separator = ",";
    }
    char rest[2000];
    std::snprintf(
        rest, sizeof rest,
        "],\"Ceilings\":{\"ConnIdleMs\":5000.0,\"CpuUsPerRequest\":0.0,\"CpuUsPerS\":100000,"
        "\"DialTimeoutMs\":%.1f,\"MaxAttempts\":%s,\"MaxOpen\":%d,\"MaxRetryAfterMs\":3000.0,"
        "\"MayCancel\":true,\"Multiplex\":1,\"ParallelTries\":true,\"Peers\":false,\"Probes\":false,"
        "\"RetryAfter\":true},\"Clients\":{\"MarksRetry\":false},\"Discovery\":\"push\","
        "\"Domain\":{\"CallSlots\":%d,\"Late\":\"line\",\"PerCall\":[1,1],\"RefusalCost\":0.0,"
        "\"RoutesApart\":[false,false],\"ZoneFee\":[0.0]},\"Family\":\"deliver\","
        "\"Kinds\":[\"major-partner\",\"partner\"],\"Layer\":0,\"Layers\":[\"partner-systems\"],"
        "\"Locality\":\"a\",\"OverShareWorth\":0.1,\"Position\":0,"
        "\"Rules\":{\"AnswerSlackMs\":20.0,\"AskWithinMs\":10000.0,\"ColdShare\":0.29,"
        "\"DrainGraceMs\":250.0,\"FallMs\":2000.0,%s\"OverloadFactor\":1.5,\"RampTimeMs\":11000.0},"
        "\"Stats\":{\"Fields\":[],\"How\":\"silent\"},\"Tenants\":[],\"TickMs\":5.0,"
        "\"ValueBy\":\"request\",\"WeightKind\":\"rough\"}",
        dial_timeout, max_attempts.c_str(), max_open, slots,
        order_pause < 0 ? "" : ("\"OrderPauseMs\":" + std::to_string(order_pause) + ".0,").c_str());
    return text + rest;
  }
};

// A platform with one sender: its folder, its configuration and its variables.
class Platform {
 public:
  explicit Platform(Agent& agent) : agent_(agent), port_(ownPort()) {}

  int port() const { return port_; }
  void listenFor() {  // the platform holds the clients' listening socket
    passed_ = listenOnFreePort(port_);
  }
  int passed() const { return passed_; }
  std::string log() const { return folder_.path() + "/log"; }
  std::string configFile() const { return folder_.path() + "/config.json"; }
  std::string document(const Settings& settings) const {
    return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + std::to_string(port_) + "\",\"discovery\":\"" +
           agent_.address() +
           "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,"
           "\"disk_mb\":3},\"known\":" +
           agent_.known() + ",\"settings\":" + settings.json() + "}";
  }
  // Written beside and renamed.
  void writeConfig(const std::string& document) const {
    std::ofstream(configFile() + ".new") << document;
    std::filesystem::rename(configFile() + ".new", configFile());
  }
  std::vector<std::string> variables(int operators_port = 0) const {
    std::vector<std::string> all{"GW_NAME=n1",
                                 "GW_LISTEN=127.0.0.1:" + std::to_string(port_),
                                 "GW_DISCOVERY=" + agent_.address(),
                                 "GW_STATE=" + folder_.path() + "/state",
                                 "GW_CONFIG=" + configFile(),
                                 "TMPDIR=" + folder_.path() + "/tmp"};
    if (operators_port > 0)
      all.push_back("GW_MGMT=127.0.0.1:" + std::to_string(operators_port));
    if (passed_ >= 0)
      all.push_back("GW_PASSED_SOCKET=7");
    return all;
  }
  void start(Process& process, int operators_port = 0) {
    process.start(variables(operators_port), log(), passed_);
    record.line("sender started, process %d", static_cast<int>(process.pid()));
  }
  void startAndWait(Process& process, int operators_port = 0) {
    start(process, operators_port);
    if (!waitForPong(port_, 30000))
      throw CannotRun{"the sender did not become ready"};
    record.line("sender answers PING");
  }

 private:
  Agent& agent_;
  TemporaryFolder folder_;
  int port_ = 0, passed_ = -1;
};

// ---- the frame of a case

// `check` returns the number of times that the rule was broken; it records each.
inline int runCase(const char* folder, const std::function<int()>& check) {
  ::signal(SIGPIPE, SIG_IGN);
  int status = 2;
  record.line("TROUBLE=%d", hasTrouble() ? 1 : 0);
  try {
    const int breaks = check();
    status = breaks > 0 ? 1 : 0;
    record.line("%s: broken %d times", breaks > 0 ? "BROKEN" : "HELD", breaks);
    std::printf("%s (%d)\n", breaks > 0 ? "broken" : "held", breaks);
  } catch (const CannotRun& error) {
    record.line("the case could not run: %s", error.reason.c_str());
    std::printf("could not run: %s\n", error.reason.c_str());
  } catch (const std::exception& error) {
    record.line("the case could not run: %s", error.what());
    std::printf("could not run: %s\n", error.what());
  }
  record.write(std::string(folder) + "/record.txt");
  std::fflush(nullptr);
  ::_exit(status);  // threads of stand-ins still run
}

}  // namespace rig
