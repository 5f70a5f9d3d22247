// grademux: the daemon file (TOML): the product's own features, beside what GW_CONFIG tells. Reading it
// reports every mistake, each with its place and what was expected.
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

enum class ListenerKind { resp, http };

struct ListenerConfig {
  ListenerKind kind = ListenerKind::http;
  boost::asio::ip::tcp::endpoint listen;
  HttpListener::Limits limits;  // resp: `connections` alone
};

struct DaemonFile {
  std::string path;
  std::vector<ListenerConfig> listeners;
  log::Spec log;
  knowledge::LearnedStateConfig knowledge;
  std::optional<boost::asio::ip::tcp::endpoint> operators;  // where operators call
  std::optional<fleet::FleetConfig> fleet;                  // the fleet that this sender is in
  zones::Regions regions;
  std::optional<Site> site;          // there if the program can stand alone by this file
  std::vector<Effective> effective;  // every value, in the order of reading
  // What is the same in the files of all senders of a fleet, as it is in force: all but names and places.
  std::string shared() const;
  // Connections of all doors together.
  std::int64_t connections() const;
};

// Reads and checks. What it gives is to be used only if `mistakes` stays empty, which it does not if the file
// can't be read.
DaemonFile readDaemonFile(const std::string& path, std::vector<Mistake>& mistakes);
DaemonFile readDaemonText(const std::string& text, const std::string& path, std::vector<Mistake>& mistakes);

}  // namespace grademux
