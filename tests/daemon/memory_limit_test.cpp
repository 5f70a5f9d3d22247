// The complete program under `limits.memory_mb`: clients of both listeners that take what memory they can
// get, beside one that sends whole requests.
#include <sys/resource.h>

#include "../support/http_client.h"

namespace grademux {
namespace {

using namespace loopback;

constexpr int kMemoryMegabytes = 32, kDescriptors = 1024;
constexpr std::int64_t kMemoryBytes = kMemoryMegabytes * 1024 * 1024;
constexpr std::size_t kWordBytes = 65536;
constexpr int kRespClients = 600;

#if defined(__SANITIZE_ADDRESS__)
constexpr bool kMeasuresMemory = false;  // the sanitizer's own memory is many times the program's
#else
constexpr bool kMeasuresMemory = true;
#endif

// Samples the memory of a process, private and of files.
class MemoryWatch {
 public:
  explicit MemoryWatch(pid_t pid) : thread_([this, pid] { run(pid); }) {}
  ~MemoryWatch() { stop(); }

  std::int64_t stop() {
    stop_ = true;
    if (thread_.joinable())
      thread_.join();
    return peak_;
  }

 private:
  void run(pid_t pid) {
    for (; !stop_; std::this_thread::sleep_for(5ms)) {
      std::ifstream status("/proc/" + std::to_string(pid) + "/status");
      for (std::string line; std::getline(status, line);)
        if (line.rfind("VmRSS:", 0) == 0)
          peak_ = std::max<std::int64_t>(peak_, std::stoll(line.substr(6)) * 1024);
    }
  }

  std::atomic<bool> stop_{false};
  std::atomic<std::int64_t> peak_{0};
  std::thread thread_;
};

Act deliver(const Seen&) {
  return {answer("200 OK")};
}

// A sender with little memory and both listeners.
struct SmallMemorySender {
  explicit SmallMemorySender(int http_connections, Server::Script script = deliver)
      : endpoint(std::move(script)),
        http_port(harness::ownPort()),
        program(folder.path(), agent.address(), json::array({listed("e1", endpoint.address(), 7)}), 3,
                plainSettings(), kDescriptors,
                "[[door]]\nkind = \"http\"\nlisten = \"127.0.0.1:" + std::to_string(http_port) +
                    "\"\nmax_connections = " + std::to_string(http_connections) + "\n") {
    rlimit files{};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
    program.configure(
        "limits",
        {{"cores", 1.0}, {"memory_mb", kMemoryMegabytes}, {"sockets", kDescriptors}, {"disk_mb", 3}});
    program.kill();
    program.restart();
    watch = std::make_unique<MemoryWatch>(program.pid());
  }

  // Submits messages with large bodies, each of which is to be accepted, until `done` is set.
  void serveUsualClient(const std::atomic<bool>& done) {
    Client usual(program.port());
    for (int i = 0; !done; ++i) {
      const std::string id = "usual" + std::to_string(i);
      const std::string reply = usual.put(id, "notice", 7, std::string(1000, 'x'));
      EXPECT_EQ("+OK", reply) << id;
      if (reply.empty())
        return;  // the connection has ended
      std::this_thread::sleep_for(20ms);
    }
  }

  // Runs `act` beside the usual client and checks the memory.
  void checkMemoryDuring(const std::function<void()>& act) {
    std::atomic<bool> done{false};
    std::thread usual([&] { serveUsualClient(done); });
    act();
    done = true;
    usual.join();
    checkMemory();
  }

  void checkMemory() {
    const std::int64_t peak = watch->stop();
    if (kMeasuresMemory)
      EXPECT_LE(peak, kMemoryBytes);
  }

  TempFolder folder;
  Agent agent;
  Server endpoint;
  int http_port;
  Program program;
  std::unique_ptr<MemoryWatch> watch;
};

template <class AnyClient>
using Clients = std::vector<std::unique_ptr<AnyClient>>;

// Guards against buffers that keep the capacity of the longest request and reply of their connection.
TEST(MemoryLimit, HoldsWhenClientsStayAfterLargeRequests) {
  SmallMemorySender sender(1);
  sender.checkMemoryDuring([&] {
    Clients<Client> clients;
    for (int i = 0; i < kRespClients; ++i) {
      clients.push_back(std::make_unique<Client>(sender.program.port()));
      clients.back()->ask({"ECHO", std::string(kWordBytes, 'x')});
    }
  });
}

}  // namespace
}  // namespace grademux
