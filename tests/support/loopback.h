// Helpers for the tests over loopback sockets: an endpoint with a scripted answer, an agent of discovery, a
// client and the real program as a child process. All on ephemeral ports; waits are on events, with generous
// limits.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "../../harness/sender_process.h"
#include "program_paths.h"

namespace grademux::loopback {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr auto kLong = 60s;  // a wait that takes this long has failed

class TempFolder {
 public:
  TempFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "grademux-XXXXXX").string();
    path_ = ::mkdtemp(pattern.data());
  }
  ~TempFolder() { std::filesystem::remove_all(path_); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// An address of the loopback interface; port 0: any.
inline sockaddr_in loopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

struct Listener {
  Listener() {
    fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in a = loopbackAddress(0);
    EXPECT_EQ(0, ::bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a));
    EXPECT_EQ(0, ::listen(fd, 64));
    socklen_t n = sizeof a;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &n);
    port = ntohs(a.sin_port);
  }
  ~Listener() { close(); }
  void close() {
    if (fd >= 0)
      ::close(fd);
    fd = -1;
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port); }
  int fd = -1;
  int port = 0;
};

// Waits for what has no event of its own.
inline bool eventually(const std::function<bool()>& holds) {
  const auto until = std::chrono::steady_clock::now() + kLong;
  while (!holds()) {
    if (std::chrono::steady_clock::now() > until)
      return false;
    std::this_thread::sleep_for(5ms);
  }
  return true;
}

// A port that nothing listens on.
inline std::string closedAddress() {
  return "127.0.0.1:" + std::to_string(harness::ownPort());
}

struct Seen {  // a request as a server had it
  std::string head, body;
  std::size_t connection = 0, on_it = 0;  // which connection, and the how manieth request on it
  std::string field(const std::string& name) const {
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
      return "";
    const auto from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
  }
};

// What a server does with a request: bytes to answer, further pieces, each after a pause, and whether it then
// ends the connection, resets it, or (with neither) keeps it.
struct Act {
  struct Piece {
    std::chrono::milliseconds pause;
    std::string bytes;
  };
  std::string bytes;
  bool close = false, reset = false, silent = false;
  std::vector<Piece> pieces = {};
};
inline std::string answer(const std::string& status, const std::string& fields = "",
                          const std::string& body = "") {
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields +
         "\r\n" + body;
}

// A server of raw HTTP on loopback, a thread for each connection.
class Server {
 public:
  using Script = std::function<Act(const Seen&)>;
  explicit Server(Script script) : script_(std::move(script)), thread_([this] { acceptLoop(); }) {}
  ~Server() {
    stop_ = true;
    thread_.join();
    for (auto& t : connections_)
      t.join();
  }
  std::string address() const { return listener_.address(); }
  std::vector<Seen> seen() {
    std::lock_guard<std::mutex> l(mutex_);
    return seen_;
  }
  bool waitFor(std::size_t count) {
    std::unique_lock<std::mutex> l(mutex_);
    return changed_.wait_for(l, kLong, [&] { return seen_.size() >= count; });
  }
  std::size_t closedByPeer() const { return closed_by_peer_; }

 private:
  static bool readable(int fd) {
    pollfd p{fd, POLLIN, 0};
    return ::poll(&p, 1, 20) > 0;
  }
  void acceptLoop() {
    for (std::size_t n = 0; !stop_;) {
      if (!readable(listener_.fd))
        continue;
      const int fd = ::accept4(listener_.fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0)
        connections_.emplace_back([this, fd, id = n++] { serve(fd, id); });
    }
  }
  void sendAfterPause(int fd, const Act::Piece& piece) const {
    const auto at = std::chrono::steady_clock::now() + piece.pause;
    while (!stop_ && std::chrono::steady_clock::now() < at)
      std::this_thread::sleep_for(std::min<std::chrono::nanoseconds>(
          20ms, std::max<std::chrono::nanoseconds>(0ns, at - std::chrono::steady_clock::now())));
    if (!stop_)
      (void)!::send(fd, piece.bytes.data(), piece.bytes.size(), MSG_NOSIGNAL);
  }
  void serve(int fd, std::size_t id) {
    std::string in;
    std::size_t on_it = 0;
    bool reset = false;
    while (!stop_) {
      const auto end = in.find("\r\n\r\n");
      if (end != std::string::npos) {
        Seen s;
        s.head = in.substr(0, end + 2);
        const std::string length = s.field("Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        if (in.size() >= end + 4 + size) {
          s.body = in.substr(end + 4, size);
          in.erase(0, end + 4 + size);
          s.connection = id;
          s.on_it = on_it++;
          {
            std::lock_guard<std::mutex> l(mutex_);
            seen_.push_back(s);
          }
          changed_.notify_all();
          const Act a = script_(s);
          if (!a.bytes.empty())
            (void)!::send(fd, a.bytes.data(), a.bytes.size(), MSG_NOSIGNAL);
          for (const Act::Piece& piece : a.pieces)
            sendAfterPause(fd, piece);
          reset = a.reset;
          if (a.close || a.reset)
            break;
          continue;
        }
      }
      if (!readable(fd))
        continue;
      char piece[4096];
      const ssize_t n = ::recv(fd, piece, sizeof piece, 0);
      if (n <= 0) {
        ++closed_by_peer_;
        break;
      }
      in.append(piece, static_cast<std::size_t>(n));
    }
    if (reset) {
      const linger hard{1, 0};
      ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    }
    ::close(fd);
  }

