// The process that replaces another: it waits for the lock of the state folder, or asks the process that
// holds it. A process that does not answer, or speaks another version, is waited for until it ends, within a
// time limit. Used on the loop thread alone.
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
    /// Called once, with the lock held. Null: no process released the folder, or that process died.
    std::function<void(const OwnershipReleased* released)> on_acquired;
    /// The outcome of an attempt that stayed with the earlier process; after on_acquired().
    std::function<void(const AttemptOutcome&)> on_attempt_finished;
    /// The earlier process is gone; called once, after all of its outcomes.
    std::function<void()> on_peer_gone;
    /// Called once when the folder could not be locked in time, with a reason for people.
    std::function<void(const std::string& reason)> on_failed;
  };

  /// `lock` outlives this object.
  HandoverTarget(boost::asio::io_context& io, FolderLock& lock, Callbacks callbacks);

  /// Begins, and goes on for `timeout` microseconds.
  void start(Micros timeout);
  /// Sends to the earlier process, if there is one.
  void send(const Message& message);
  /// Tells the earlier process that the journal records this process as owner.
  void confirmOwnership() { send(OwnershipAcquired{}); }

 private:
  void attempt();
  void scheduleRetry(Micros pause);
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
  std::string failure_reason_ = "it does not answer";
  std::vector<AttemptOutcome> early_outcomes_;  // reported before the folder was locked
  bool request_pending_ = false, owns_folder_ = false;
};

}  // namespace grademux::handover
