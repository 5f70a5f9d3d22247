// Helper for the tests: a command that runs to its end.
#pragma once

#include <sys/wait.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "../../harness/sender_process.h"

namespace grademux::loopback {

// The words of its output, which goes through the file `log`, and its exit status.
inline std::string outputOf(const std::vector<std::string>& command, const std::string& log, int& status) {
  harness::SenderProcess c;
  std::filesystem::remove(log);
  c.start(command, {}, log);
  status = WEXITSTATUS(c.wait());
  std::ifstream f(log);
  return {std::istreambuf_iterator<char>(f), {}};
}

}  // namespace grademux::loopback
