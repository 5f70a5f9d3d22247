// grademux fleet: how a sender stands to the plan, and whether it may act. No I/O and no clock: times are
// microseconds of one clock of this machine that goes on while it sleeps (CLOCK_BOOTTIME).
//
// One rule holds it all together. A sender acts under a plan only on the word of a read of the store, one
// that no later change can have preceded, and for `lease` from the moment at which it *asked*. If that read
// showed plan n, then n + 1 was made after the asking. So with
//     asked + lease * (1 - kMargin) by its own clock,    binds_after(n + 1) >= lease(n),
// and clocks of machines whose rates differ by less than kMargin, every sender has stopped acting under n
// when n + 1 binds, whether it heard of it or not. A plan binds `binds_after` after its change and never
// before the one that precedes it. docs/design/fleet.md has the argument step by step.
#pragma once

#include <optional>

#include "plan.h"

namespace grademux::fleet {

// Of a span by the own clock. Quartz is off by 0.01%; a machine whose clock runs 1% slow is broken.
constexpr double kMargin = 0.01;

enum class Compliance {
  current,
  catching_up,  // a newer plan is known, and something that it asks for is missing
  unknown,      // the store has not answered lately; what was known last still holds
  fenced        // nothing new is taken on and no call begun
};
inline const char* nameOf(Compliance k) {
  constexpr const char* kNames[] = {"current", "catching up", "unknown", kFencedName};
  return kNames[static_cast<int>(k)];
}

class PlanCompliance {
 public:
  struct Decision {
    Compliance compliance = Compliance::unknown;
    bool allowed = false;
    Micros until = 0;  // when `may` ends unless more is heard; kNever: not by itself
    std::string reason;
  };
  static constexpr Micros kNever = INT64_MAX / 4;

  explicit PlanCompliance(std::string name, double margin = kMargin)
      : name_(std::move(name)), margin_(margin) {}

  // Of an earlier process: what it had taken over. It says how to go on while the store is silent, and gives
  // no lease.
  void restorePlan(const Plan& plan) {
    acting_ = plan;
    newest_ = plan;
    known_ = true;
  }
  // A read that was asked for at `asked` shows this plan; number 0: none. False: it is older than, or another
  // than, what is known here, and tells nothing. The store has lost something then.
  bool onPlanReceived(const Plan& plan, Micros asked) {
    lost_reason_.clear();
    if (known_ && (plan.number < newest_.number ||
                   (plan.number == newest_.number && planDigest(plan) != planDigest(newest_)))) {
      lost_reason_ = "the store has plan " + std::to_string(plan.number) + ", here " +
                     std::to_string(newest_.number) + " is known" +
                     (plan.number == newest_.number ? ", and it is another" : "");
      return false;
    }
    last_answer_at_ = std::max(last_answer_at_, asked);
    if (plan.number == acting_.number && (known_ || plan.number == 0)) {
      acting_confirmed_at_ = std::max(acting_confirmed_at_, asked);
    } else if (newest_.number == acting_.number || !known_) {
      // The first that is newer. When one between was missed, nothing is known of when that binds.
      const bool next = known_ && plan.number == acting_.number + 1;
      lag_allowance_ = next && plan.strict ? std::max(acting_.lease, plan.effective_after) : acting_.lease;
    }
    if (!known_ || plan.number > newest_.number) {
      newest_ = plan;
      newest_seen_at_ = asked;
    }
    if (!known_ && plan.number == 0)
      acting_ = plan;
    known_ = true;
    return true;
  }

