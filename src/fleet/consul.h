// Store client for Consul's HTTP API ("KV Store", "Sessions", "Blocking Queries", "Consistency Modes"):
// consistent reads, check-and-set, lock acquisition, sessions with a TTL. Used on the loop thread only; owns
// its connections.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>

#include "../net/http_connection.h"
#include "store.h"

namespace grademux::fleet {

class Consul : public Store {
 public:
  /// `addresses`: HOST:PORT of nodes or agents, tried in turn; throws std::invalid_argument if one is
  /// malformed. `timeout`: for the first byte of the answer to a request that is not a blocking read, and for
  /// each further piece of any answer; also added to a blocking read's wait.
  Consul(boost::asio::io_context& io, std::vector<std::string> addresses, Micros timeout = 2'000'000);

  void read(const std::string& key, std::int64_t index, Micros wait, Callback done) override;
  void listPrefix(const std::string& prefix, Callback done) override;
  void compareAndSwap(const std::string& key, const std::string& value, std::int64_t modify_index,
                      Callback done) override;
  void openSession(const std::string& name, Micros ttl, Callback done) override;
  void renewSession(const std::string& session, Callback done) override;
  void destroySession(const std::string& session, Callback done) override;
  void acquireKey(const std::string& key, const std::string& value, const std::string& session,
                  Callback done) override;

 private:
  // Reads an answer with status 200 or 404; throws if it is malformed.
  using ReadAnswer = std::function<void(const HttpAnswer&, StoreReply&)>;
  struct Call {
    HttpRequest request;
    Micros timeout = 0;
    ReadAnswer read_answer;
    Callback done;
  };
  // One request at a time; the others are queued.
  struct Channel {
    std::size_t address_index = 0;  // modulo the number of addresses
    std::unique_ptr<HttpConnection> connection;
    std::deque<Call> queue;
    bool busy = false;
  };
  void enqueue(Channel& channel, const std::string& method, const std::string& target,
               const std::string& body, Micros timeout, ReadAnswer read_answer, Callback done);
  void startNext(Channel& channel);
  static StoreResult readResult(const HttpAnswer& answer, const ReadAnswer& read_answer,
                                const std::string& address);

  boost::asio::io_context& io_;
  std::vector<std::string> addresses_;
  Micros timeout_;
  Channel blocking_reads_;
  Channel other_requests_;
};

}  // namespace grademux::fleet
