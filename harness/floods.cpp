// grademux harness: clients that take what memory and descriptors they can get, beside a usual load.
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

#include "../src/core/clock.h"
#include "scenarios.h"

namespace grademux::harness {

namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kMaxErrorDelay = 3 * kSecond;  // an error or the close, from the connection on
constexpr Micros kReconnectDelay = 100'000;
constexpr Micros kDripInterval = kSecond;
constexpr auto kSampleInterval = std::chrono::milliseconds(5);
constexpr double kMinServedShare = 0.98;  // of a run without a flood
constexpr std::size_t kBodyBytes = 65536;
constexpr int kHttpClients = 120;

struct Limits {
  int memory_mb, sockets, clients;
};
constexpr Limits kLimits[] = {{32, 1024, 700}, {48, 672, 420}};

std::string respWords(const std::vector<std::string>& words) {
  std::string bytes = "*" + std::to_string(words.size()) + "\r\n";
  for (const std::string& word : words)
    bytes += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
  return bytes;
}

std::string putHead(std::size_t body_bytes) {
  std::string bytes = respWords({"MSG.PUT", "0", "flood", "c=status,d=1000,dest=0"});
  bytes[1] = '5';
  return bytes + "$" + std::to_string(body_bytes) + "\r\n";
}

// What each client of a flood does.
struct Flood {
  const char* name;
  std::string bytes;  // sent at once
  bool drips = false, reads = true, http = false;
};

std::vector<Flood> floods() {
  const std::string part(kBodyBytes - 100, 'x');
  const std::string echo = respWords({"ECHO", std::string(kBodyBytes, 'x')});
  return {{"none", ""},
          {"stops", putHead(kBodyBytes) + part},
          {"drips", putHead(kBodyBytes) + part.substr(0, kBodyBytes / 2), true},
          {"unread", echo + echo + echo + echo, false, false},
          {"huge", "*5\r\n$7\r\nMSG.PUT\r\n$60000000\r\n" + part},
          {"silent", ""},
          {"http", "PUT /v1/messages/x HTTP/1.1\r\nHost: x\r\nContent-Length: 131072\r\n\r\n" + part + part,
           false, true, true}};
}

// The clients of one flood, on a thread of their own. One that is cut comes again.
class FloodClients {
 public:
  FloodClients(const Flood& flood, int port, int count) : flood_(flood), port_(port) {
    clients_.resize(static_cast<std::size_t>(count));
    thread_ = std::thread([this] { run(); });
  }
  ~FloodClients() { stop(); }

  void stop() {
    stop_ = true;
    if (thread_.joinable())
      thread_.join();
    for (Client& client : clients_)
      if (client.fd >= 0)
        ::close(client.fd);
    clients_.clear();
  }
  std::uint64_t connections() const { return connections_; }
  std::uint64_t errors() const { return errors_; }
  std::uint64_t overdue() const { return overdue_; }

 private:
  struct Client {
    int fd = -1;
    std::size_t sent = 0;
    Micros since = 0, next_drip = 0;
    bool answered = false;
  };

