// grademux: the process that is replaced: it listens in its folder, gives folder and journal to the process
// that asks, and reports the end of each call that it keeps. One caller at a time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "handover_state.h"
#include "line_socket.h"

namespace grademux::handover {

class HandoverSource {
 public:
  // What the process does at each step; all on the loop thread.
  struct Callbacks {
    std::function<std::string()> rejection_reason;  // why not now; empty: nothing stands against it
    std::function<void()> close;                    // accept nobody, end connections between requests
    std::function<bool()> is_quiescent;             // no request is open
    std::function<OwnershipReleased()> release;    // decide for the last time, write, free folder and journal
    std::function<bool()> reacquire;               // false: the folder is another's, or was written to
    std::function<void()> resume;                  // after close(), and after own_again() where it was given
    std::function<void(const AttemptId&)> cancel;  // of a call that stayed here
    std::function<void()> on_complete;             // the other owns it for good
  };

  // Listens at the folder's channel, in place of whoever did before; throws std::exception when it can't.
  HandoverSource(boost::asio::io_context& io, int folder_fd, Callbacks owner);
  ~HandoverSource();
  HandoverSource(const HandoverSource&) = delete;
  HandoverSource& operator=(const HandoverSource&) = delete;

  const HandoverState& steps() const { return steps_; }
  void onAttemptFinished(const AttemptOutcome& o);  // of a call that stayed here, from when it was given
  bool hasUnsent() const { return other_ && other_->hasUnsent(); }

 private:
  void accept();
  void onMessage(const Message& m);
  void awaitQuiet(Micros since);
  void onPeerClosed();

  boost::asio::io_context& io_;
  int folder_fd_;
  Callbacks owner_;
  boost::asio::local::stream_protocol::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<LineSocket> other_;
  HandoverState steps_;
};

}  // namespace grademux::handover
