// State machine of the process that is replaced. No I/O and no clock. docs/design/handover.md has the
// transition table and the effect of the death of either process in each step.
#pragma once

namespace grademux::handover {

enum class HandoverStep {
  owning,    // serves clients; no handover is in progress
  closing,   // after a request: no client is accepted, connections are closed between requests
  released,  // folder and journal are released, and the other process may own them
  departed   // the other process owns both permanently; only attempts in flight remain here
};

class HandoverState {
 public:
  HandoverStep step() const { return step_; }
  /// True while this process owns folder and journal.
  bool ownsFolder() const { return step_ == HandoverStep::owning || step_ == HandoverStep::closing; }

  /// Event handlers: each returns true and advances to the next step if the event is expected in the current
  /// step; otherwise the step does not change.
  bool onRequested() { return advance(HandoverStep::owning, HandoverStep::closing); }
  bool onReleased() { return advance(HandoverStep::closing, HandoverStep::released); }
  bool onAcquired() { return advance(HandoverStep::released, HandoverStep::departed); }

  /// The other process has closed its connection. If that process has not acquired the folder, this process
  /// serves again. Calls `reacquire` in the step `released` only; `reacquire` returns true if this process
  /// owns the folder again and no other process has written to it. Returns true if the step changed.
  template <class Reacquire>
  bool onPeerClosed(const Reacquire& reacquire) {
    if (step_ == HandoverStep::closing)
      return advance(HandoverStep::closing, HandoverStep::owning);
    if (step_ != HandoverStep::released)
      return false;
    return advance(HandoverStep::released, reacquire() ? HandoverStep::owning : HandoverStep::departed);
  }

 private:
  bool advance(HandoverStep from, HandoverStep to) {
    if (step_ != from)
      return false;
    step_ = to;
    return true;
  }

  HandoverStep step_ = HandoverStep::owning;
};

}  // namespace grademux::handover
