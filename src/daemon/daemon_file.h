// grademux: the daemon file (TOML): the product's own features, beside what GW_CONFIG tells. Reading it
// reports every mistake, each with its place and what was expected.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "../doors/http/server.h"

namespace grademux {

enum class DoorKind { resp, http };

struct DoorSpec {
  DoorKind kind = DoorKind::http;
  boost::asio::ip::tcp::endpoint listen;
  HttpDoor::Limits limits;  // resp: `connections` alone
};

struct DaemonFile {
  std::string path;
  std::vector<DoorSpec> doors;
  // Connections of all doors together.
  std::int64_t connections() const;
};

// One line for people: "FILE:LINE:COLUMN: what was expected".
struct Mistake {
  std::int64_t line = 0, column = 0;
  std::string what;
  std::string in(const std::string& path) const;
};

// Reads and checks. What it gives is to be used only if `mistakes` stays empty, which it does not if the file
// can't be read.
DaemonFile readDaemonFile(const std::string& path, std::vector<Mistake>& mistakes);
DaemonFile readDaemonText(const std::string& text, const std::string& path, std::vector<Mistake>& mistakes);

}  // namespace grademux
