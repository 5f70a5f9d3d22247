// The steps of the process that is replaced. No I/O and no clock; docs/design/handover.md has the table, and
// what the death of either process means in each step.
#pragma once

namespace grademux::handover {

enum class HandoverStep {
  owning,    // serves, also before any process has asked
  closing,   // a process has asked: no client is accepted, connections are closed between requests
  released,  // folder and journal are free, and the other process may own them
  departed   // the other process owns them for good; only attempts in flight are left here
};

class HandoverState {
 public:
  HandoverStep step() const { return step_; }
  /// True while this process owns folder and journal.
  bool ownsFolder() const { return step_ == HandoverStep::owning || step_ == HandoverStep::closing; }

  /// Each event returns true if it was expected in the current step, which it ends.
  bool onRequested() { return advance(HandoverStep::owning, HandoverStep::closing); }
  bool onReleased() { return advance(HandoverStep::closing, HandoverStep::released); }
  bool onAcquired() { return advance(HandoverStep::released, HandoverStep::departed); }

  /// The other process is gone. Before it acquired the folder, this process goes on. `reacquire` is called in
  /// the step `released` alone; it returns true if this process owns the folder again and nothing was written
  /// there.
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
