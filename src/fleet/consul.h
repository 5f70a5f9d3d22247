// grademux fleet: the store by Consul's HTTP interface (its API documentation, "KV Store", "Sessions",
// "Blocking Queries", "Consistency Modes"): `?consistent` reads, `cas`, `acquire`, sessions with TTL.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>

#include "../net/http_connection.h"
#include "store.h"

namespace grademux::fleet {

class Consul : public Store {
 public:
  // `addresses`: HOST:PORT of nodes or agents, tried in turn. Throws std::invalid_argument for one that can't
  // be read. `limit`: for an answer that is not held back.
  Consul(boost::asio::io_context& io, std::vector<std::string> addresses, Micros limit = 2'000'000);

  void read(const std::string& key, std::int64_t after, Micros wait, Callback done) override;
  void listPrefix(const std::string& prefix, Callback done) override;
  void compareAndSwap(const std::string& key, const std::string& value, std::int64_t changed,
                      Callback done) override;
  void openSession(const std::string& name, Micros ttl, Callback done) override;
  void renewSession(const std::string& session, Callback done) override;
  void destroySession(const std::string& session, Callback done) override;
  void acquireKey(const std::string& key, const std::string& value, const std::string& session,
                  Callback done) override;

 private:
  using Read = std::function<void(const HttpAnswer&, StoreResult&)>;  // of an answer with status 200 or 404
  struct Call {
    HttpRequest request;
    Micros limit = 0;
    Read read;
    Callback done;
  };
  // One exchange at a time, the others wait in line.
  struct Line {
    std::size_t at = 0;  // which address
    std::unique_ptr<HttpConnection> connection;
    std::deque<Call> calls;
    bool busy = false;
  };
  void ask(Line& line, const std::string& method, const std::string& target, const std::string& body,
           Micros limit, Read read, Callback done);
  void next(Line& line);

  boost::asio::io_context& io_;
  std::vector<std::string> addresses_;
  Micros limit_;
  Line held_, quick_;  // reads that may be held back, and all else
};

}  // namespace grademux::fleet
