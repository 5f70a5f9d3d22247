// grademux rig: the program under test as a child process: started, signalled, measured, ended.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace grademux::rig {

// A folder of its own under the system's folder for such, removed at the end.
class Folder {
 public:
  Folder();
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// A port on 127.0.0.1 that was free a moment ago.
int freePort();

class Child {
 public:
  ~Child();
  // `variables` as NAME=VALUE; standard error goes to `log`.
  void start(const std::vector<std::string>& command, const std::vector<std::string>& variables,
             const std::string& log);
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

}  // namespace grademux::rig
