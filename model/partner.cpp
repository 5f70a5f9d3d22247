// grademux model: partners; see partner.h.
#include "partner.h"

#include <algorithm>
#include <cmath>

namespace grademux::model {

namespace {
constexpr Micros kSecond = 1'000'000;
constexpr double kBurst = 0.25;      // seconds of a plain rate that may come at once
constexpr double kSmallBudget = 30;  // calls; smaller budgets have more slack

// Calls that a cold partner bears in Settings::overload_collapse_time, where the settings allow it `allowed`.
double slowStartBudget(double allowed) {
  const double slack_factor = allowed < kSmallBudget ? 3 : 2;
  return allowed + slack_factor * std::sqrt(allowed) + slack_factor;
}
}  // namespace

Partner::Partner(std::int64_t id, Traits traits, const Settings& rules, std::uint64_t seed)
    : id_(id), traits_(std::move(traits)), rules_(rules), random_(seed, "partner " + std::to_string(id)) {
  tokens_ = traits_.limit * kBurst;
}

double Partner::share(Micros now) const {
  if (!cold(now))
    return 1;
  const double warmth = static_cast<double>(now - returned_) / static_cast<double>(rules_.slow_start_time);
  return rules_.cold_capacity_fraction + (1 - rules_.cold_capacity_fraction) * warmth;
}

double Partner::left(Micros now) const {
  const double limit = limitNow(now);
  if (traits_.kind->window)
    return std::clamp(1 - (span_ == now / kSecond ? in_span_ : 0) / limit, 0.0, 1.0);
  const double since = static_cast<double>(now - tokens_at_) / kSecond;
  return std::clamp((tokens_ + since * limit) / std::max(1.0, limit * kBurst), 0.0, 1.0);
}

bool Partner::room(Micros now, int others) const {
  if (!serves())
    return false;
  if (free_at_ - now > traits_.depth / 2)
    return false;
  const double limit = limitNow(now), calls = 1 + others;
  if (traits_.kind->window)
    return (span_ == now / kSecond ? in_span_ : 0) + calls <= limit;
  const double since = static_cast<double>(now - tokens_at_) / kSecond;
  return std::min(tokens_ + since * limit, std::max(1.0, limit * kBurst)) >= calls;
}

Partner::Answer Partner::take(Micros service, Micros now) {
  Answer a;
  a.at = now;
  const auto full = [&](Micros until) {
    a.how = Taken::full;
    if (random_.chance(traits_.tells_wait))
      a.wait = std::max<Micros>(1000, until - now);
    return a;
  };
  if (outage_ && out_ == TroubleKind::shut)
    return full(opens_);
  if (fallen_ || outage_) {
    a.how = Taken::silent;
    return a;
  }
  const double limit = limitNow(now);
  const PartnerKind& kind = *traits_.kind;
  const auto drawnWait = [&] {
    return now + static_cast<Micros>(random_.between(kind.wait.least, kind.wait.most));
  };
  bool over = false;
  if (kind.window) {
    if (span_ != now / kSecond) {
      span_ = now / kSecond;
      in_span_ = 0;
    }
    over = in_span_ + 1 > limit;
    in_span_ += over && !kind.refused_count ? 0 : 1;
    if (over)
      return full((span_ + 1) * kSecond);
  } else {
    const double most = std::max(1.0, limit * kBurst);
    tokens_ = std::min(most, tokens_ + static_cast<double>(now - tokens_at_) / kSecond * limit);
    tokens_at_ = now;
    over = tokens_ < 1;
    if (!over)
      tokens_ -= 1;
    else if (kind.refused_count)
      tokens_ = std::max(-most, tokens_ - 1);
    if (over)
      return full(drawnWait());
  }
  if (free_at_ - now > traits_.depth)
    return full(drawnWait());
  free_at_ = std::max(free_at_, now) +
             static_cast<Micros>(slowness * kSecond / std::max(0.01, traits_.capacity * share(now)));
  const double took = random_.lognormal(static_cast<double>(service) * traits_.pace * slowness, 0.4);
  a.at = free_at_ + static_cast<Micros>(took);
  return a;
}

Partner::Fall Partner::weigh(int sender, Micros now) {
  Fall f;
  if (outage_ || fallen_ || !cold(now)) {
    reached_.clear();
    return f;
  }
  reached_.emplace_back(now, sender);
  while (reached_.front().first <= now - rules_.overload_collapse_time)
    reached_.pop_front();
  // Its capacity over the part of the span in which it was back, at the middle of it.
  const Micros from = std::max(returned_, now - rules_.overload_collapse_time);
  const double span = static_cast<double>(rules_.overload_collapse_time) / kSecond;
  const double takes = traits_.capacity * share((from + now) / 2) * span;
  const double budget_used =
      static_cast<double>(reached_.size()) / slowStartBudget(rules_.overload_factor * takes);
  peak_budget_used_ = std::max(peak_budget_used_, budget_used);
  if (budget_used <= 1)
    return f;
  const auto knew = std::count_if(reached_.begin(), reached_.end(),
                                  [this](const auto& r) { return knows_.count(r.second) > 0; });
  f.fell = fallen_ = true;
  f.knew = static_cast<double>(knew) / static_cast<double>(reached_.size());
  return f;
}

void Partner::begin(TroubleKind kind, double size, Micros until) {
  if (kind == TroubleKind::slow)
    slowness = size;
  else if (kind == TroubleKind::limit)
    limit_share = size;
  if (kind != TroubleKind::refuse && kind != TroubleKind::hang && kind != TroubleKind::shut)
    return;
  if (!outage_)
    knows_.clear();
  outage_ = true;
  out_ = kind;
  opens_ = until;
}

void Partner::end(TroubleKind kind, Micros now) {
  if (kind == TroubleKind::slow)
    slowness = 1;
  else if (kind == TroubleKind::limit)
    limit_share = 1;
  if (!outage_ || kind != out_)
    return;
  outage_ = false;
  out_ = TroubleKind::slow;
  returned_ = now;
  free_at_ = now;
  tokens_ = 0;
  tokens_at_ = now;
  reached_.clear();
}

}  // namespace grademux::model
