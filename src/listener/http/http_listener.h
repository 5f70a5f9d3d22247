// grademux: the HTTP/JSON door (HTTP/1.1, RFC 9112): messages put and asked for one by one, and batches of
// them as lines. Requests of a connection are read while earlier ones are still open, and answered in order.
// Every step of a connection has a time limit, and what it may hold is bounded.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <vector>

#include "../connection_acceptor.h"
#include "../connection_table.h"
#include "../listener.h"

namespace grademux {

class HttpListener : public Listener, private ConnectionHandler {
 public:
  struct Limits {
    std::size_t connections = 256;
    std::size_t pipeline = 16;           // requests of a connection read and not answered
    std::size_t batch_window = 64;       // lines of a batch read and not answered
    std::size_t request_bytes = 131072;  // the body of a request, or one line of a batch
    Micros max_wait = 30'000'000;        // a client's "Prefer: wait" is cut to it
    Micros idle_timeout = 60'000'000;    // a connection without a request is closed after it
  };

  // Binds `listen`; throws std::runtime_error when it can't.
  HttpListener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, Limits limits);
  ~HttpListener() override;
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  void start(SubmissionHandler& core, const operate::ServiceState& state) override;
  void drain(DrainReason reason) override;
  std::size_t openRequests() const override { return open_requests_; }
  std::size_t connectionCount() const override { return sessions_.size(); }
  boost::asio::ip::tcp::endpoint address() const override { return acceptor_.address(); }
  void setLimits(Limits limits) { limits_ = limits; }  // hold from the next request on

 private:
  struct Session;
  static constexpr std::size_t kIdle = 0, kBusy = 1, kGroupCount = 2;  // of the table

  bool makeRoom() override;
  void serve(boost::asio::ip::tcp::socket socket) override;
  void sweep() override;
  bool isDraining() const { return removed_ || state_->isDraining(); }
  bool rejectsNewRequests() const {
    return removed_ || state_->isStopping();
  }  // what has not begun here begins elsewhere

  boost::asio::io_context& io_;
  ConnectionAcceptor acceptor_;
  Limits limits_;
  SubmissionHandler* handler_ = nullptr;
  const operate::ServiceState* state_ = nullptr;
  Micros draining_since_ = 0;  // drained last
  ConnectionTable<Session, kGroupCount> sessions_;
  std::vector<char> read_buffer_;  // what is read goes through it: a connection that waits holds no buffer
  std::size_t open_requests_ = 0;
  std::int64_t next_id_ = 0;  // of connections
  bool removed_ = false;
};

}  // namespace grademux
