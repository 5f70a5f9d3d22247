// Ends the process without losing a message: clients are sent away, attempts in flight finish or are left to
// the journal, and the loop stops once the process is quiescent or the time limit is reached. Used on the
// loop thread alone.
#pragma once

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "sender_components.h"

namespace grademux {

class GracefulShutdown {
 public:
  /// Both outlive this object. `signals` is cancelled when the loop stops.
  GracefulShutdown(SenderComponents& components, boost::asio::signal_set& signals);

  /// Begins to shut down after SIGTERM. Later calls do nothing.
  void begin();
  /// Begins to shut down after another process has acquired the folder: only what that process can't finish
  /// by itself is waited for.
  void beginAfterHandover();
  /// True after begin().
  bool hasBegun() const { return started_at_ != 0; }

 private:
  void poll();
  void schedulePoll();
  bool isQuiescent(Micros elapsed) const;
  bool areConnectionsClosed() const;
  void stopLoop();

  SenderComponents& components_;
  boost::asio::signal_set& signals_;
  boost::asio::steady_timer timer_;
  Micros started_at_ = 0;     // monotonic; 0: not begun
  bool has_settled_ = false;  // the responses that were set aside
  Micros closing_at_ = 0;     // monotonic, when the last connections were closed; 0: not yet
};

}  // namespace grademux