  void connect(Client& client, Micros now) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port_));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int small_buffer = 4096;
    client = {};
    client.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!flood_.reads)
      ::setsockopt(client.fd, SOL_SOCKET, SO_RCVBUF, &small_buffer, sizeof small_buffer);
    ::fcntl(client.fd, F_SETFL, O_NONBLOCK);
    ::connect(client.fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
    client.since = now;
    client.next_drip = now + kDripInterval;
    ++connections_;
  }

  void send(Client& client, Micros now) {
    if (client.sent < flood_.bytes.size()) {
      const ssize_t size = ::send(client.fd, flood_.bytes.data() + client.sent,
                                  flood_.bytes.size() - client.sent, MSG_NOSIGNAL);
      client.sent += size > 0 ? static_cast<std::size_t>(size) : 0;
    } else if (flood_.drips && now >= client.next_drip) {
      client.next_drip = now + kDripInterval;
      ::send(client.fd, "x", 1, MSG_NOSIGNAL);
    }
  }

  // Returns false once the connection has ended.
  bool receive(Client& client) {
    char bytes[4096];
    const ssize_t size = ::recv(client.fd, bytes, sizeof bytes, 0);
    if (size > 0 && !client.answered) {
      client.answered = true;
      ++errors_;
    }
    return size > 0 || (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
  }

  void step(Client& client, Micros now) {
    if (client.fd < 0)
      return now >= client.since ? connect(client, now) : void();
    send(client, now);
    if (!flood_.reads)
      return;
    const bool open = receive(client);
    if (open && !client.answered && now - client.since > kMaxErrorDelay) {
      client.answered = true;
      ++overdue_;
    }
    if (open)
      return;
    ::close(client.fd);
    client.fd = -1;
    client.since = now + kReconnectDelay;
  }

  void run() {
    while (!stop_) {
      for (Client& client : clients_)
        step(client, monotonicNow());
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

  const Flood& flood_;
  const int port_;
  std::vector<Client> clients_;
  std::atomic<bool> stop_{false};
  std::atomic<std::uint64_t> connections_{0}, errors_{0}, overdue_{0};
  std::thread thread_;
};

// The most memory that the program had, private and of files.
class PeakMemory {
 public:
  explicit PeakMemory(const SenderProcess& process) : thread_([this, &process] { run(process); }) {}
  ~PeakMemory() {
    stop_ = true;
    thread_.join();
  }
  double megabytes() const { return static_cast<double>(peak_kb_) / 1024; }

 private:
  void run(const SenderProcess& process) {
    for (; !stop_; std::this_thread::sleep_for(kSampleInterval))
      peak_kb_ = std::max<long>(peak_kb_, process.residentKb());
  }

  std::atomic<bool> stop_{false};
  std::atomic<long> peak_kb_{0};
  std::thread thread_;
};

json runFlood(const Options& o, const Limits& limits, const Flood& flood) {
  EnvironmentConfig shape;
  shape.memory_mb = limits.memory_mb;
  shape.sockets = limits.sockets;
  shape.disk_mb = 3;
  shape.connections = 16;
  shape.behaviour.service = 20'000;
  shape.behaviour.spread = 20'000;
  TestEnvironment w(o.sender, o.seed, shape);
  w.start();
  const double rate = o.rate > 0 ? o.rate : 60;
  w.load(rate, kSecond / 2, {Via::resp, Via::http});
  PeakMemory peak(w.child());
  json figures;
  {
    const bool has_clients = flood.name != std::string("none");
    FloodClients clients(flood, flood.http ? w.httpPort() : w.respPort(),
                         !has_clients ? 0
                         : flood.http ? kHttpClients
                                      : limits.clients);
    w.load(rate, o.seconds * kSecond, {Via::resp, Via::http});
    clients.stop();
    figures = {
        {"connections", clients.connections()}, {"errors", clients.errors()}, {"overdue", clients.overdue()}};
  }
  figures = finished(w, [&] { return figures; });
  figures["memory_peak_mb"] = peak.megabytes();
  figures["served"] = static_cast<double>(w.ledger.deliveries) / static_cast<double>(w.ledger.size());
  const bool within_memory = peak.megabytes() <= limits.memory_mb;
  figures["holds"] = figures.value("holds", false) && within_memory && figures["overdue"] == 0;
  return figures;
}

}  // namespace

json floods(const Options& o) {
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  json figures;
  bool holds = true;
  for (const Limits& limits : kLimits) {
    json& all = figures[std::to_string(limits.memory_mb) + "_mb_" + std::to_string(limits.sockets)];
    double served_without = 1;
    for (const Flood& flood : floods()) {
      if (!o.part.empty() && o.part != flood.name && flood.name != std::string("none"))
        continue;
      json& one = all[flood.name] = runFlood(o, limits, flood);
      const double served = one["served"];
      if (flood.name == std::string("none"))
        served_without = served;
      one["holds"] = one.value("holds", false) && served >= kMinServedShare * served_without;
      holds = holds && one.value("holds", false);
    }
  }
  figures["holds"] = holds;
  return figures;
}

}  // namespace grademux::harness