  Script script_;
  Listener listener_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Seen> seen_;
  std::vector<std::thread> connections_;
  std::atomic<bool> stop_{false};
  std::atomic<std::size_t> closed_by_peer_{0};
  std::thread thread_;
};

// The agent of discovery: answers a watch when there is news, and takes notices.
class Agent {
 public:
  Agent() : server_([this](const Seen& s) { return act(s); }) {}
  ~Agent() {
    stop_ = true;
    changed_.notify_all();
  }
  std::string address() const { return server_.address(); }
  void tell(json endpoints, bool snapshot = false) {
    std::lock_guard<std::mutex> l(mutex_);
    ++index_;
    snapshot_ = snapshot;
    news_ = std::move(endpoints);
    changed_.notify_all();
  }
  // As another agent at the address of one that has gone: its versions start from 1, and it knows the whole
  // list, but no earlier changes.
  void restart(json endpoints) {
    std::lock_guard<std::mutex> l(mutex_);
    index_ = 1;
    restarted_ = true;
    snapshot_ = true;
    news_ = std::move(endpoints);
    changed_.notify_all();
  }
  bool waitForNotice(const std::string& message) {
    std::unique_lock<std::mutex> l(mutex_);
    return changed_.wait_for(l, kLong, [&] { return notices_.count(message) > 0; });
  }
  // A watch from this version or later was asked for: what came before has been read.
  bool waitForWatch(long from) {
    std::unique_lock<std::mutex> l(mutex_);
    return changed_.wait_for(l, kLong, [&] { return asked_ >= from; });
  }
  // Whether the latest watch goes on from this version.
  bool watchesFrom(long from) {
    std::lock_guard<std::mutex> l(mutex_);
    return latest_from_ == from;
  }
  json notice(const std::string& message) {
    std::lock_guard<std::mutex> l(mutex_);
    return notices_[message];
  }
  bool noticed(const std::string& message) {
    std::lock_guard<std::mutex> l(mutex_);
    return notices_.count(message) > 0;
  }
  std::size_t noticeCount() {
    std::lock_guard<std::mutex> l(mutex_);
    return notices_.size();
  }
  std::atomic<bool> refuse_notices{false};
  std::atomic<int> refused{0};

