#include "rate_limiter.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace grademux::decision {

double RateLimiter::quotaShare(double limit, double demand) const {
  return std::max(1.0 / context_.settings.sender_count,
                  std::min(demand / std::max(limit, 1e-9), kMaxQuotaFraction));
}

// In a large fleet a sender reaches the limit too rarely to learn from rejections, so its quota falls to at
// most one share at once.
void RateLimiter::reduceQuota(TargetState& target, double factor, double own_rate) {
  const double share = quotaShare(target.rate_limit.limit, own_rate);
  limitReducedQuota(target, own_rate);
  target.rate_limit.quota_fraction =
      std::max(kMinQuotaShares * share, target.rate_limit.quota_fraction * factor);
}

void RateLimiter::limitReducedQuota(TargetState& target, double own_rate) {
  const double max_shares = context_.isLargeFleet() ? kInitialQuotaShares / 2 : kInitialQuotaShares;
  target.rate_limit.quota_fraction =
      std::min(target.rate_limit.quota_fraction, max_shares * quotaShare(target.rate_limit.limit, own_rate));
}

double RateLimiter::allowedRate(TargetState& target, const TargetDemand& demand) {
  double rate = 1e12;
  if (target.rate_limit.limit > 0) {
    // The quota does not grow while cold: success at a reduced rate is no evidence about the limit.
    const double spans = context_.isCold(target)
                             ? 0
                             : static_cast<double>(context_.now - target.rate_limit.quota_updated_at) /
                                   context_.collapseTime();
    target.rate_limit.quota_fraction =
        std::min(maxQuota(target.rate_limit),
                 target.rate_limit.quota_fraction +
                     kQuotaGrowthShares * quotaShare(target.rate_limit.limit, demand.own_rate) * spans);
    target.rate_limit.quota_updated_at = context_.now;
    rate = target.rate_limit.limit * target.rate_limit.quota_fraction;
  }
  return context_.isCold(target) ? std::min(rate, slow_start_.callRate(target, demand)) : rate;
}

TargetDemand RateLimiter::demandOf(const Destination& destination) const {
  return {destination.target.rate_limit.limit, context_.perSecond(destination.message_rate)};
}

TargetDemand RateLimiter::demandOf(const EndpointEntry& endpoint, const TargetState& target) const {
  const Destination& destination = *endpoint.destination;
  const TargetDemand all = demandOf(destination);
  if (&target == &destination.target)
    return all;
  const double endpoint_count = readyEndpointCount(destination);
  const double limit = hasSeparateRoutes(endpoint) ? target.rate_limit.limit : all.limit / endpoint_count;
  return {limit, all.own_rate / endpoint_count};
}

void RateLimiter::spreadNextCall(TargetState& target, const TargetDemand& demand, Micros from) {
  const double gap = slow_start_.callGap(target, demand);
  target.rate_limit.upper_bound_tag =
      static_cast<double>(from) + std::uniform_real_distribution<double>(0, gap)(context_.random);
}

void RateLimiter::resumePacing(TargetState& target, const TargetDemand& demand) {
  target.rate_limit.upper_bound_tag =
      std::min(target.rate_limit.upper_bound_tag,
               static_cast<double>(context_.now) + slow_start_.callGap(target, demand));
}

// `latest_send_at`: the latest useful send time of a first attempt that may ignore pacing; kNever: pacing
// applies.
Micros RateLimiter::earliestSendToTarget(const TargetState& target, Micros latest_send_at) const {
  const auto conforms_at = static_cast<Micros>(std::ceil(target.rate_limit.upper_bound_tag));
  const bool ignores_pacing = latest_send_at != kNever && !context_.isCold(target) &&
                              target.outlier.consecutive_rejections < 2 && conforms_at >= latest_send_at;
  return ignores_pacing ? target.rate_limit.retry_after_until
                        : std::max(target.rate_limit.retry_after_until, conforms_at);
}

Micros RateLimiter::earliestSendAt(EndpointEntry& endpoint, const Message* message) const {
  const double limit = limitScope(endpoint).rate_limit.limit;
  const double queued_rate =
      static_cast<double>(endpoint.destination->queue.size()) / context_.rateSpanSeconds();
  const double own_rate = std::max(context_.perSecond(endpoint.destination->message_rate), queued_rate);
  const bool is_rare_sender =
      context_.isLargeFleet() &&
      own_rate < (limit > 0 ? kRareSenderFraction * limit : 2 / context_.rateSpanSeconds());
  const Micros latest_send_at =
      message && message->attempts.empty() && is_rare_sender
          ? message->deadline - static_cast<Micros>(latency_.expectedLatency(endpoint))
          : kNever;
  return hasSeparateRoutes(endpoint)
             ? earliestSendToTarget(endpoint.target, latest_send_at)
             : std::max(earliestSendToTarget(endpoint.target, latest_send_at),
                        earliestSendToTarget(endpoint.destination->target, latest_send_at));
}

