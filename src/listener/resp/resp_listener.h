// The RESP2 listener: bounds the number of client connections, and closes the least used ones to make room
// for new ones. session.h serves each connection. Loop thread only; sessions are shared with their pending
// socket operations, and closed sessions may outlive the listener.
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
  // Upper bounds: all connections, and the connections that have submitted a message.
  struct Limits {
    std::size_t all = 1, submitters = 1;
  };

  // Binds the address `listen`; throws std::runtime_error if it can't be bound. `memory` outlives the
  // listener. `passed`: the descriptor of an inherited socket that listens on this address and is adopted
  // instead; -1 for none.
  RespListener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, Limits limits,
               ClientMemory& memory, int passed = -1);
  ~RespListener() override;
  RespListener(const RespListener&) = delete;
  RespListener& operator=(const RespListener&) = delete;

  void start(SubmissionHandler& core, const operate::ServiceState& state) override;
  void drain(DrainReason reason) override;
  std::size_t openRequests() const override;
  std::size_t connectionCount() const override { return sessions_.size(); }
  // Called when another process takes over the address: new clients wait for that process, and connections
  // are closed between requests.
  void pause();
  // Called when the other process has not taken over: new clients are served again.
  void resume();
  // Called when the process is about to end: accepts no more connections and closes each connection
  // gracefully. The closes take some time; they are complete when connectionCount() is 0.
  void finish();
  // The number of requests that have been read in part.
  std::size_t partialRequests() const;
  BufferUsage bufferUsage() const override;
  boost::asio::ip::tcp::endpoint address() const override { return acceptor_.address(); }
  // Connections in excess of the new limits are closed when other connections are accepted.
  void setLimits(Limits limits) { limits_ = limits; }

 private:
  using SessionPtr = std::shared_ptr<RespSession>;
  // Two groups for each phase: sessions that have submitted a message, and all others.
  using Sessions = ConnectionTable<RespSession, 2 * RespSession::kPhaseCount>;

  SubmissionHandler& handler() override { return *handler_; }
  ListenerStatus status() const override;
  bool isDraining() const override { return removed_ || paused_ || state_->isDraining(); }
  Micros drainingSince() const override { return draining_since_; }
  bool isCrowded() const override;
  std::vector<char>& readBuffer() override { return read_buffer_; }
  ClientMemory& memory() override { return memory_; }
  void onPhaseEntered(const RespSession& session) override;
  void onSessionClosed(const RespSession& session) override { sessions_.remove(session); }

  bool makeRoom() override;
  void serve(boost::asio::ip::tcp::socket socket) override;
  void sweep() override;

  std::size_t maxConnections() const;
  bool hasRoom() const;
  SessionPtr leastUsed(bool include_closing) const;
  std::size_t countIn(RespSession::Phase phase) const;
  std::size_t countSubmitters() const;
  void limitSubmitters();
  void closeIdle();

  boost::asio::io_context& io_;
  ConnectionAcceptor acceptor_;
  Limits limits_;
  ClientMemory& memory_;
  SubmissionHandler* handler_ = nullptr;
  const operate::ServiceState* state_ = nullptr;
  Sessions sessions_;
  std::vector<char> read_buffer_;
  std::int64_t next_number_ = 0;  // number of the newest connection
  Micros started_at_ = 0, draining_since_ = 0;
  bool removed_ = false;
  // No connection is accepted: another process takes over the address, or this process is about to end.
  bool paused_ = false;
};

}  // namespace grademux
