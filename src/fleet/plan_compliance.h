// Whether one sender may act under the fleet's plan, and how it complies with it. No I/O and no clock: times
// are microseconds of one clock of this machine that also runs while the machine sleeps (CLOCK_BOOTTIME).
// Used on the loop thread only.
//
// A sender acts under a plan only after a linearizable read of the store, and for `lease` from the moment at
// which the read was *requested*. If that read showed plan n, then plan n + 1 was made after the request.
// With
//     requested_at + lease * (1 - kClockRateMargin) by its own clock,    effective_after(n + 1) >= lease(n),
// and clock rates that differ by less than kClockRateMargin, every sender has stopped acting under plan n
// when plan n + 1 becomes effective, whether or not it has received plan n + 1. A plan becomes effective
// `effective_after` after its change and never before its predecessor. docs/design/fleet.md has the argument.
#pragma once

#include <string>
#include <vector>

#include "plan.h"

namespace grademux::fleet {

/// Fraction of a lease that is not used, for clocks that run at different rates.
constexpr double kClockRateMargin = 0.01;

enum class Compliance {
  current,
  catching_up,  ///< A newer plan is known, and this sender does not meet its requirements yet.
  unknown,      ///< The store has not answered lately; the last known plan still applies.
  fenced        ///< No message is accepted and no attempt started.
};
/// The name of the compliance in reports, logs and the audit log.
const char* toString(Compliance compliance);

class PlanCompliance {
 public:
  struct Decision {
    Compliance compliance = Compliance::unknown;
    bool allowed = false;
    /// When `allowed` ends unless a newer read arrives; kNever if it does not end by itself.
    Micros until = 0;
    std::string reason;
  };
  static constexpr Micros kNever = INT64_MAX / 4;

  /// `name`: the sender's name in the fleet.
  explicit PlanCompliance(std::string name, double clock_rate_margin = kClockRateMargin)
      : name_(std::move(name)), clock_rate_margin_(clock_rate_margin) {}

  /// Restores the plan that an earlier process had adopted. It applies while the store does not answer, and
  /// gives no lease.
  void restorePlan(const Plan& plan);
  /// A read that was requested at `requested_at` showed this plan; number 0: there is none. Returns false,
  /// and changes nothing, if the plan is older than the newest known one or differs from it under the same
  /// number: the store has lost data.
  bool onPlanReceived(const Plan& plan, Micros requested_at);

  /// The plan that this sender acts under.
  const Plan& acting() const { return acting_; }
  const Plan& newest() const { return newest_; }
  bool hasPlan() const { return has_plan_; }
  /// What this sender lacks to act under the newest plan.
  std::vector<MissingRequirement> missingFor(const RunningVersions& running) const {
    return missingRequirements(running, newest_, name_);
  }

  /// Whether the newest plan is to be adopted now. The caller stores the plan first, then calls
  /// onPlanAdopted().
  bool shouldAdopt(const RunningVersions& running, Micros now) const;
  /// `plan` has been stored; it was the newest one when storing began.
  void onPlanAdopted(const Plan& plan);

  Decision evaluate(Micros now, const RunningVersions& running) const;

  /// Whether no plan after the newest known one can be effective yet. Under a lenient plan, too, some actions
  /// need this.
  bool hasValidLease(Micros now) const;

  /// How much of the time for following the newest plan has passed: 0 to 1, and 0 if the sender will not be
  /// fenced.
  double lagFraction(Micros now) const;

 private:
  static constexpr Micros kNeverRead = INT64_MIN / 4;

  bool conflictsWithNewest(const Plan& plan) const;
  bool isBehind() const { return newest_.number > acting_.number; }
  bool isSilent(Micros now) const { return now - last_read_at_ > acting_.lease / 2; }
  Micros withMargin(Micros lease) const;
  Micros actionDeadline(bool meets_no_plan) const;
  std::string reasonAt(Micros now, const std::string& missing) const;

  std::string name_;
  double clock_rate_margin_;
  Plan acting_;
  Plan newest_;
  bool has_plan_ = false;
  std::string lost_data_reason_;  // set while the store shows an older plan
  Micros acting_confirmed_at_ =
      kNeverRead;                       // request time of the last read that showed `acting_` as the newest
  Micros last_read_at_ = kNeverRead;    // request time of the last read
  Micros newest_seen_at_ = kNeverRead;  // request time of the first read that showed `newest_`
  Micros lag_allowance_ = 0;            // from acting_confirmed_at_, once a newer plan is known
};

}  // namespace grademux::fleet
