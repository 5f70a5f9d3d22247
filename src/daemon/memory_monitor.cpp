// See memory_monitor.h.
#include "memory_monitor.h"

#include <malloc.h>

#include <chrono>
#include <fstream>
#include <limits>
#include <string>
#include <utility>

#include "../log/log.h"

namespace grademux {

namespace {

constexpr std::chrono::milliseconds kInterval{250};
constexpr std::int64_t kBytesPerKilobyte = 1024;  // in /proc/self/status

void readStatus(ProcessMemory& memory) {
  std::ifstream status("/proc/self/status");
  for (std::string key; status >> key;) {
    std::int64_t kilobytes = 0;
    if (key == "VmRSS:" && status >> kilobytes)
      memory.resident = kilobytes * kBytesPerKilobyte;
    else if (key == "RssAnon:" && status >> kilobytes)
      memory.anonymous = kilobytes * kBytesPerKilobyte;
    status.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
  }
}

}  // namespace

ProcessMemory readProcessMemory() {
  ProcessMemory memory;
  readStatus(memory);
  const struct mallinfo2 heap = ::mallinfo2();
  memory.heap_used = static_cast<std::int64_t>(heap.uordblks + heap.hblkhd);
  memory.heap_free = static_cast<std::int64_t>(heap.fordblks);
  return memory;
}

MemoryMonitor::MemoryMonitor(boost::asio::io_context& io, BufferUsageSource buffers)
    : timer_(io), buffers_(std::move(buffers)) {}

void MemoryMonitor::start() {
  if (log::isEnabled(log::Event::memory_usage))
    logUsage();
  timer_.expires_after(kInterval);
  timer_.async_wait([this](const boost::system::error_code& stopped) {
    if (!stopped)
      start();
  });
}

void MemoryMonitor::logUsage() const {
  const ProcessMemory memory = readProcessMemory();
  const BufferUsage buffers = buffers_();
  log::write(log::Event::memory_usage, {{"resident", memory.resident},
                                        {"anonymous", memory.anonymous},
                                        {"heap_used", memory.heap_used},
                                        {"heap_free", memory.heap_free},
                                        {"requests", buffers.requests},
                                        {"replies", buffers.replies},
                                        {"idle_buffers", buffers.idle}});
}

}  // namespace grademux