 private:
  Act act(const Seen& s) {
    if (s.head.rfind("POST /v1/notices", 0) == 0) {
      if (refuse_notices) {
        ++refused;
        return {answer("503 Busy"), false, false, false};
      }
      std::lock_guard<std::mutex> l(mutex_);
      std::istringstream lines(s.body);
      for (std::string line; std::getline(lines, line);) {
        const json n = json::parse(line);
        notices_[n["message"]] = n;
      }
      changed_.notify_all();
      return {"HTTP/1.1 204 No Content\r\n\r\n", false, false, false};
    }
    long from = -1;
    const auto at = s.head.find("from=");
    if (at != std::string::npos)
      from = std::stol(s.head.substr(at + 5));
    std::unique_lock<std::mutex> l(mutex_);
    asked_ = std::max(asked_, from);
    latest_from_ = from;
    changed_.notify_all();
    changed_.wait_for(l, kLong, [&] { return stop_ || index_ > from || (restarted_ && index_ < from); });
    if (stop_)
      return {"", true, false, false};
    if (index_ < from)  // nothing is newer than a version that this agent does not know
      return {answer("200 OK", "",
                     json{{"index", index_}, {"snapshot", false}, {"endpoints", json::array()}}.dump())};
    const json body{{"index", index_}, {"snapshot", snapshot_}, {"endpoints", news_}};
    return {answer("200 OK", "", body.dump()), false, false, false};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, json> notices_;
  json news_ = json::array();
  long index_ = 1, asked_ = -1, latest_from_ = -1;
  bool snapshot_ = false, restarted_ = false;
  std::atomic<bool> stop_{false};
  Server server_;
};

inline json listed(const std::string& name, const std::string& address, int group,
                   const std::string& status = "Ready") {
  return {{"name", name},   {"address", address}, {"zone", "a"},    {"type", "partner"},
          {"group", group}, {"status", status},   {"weight", 50.0}, {"since_ms", 0}};
}

inline json plainSettings() {
  auto cls = [](const char* name, const char* effect) {
    return json{{"Name", name},          {"AimMs", 4000.0},  {"DeadlineMs", 28000.0},    {"Group", "all"},
                {"Idempotency", effect}, {"LateWorth", 0.3}, {"MemorySpanMs", 120000.0}, {"Worth", 1.0}};
  };
  return {{"Azs", {"a"}},
          {"Balancers", 1},
          {"Categories",
           {cls("notice", "idempotent"), cls("order", "deduplicated"), cls("payment", "at_most_once")}},
          {"Ceilings",
           {{"ConnIdleMs", 5000.0},
            {"DialTimeoutMs", 1000.0},
            {"MaxAttempts", 12},
            {"MaxOpen", 100},
            {"MaxRetryAfterMs", 3000.0},
            {"MayCancel", true},
            {"ParallelTries", true},
            {"RetryAfter", true}}},
          {"Domain", {{"CallSlots", 8}, {"Late", "line"}, {"PerCall", {1}}, {"RoutesApart", {false}}}},
          {"Kinds", {"partner"}},
          {"Rules",
           {{"AnswerSlackMs", 20.0},
            {"ColdShare", 0.29},
            {"DrainGraceMs", 250.0},
            {"FallMs", 2000.0},
            {"OverloadFactor", 1.5},
            {"RampTimeMs", 11000.0}}},
          {"Stats", {{"Fields", {"x0", "x1"}}, {"How", "piggyback"}}},
          {"TickMs", 5.0},
          {"WeightKind", "rough"}};
}

class Client {
 public:
  explicit Client(int port) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopbackAddress(port);
    connected_ = ::connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  }
  ~Client() { ::close(fd_); }
  bool connected() const { return connected_; }
  int fd() const { return fd_; }
  void send(const std::string& bytes) {
    for (std::size_t done = 0; done < bytes.size();) {
      const ssize_t n = ::send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (n <= 0)
        return;
      done += static_cast<std::size_t>(n);
    }
  }
  // One line without its end; empty if the connection ended first.
  std::string line() {
    for (;;) {
      const auto end = in_.find("\r\n");
      if (end != std::string::npos) {
        std::string l = in_.substr(0, end);
        in_.erase(0, end + 2);
        return l;
      }
      pollfd p{fd_, POLLIN, 0};
      if (::poll(&p, 1, static_cast<int>(std::chrono::milliseconds(kLong).count())) <= 0)
        return "";
      char piece[1024];
      const ssize_t n = ::recv(fd_, piece, sizeof piece, 0);
      if (n <= 0)
        return "";
      in_.append(piece, static_cast<std::size_t>(n));
    }
  }
  bool ended() { return line().empty(); }
  // The same, of what has come by now.
  bool hasEnded() const {
    char byte;
    return ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }
  // The other side has ended its sending, and reads what is sent to it from now on: with a connection that
  // was closed over it, the first bytes bring a reset and the second can't be sent.
  bool endedInOrder() {
    if (!ended())
      return false;
    const bool first = ::send(fd_, "*", 1, MSG_NOSIGNAL) == 1;
    return first && ::send(fd_, "5", 1, MSG_NOSIGNAL) == 1;
  }
  // All that comes until the connection ends.
  std::string rest() {
    for (;;) {
      pollfd p{fd_, POLLIN, 0};
      char piece[4096];
      if (::poll(&p, 1, static_cast<int>(std::chrono::milliseconds(kLong).count())) <= 0)
        break;
      const ssize_t n = ::recv(fd_, piece, sizeof piece, 0);
      if (n <= 0)
        break;
      in_.append(piece, static_cast<std::size_t>(n));
    }
    return std::exchange(in_, {});
  }
  static std::string request(const std::vector<std::string>& words) {
    std::string out = "*" + std::to_string(words.size()) + "\r\n";
    for (const auto& w : words)
      out += "$" + std::to_string(w.size()) + "\r\n" + w + "\r\n";
    return out;
  }
  std::string ask(const std::vector<std::string>& words) {
    send(request(words));
    return line();
  }
  std::string put(const std::string& id, const std::string& cls, int dest, const std::string& body = "body",
                  int may_last_ms = 28000) {
    return ask(
        {"MSG.PUT", "0000000000000000", id,
         "c=" + cls + ",d=" + std::to_string(may_last_ms) + ",k=k" + id + ",dest=" + std::to_string(dest),
         body});
  }

