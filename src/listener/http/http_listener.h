// The HTTP/JSON listener (HTTP/1.1, RFC 9112): clients submit messages and query their state one by one, or
// submit batches as lines. The listener accepts connections and bounds their number; http_session.h serves
// each of them. Loop thread only.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <vector>

#include "../connection_acceptor.h"
#include "../connection_table.h"
#include "../listener.h"
#include "http_session.h"

namespace grademux {

class HttpListener : public Listener, private HttpSessionOwner, private ConnectionHandler {
 public:
  using Limits = HttpLimits;

  // Binds the address `listen`; throws std::runtime_error if it can't be bound. `memory` outlives the
  // listener.
  HttpListener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, Limits limits,
               ClientMemory& memory);
  ~HttpListener() override;
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  void start(SubmissionHandler& core, const operate::ServiceState& state) override;
  void drain(DrainReason reason) override;
  std::size_t openRequests() const override { return open_requests_; }
  std::size_t connectionCount() const override { return sessions_.size(); }
  BufferUsage bufferUsage() const override;
  boost::asio::ip::tcp::endpoint address() const override { return acceptor_.address(); }
  // The limits apply from the next request on.
  void setLimits(Limits limits) { limits_ = limits; }

 private:
  static constexpr std::size_t kIdle = 0, kBusy = 1, kGroupCount = 2;  // groups of the table

  SubmissionHandler& handler() override { return *handler_; }
  const HttpLimits& limits() const override { return limits_; }
  bool isDraining() const override { return removed_ || state_->isDraining(); }
  Micros drainingSince() const override { return draining_since_; }
  bool rejectsNewRequests() const override { return removed_ || state_->isStopping(); }
  std::vector<char>& readBuffer() override { return read_buffer_; }
  ClientMemory& memory() override { return memory_; }
  void onRequestOpened() override { ++open_requests_; }
  void onRequestsClosed(std::size_t count) override { open_requests_ -= count; }
  void onIdleChanged(const HttpSession& session, bool idle) override {
    sessions_.move(session, idle ? kIdle : kBusy);
  }
  void onSessionClosed(const HttpSession& session) override { sessions_.remove(session); }

  bool makeRoom() override;
  void serve(boost::asio::ip::tcp::socket socket) override;
  void sweep() override;

  ConnectionAcceptor acceptor_;
  Limits limits_;
  ClientMemory& memory_;
  SubmissionHandler* handler_ = nullptr;
  const operate::ServiceState* state_ = nullptr;
  Micros draining_since_ = 0;  // time of the last call of drain(), monotonic
  ConnectionTable<HttpSession, kGroupCount> sessions_;
  std::vector<char> read_buffer_;
  std::size_t open_requests_ = 0;
  std::int64_t next_number_ = 0;  // number of the newest connection
  bool removed_ = false;
};

}  // namespace grademux
