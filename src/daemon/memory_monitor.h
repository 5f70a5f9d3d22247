// Logs what the memory of the process is used for, four times a second: the event memory.usage. Used on the
// loop thread alone.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>

#include "../listener/buffer_usage.h"

namespace grademux {

/// The memory of this process as the system and the allocator report it, in bytes.
struct ProcessMemory {
  std::int64_t resident = 0;   ///< All pages in memory, including those of files (proc(5), status, VmRSS).
  std::int64_t anonymous = 0;  ///< Pages that belong to no file (RssAnon).
  std::int64_t heap_used = 0;  ///< Allocated by the program (mallinfo2(3): uordblks + hblkhd).
  std::int64_t heap_free = 0;  ///< Freed by the program and kept by the allocator (fordblks).
};

/// Reads the current values; a value that can't be read is 0.
ProcessMemory readProcessMemory();

class MemoryMonitor {
 public:
  using BufferUsageSource = std::function<BufferUsage()>;

  /// `buffers` is called on the loop thread as long as this object exists.
  MemoryMonitor(boost::asio::io_context& io, BufferUsageSource buffers);

  /// Starts to log.
  void start();

 private:
  void logUsage() const;

  boost::asio::steady_timer timer_;
  BufferUsageSource buffers_;
};

}  // namespace grademux
