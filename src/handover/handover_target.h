// Handover in the process that replaces another: locks the state folder, and requests the folder from the
// process that holds the lock. If that process does not answer, or uses another protocol version, this
// process waits for it to end, up to a time limit. Used on the loop thread only.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "folder_lock.h"
#include "line_socket.h"

namespace grademux::handover {

class HandoverTarget {
 public:
  struct Callbacks {
    /// Called once, with the lock held. `released` is null if no process released the folder, for example
    /// because the earlier process died first.
    std::function<void(const OwnershipReleased* released)> on_acquired;
    /// Receives the outcome of an attempt in flight in the earlier process; called after on_acquired().
    std::function<void(const AttemptOutcome&)> on_attempt_finished;
    /// Called once when the earlier process has closed its connection, after all of its outcomes.
    std::function<void()> on_peer_closed;
    /// Called once if the folder could not be locked in time, with a reason for the error message.
    std::function<void(const std::string& reason)> on_failed;
  };

  /// `lock` outlives this object.
  HandoverTarget(boost::asio::io_context& io, FolderLock& lock, Callbacks callbacks);

  /// Tries to acquire the folder for up to `timeout` microseconds.
  void start(Micros timeout);
  /// Sends to the earlier process, if one is connected.
  void send(const Message& message);
  /// Notifies the earlier process that the journal records this process as owner.
  void confirmOwnership() { send(OwnershipAcquired{}); }

 private:
  void tryAcquire();
  void scheduleRetry(Micros delay);
  bool awaitsRelease() const;
  void dropUnresponsivePeer(Micros now);
  void connect();
  void sendRequest(Micros now);
  void onMessage(const Message& message);
  void onReleased(const OwnershipReleased& released);
  void onOutcome(const AttemptOutcome& outcome);
  void onPeerClosed();
  void onLocked();

  boost::asio::io_context& io_;
  FolderLock& lock_;
  Callbacks callbacks_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<LineSocket> peer_;
  std::optional<OwnershipReleased> released_;
  Micros deadline_ = 0, answer_deadline_ = 0;  // monotonic
  std::string failure_reason_ = "that process does not answer";
  std::vector<AttemptOutcome> early_outcomes_;  // reported before the folder was locked
  bool request_pending_ = false, owns_folder_ = false;
};

}  // namespace grademux::handover