  const Plan& acting() const { return acting_; }
  const Plan& newest() const { return newest_; }
  bool hasPlan() const { return known_; }
  std::vector<MissingRequirement> missingFor(const RunningVersions& own) const {
    return missingRequirements(own, newest_, name_);
  }
  // Whether the newest plan is to be taken over; the caller writes it to disk first, then says takenOver().
  // Not on a read that its lease has nearly outlived: one that was held back for long, say. The next one is
  // on its way, and until then the plan before still gives the right; where it does not, any lease will do.
  bool due(const RunningVersions& own, Micros now) const {
    if (!known_ || last_answer_at_ == kLong || newest_.number <= acting_.number || !missingFor(own).empty())
      return false;
    const Micros lease = withMargin(newest_.lease), gone = now - last_answer_at_;
    return !newest_.strict || gone < lease / 2 || (gone < lease && !at(now, own).allowed);
  }
  // `number`: of the newest at the time at which it was written.
  void takenOver(const Plan& plan) {
    if (plan.number <= acting_.number || plan.number > newest_.number)
      return;
    acting_ = plan;
    // Shown by the last read, if that was it; else a newer one is known, and its lease is the one before.
    if (plan.number == newest_.number)
      acting_confirmed_at_ = last_answer_at_;
    else
      lag_allowance_ = std::min(lag_allowance_, plan.lease);
  }

  Decision at(Micros now, const RunningVersions& own) const {
    Decision v;
    if (!known_) {
      v.reason = "the store has not answered since the start";
      v.compliance = Compliance::fenced;
      return v;
    }
    if (newest_.fenced.count(name_)) {
      v.reason = toString(missingFor(own));
      v.compliance = Compliance::fenced;
      return v;
    }
    const bool behind = newest_.number > acting_.number;
    // A sender that was changed by hand can act under neither the plan that it had taken over nor the newest.
    const bool astray = !missingFor(own).empty() && !missingRequirements(own, acting_, name_).empty();
    const Micros lease = behind ? lag_allowance_ : acting_.lease;
    const Micros ends = !newest_.strict ? kNever
                        : astray        ? kNever * -1
                                        : acting_confirmed_at_ + withMargin(lease);
    const std::string missing = toString(missingFor(own));
    const bool silent = now - last_answer_at_ > acting_.lease / 2;
    v.allowed = now < ends;
    v.until = ends;
    if (!v.allowed)
      v.compliance = Compliance::fenced;
    else if (silent || !lost_reason_.empty())
      v.compliance = Compliance::unknown;
    else
      v.compliance = behind || astray ? Compliance::catching_up : Compliance::current;
    if (!missing.empty())
      v.reason = "plan " + std::to_string(newest_.number) + ": " + missing;
    else if (!lost_reason_.empty())
      v.reason = lost_reason_;
    else if (silent)
      v.reason = last_answer_at_ == kLong ? "the store has not answered since the start"
                                          : "the store does not answer";
    else if (behind)
      v.reason = "plan " + std::to_string(newest_.number) + " is being taken over";
    return v;
  }

  // Whether the newest plan that is known can't have been followed by another that binds: for what needs a
  // lease under a lenient plan too.
  bool leased(Micros now) const {
    return known_ && lost_reason_.empty() && last_answer_at_ != kLong &&
           now < last_answer_at_ + withMargin(newest_.lease);
  }

  // The share of the time that a sender which is behind has to follow the newest plan, from when it heard of
  // it and however it stood before: 0 to 1; 0 where it will not be shut out.
  double lagFraction(Micros now) const {
    if (!known_ || !newest_.strict || newest_.number == acting_.number)
      return 0;
    const Micros from = std::max(acting_confirmed_at_, newest_seen_at_);
    return std::min(1.0, static_cast<double>(now - from) / static_cast<double>(withMargin(lag_allowance_)));
  }

 private:
  static constexpr Micros kLong = INT64_MIN / 4;  // before anything
  Micros withMargin(Micros lease) const {
    return static_cast<Micros>(static_cast<double>(lease) * (1 - margin_));
  }

  std::string name_;
  double margin_;
  Plan acting_, newest_;
  bool known_ = false;
  std::string lost_reason_;
  Micros acting_confirmed_at_ = kLong;  // the last asking that showed `acting_` to be the newest
  Micros last_answer_at_ = kLong;       // the last asking that showed anything
  Micros newest_seen_at_ = kLong;       // the first that showed `newest_`
  Micros lag_allowance_ = 0;            // from fresh_, since a newer one is known
};

}  // namespace grademux::fleet
