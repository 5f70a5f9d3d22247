// grademux: queries to name servers by c-ares (RFC 1035, 2782, 3596), on the loop: UDP first, TCP where an
// answer was truncated; what answers another question than the one that was asked is passed over.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "../membership/name_memory.h"

namespace grademux {

struct DnsServers {
  std::vector<std::string> servers;  // HOST:PORT; empty: those of this machine
  Micros timeout = 1'000'000;        // of one try at one server
  int tries = 2;                     // at each server
  bool operator!=(const DnsServers& o) const {
    return servers != o.servers || timeout != o.timeout || tries != o.tries;
  }
};

class DnsClient {
 public:
  using Done = std::function<void(DnsAnswer)>;
  // Throws std::runtime_error if c-ares can't begin with these.
  DnsClient(boost::asio::io_context& io, const DnsServers& servers);
  ~DnsClient();  // what is under way is called off; its `done` is not called
  DnsClient(const DnsClient&) = delete;
  DnsClient& operator=(const DnsClient&) = delete;

  // All that a name stands for. `done` is called once, from the loop.
  void look(const NameSpec& spec, Done done);

 private:
  struct Channel;
  std::unique_ptr<Channel> channel_;
};

}  // namespace grademux
