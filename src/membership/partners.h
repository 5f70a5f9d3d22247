// A partner: a destination that messages name, with its endpoints listed in a file or resolved from a DNS
// name. Plain data; no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "grademux/sender.h"

namespace grademux {

// The DNS name that a partner's endpoints are resolved from: A and AAAA records of `host`, with `port`, or
// the SRV records (RFC 2782) of `srv`.
struct NameSpec {
  enum class Family : std::uint8_t { any, ipv4, ipv6 };
  std::string host, srv;
  int port = 0;
  Family family = Family::any;
  std::vector<std::string> allow;  // networks such as "10.0.0.0/8"; empty: any address of one host
  Micros keep = 0;                 // how long an address stays listed after the last answer that contained it

  const std::string& name() const { return srv.empty() ? host : srv; }
  bool operator==(const NameSpec& o) const;
  bool operator!=(const NameSpec& o) const { return !(*this == o); }
};

struct Partner {
  std::string name;
  std::string formerly;                      // former name, from which the number and endpoint ids derive
  std::int64_t number = 0;                   // destination number
  std::vector<std::string> endpoints;        // HOST:PORT
  std::vector<std::string> draining;         // the endpoints that receive no new messages
  double rate = 0;                           // calls per second it accepts from all senders; 0: unknown
  std::optional<NameSpec> dns;               // if set, `endpoints` are the resolved addresses
  std::string zone;                          // the zone of the endpoints that `zones` omits
  std::map<std::string, std::string> zones;  // zones of single endpoints, by HOST:PORT

  const std::string& zoneOf(const std::string& endpoint) const {
    const auto at = zones.find(endpoint);
    return at == zones.end() ? zone : at->second;
  }
  const std::string& base() const { return formerly.empty() ? name : formerly; }
  bool operator==(const Partner& o) const;
};

// The number of a partner whose file gives none. It depends on the name alone (31 bits of its FNV-1a hash),
// so that it stays the same over restarts, moves between files and on other machines. Two names may have the
// same number: the file must then give a number.
std::int64_t numberOfName(const std::string& name);

// True for "HOST:PORT" where HOST is an IP address, not a name, and the port is not 0.
bool isEndpointAddress(const std::string& s);

}  // namespace grademux
