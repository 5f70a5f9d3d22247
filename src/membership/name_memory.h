// The state of one DNS name: the endpoints that it resolves to, the effect of an answer on them, and when the
// next query is due. No I/O, no clock.
//
// An answer replaces only the addresses of its own host and family, so that a name server that answers A but
// fails for AAAA removes nothing. An answer that would leave a partner without any endpoint (no such name, no
// record, only addresses that `allow` excludes) is ignored: the last known endpoints stay in use.
#pragma once

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "partners.h"

namespace grademux {

// The networks to which addresses must belong.
class Networks {
 public:
  // Throws std::invalid_argument, with the text that is not a network in its message.
  explicit Networks(const std::vector<std::string>& texts);
  // True if the address belongs to one of the networks. If the list of networks is empty, true for every
  // address that one host can have (neither unspecified, multicast nor broadcast).
  bool allow(const boost::asio::ip::address& a) const;

 private:
  std::vector<boost::asio::ip::network_v4> v4_;
  std::vector<boost::asio::ip::network_v6> v6_;
};

struct DnsLimits {
  Micros least_ttl = 1'000'000;  // a shorter TTL, including 0, counts as this
  Micros most_ttl = 3600 * 1'000'000LL;
  Micros least_retry = 1'000'000, most_retry = 30'000'000;  // doubled after each unusable answer
  std::size_t most_addresses = 64;                          // of one name; further addresses are ignored
};

// The result of one query.
struct DnsRecords {
  enum class Kind : std::uint8_t {
    records,  // the name exists; it may have no records of this type
    no_name,  // NXDOMAIN
    failed    // no answer, refused, malformed, or truncated without a complete answer over TCP
  } kind = Kind::failed;
  std::string cause;  // set if `kind` is failed
  std::vector<std::string> addresses;
  Micros ttl = 0;
};
// A target of an SRV record, or the host itself.
struct DnsTarget {
  std::string host;
  int port = 0, priority = 0;
  DnsRecords v4, v6;  // a family that was not queried: kind `records`, no addresses
};
struct DnsAnswer {
  // The result of the SRV query; for a plain host always `records`.
  DnsRecords::Kind kind = DnsRecords::Kind::records;
  std::string cause;
  Micros ttl = INT64_MAX;
  std::vector<DnsTarget> targets;
};

class NameMemory {
 public:
  NameMemory(NameSpec spec, DnsLimits limits);

  // Uses the endpoints that an earlier process resolved, marked as stale, until the first usable answer.
  void adopt(const std::vector<std::string>& endpoints);
  // The effect of an answer.
  struct Result {
    bool changed = false;
    std::string problem;                 // why the answer was ignored or used only in part; else empty
    std::vector<std::string> forbidden;  // HOST:PORT of the addresses that `allow` excludes
  };
  Result onAnswer(const DnsAnswer& answer, Micros now);
  // Keeps the endpoints; a query that is due later than the new limits allow is moved forward.
  void setLimits(const DnsLimits& limits, Micros now);
  // Removes the endpoints whose `keep` time has passed; returns whether the endpoints changed.
  bool expire(Micros now);

  const std::vector<std::string>& endpoints() const { return endpoints_; }  // HOST:PORT, sorted
  // When the next query is due or the next `keep` time ends; 0 before the first answer.
  Micros nextDue() const { return next_due_; }
  Micros nextQuery() const { return next_query_; }
  bool isStale() const { return stale_; }
  const NameSpec& spec() const { return spec_; }

 private:
  using Addresses = std::vector<std::string>;
  using Key = std::pair<std::string, int>;  // host and port
  struct Target {
    int priority = 0;
    Addresses v4, v6;
  };
  Addresses usableAddresses(const DnsTarget& target, const DnsRecords& records, const Addresses* known,
                            Result& result, Micros& ttl) const;
  std::map<Key, Target> readTargets(const DnsAnswer& answer, Result& result, Micros& ttl) const;
  void scheduleRetry(Micros now);
  bool updateEndpoints(Micros now);

  NameSpec spec_;
  DnsLimits limits_;
  Networks networks_;
  std::map<Key, Target> targets_;
  std::vector<std::string> endpoints_;
  std::map<std::string, Micros> kept_until_;  // endpoints missing from the last answer
  Micros next_query_ = 0, next_due_ = 0, retry_delay_ = 0;
  bool stale_ = false;
};

// "127.0.0.1:80", "[::1]:80".
std::string endpointText(const std::string& address, int port);

}  // namespace grademux
