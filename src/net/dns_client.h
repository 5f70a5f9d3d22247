// DNS client on c-ares (RFC 1035, 2782, 3596), run by the event loop. Queries use UDP first and TCP after a
// truncated response; a response to a different question is ignored.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "../membership/name_memory.h"

namespace grademux {

struct DnsServers {
  std::vector<std::string> servers;  // HOST:PORT; empty: the servers that this machine is configured with
  Micros timeout = 1'000'000;        // of one try at one server, microseconds
  int tries = 2;                     // at each server
  bool operator!=(const DnsServers& o) const {
    return servers != o.servers || timeout != o.timeout || tries != o.tries;
  }
};

class DnsClient {
 public:
  using Done = std::function<void(DnsAnswer)>;
  // Throws std::runtime_error if c-ares can't be initialized with these servers.
  DnsClient(boost::asio::io_context& io, const DnsServers& servers);
  ~DnsClient();  // cancels pending lookups; their `done` is not called
  DnsClient(const DnsClient&) = delete;
  DnsClient& operator=(const DnsClient&) = delete;

  // Resolves a name to all its targets and addresses. `done` is called once, from the event loop.
  void resolve(const NameSpec& spec, Done done);

 private:
  struct Channel;
  std::unique_ptr<Channel> channel_;
};

}  // namespace grademux
