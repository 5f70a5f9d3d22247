// Stand-ins for clients, endpoints and the platform, for the scripts under review/. One thread for each
// connection; everything is on loopback addresses and the real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline Clock::time_point start_time = Clock::now();
// Milliseconds since the start of the case.
inline double nowMs() {
  return std::chrono::duration<double, std::milli>(Clock::now() - start_time).count();
}
inline void sleepMs(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// A case that can't run ends with 2.
[[noreturn]] void cannotRun(const std::string& why);

// The record of a case: one line for each thing sent, answered or run.
class Record {
 public:
  void open(const std::string& path) { file_.open(path, std::ios::trunc); }
  void line(const std::string& text) {
    std::lock_guard<std::mutex> lock(mutex_);
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%10.1f ms  ", nowMs());
    file_ << stamp << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};
inline Record record;
inline void note(const std::string& text) {
  record.line(text);
}

// ---- sockets

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
inline int portOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}
inline int listenAt(int port, int backlog = 256) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = loopback(port);
  if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, backlog) != 0)
    cannotRun("no port to listen on");
  return fd;
}
// A free port; the descriptor that holds it is closed.
inline int freePort() {
  const int fd = listenAt(0);
  const int port = portOf(fd);
  ::close(fd);
  return port;
}
inline int connectTo(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  const sockaddr_in address = loopback(port);
  if (fd < 0 || ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    if (fd >= 0)
      ::close(fd);
    return -1;
  }
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
// Appends what arrives within `ms`. 1: bytes came; 0: nothing came in time; -1: the stream ended.
inline int receive(int fd, std::string& in, double ms) {
  pollfd wait{fd, POLLIN, 0};
  if (::poll(&wait, 1, ms < 0 ? 0 : static_cast<int>(ms + 0.999)) <= 0)
    return 0;
  char buffer[65536];
  const ssize_t count = ::recv(fd, buffer, sizeof buffer, 0);
  if (count <= 0)
    return -1;
  in.append(buffer, static_cast<std::size_t>(count));
  return 1;
}

// ---- HTTP servers

struct Request {
  std::string method, target, body;
  std::map<std::string, std::string> fields;  // names in lower case
  int connection = -1;
  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
};

inline std::string httpAnswer(const std::string& status, const std::string& fields = "",
                              const std::string& body = "") {
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields + "\r\n" +
         body;
}

// Whether the peer has ended or reset the connection.
inline bool hasEnded(int fd) {
  char byte;
  const ssize_t count = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

class HttpServer {
 public:
  // Returns the bytes of the answer; an empty text: the connection is closed with no answer.
  using Handler = std::function<std::string(const Request&)>;
  explicit HttpServer(Handler handler, int port = 0) : handler_(std::move(handler)), listener_(listenAt(port)) {
    port_ = portOf(listener_);
    std::thread([this] { accept(); }).detach();
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void accept() {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        sleepMs(5);
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  void serve(int fd) {
    std::string in;
    Request request;
    while (readRequest(fd, in, request)) {
      request.connection = fd;
      const std::string answer = handler_(request);
      if (answer.empty() || !sendAll(fd, answer))
        break;
    }
    ::close(fd);
  }
  static bool readRequest(int fd, std::string& in, Request& request) {
    request = {};
    std::size_t end;
    while ((end = in.find("\r\n\r\n")) == std::string::npos)
      if (receive(fd, in, 3600e3) < 0)
        return false;
    std::istringstream head(in.substr(0, end));
    std::string line;
    std::getline(head, line);
    std::istringstream first(line);
    first >> request.method >> request.target;
    while (std::getline(head, line)) {
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
    const std::size_t size = std::strtoul(request.field("content-length").c_str(), nullptr, 10);
    while (in.size() < end + 4 + size)
      if (receive(fd, in, 3600e3) < 0)
        return false;
    request.body = in.substr(end + 4, size);
    in.erase(0, end + 4 + size);
    return true;
  }

  Handler handler_;
  int listener_, port_ = 0;
};

// ---- the platform's agent: the list of endpoints and the notices

struct ListEntry {
  std::string name, address, type = "partner", status = "Ready", zone = "bp-dc1";
  std::int64_t group = 1;
  double weight = 10;
};

struct Notice {
  double at = 0;
  std::string outcome;
};

class Discovery {
 public:
  Discovery() : server_([this](const Request& request) { return handle(request); }) {}
  std::string address() const { return server_.address(); }

  // Adds or changes an entry; `Gone` removes it.
  void set(const ListEntry& entry) {
    std::lock_guard<std::mutex> lock(mutex_);
    ++index_;
    entries_[entry.name] = {entry, index_};
    note("list: version " + std::to_string(index_) + ": " + entry.name + " is " + entry.status);
    changed_.notify_all();
  }
  json snapshot() {
    std::lock_guard<std::mutex> lock(mutex_);
    return listFrom(-1);
  }
  std::vector<Notice> notices(const std::string& id) {
    std::lock_guard<std::mutex> lock(mutex_);
    return notices_[id];
  }

 private:
  struct Versioned {
    ListEntry entry;
    std::int64_t version = 0;
  };

  json listFrom(std::int64_t from) {
    json endpoints = json::array();
    for (const auto& [name, known] : entries_) {
      if (known.version <= from || (from < 0 && known.entry.status == "Gone"))
        continue;
      endpoints.push_back({{"name", name},
                           {"address", known.entry.address},
                           {"zone", known.entry.zone},
                           {"type", known.entry.type},
                           {"group", known.entry.group},
                           {"status", known.entry.status},
                           {"weight", known.entry.weight},
                           {"since_ms", 0}});
    }
    return {{"index", index_}, {"snapshot", from < 0}, {"endpoints", endpoints}};
  }

  std::string handle(const Request& request) {
    if (request.method == "POST" && request.target == "/v1/notices")
      return takeNotices(request.body);
    if (request.method != "GET" || request.target.rfind("/v1/endpoints", 0) != 0)
      return httpAnswer("404 Not Found");
    const auto number = [&](const std::string& name, std::int64_t fallback) {
      const auto at = request.target.find(name + "=");
      return at == std::string::npos ? fallback : std::atoll(request.target.c_str() + at + name.size() + 1);
    };
    const std::int64_t from = number("from", -1);
    std::unique_lock<std::mutex> lock(mutex_);
    if (from >= 0)
      changed_.wait_for(lock, std::chrono::milliseconds(number("hold_ms", 0)), [&] { return index_ > from; });
    return httpAnswer("200 OK", "Content-Type: application/json\r\n", listFrom(from).dump());
  }

  std::string takeNotices(const std::string& body) {
    std::istringstream lines(body);
    std::string line;
    while (std::getline(lines, line)) {
      const json notice = json::parse(line, nullptr, false);
      if (!notice.is_object())
        return httpAnswer("400 Bad Request");
      const std::string id = notice.value("message", ""), outcome = notice.value("outcome", "");
      note("notice: " + id + " " + outcome);
      std::lock_guard<std::mutex> lock(mutex_);
      notices_[id].push_back({nowMs(), outcome});
    }
    return "HTTP/1.1 204 No Content\r\n\r\n";
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::int64_t index_ = 0;
  std::map<std::string, Versioned> entries_;
  std::map<std::string, std::vector<Notice>> notices_;
  HttpServer server_;
};

// ---- clients

inline std::string respCommand(const std::vector<std::string>& words) {
  std::string bytes = "*" + std::to_string(words.size()) + "\r\n";
  for (const std::string& word : words)
    bytes += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
  return bytes;
}

// One client connection that carries one request at a time. A client waits 400 ms for its answer.
class Client {
 public:
  explicit Client(int port) : port_(port) {}
  ~Client() { close(); }
  // The answer's first line; an empty text: none came in time, or the connection ended.
  std::string ask(const std::vector<std::string>& words, double wait_ms = 400) {
    for (int tries = 0; tries < 2; ++tries) {
      const bool fresh = fd_ < 0;
      if (fresh && (fd_ = connectTo(port_)) < 0)
        return "";
      std::string in;
      bool ended = !sendAll(fd_, respCommand(words));
      const double until = nowMs() + wait_ms;
      while (!ended && in.find("\r\n") == std::string::npos && nowMs() < until)
        ended = receive(fd_, in, until - nowMs()) < 0;
      const auto end = in.find("\r\n");
      if (end != std::string::npos)
        return in.substr(0, end);
      close();
      if (!ended || fresh)
        return "";  // a kept connection that ended: the request is sent once more on a new one
    }
    return "";
  }
  std::string put(const std::string& id, const std::string& values, const std::string& body) {
    note("client: hands in " + id + " " + values + " (" + std::to_string(body.size()) + " bytes)");
    const std::string answer = ask({"MSG.PUT", "0000000000000000", id, values, body});
    note("client: " + id + " is answered " + (answer.empty() ? "nothing" : answer));
    return answer;
  }
  void close() {
    if (fd_ >= 0)
      ::close(fd_);
    fd_ = -1;
  }

 private:
  int port_, fd_ = -1;
};

// ---- the sender

inline std::string repositoryRoot() {
  const char* root = std::getenv("REVIEW_ROOT");
  if (!root)
    cannotRun("REVIEW_ROOT is not set");
  return root;
}

// The command `run` of the deploy file.
inline std::string runCommand() {
  std::ifstream file(repositoryRoot() + "/deploy/balancer.toml");
  for (std::string line; std::getline(file, line);)
    if (line.rfind("run = \"", 0) == 0)
      return line.substr(7, line.rfind('"') - 7);
  cannotRun("deploy/balancer.toml has no run");
}

inline std::string work_folder;
inline std::set<pid_t>& children() {
  static std::set<pid_t> all;
  return all;
}
inline void killChildren() {
  for (const pid_t pid : children()) {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  children().clear();
}

class SenderProcess {
 public:
  // `variables`: NAME=VALUE. `passed`: a listening socket that becomes descriptor 7; -1 for none.
  void start(const std::vector<std::string>& variables, const std::string& log, int passed = -1) {
    const std::string root = repositoryRoot(), command = runCommand();
    const std::string temporary = work_folder + "/tmp";
    ::mkdir(temporary.c_str(), 0755);
    std::vector<std::string> all = variables;
    all.push_back("TMPDIR=" + temporary);
    all.push_back("PATH=" + std::string(std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin:/bin"));
    std::vector<char*> environment;
    for (std::string& variable : all)
      environment.push_back(variable.data());
    environment.push_back(nullptr);
    const std::string log_path = work_folder + "/" + log;
    pid_ = ::fork();
    if (pid_ < 0)
      cannotRun("no process can be started");
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::setpgid(0, 0);
      const int out = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      if (passed >= 0) {
        ::dup2(passed, 200);
        ::dup2(200, 7);
        ::fcntl(7, F_SETFD, 0);
        ::close_range(3, 6, 0);
        ::close_range(8, ~0U, 0);
      } else {
        ::close_range(3, ~0U, 0);
      }
      if (::chdir(root.c_str()) != 0)
        ::_exit(126);
      ::execle("/bin/sh", "sh", "-c", command.c_str(), nullptr, environment.data());
      ::_exit(127);
    }
    children().insert(pid_);
  }
  void signal(int number) const {
    if (pid_ > 0)
      ::kill(pid_, number);
  }
  // Whether the process has ended; sets `status`.
  bool hasEnded(int* status = nullptr) {
    if (pid_ <= 0)
      return true;
    int result = 0;
    if (::waitpid(pid_, &result, WNOHANG) != pid_)
      return false;
    children().erase(pid_);
    pid_ = -1;
    status_ = result;
    if (status)
      *status = result;
    return true;
  }
  int status() const { return status_; }
  void kill() {
    if (pid_ <= 0)
      return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, &status_, 0);
    children().erase(pid_);
    pid_ = -1;
  }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  int status_ = 0;
};

// Waits until the sender answers PING with +PONG; false after `ms`.
inline bool waitForPong(int port, double ms) {
  for (const double until = nowMs() + ms; nowMs() < until; sleepMs(10)) {
    Client client(port);
    if (client.ask({"PING"}, 200) == "+PONG")
      return true;
  }
  return false;
}

// One line to the operators' address; the answer's line.
inline std::string manage(int port, const std::string& call) {
  const int fd = connectTo(port);
  if (fd < 0)
    return "";
  sendAll(fd, call + "\n");
  std::string in;
  for (const double until = nowMs() + 1000; in.find('\n') == std::string::npos && nowMs() < until;)
    if (receive(fd, in, until - nowMs()) < 0)
      break;
  ::close(fd);
  return in.substr(0, in.find('\n'));
}

// Settings of a small deployment: the figures of the pages' own example.
inline json smallSettings() {
  const auto message_class = [](const char* name, const char* effect, double aim, double deadline, double memory,
                                double worth) {
    return json{{"AimMs", aim},     {"DeadlineMs", deadline}, {"Group", "all"},          {"Idempotency", effect},
                {"LateWorth", 0.3}, {"MemorySpanMs", memory}, {"Name", name},            {"Stream", false},
                {"Worth", worth}};
  };
  return {{"Azs", {"bp-dc1"}},
          {"Balancers", 2},
          {"Blend", {{"Whole", 0.55}, {"WorstClass", 0.2}, {"WorstTenant", 0.0}, {"WorstWindow", 0.25}}},
          {"Categories",
           {message_class("status-update", "idempotent", 4000, 28000, 5000, 1),
            message_class("print-order", "deduplicated", 3000, 28000, 12000, 3),
            message_class("payment", "at_most_once", 3000, 24000, 5000, 4)}},
          {"Ceilings",
           {{"ConnIdleMs", 5000.0},
            {"CpuUsPerRequest", 0.0},
            {"CpuUsPerS", 100000},
            {"DialTimeoutMs", 1000.0},
            {"MaxAttempts", 12},
            {"MaxOpen", 269},
            {"MaxRetryAfterMs", 3000.0},
            {"MayCancel", true},
            {"Multiplex", 1},
            {"ParallelTries", true},
            {"Peers", false},
            {"Probes", false},
            {"RetryAfter", true}}},
          {"Clients", {{"MarksRetry", false}}},
          {"Discovery", "push"},
          {"Domain",
           {{"CallSlots", 9},
            {"Late", "line"},
            {"PerCall", {1, 1}},
            {"RefusalCost", 0.0},
            {"RoutesApart", {false, false}},
            {"ZoneFee", {0.0}}}},
          {"Family", "deliver"},
          {"Kinds", {"major-partner", "partner"}},
          {"Layer", 0},
          {"Layers", {"partner-systems"}},
          {"Locality", "bp-dc1"},
          {"OverShareWorth", 0.1},
          {"Position", 0},
          {"Rules",
           {{"AnswerSlackMs", 20.0},
            {"AskWithinMs", 10000.0},
            {"ColdShare", 0.29},
            {"DrainGraceMs", 250.0},
            {"FallMs", 2000.0},
            {"OverloadFactor", 1.5},
            {"RampTimeMs", 11000.0}}},
          {"Stats", {{"Fields", {"x0", "x1"}}, {"How", "piggyback"}}},
          {"Tenants", json::array()},
          {"TickMs", 5.0},
          {"ValueBy", "request"},
          {"WeightKind", "rough"}};
}

inline void writeFile(const std::string& path, const std::string& text) {
  std::ofstream(path + ".next", std::ios::trunc) << text;
  std::filesystem::rename(path + ".next", path);
}

inline std::string makeWorkFolder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "grademux-review-XXXXXX").string();
  if (!::mkdtemp(pattern.data()))
    cannotRun("no temporary folder");
  return pattern;
}

// Ends the case: kills the processes that it started and removes its folder.
[[noreturn]] inline void finish(int code) {
  killChildren();
  std::error_code ignored;
  if (!std::getenv("REVIEW_KEEP") && !work_folder.empty())
    std::filesystem::remove_all(work_folder, ignored);
  std::fflush(nullptr);
  ::_exit(code);
}
[[noreturn]] inline void cannotRun(const std::string& why) {
  note("the case can't run: " + why);
  std::fprintf(stderr, "the case can't run: %s\n", why.c_str());
  finish(2);
}

// Prepares the record, the temporary folder and a limit on the time of the case.
inline void begin(const std::string& record_path, int limit_s = 110) {
  ::signal(SIGPIPE, SIG_IGN);
  record.open(record_path);
  work_folder = makeWorkFolder();
  std::thread([limit_s] {
    sleepMs(limit_s * 1000.0);
    cannotRun("it takes too long");
  }).detach();
}
inline bool hasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

}  // namespace rig
