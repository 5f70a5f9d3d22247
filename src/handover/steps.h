// grademux: the steps of the process that is replaced. No I/O and no clock; docs/design/handover.md has the
// table, and what a death of either process means in each.
#pragma once

namespace grademux::handover {

enum class Step {
  owns,     // serves; also before anyone has asked
  closing,  // asked: accepts nobody, and ends its connections between requests
  given,    // folder and journal are free; the other may own them by now
  left      // the other owns them for good; what is here are calls to their end
};

class Steps {
 public:
  Step step() const { return step_; }
  bool decides() const { return step_ == Step::owns || step_ == Step::closing; }

  // Each is true if it was the time for it, and a step was made.
  bool asked() { return go(Step::owns, Step::closing); }
  bool gave() { return go(Step::closing, Step::given); }
  bool taken() { return go(Step::given, Step::left); }
  // The other is gone before it had taken: this one serves on. `unchanged`: nobody has written in the folder
  // since it was given, and it is owned again; asked where the step is `given` alone.
  template <class Unchanged>
  bool gone(const Unchanged& unchanged) {
    if (step_ == Step::closing)
      return go(Step::closing, Step::owns);
    if (step_ != Step::given)
      return false;
    return unchanged() ? go(Step::given, Step::owns) : go(Step::given, Step::left);
  }

 private:
  bool go(Step from, Step to) {
    if (step_ != from)
      return false;
    step_ = to;
    return true;
  }
  Step step_ = Step::owns;
};

}  // namespace grademux::handover