void RateLimiter::chargeSend(TargetState& target, const TargetDemand& demand) {
  const double now_tag = static_cast<double>(context_.now);
  const double rate = allowedRate(target, demand);
  const double burst = context_.isCold(target) ? 0 : kBurstSeconds * kSecond;
  double gap = kSecond / rate;
  if (target.outlier.is_down)
    gap = std::max(gap, std::min(kTrialGapFraction * context_.collapseTime(),
                                 gap * target.outlier.consecutive_failures));
  else if (context_.isCold(target))
    gap = std::min(gap, static_cast<double>(context_.slowStartEnd(target) - context_.now));
  // Upper-bound tag (RePAIR): u = clamp(u, now - burst, now) + gap. The clamp to now keeps a first attempt
  // that ignored pacing from delaying later calls.
  target.rate_limit.upper_bound_tag =
      std::clamp(target.rate_limit.upper_bound_tag, now_tag - burst, now_tag) + gap;
  context_.countEvent(target.rate_limit.send_rate);
}

void RateLimiter::applyLimitReport(EndpointEntry& endpoint, const std::optional<LimitReport>& report) {
  if (!report || report->rate_limit <= 0)
    return;
  TargetState& target = limitScope(endpoint);
  target.rate_limit.limit = target.rate_limit.limit_is_reported
                                ? 0.75 * target.rate_limit.limit + 0.25 * report->rate_limit
                                : report->rate_limit;
  const bool is_first_report = !target.rate_limit.limit_is_reported;
  target.rate_limit.limit_is_reported = true;
  if (is_first_report)
    adoptReportedLimit(target, demandOf(endpoint, target));
  if (context_.isLargeFleet() && report->remaining_fraction < kLowAllowanceFraction)
    reduceQuota(target, kLowAllowanceQuotaFactor, demandOf(endpoint, target).own_rate);
}

// A rejection before the first report has reduced the quota of another limit, and the next call was set by
// the rate that this limit allows.
void RateLimiter::adoptReportedLimit(TargetState& target, const TargetDemand& demand) {
  if (target.rate_limit.quota_reduced_at != -kNever)
    limitReducedQuota(target, demand.own_rate);
  if (target.outlier.is_down)
    return;
  const double gap = kSecond / allowedRate(target, demand);
  target.rate_limit.upper_bound_tag =
      std::min(target.rate_limit.upper_bound_tag, static_cast<double>(context_.now) + gap);
}

void RateLimiter::onRejected(EndpointEntry& endpoint, bool has_retry_after) {
  TargetState& target = limitScope(endpoint);
  const double own_rate = demandOf(endpoint, target).own_rate;
  if (target.rate_limit.limit <= 0) {
    // If no limit is known, the estimate is the rate of calls so far, or one call at a time.
    target.rate_limit.limit =
        std::max(context_.perSecond(target.rate_limit.send_rate),
                 kSecond / std::max(1.0, target.outlier.latency_samples > 0 ? target.outlier.typical_latency
                                                                            : context_.shortest_objective));
    target.rate_limit.quota_fraction = 1;
  }
  const double gap = std::min<double>(kMaxGapStretch, target.outlier.consecutive_rejections) * kSecond /
                     allowedRate(target, {target.rate_limit.limit, own_rate});
  if (context_.now - target.rate_limit.quota_reduced_at > context_.settings.overload_collapse_time / 4) {
    reduceQuota(target, kRejectionQuotaFactor, own_rate);
    target.rate_limit.quota_reduced_at = context_.now;
  }
  if (!has_retry_after)
    target.rate_limit.upper_bound_tag =
        std::max(target.rate_limit.upper_bound_tag, static_cast<double>(context_.now) + gap);
}

Micros RateLimiter::queueDrainTime(Destination& destination) {
  double rate = 0;
  for (EndpointEntry* endpoint : destination.endpoints) {
    if (!isReady(*endpoint))
      continue;
    TargetState& target = limitScope(*endpoint);
    const double target_rate = allowedRate(target, demandOf(*endpoint, target));
    rate = hasSeparateRoutes(*endpoint) ? rate + target_rate : target_rate;
  }
  const double wait = static_cast<double>(destination.queue.size()) * kSecond / std::max(rate, 1e-6);
  return static_cast<Micros>(
      std::clamp(wait, static_cast<double>(context_.settings.min_decide_interval), 1e12));
}

}  // namespace grademux::decision
