// How the memory of the process is divided (`limits.memory_mb`, `limits.memory`). Each part bounds what it is
// for. Answers of the plan store, partner files and the parsed form of a list have no part yet. Pure
// functions.
#pragma once

#include <cstdint>
#include <string>

#include "config.h"
#include "daemon_file.h"

namespace grademux {

/// The least limit that a sender can keep, in bytes.
constexpr std::int64_t kMinMemoryBytes = 16 << 20;

/// Parts of the limit, in bytes. What remains is for the program itself, the calls that are out, the
/// allocator, and the files in the state folder.
struct MemoryBudget {
  /// Connections, unfinished requests and unread replies of clients, at all listeners.
  std::uint64_t clients = 0;
  /// The journal: open messages are in memory as long as their records are in the journal. At most the limit
  /// of the files in the state folder.
  std::uint64_t journal = 0;
  /// One answer of the discovery agent, which takes several times its length while it is parsed.
  std::uint64_t discovery_answer = 0;
};

MemoryBudget divideMemory(const Config& config);

/// Throws std::runtime_error that names the setting if the limit is less than kMinMemoryBytes.
void checkMemoryLimit(std::uint64_t memory_bytes, const std::string& setting);

/// Throws std::runtime_error if the listeners of the daemon file allow requests for which there is never
/// memory.
void checkRequestMemory(const Config& config, const DaemonFile& daemon_file);

}  // namespace grademux
