// grademux: the process that comes: it waits for the folder, or asks the one that has it. Bounded in time;
// what does not answer, or speaks another version, is waited for until it is gone.
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
  // Called once, with the lock held. Null: nobody had the folder, or it died.
  using Owned = std::function<void(const OwnershipReleased* given)>;
  // The end of a call that stayed with the earlier process; then, once, that it is gone.
  using Ended = std::function<void(const AttemptOutcome&)>;
  using Gone = std::function<void()>;
  // Called once when the folder could not be had in time, with what to tell people.
  using Failed = std::function<void(const std::string& why)>;

  HandoverTarget(boost::asio::io_context& io, FolderLock& lock, Owned owned, Ended ended, Gone gone,
                 Failed failed);

  // Asks, and goes on asking for so long (microseconds).
  void start(Micros patience);
  void send(const Message& m) {
    if (other_)
      other_->send(m);
  }
  // It is on record that this process owns the folder.
  void confirmOwnership() { send(OwnershipAcquired{}); }

 private:
  void attempt();
  void scheduleRetry(Micros pause);
  void onMessage(const Message& m);
  void onOwned(const OwnershipReleased* given);

  boost::asio::io_context& io_;
  FolderLock& lock_;
  Owned owned_;
  Ended ended_;
  Gone gone_;
  Failed failed_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<LineSocket> other_;
  std::optional<OwnershipReleased> given_;
  Micros until_ = 0, answer_by_ = 0;
  std::string why_ = "it does not answer";
  std::vector<AttemptOutcome> early_;  // heard before the folder was owned
  bool asked_ = false, owns_ = false;
};

}  // namespace grademux::handover
