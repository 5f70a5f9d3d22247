// The source side of a handover: this process stops accepting, releases the state folder to the process that
// requests the folder, and reports the attempts that were in flight. If that process dies before it owns the
// folder, this process continues. The protocol is in src/handover. Used on the loop thread alone.
#pragma once

#include <string>
#include <vector>

#include "graceful_shutdown.h"
#include "sender_components.h"

namespace grademux {

class OutgoingHandover {
 public:
  /// Both outlive this object.
  OutgoingHandover(SenderComponents& components, GracefulShutdown& shutdown);

  /// Waits for a process that requests the state folder, which this process owns. Throws std::exception when
  /// the folder's socket can't be bound.
  void listen();
  /// Records the outcome of an attempt, or reports it to the process that owns the folder by now.
  void onAttemptFinished(AttemptOutcome outcome);

 private:
  handover::HandoverSource::Callbacks callbacks();
  std::string rejectionReason() const;
  void stopAccepting();
  bool isQuiescent() const;
  handover::OwnershipReleased releaseOwnership();
  bool reacquireOwnership();
  void resume();
  void resumeDelivery();
  void onCompleted();

  SenderComponents& components_;
  GracefulShutdown& shutdown_;
  // Outcomes since the folder was released, which this process records if it continues.
  std::vector<AttemptOutcome> unrecorded_;
};

}  // namespace grademux
