// grademux: the steps of the process that is replaced. No I/O and no clock; docs/design/handover.md has the
// table, and what a death of either process means in each.
#pragma once

namespace grademux::handover {

enum class HandoverStep {
  owning,    // serves; also before anyone has asked
  closing,   // asked: accepts nobody, and ends its connections between requests
  released,  // folder and journal are free; the other may own them by now
  departed   // the other owns them for good; what is here are calls to their end
};

class HandoverState {
 public:
  HandoverStep step() const { return step_; }
  bool mayDecide() const { return step_ == HandoverStep::owning || step_ == HandoverStep::closing; }

  // Each is true if it was the time for it, and a step was made.
  bool onRequested() { return go(HandoverStep::owning, HandoverStep::closing); }
  bool onReleased() { return go(HandoverStep::closing, HandoverStep::released); }
  bool onAcquired() { return go(HandoverStep::released, HandoverStep::departed); }
  // The other is gone before it had taken: this one serves on. `unchanged`: nobody has written in the folder
  // since it was given, and it is owned again; asked where the step is `given` alone.
  template <class Unchanged>
  bool onPeerClosed(const Unchanged& unchanged) {
    if (step_ == HandoverStep::closing)
      return go(HandoverStep::closing, HandoverStep::owning);
    if (step_ != HandoverStep::released)
      return false;
    return unchanged() ? go(HandoverStep::released, HandoverStep::owning)
                       : go(HandoverStep::released, HandoverStep::departed);
  }

 private:
  bool go(HandoverStep from, HandoverStep to) {
    if (step_ != from)
      return false;
    step_ = to;
    return true;
  }
  HandoverStep step_ = HandoverStep::owning;
};

}  // namespace grademux::handover
