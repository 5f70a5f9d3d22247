// grademux harness: child processes and files; see child.h.
#include "sender_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <thread>

namespace grademux::harness {

namespace {

sockaddr_in loopback(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return a;
}

long statusOf(pid_t pid, const std::string& name) {
  std::ifstream f("/proc/" + std::to_string(pid) + "/status");
  for (std::string l; std::getline(f, l);)
    if (l.compare(0, name.size(), name) == 0)
      return std::stol(l.substr(name.size() + 1));
  return 0;
}

}  // namespace

TemporaryFolder::TemporaryFolder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "grademux-rig-XXXXXX").string();
  if (!::mkdtemp(pattern.data()))
    throw std::runtime_error("no folder can be made: " + pattern);
  path_ = pattern;
}
TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

int ownPort() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  sockaddr_in a = loopback(0);
  socklen_t n = sizeof a;
  if (fd < 0 || ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      ::bind(fd, reinterpret_cast<sockaddr*>(&a), n) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &n) != 0)
    throw std::runtime_error("no port can be had on 127.0.0.1");
  return ntohs(a.sin_port);  // the descriptor stays
}

ListeningSocket::ListeningSocket() {
  fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a = loopback(0);
  socklen_t n = sizeof a;
  if (fd_ < 0 || ::bind(fd_, reinterpret_cast<sockaddr*>(&a), n) != 0 || ::listen(fd_, 128) != 0 ||
      ::getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &n) != 0)
    throw std::runtime_error("no port can be had on 127.0.0.1");
  port_ = ntohs(a.sin_port);
}
ListeningSocket::~ListeningSocket() {
  ::close(fd_);
}

SenderProcess::~SenderProcess() {
  if (!running())
    return;
  signal(SIGKILL);
  wait();
}

void SenderProcess::start(const std::vector<std::string>& command, const std::vector<std::string>& variables,
                          const std::string& log, int passed) {
  const pid_t parent = ::getpid();
  std::vector<char*> argv, environment;
  for (const std::string& c : command)
    argv.push_back(const_cast<char*>(c.c_str()));
  argv.push_back(nullptr);
  for (const std::string& v : variables)
    if (v.find('=') != std::string::npos)
      environment.push_back(const_cast<char*>(v.c_str()));
  const auto named = [&](const char* inherited) {
    const std::string_view name(inherited, std::strcspn(inherited, "="));
    return std::any_of(variables.begin(), variables.end(),
                       [&](const std::string& v) { return v.substr(0, v.find('=')) == name; });
  };
  for (char** inherited = environ; *inherited; ++inherited)
    if (!named(*inherited))
      environment.push_back(*inherited);
  environment.push_back(nullptr);
  // From here to the new program nothing is allocated: the stand-ins' threads are not there any more, and one
  // of them may have held the allocator's lock (a sanitizer's is not let go by fork).
  pid_ = ::fork();
  if (pid_ < 0)
    throw std::runtime_error("no process can be started");
  if (pid_ > 0)
    return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it does not outlive the rig
  ::setpgid(0, 0);                     // nor hear the Ctrl-C that is meant for the rig
  if (::getppid() != parent)
    ::_exit(127);
  const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (fd >= 0) {
    ::dup2(fd, STDOUT_FILENO);
    ::dup2(fd, STDERR_FILENO);
  }
  // Listeners of the stand-ins are not the program's.
  if (passed >= 0) {
    if (passed == kPassed)
      ::fcntl(passed, F_SETFD, 0);
    else
      ::dup2(passed, kPassed);
    ::close_range(STDERR_FILENO + 1, kPassed - 1, 0);
  }
  ::close_range(passed >= 0 ? kPassed + 1 : STDERR_FILENO + 1, ~0U, 0);
  ::execve(argv[0], argv.data(), environment.data());
  ::_exit(127);
}

bool SenderProcess::waitForPort(int port, int seconds) const {
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
  while (std::chrono::steady_clock::now() < until) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in a = loopback(port);
    const bool there = ::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0;
    ::close(fd);
    if (there)
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

void SenderProcess::signal(int number) const {
  if (pid_ > 0)
    ::kill(pid_, number);
}

int SenderProcess::wait() {
  int status = -1;
  if (pid_ > 0 && ::waitpid(pid_, &status, 0) != pid_)
    status = -1;
  pid_ = -1;
  return status;
}

bool SenderProcess::running() {
  return pid_ > 0 && ::kill(pid_, 0) == 0;
}

bool SenderProcess::ended() {
  int status = 0;
  if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_)
    pid_ = -1;
  return pid_ <= 0;
}

double SenderProcess::cpuSeconds() const {
  std::ifstream f("/proc/" + std::to_string(pid_) + "/stat");
  std::string all{std::istreambuf_iterator<char>(f), {}};
  const auto name_end = all.rfind(')');  // proc(5): fields 14 and 15 are ticks of user and system time
  if (name_end == std::string::npos)
    return 0;
  std::istringstream in(all.substr(name_end + 1));
  std::string word;
  double user = 0, system = 0;
  for (int i = 3; i <= 13; ++i)
    in >> word;
  in >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

long SenderProcess::residentKb() const {
  return statusOf(pid_, "VmRSS");
}
long SenderProcess::peakKb() const {
  return statusOf(pid_, "VmHWM");
}

void tearTail(const std::string& path, std::uint64_t bytes) {
  std::ifstream in(path, std::ios::binary);
  std::string head(bytes, '\0');
  in.read(head.data(), static_cast<std::streamsize>(bytes));
  head.resize(static_cast<std::size_t>(in.gcount()));
  std::ofstream(path, std::ios::binary | std::ios::app) << head;
}

}  // namespace grademux::harness
