#include "plan_compliance.h"

#include <algorithm>

namespace grademux::fleet {

const char* toString(Compliance compliance) {
  constexpr const char* kNames[] = {"current", "catching up", "unknown", kFencedName};
  return kNames[static_cast<int>(compliance)];
}

void PlanCompliance::restorePlan(const Plan& plan) {
  acting_ = plan;
  newest_ = plan;
  has_plan_ = true;
}

bool PlanCompliance::conflictsWithNewest(const Plan& plan) const {
  if (!has_plan_)
    return false;
  return plan.number < newest_.number ||
         (plan.number == newest_.number && planDigest(plan) != planDigest(newest_));
}

bool PlanCompliance::onPlanReceived(const Plan& plan, Micros requested_at) {
  lost_data_reason_.clear();
  if (conflictsWithNewest(plan)) {
    lost_data_reason_ = "the store has plan " + std::to_string(plan.number) + ", here " +
                        std::to_string(newest_.number) + " is known" +
                        (plan.number == newest_.number ? ", and it is another" : "");
    return false;
  }
  last_read_at_ = std::max(last_read_at_, requested_at);
  if (plan.number == acting_.number && (has_plan_ || plan.number == 0)) {
    acting_confirmed_at_ = std::max(acting_confirmed_at_, requested_at);
  } else if (newest_.number == acting_.number || !has_plan_) {
    // This is the first newer plan. If a plan between was missed, its effective time is not known.
    const bool is_next = has_plan_ && plan.number == acting_.number + 1;
    lag_allowance_ = is_next && plan.strict ? std::max(acting_.lease, plan.effective_after) : acting_.lease;
  }
  if (!has_plan_ || plan.number > newest_.number) {
    newest_ = plan;
    newest_seen_at_ = requested_at;
  }
  if (!has_plan_ && plan.number == 0)
    acting_ = plan;
  has_plan_ = true;
  return true;
}

// A read that is nearly as old as its lease is not used to adopt a plan: the next read is under way, and
// until then the acting plan applies. If the acting plan does not allow actions, any remaining lease is
// better than none.
bool PlanCompliance::shouldAdopt(const RunningVersions& running, Micros now) const {
  if (!has_plan_ || last_read_at_ == kNeverRead || !isBehind() || !missingFor(running).empty())
    return false;
  const Micros lease = withMargin(newest_.lease);
  const Micros read_age = now - last_read_at_;
  return !newest_.strict || read_age < lease / 2 || (read_age < lease && !evaluate(now, running).allowed);
}

void PlanCompliance::onPlanAdopted(const Plan& plan) {
  if (plan.number <= acting_.number || plan.number > newest_.number)
    return;
  acting_ = plan;
  // The last read showed the newest plan. If a newer one than `plan` is known, the lease before it still
  // counts.
  if (plan.number == newest_.number)
    acting_confirmed_at_ = last_read_at_;
  else
    lag_allowance_ = std::min(lag_allowance_, plan.lease);
}

Micros PlanCompliance::actionDeadline(bool meets_no_plan) const {
  if (!newest_.strict)
    return kNever;
  if (meets_no_plan)
    return -kNever;
  return acting_confirmed_at_ + withMargin(isBehind() ? lag_allowance_ : acting_.lease);
}

PlanCompliance::Decision PlanCompliance::evaluate(Micros now, const RunningVersions& running) const {
  Decision decision;
  decision.compliance = Compliance::fenced;
  if (!has_plan_) {
    decision.reason = "the store has not answered since the start";
    return decision;
  }
  const std::string missing = toString(missingFor(running));
  if (newest_.fenced.count(name_)) {
    decision.reason = missing;
    return decision;
  }
  // A sender whose files were changed by hand, for example, meets neither the newest plan nor the acting one.
  const bool meets_no_plan =
      !missingFor(running).empty() && !missingRequirements(running, acting_, name_).empty();
  decision.until = actionDeadline(meets_no_plan);
  decision.allowed = now < decision.until;
  if (decision.allowed && (isSilent(now) || !lost_data_reason_.empty()))
    decision.compliance = Compliance::unknown;
  else if (decision.allowed)
    decision.compliance = isBehind() || meets_no_plan ? Compliance::catching_up : Compliance::current;
  decision.reason = reasonAt(now, missing);
  return decision;
}

std::string PlanCompliance::reasonAt(Micros now, const std::string& missing) const {
  const std::string newest = "plan " + std::to_string(newest_.number);
  if (!missing.empty())
    return newest + ": " + missing;
  if (!lost_data_reason_.empty())
    return lost_data_reason_;
  if (isSilent(now))
    return last_read_at_ == kNeverRead ? "the store has not answered since the start"
                                       : "the store does not answer";
  return isBehind() ? newest + " is being taken over" : "";
}

bool PlanCompliance::hasValidLease(Micros now) const {
  return has_plan_ && lost_data_reason_.empty() && last_read_at_ != kNeverRead &&
         now < last_read_at_ + withMargin(newest_.lease);
}

double PlanCompliance::lagFraction(Micros now) const {
  if (!has_plan_ || !newest_.strict || newest_.number == acting_.number)
    return 0;
  const Micros from = std::max(acting_confirmed_at_, newest_seen_at_);
  return std::min(1.0, static_cast<double>(now - from) / static_cast<double>(withMargin(lag_allowance_)));
}

Micros PlanCompliance::withMargin(Micros lease) const {
  return static_cast<Micros>(static_cast<double>(lease) * (1 - clock_rate_margin_));
}

}  // namespace grademux::fleet
