// The daemon file (TOML): listeners, log, learned state, admin server and fleet, which the platform's
// configuration doesn't cover; and, for a standalone program, everything that GW_CONFIG gives on a platform.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "../fleet/fleet_member.h"
#include "../knowledge/learned_state_store.h"
#include "../listener/http/http_listener.h"
#include "../log/log.h"
#include "site.h"

namespace grademux {

/// The protocol of a listener.
enum class ListenerKind { resp, http };

/// A [[door]] of the daemon file.
struct ListenerConfig {
  ListenerKind kind = ListenerKind::http;
  boost::asio::ip::tcp::endpoint listen;
  HttpListener::Limits limits;  // ListenerKind::resp uses `connections` alone
};

/// The content of a daemon file.
struct DaemonFile {
  std::string path;  // empty: the program runs without a daemon file
  std::vector<ListenerConfig> listeners;
  log::Config log;
  knowledge::LearnedStateConfig knowledge;
  std::optional<boost::asio::ip::tcp::endpoint> admin_address;  // of the admin server: [operators]
  std::optional<fleet::FleetConfig> fleet;                      // the fleet that this sender belongs to
  zones::Regions regions;
  std::optional<StandaloneConfig> standalone;  // empty: the file configures no standalone program
  std::vector<EffectiveValue> effective;       // each value in force, in the order of reading

  /// The values in force that all senders of a fleet have in common, as lines "KEY = VALUE": all but the
  /// sender's own name, listening addresses, paths and store addresses. The digest of the daemon file is
  /// taken of this text.
  std::string sharedText() const;
  /// The sum of the listeners' connection limits.
  std::int64_t maxConnections() const;
};

/// Reads and checks a daemon file. Adds each mistake to `mistakes`, ordered by position; a file that can't be
/// read is a mistake as well. The result may be used only if there is none.
DaemonFile readDaemonFile(const std::string& path, std::vector<Mistake>& mistakes);
/// As readDaemonFile() for a text that is already in memory. `path`: for messages and relative paths.
DaemonFile readDaemonText(const std::string& text, const std::string& path, std::vector<Mistake>& mistakes);

}  // namespace grademux
