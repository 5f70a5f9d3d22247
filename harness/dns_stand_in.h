// grademux harness: a name server on loopback, UDP and TCP at one port (RFC 1035): a zone that can be changed
// at any moment, and the faults that name servers have. On one io_context.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace grademux::harness {

enum class DnsFault : std::uint8_t {
  none,
  silent,
  no_name,     // NXDOMAIN
  no_data,     // the name exists, without a record of this type
  failed,      // SERVFAIL
  refused,     // REFUSED
  truncated,   // UDP: the first record alone, marked as truncated; TCP: all
  cut_off,     // truncated, and TCP ends without an answer
  other_name,  // the answer to another question, and none to this one
  other_id,    // another query's id
  garbled      // bytes that are no message behind a right header
};

struct DnsService {
  int priority = 0, weight = 0, port = 0;
  std::string target;
};
struct DnsZoneEntry {
  std::vector<std::string> v4, v6;
  std::vector<DnsService> services;
  std::uint32_t ttl = 1;  // seconds
  DnsFault fault = DnsFault::none;
};

class DnsStandIn {
 public:
  // Listens on 127.0.0.1 at a free port.
  explicit DnsStandIn(boost::asio::io_context& io);
  ~DnsStandIn();
  std::string address() const;
  // On its io_context alone:
  std::map<std::string, DnsZoneEntry> zone;  // names in small letters; what is not there does not exist
  void set(const std::string& name, DnsZoneEntry entry) { zone[name] = std::move(entry); }
  // Called once, with the next answer without a fault to a query for this name.
  void onAnswer(const std::string& name, std::function<void()> then) { on_answer_[name] = std::move(then); }
  std::uint64_t overTcp() const { return over_tcp_; }

 private:
  struct TcpSession;
  void receive();
  void accept();
  // The answer's bytes; empty: none.
  std::vector<std::uint8_t> answer(const std::uint8_t* query, std::size_t size, bool tcp);

  boost::asio::ip::udp::socket udp_;
  boost::asio::ip::tcp::acceptor tcp_;
  boost::asio::ip::udp::endpoint peer_;
  std::vector<std::uint8_t> in_;
  std::map<std::string, std::function<void()>> on_answer_;
  std::set<std::shared_ptr<TcpSession>> sessions_;
  std::atomic<std::uint64_t> over_tcp_{0};
};

}  // namespace grademux::harness