 private:
  int fd_ = -1;
  bool connected_ = false;
  std::string in_;
};

// The real program as a child, with its folder that lasts.
class Program {
 public:
  Program(const std::string& state, const std::string& discovery, json endpoints, double disk_mb = 3,
          json settings = plainSettings(), int sockets = 1024, const std::string& daemon = "")
      : state_(state), discovery_(discovery) {
    if (!daemon.empty())
      writeDaemon(daemon);
    config_ = {{"name", "n0"},
               {"seed", "8c1f30d27a5be964"},
               {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", sockets}, {"disk_mb", disk_mb}}},
               {"known", {{"index", 1}, {"snapshot", true}, {"endpoints", std::move(endpoints)}}},
               {"settings", std::move(settings)}};
    start();
  }
  ~Program() {
    if (pid_ > 0)
      kill();
    std::error_code ignored;
    for (const std::string& f : {path(), daemonPath(), logPath()})
      std::filesystem::remove(f, ignored);
  }

  // Starts it and waits until it answers PING.
  void start() {
    port_ = harness::ownPort();
    config_["listen"] = "127.0.0.1:" + std::to_string(port_);
    config_["discovery"] = discovery_;
    writeConfig(configText());
    restart();
  }
  // With the file as it is.
  void restart(const std::map<std::string, std::string>& variables = {},
               const std::string& program = senderProgram()) {
    std::vector<std::string> arguments;
    if (std::filesystem::exists(daemonPath()))
      arguments = {"--daemon", daemonPath()};
    pid_ = spawn(path(), state_, variables, arguments, logPath(), -1, program);
    const auto until = std::chrono::steady_clock::now() + kLong;
    while (std::chrono::steady_clock::now() < until) {
      Client c(port_);
      if (c.connected() && c.ask({"PING"}) == "+PONG")
        return;
      std::this_thread::sleep_for(10ms);
    }
    ADD_FAILURE() << "the program does not answer PING";
  }
  std::string configText() const { return config_.dump(); }
  void writeConfig(const std::string& text) { std::ofstream(path()) << text; }
  void configure(const std::string& name, const json& value) {
    config_[name] = value;
    writeConfig(configText());
  }
  // `passed`: a descriptor that it has as rig::Child::kPassed.
  static pid_t spawn(const std::string& config, const std::string& state,
                     const std::map<std::string, std::string>& variables = {},
                     const std::vector<std::string>& arguments = {}, const std::string& log = "",
                     int passed = -1, const std::string& program = senderProgram()) {
    std::vector<std::string> command = {program}, all = {"GW_CONFIG=" + config, "GW_STATE=" + state};
    command.insert(command.end(), arguments.begin(), arguments.end());
    for (const char* name : {"GW_LISTEN", "GW_DISCOVERY"})
      if (!variables.count(name))
        all.push_back(name);
    for (const auto& [name, value] : variables)
      all.push_back(name + "=" + value);
    harness::SenderProcess child;
    child.start(command, all, log, passed);
    return child.release();
  }
  void signal(int number) { ::kill(pid_, number); }
  int wait() {
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
    return status;
  }
  void kill() {
    signal(SIGKILL);
    wait();
  }
  int port() const { return port_; }
  pid_t pid() const { return pid_; }
  void writeDaemon(const std::string& text) { std::ofstream(daemonPath()) << text; }
  std::string daemonPath() const { return state_ + "-daemon.toml"; }
  std::string path() const { return state_ + "-config.json"; }
  // What the program has written, all lives together.
  std::string log() const {
    std::ifstream f(logPath());
    return {std::istreambuf_iterator<char>(f), {}};
  }
  bool waitForLog(const std::string& words) const {
    return eventually([&] { return log().find(words) != std::string::npos; });
  }

 private:
  std::string logPath() const { return state_ + "-log"; }

  std::string state_, discovery_;
  json config_;
  int port_ = 0;
  pid_t pid_ = -1;
};

}  // namespace grademux::loopback
