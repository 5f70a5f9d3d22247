// Division of the file descriptors; see connection_budget.h.
#include "connection_budget.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace grademux {

namespace {

constexpr std::int64_t kMinClientConnections = 8;
// Connections that have submitted a message may use at most a quarter of all descriptors, so that a new
// client can always connect.
constexpr std::int64_t kSubmittingClientsDivisor = 4;
constexpr std::int64_t kIdleConnectionsDivisor = 5;

std::int64_t descriptorsBesideAttempts(const Config& config) {
  return config.max_descriptors - reservedDescriptors(config) - config.settings.max_in_flight;
}

std::int64_t maxIdleConnections(const Config& config) {
  return descriptorsBesideAttempts(config) / kIdleConnectionsDivisor;
}

// Connections that are left for the platform's listener, of which there must be `minimum`.
std::int64_t clientConnections(const Config& config, const DaemonFile& daemon_file, std::int64_t minimum) {
  const std::int64_t available = descriptorsBesideAttempts(config) - maxIdleConnections(config);
  const std::int64_t requested = daemon_file.maxConnections();
  if (requested <= available - minimum)
    return available - requested;
  std::string message = "the doors' max_connections are " + std::to_string(requested) +
                        " together: at most " + std::to_string(available - minimum) +
                        " are expected with limits.sockets " + std::to_string(config.max_descriptors);
  if (daemon_file.standalone)
    message += " and limits.calls " + std::to_string(config.settings.max_in_flight);
  throw std::runtime_error(message);
}

}  // namespace

RespListener::Limits clientLimits(const Config& config, const DaemonFile& daemon_file) {
  const std::int64_t connections = clientConnections(config, daemon_file, kMinClientConnections);
  const std::int64_t submitting = std::min(connections, config.max_descriptors / kSubmittingClientsDivisor);
  return {static_cast<std::size_t>(connections), static_cast<std::size_t>(submitting)};
}

void checkListenerBudget(const Config& config, const DaemonFile& daemon_file) {
  clientConnections(config, daemon_file, 0);
}

HttpTransport::Limits transportLimits(const Config& config) {
  return {config.settings.connect_timeout, config.settings.idle_connection_timeout,
          static_cast<std::size_t>(maxIdleConnections(config))};
}

}  // namespace grademux
