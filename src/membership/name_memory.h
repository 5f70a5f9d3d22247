// grademux: what is known of one name in DNS: which endpoints it stands for, what an answer changes, when it
// is asked next. No I/O, no clock.
//
// An answer replaces what was known in its own part alone (the addresses of one host in one family), so that
// a name server that answers A and fails at AAAA takes nothing away. What would leave a partner without any
// endpoint (no such name, no record, only addresses that `allow` rules out) is never heeded: what was known
// last serves on.
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

// Networks that addresses have to be of.
class Networks {
 public:
  // Throws std::invalid_argument that names the text which is no network.
  explicit Networks(const std::vector<std::string>& texts);
  // Without any network: every address that one host can have (neither unspecified, multicast nor broadcast).
  bool allow(const boost::asio::ip::address& a) const;

 private:
  std::vector<boost::asio::ip::network_v4> v4_;
  std::vector<boost::asio::ip::network_v6> v6_;
};

struct DnsLimits {
  Micros least_ttl = 1'000'000;  // a TTL below, 0 too, counts as this
  Micros most_ttl = 3600 * 1'000'000LL;
  Micros least_retry = 1'000'000, most_retry = 30'000'000;  // doubled with each answer that can't be used
  std::size_t most_addresses = 64;                          // of one name; the rest is left out
};

// One query's result.
struct DnsRecords {
  enum class Kind : std::uint8_t {
    records,  // some, or none of this type although the name exists
    no_name,  // NXDOMAIN
    failed    // no answer, a refusal, garbled, truncated and no whole one to be had
  } kind = Kind::failed;
  std::string cause;  // failed
  std::vector<std::string> addresses;
  Micros ttl = 0;
};
// A target of SRV records, or the host itself.
struct DnsTarget {
  std::string host;
  int port = 0, priority = 0;
  DnsRecords v4, v6;  // a family that wasn't asked for: records, none
};
struct DnsAnswer {
  // Of the SRV query; for a plain host always records.
  DnsRecords::Kind kind = DnsRecords::Kind::records;
  std::string cause;
  Micros ttl = INT64_MAX;
  std::vector<DnsTarget> targets;
};

class NameMemory {
 public:
  NameMemory(NameSpec spec, DnsLimits limits);

  // What an earlier process knew: serves, marked as old, until an answer can be used.
  void adopt(const std::vector<std::string>& endpoints);
  // What came of an answer.
  struct Result {
    bool changed = false;
    std::string trouble;                 // why an answer is not heeded, or only in part
    std::vector<std::string> forbidden;  // addresses that were ruled out
  };
  Result onAnswer(const DnsAnswer& answer, Micros now);
  // What is known stays; a query that was due later than the new limits let it be comes with them.
  void setLimits(const DnsLimits& limits, Micros now);
  // Lets go of what `keep` held until now; true if that changes something.
  bool expire(Micros now);

  const std::vector<std::string>& endpoints() const { return endpoints_; }  // HOST:PORT, sorted
  Micros nextLook() const { return next_; }  // a query, or the end of a keep; at once before the first answer
  Micros nextQuery() const { return query_; }
  bool old() const { return old_; }
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
  bool list(Micros now);

  NameSpec spec_;
  DnsLimits limits_;
  Networks networks_;
  std::map<Key, Target> targets_;
  std::vector<std::string> endpoints_;
  std::map<std::string, Micros> kept_until_;  // endpoints that no answer names any more
  Micros query_ = 0, next_ = 0, retry_ = 0;
  bool old_ = false;
};

// "127.0.0.1:80", "[::1]:80".
std::string endpointText(const std::string& address, int port);

}  // namespace grademux
