// Handover in the process that is replaced: listens on a socket in the state folder, releases folder and
// journal to the process that requests them, and reports the outcome of each attempt that is still in flight.
// Serves one peer at a time. Used on the loop thread only.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "handover_state.h"
#include "line_socket.h"

namespace grademux::handover {

class HandoverSource {
 public:
  /// Actions and queries of the owning process.
  struct Callbacks {
    std::function<std::string()> rejection_reason;  // empty: a handover may start now
    std::function<void()> close;                    // stop accepting, close connections between requests
    std::function<bool()> is_quiescent;             // no request of a client is open
    std::function<OwnershipReleased()> release;     // write pending decisions, release folder and journal
    std::function<bool()> reacquire;                // false: another process owns or has changed the folder
    std::function<void()> resume;                   // serve clients again, after close() or reacquire()
    std::function<void(const AttemptId&)> cancel;   // cancel an attempt in flight in this process
    std::function<void()> cancel_all;               // cancel all attempts in flight in this process
    std::function<void()> on_complete;              // the other process owns the folder permanently
  };

  /// Listens on the folder's socket, which replaces the socket of an earlier process. Throws std::exception
  /// if the socket can't be opened.
  HandoverSource(boost::asio::io_context& io, int folder_fd, Callbacks callbacks);
  ~HandoverSource();
  HandoverSource(const HandoverSource&) = delete;
  HandoverSource& operator=(const HandoverSource&) = delete;

  const HandoverState& state() const { return state_; }
  /// Reports the outcome of an attempt that was in flight when the folder was released.
  void onAttemptFinished(const AttemptOutcome& outcome);
  /// True while a message to the other process is not fully written.
  bool hasUnsent() const { return peer_ && peer_->hasUnsent(); }

 private:
  void accept();
  void onConnected(LineSocket::Socket socket);
  void onMessage(const Message& message);
  void onRequest(const HandoverRequest& request);
  void awaitQuiescence(Micros since);
  void release();
  void onPeerClosed();

  boost::asio::io_context& io_;
  int folder_fd_;
  Callbacks callbacks_;
  boost::asio::local::stream_protocol::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<LineSocket> peer_;
  HandoverState state_;
};

}  // namespace grademux::handover
