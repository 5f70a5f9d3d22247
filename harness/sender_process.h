// grademux harness: the program under test as a child process: started, signalled, measured, ended.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace grademux::harness {

// A folder of its own under the system's folder for such, removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// A port on 127.0.0.1 for a program that is told of it, and for nobody else: bound here to the end of this
// process and never listened at, so that the system gives it to no other, and who asks for it by its number
// (with SO_REUSEADDR) has it.
int ownPort();
// A socket that listens at a port of 127.0.0.1 which it was given: nobody else can have it meanwhile.
class ListeningSocket {
 public:
  ListeningSocket();
  ~ListeningSocket();
  ListeningSocket(const ListeningSocket&) = delete;
  ListeningSocket& operator=(const ListeningSocket&) = delete;
  int fd() const { return fd_; }
  int port() const { return port_; }

 private:
  int fd_ = -1, port_ = 0;
};

class SenderProcess {
 public:
  SenderProcess() = default;
  explicit SenderProcess(pid_t pid) : pid_(pid) {}
  ~SenderProcess();
  SenderProcess(const SenderProcess&) = delete;
  SenderProcess& operator=(const SenderProcess&) = delete;
  pid_t release() {  // whoever has the number looks after it from now on
    const pid_t pid = pid_;
    pid_ = -1;
    return pid;
  }
  // `variables` as NAME=VALUE, or NAME for one that it must not have; output and errors go to `log`.
  // `passed`: a descriptor that it has as kPassed.
  static constexpr int kPassed = 7;
  void start(const std::vector<std::string>& command, const std::vector<std::string>& variables,
             const std::string& log, int passed = -1);
  bool waitForPort(int port, int seconds) const;  // until it accepts connections
  void signal(int number) const;
  int wait();  // its status, as waitpid has it; -1 if it isn't running
  bool running();
  bool ended();  // without waiting; one that has ended is running no more
  pid_t pid() const { return pid_; }

  double cpuSeconds() const;  // user and system, so far
  long residentKb() const, peakKb() const;

 private:
  pid_t pid_ = -1;
};

// A fault in a file: a write that was cut short. The file's first `bytes` bytes stand once more at its end.
void tearTail(const std::string& path, std::uint64_t bytes);

}  // namespace grademux::harness
