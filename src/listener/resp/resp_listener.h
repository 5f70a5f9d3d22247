// The RESP2 listener: bounds how many client connections there are, and closes those least in use when a new
// one needs their place. What happens on one connection: session.h. Loop thread only; sessions are shared
// with their pending socket operations and may outlive the listener, closed.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

#include "../connection_acceptor.h"
#include "../connection_table.h"
#include "../listener.h"
#include "session.h"

namespace grademux {

class RespListener : public Listener, private SessionOwner, private ConnectionHandler {
 public:
  // Connections altogether, and those among them that have submitted a message.
  struct Limits {
    std::size_t all = 1, submitters = 1;
  };

  // Binds `listen`; throws std::runtime_error when it can't.
  // `passed`: a listening socket at that address which the process was started with; -1: there is none.
  RespListener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, Limits limits,
               int passed = -1);
  ~RespListener() override;
  RespListener(const RespListener&) = delete;
  RespListener& operator=(const RespListener&) = delete;

  void start(SubmissionHandler& core, const operate::ServiceState& state) override;
  void drain(DrainReason reason) override;
  std::size_t openRequests() const override;
  std::size_t connectionCount() const override { return sessions_.size(); }
  // Another process takes the address over: new clients wait for it, connections end between requests.
  void pause();
  // The other process did not take over: new clients are served again.
  void resume();
  // The process is about to end: nothing more is accepted, and each connection is closed gracefully, which
  // takes a moment; see connectionCount().
  void finish();
  // Requests of which a part has been read.
  std::size_t partialRequests() const;
  boost::asio::ip::tcp::endpoint address() const override { return acceptor_.address(); }
  // Connections over the new limits are closed as others are accepted.
  void setLimits(Limits limits) { limits_ = limits; }

 private:
  using SessionPtr = std::shared_ptr<RespSession>;
  // One group for each phase of a session, apart for those that have submitted and others.
  using Sessions = ConnectionTable<RespSession, 2 * RespSession::kPhaseCount>;

  SubmissionHandler& handler() override { return *handler_; }
  ListenerStatus status() const override;
  bool isDraining() const override { return removed_ || paused_ || state_->isDraining(); }
  Micros drainingSince() const override { return draining_since_; }
  bool isCrowded() const override;
  std::vector<char>& readBuffer() override { return read_buffer_; }
  void onPhaseEntered(const RespSession& session) override;
  void onSessionClosed(const RespSession& session) override { sessions_.remove(session); }

  bool makeRoom() override;
  void serve(boost::asio::ip::tcp::socket socket) override;
  void sweep() override;

  SessionPtr leastUsed(bool include_closing) const;
  std::size_t countIn(RespSession::Phase phase) const;
  std::size_t countSubmitters() const;
  void limitSubmitters();
  void closeIdle();

  boost::asio::io_context& io_;
  ConnectionAcceptor acceptor_;
  Limits limits_;
  SubmissionHandler* handler_ = nullptr;
  const operate::ServiceState* state_ = nullptr;
  Sessions sessions_;
  std::vector<char> read_buffer_;
  std::int64_t next_number_ = 0;  // of connections
  Micros started_at_ = 0, draining_since_ = 0;
  bool removed_ = false;
  bool paused_ = false;  // nothing is accepted: another process takes the address over, or this one ends
};

}  // namespace grademux
