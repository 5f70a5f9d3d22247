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
  const double max_quota = (context_.isLargeFleet() ? kInitialQuotaShares / 2 : kInitialQuotaShares) * share;
  target.rate_limit.quota_fraction =
      std::max(kMinQuotaShares * share, std::min(target.rate_limit.quota_fraction, max_quota) * factor);
}

double RateLimiter::allowedRate(TargetState& target, double limit, double own_rate) {
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
                     kQuotaGrowthShares * quotaShare(target.rate_limit.limit, own_rate) * spans);
    target.rate_limit.quota_updated_at = context_.now;
    rate = target.rate_limit.limit * target.rate_limit.quota_fraction;
  }
  return context_.isCold(target) ? std::min(rate, slowStartRate(target, limit, own_rate)) : rate;
}

// Returns calls a second while cold. All senders together stay below Settings::overload_factor times the cold
// capacity, as each sender is limited to its usual traffic times the warmth of the target.
double RateLimiter::slowStartRate(const TargetState& target, double limit, double own_rate) const {
  const double warmth = std::min(1.0, static_cast<double>(context_.now - target.outlier.warming_since) /
                                          kSecond / context_.rateSpanSeconds());
  const double share = context_.settings.cold_capacity_fraction +
                       (1 - context_.settings.cold_capacity_fraction) * (target.outlier.is_down ? 0 : warmth);
  if (limit > 0)
    own_rate = limit * quotaShare(limit, own_rate);
  return std::max(own_rate, 1 / context_.rateSpanSeconds()) * share * context_.settings.overload_factor;
}

double RateLimiter::returnJitter(const TargetState& target, const Destination& destination) {
  const double max_delay = std::min(
      context_.rateSpanSeconds(),
      1 / slowStartRate(target, target.rate_limit.limit, context_.perSecond(destination.message_rate)));
  return target.outlier.is_down
             ? std::uniform_real_distribution<double>(0, max_delay * kSecond)(context_.random)
             : 0;
}

// `latest_send_at`: the latest useful send time of a first attempt that may ignore pacing; kNever: pacing
// applies.
Micros RateLimiter::earliestSendToTarget(const TargetState& target, Micros latest_send_at) const {
  const auto conforms_at = static_cast<Micros>(std::ceil(target.rate_limit.upper_bound_tag));
  const bool ignores_pacing = latest_send_at != kNever && !target.outlier.is_down &&
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

void RateLimiter::chargeSend(TargetState& target, double limit, double own_rate) {
  const double now_tag = static_cast<double>(context_.now);
  const double rate = allowedRate(target, limit, own_rate);
  const double burst = context_.isCold(target) ? 0 : kBurstSeconds * kSecond;
  double gap = kSecond / rate;
  if (target.outlier.is_down)
    gap = std::max(gap, std::min(kTrialGapFraction * context_.collapseTime(),
                                 gap * target.outlier.consecutive_failures));
  // Upper-bound tag (RePAIR): u = clamp(u, now - burst, now) + gap. The clamp to now keeps a first attempt
  // that ignored pacing from delaying later calls.
  target.rate_limit.upper_bound_tag =
      std::clamp(target.rate_limit.upper_bound_tag, now_tag - burst, now_tag) + gap;
  context_.countEvent(target.rate_limit.send_rate);
}

// Messages a second of this sender for the target that holds the endpoint's limit.
double RateLimiter::ownMessageRate(const EndpointEntry& endpoint) const {
  return context_.perSecond(endpoint.destination->message_rate) /
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
  if (context_.isLargeFleet() && report->remaining_fraction < kLowAllowanceFraction)
    reduceQuota(target, kLowAllowanceQuotaFactor, ownMessageRate(endpoint));
}

void RateLimiter::onRejected(EndpointEntry& endpoint, bool has_retry_after) {
  TargetState& target = limitScope(endpoint);
  const double own_rate = ownMessageRate(endpoint);
  if (target.rate_limit.limit <= 0) {
    // If no limit is known, the estimate is the rate of calls so far, or one call at a time.
    target.rate_limit.limit =
        std::max(context_.perSecond(target.rate_limit.send_rate),
                 kSecond / std::max(1.0, target.outlier.latency_samples > 0 ? target.outlier.typical_latency
                                                                            : context_.shortest_objective));
    target.rate_limit.quota_fraction = 1;
  }
  const double gap = std::min<double>(kMaxGapStretch, target.outlier.consecutive_rejections) * kSecond /
                     allowedRate(target, target.rate_limit.limit, own_rate);
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
  for (EndpointEntry* endpoint : destination.endpoints)
    if (isReady(*endpoint))
      rate = hasSeparateRoutes(*endpoint)
                 ? rate + allowedRate(
                              endpoint->target, endpoint->target.rate_limit.limit,
                              context_.perSecond(destination.message_rate) / readyEndpointCount(destination))
                 : allowedRate(destination.target, destination.target.rate_limit.limit,
                               context_.perSecond(destination.message_rate));
  const double wait = static_cast<double>(destination.queue.size()) * kSecond / std::max(rate, 1e-6);
  return static_cast<Micros>(
      std::clamp(wait, static_cast<double>(context_.settings.min_decide_interval), 1e12));
}

}  // namespace grademux::decision
