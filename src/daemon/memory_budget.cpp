// See memory_budget.h.
#include "memory_budget.h"

#include <algorithm>
#include <stdexcept>

#include "../discovery/agent.h"

namespace grademux {

namespace {

constexpr std::uint64_t kClientsDivisor = 6;
// Of the part of the clients, what a single request may take: connections may take a third, and the first
// bytes of their requests another.
constexpr std::uint64_t kRequestDivisor = 3;
constexpr std::uint64_t kJournalDivisor = 4;
constexpr std::uint64_t kDiscoveryAnswerDivisor = 32;

}  // namespace

MemoryBudget divideMemory(const Config& config) {
  MemoryBudget budget;
  budget.clients = config.memory_bytes / kClientsDivisor;
  budget.journal = std::min(config.disk_bytes, config.memory_bytes / kJournalDivisor);
  budget.discovery_answer =
      std::min<std::uint64_t>(Agent::kMaxAnswerBytes, config.memory_bytes / kDiscoveryAnswerDivisor);
  return budget;
}

void checkMemoryLimit(std::uint64_t memory_bytes, const std::string& setting) {
  if (memory_bytes < kMinMemoryBytes)
    throw std::runtime_error(setting + " is too small: " + std::to_string(kMinMemoryBytes) +
                             " bytes are the least");
}

void checkRequestMemory(const Config& config, const DaemonFile& daemon_file) {
  const std::uint64_t most = divideMemory(config).clients / kRequestDivisor;
  for (const ListenerConfig& listener : daemon_file.listeners)
    if (listener.limits.request_bytes > most)
      throw std::runtime_error("a door's max_request_bytes is " +
                               std::to_string(listener.limits.request_bytes) + ": at most " +
                               std::to_string(most) + " is expected with this limit of memory");
}

}  // namespace grademux
