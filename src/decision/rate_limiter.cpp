#include "rate_limiter.h"

namespace grademux::decision {

double RateLimiter::quotaShare(double limit, double want) const {
  return std::max(1.0 / settings.sender_count, std::min(want / std::max(limit, 1e-9), kMaxQuotaFraction));
}

void RateLimiter::reduceQuota(TargetState& target, double cut, double own) {
  const double share = quotaShare(target.rate_limit.limit, own),
               most = (isLargeFleet() ? kInitialQuotaShares / 2 : kInitialQuotaShares) * share;
  target.rate_limit.quota_fraction =
      std::max(kMinQuotaShares * share, std::min(target.rate_limit.quota_fraction, most) * cut);
}

double RateLimiter::allowedRate(TargetState& target, double limit, double own) {
  double rate = 1e12;
  if (target.rate_limit.limit > 0) {
    // Not while it is cold: what it takes then says nothing of the limit.
    const double spans =
        isCold(target) ? 0 : static_cast<double>(now - target.rate_limit.quota_updated_at) / collapseTime();
    target.rate_limit.quota_fraction =
        std::min(target.rate_limit.limit_is_reported ? 1.0 : 1e3,
                 target.rate_limit.quota_fraction +
                     kQuotaGrowthShares * quotaShare(target.rate_limit.limit, own) * spans);
    target.rate_limit.quota_updated_at = now;
    rate = target.rate_limit.limit * target.rate_limit.quota_fraction;
  }
  return isCold(target) ? std::min(rate, slowStartRate(target, limit, own)) : rate;
}

double RateLimiter::slowStartRate(const TargetState& target, double limit, double own) const {
  const double warmth =
      std::min(1.0, static_cast<double>(now - target.outlier.warming_since) / kSecond / rateSpanSeconds());
  const double share = settings.cold_capacity_fraction +
                       (1 - settings.cold_capacity_fraction) * (target.outlier.is_down ? 0 : warmth);
  if (limit > 0)
    own = limit * quotaShare(limit, own);
  return std::max(own, 1 / rateSpanSeconds()) * share * settings.overload_factor;
}

double RateLimiter::returnJitter(const TargetState& target, const Destination& destination) {
  const double most = std::min(rateSpanSeconds(), 1 / slowStartRate(target, target.rate_limit.limit,
                                                                    perSecond(destination.message_rate)));
  return target.outlier.is_down ? std::uniform_real_distribution<double>(0, most * kSecond)(random) : 0;
}

Micros RateLimiter::targetOpensAt(const TargetState& target, Micros must_by) const {
  const auto paced = static_cast<Micros>(std::ceil(target.rate_limit.upper_bound_tag));
  const bool pass = must_by != kNever && !target.outlier.is_down &&
                    target.outlier.consecutive_rejections < 2 && paced >= must_by;
  return pass ? target.rate_limit.retry_after_until : std::max(target.rate_limit.retry_after_until, paced);
}

Micros RateLimiter::earliestSendAt(EndpointEntry& endpoint, const Message* message) {
  const double limit = limitScope(endpoint).rate_limit.limit,
               held = static_cast<double>(endpoint.destination->queue.size()) / rateSpanSeconds();
  const double own = std::max(perSecond(endpoint.destination->message_rate), held);
  const bool rare = isLargeFleet() && own < (limit > 0 ? kRareSenderFraction * limit : 2 / rateSpanSeconds());
  const Micros must_by = message && message->attempts.empty() && rare
                             ? message->deadline - static_cast<Micros>(expectedLatency(endpoint))
                             : kNever;
  return hasSeparateRoutes(endpoint) ? targetOpensAt(endpoint.target, must_by)
                                     : std::max(targetOpensAt(endpoint.target, must_by),
                                                targetOpensAt(endpoint.destination->target, must_by));
}

void RateLimiter::chargeSend(TargetState& target, double limit, double own) {
  const double now_tag = static_cast<double>(now), rate = allowedRate(target, limit, own);
  const double burst = isCold(target) ? 0 : kBurstSeconds * kSecond;
  double gap = kSecond / rate;
  if (target.outlier.is_down)
    gap = std::max(gap,
                   std::min(kTrialGapFraction * collapseTime(), gap * target.outlier.consecutive_failures));
  target.rate_limit.upper_bound_tag =
      std::clamp(target.rate_limit.upper_bound_tag, now_tag - burst, now_tag) +
      gap;  // a call that passed the pacing leaves no debt
  countEvent(target.rate_limit.send_rate);
}

double RateLimiter::ownMessageRate(const EndpointEntry& endpoint) const {
  return perSecond(endpoint.destination->message_rate) /
         (hasSeparateRoutes(endpoint) ? readyEndpointCount(*endpoint.destination) : 1);
}

void RateLimiter::applyLimitReport(EndpointEntry& endpoint, const std::optional<LimitReport>& report) {
  if (!report || report->rate_limit <= 0)
    return;
  TargetState& target = limitScope(endpoint);
  target.rate_limit.limit = target.rate_limit.limit_is_reported
                                ? 0.75 * target.rate_limit.limit + 0.25 * report->rate_limit
                                : report->rate_limit;
  target.rate_limit.limit_is_reported = true;
  if (isLargeFleet() && report->remaining_fraction < kLowAllowanceFraction)
    reduceQuota(target, kLowAllowanceQuotaFactor, ownMessageRate(endpoint));
}

void RateLimiter::onRejected(EndpointEntry& endpoint, bool told_wait) {
  TargetState& target = limitScope(endpoint);
  const double own = ownMessageRate(endpoint);
  if (target.rate_limit.limit <= 0) {
    // Nobody told one: start from what was sent, or from one call at a time.
    target.rate_limit.limit =
        std::max(perSecond(target.rate_limit.send_rate),
                 kSecond / std::max(1.0, target.outlier.latency_samples > 0 ? target.outlier.typical_latency
                                                                            : shortest_objective));
    target.rate_limit.quota_fraction = 1;
  }
  const double gap = std::min<double>(kMaxGapStretch, target.outlier.consecutive_rejections) * kSecond /
                     allowedRate(target, target.rate_limit.limit, own);
  if (now - target.rate_limit.quota_reduced_at > settings.overload_collapse_time / 4) {
    reduceQuota(target, kRejectionQuotaFactor, own);
    target.rate_limit.quota_reduced_at = now;
  }
  if (!told_wait)
    target.rate_limit.upper_bound_tag =
        std::max(target.rate_limit.upper_bound_tag, static_cast<double>(now) + gap);
}

}  // namespace grademux::decision
