#include "dispatcher.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace grademux::decision {

Dispatcher::Dispatcher(const Modules& modules)
    : context_(modules.context),
      latency_(modules.latency),
      fair_queue_(modules.fair_queue),
      rate_limiter_(modules.rate_limiter),
      attempts_(modules.attempts),
      outlier_detector_(modules.outlier_detector),
      messages_(modules.messages),
      connections_(modules.connections),
      retry_policy_(modules.retry_policy) {}

void Dispatcher::dispatchMessages() {
  open_calls_.clear();
  ++context_.iteration;
  blocked_messages_ = 0;
  FairQueue::Position position;
  std::vector<Destination*> blocked;
  double served = -1e300;  // the latest global tag by which an attempt started
  while (attempts_.callsInFlight() < context_.settings.max_in_flight) {
    Destination* destination = fair_queue_.nextDestination(position);
    if (!destination)
      break;
    position = fair_queue_.positionOf(*destination);
    const Selection selection = chooseMessage(*destination);
    if (!mayStart(selection)) {
      // Attempts at other destinations do not unblock this destination during this dispatch.
      destination->blocked_in_iteration = context_.iteration;
      blocked.push_back(destination);
      blocked_messages_ += destination->queue.size();
      continue;
    }
    if (position.by_global_tag)
      served = position.tag;
    startAttempt(*selection.message, *selection.endpoint, position.by_global_tag);
    fillBatch(*destination, *selection.endpoint);
    // All destinations before this position are blocked, except the destination whose tags have just changed.
    if (!destination->tags.empty())
      position = std::min(position, fair_queue_.positionOf(*destination));
  }
  for (Destination* destination : blocked)
    fair_queue_.raiseGlobalTags(*destination, served);
}

bool Dispatcher::mayStart(const Selection& selection) const {
  if (!selection.message)
    return false;
  return !outlier_detector_.isOutlier(*selection.endpoint) ||
         outlier_detector_.outlierCallsInFlight() < outlier_detector_.outlierCallLimit();
}

// Selects the message that loses most priority by waiting until the destination's queue is sent.
Dispatcher::Selection Dispatcher::chooseMessage(Destination& destination) {
  Selection best;
  double best_loss = -1;
  requestTimers(destination);
  const Micros drain_time = rate_limiter_.queueDrainTime(destination);
  for (Message* message : destination.queue) {
    if (message->not_before > context_.now) {
      context_.requestTimer(message->not_before);
      continue;
    }
    if (!messages_.isFirstInOrder(*message)) {
      messages_.requestOrderTimer(*message);
      continue;
    }
    const double priority = fair_queue_.priorityAt(*message, context_.now);
    const double later_priority = fair_queue_.priorityAt(*message, context_.now + drain_time);
    const double loss = priority - later_priority + 1e-3 * priority;
    if (loss <= best_loss)
      continue;
    EndpointEntry* endpoint = chooseEndpoint(destination, *message);
    if (!endpoint)
      continue;
    best_loss = loss;
    best = {message, endpoint};
  }
  return best;
}

// Requests a timer for each ready endpoint whose limits allow no call yet.
void Dispatcher::requestTimers(const Destination& destination) {
  for (EndpointEntry* endpoint : destination.endpoints) {
    const Micros open_at =
        isReady(*endpoint) ? rate_limiter_.earliestSendAt(*endpoint, nullptr) : context_.now;
    if (open_at > context_.now)
      context_.requestTimer(open_at);
  }
}

// Prefers endpoints that are no outliers, then the lowest zone cost, then the fewest calls in flight, then an
// idle connection, then the least recently used endpoint.
EndpointEntry* Dispatcher::chooseEndpoint(Destination& destination, const Message& message) {
  EndpointEntry* best = nullptr;
  const auto rank = [this](const EndpointEntry& endpoint) {
    return std::make_tuple(outlier_detector_.isOutlier(endpoint) ? 1 : 0, zoneCost(endpoint),
                           endpoint.calls_in_flight, endpoint.idle_since.empty(), endpoint.last_used_at);
  };
  for (EndpointEntry* endpoint : destination.endpoints) {
    if (rate_limiter_.earliestSendAt(*endpoint, &message) > context_.now ||
        !isEndpointEligible(*endpoint, message))
      continue;
    if (!best || rank(*endpoint) < rank(*best))
      best = endpoint;
  }
  return best;
}

// Cost of the endpoint's zone for kinds with separate routes, else 0.
double Dispatcher::zoneCost(const EndpointEntry& endpoint) const {
  const Settings& settings = context_.settings;
  const auto zone = std::find(settings.zones.begin(), settings.zones.end(), endpoint.zone);
  const auto index = static_cast<std::size_t>(zone - settings.zones.begin());
  return hasSeparateRoutes(endpoint) && index < settings.zone_cost.size() ? settings.zone_cost[index] : 0;
}

bool Dispatcher::isEndpointEligible(EndpointEntry& endpoint, const Message& message) {
  if (!isReady(endpoint) || !retry_policy_.isAttemptAllowed(message, endpoint))
    return false;
  // Before a shutdown only attempts whose outcome will arrive in time are started.
  const double longest_wait = kOverdueRatio * kNonIdempotentTimeoutFactor * latency_.commonSlowdown() *
                              latency_.expectedLatency(endpoint);
  if (context_.shutdown_at != kNever &&
      (outlier_detector_.isOutlier(endpoint) ||
       static_cast<double>(context_.shutdown_at - context_.now) < longest_wait))
    return false;
  const TargetState& target = limitScope(endpoint);
  // Where many outcomes are unknown, a non-idempotent message waits up to half of its deadline, as it cannot
  // be retried after an unknown outcome.
  const bool is_risky =
      std::max(target.outlier.unknown_outcome_fraction, endpoint.target.outlier.unknown_outcome_fraction) >
      kMaxUnknownOutcomeFraction;
  return !(message.class_version->idempotency == Idempotency::non_idempotent && is_risky &&
           context_.now - message.submitted_at < message.class_version->deadline / 2);
}

void Dispatcher::startAttempt(Message& message, EndpointEntry& endpoint, bool by_global_tag) {
  Destination& destination = *message.destination;
  fair_queue_.dequeue(message, true);
  if (by_global_tag)
    fair_queue_.lowerLocalTags(destination);
  const AttemptPacing pacing = pacingOf(endpoint);
  Micros idle_time = -1;
  const auto open_call = open_calls_.find(&endpoint);
  if (open_call != open_calls_.end() && open_call->second.room > 0) {
    --open_call->second.room;
  } else {
    idle_time = connections_.reserveConnection(endpoint, message);
    startCall(destination, endpoint);
  }
  const Micros retry_until = message.class_version->idempotency == Idempotency::idempotency_key
                                 ? retry_policy_.retryAllowedUntil(message)
                                 : kNever;
  attempts_.recordAttempt(message, endpoint, open_calls_[&endpoint].call_id, context_.now, idle_time);
  context_.actions.push_back(
      StartAttempt{message.id, endpoint.id, retry_policy_.attemptTimeout(message, endpoint),
                   retry_until == kNever ? 0 : retry_until - context_.now + 1, pacing});
}

// Of a call that starts now, before it is charged.
AttemptPacing Dispatcher::pacingOf(EndpointEntry& endpoint) const {
  const TargetState& target = limitScope(endpoint);
  if (target.outlier.is_down)
    return AttemptPacing::outage_trial;
  if (context_.isCold(target))
    return AttemptPacing::slow_start;
  return rate_limiter_.earliestSendAt(endpoint, nullptr) > context_.now ? AttemptPacing::unpaced
                                                                        : AttemptPacing::rate_limit;
}

// Starts a call to the endpoint and charges it to the rate limits.
void Dispatcher::startCall(Destination& destination, EndpointEntry& endpoint) {
  open_calls_[&endpoint] = {attempts_.newCallId(), endpoint.kind->messages_per_call - 1};
  ++endpoint.calls_in_flight;
  rate_limiter_.chargeSend(endpoint.target, rate_limiter_.demandOf(endpoint, endpoint.target));
  if (!hasSeparateRoutes(endpoint))
    rate_limiter_.chargeSend(destination.target, rate_limiter_.demandOf(destination));
}

// Adds queued messages in the order of arrival to the call that was just started, until the call is full.
void Dispatcher::fillBatch(Destination& destination, EndpointEntry& endpoint) {
  while (open_calls_[&endpoint].room > 0 && !destination.queue.empty()) {
    Message* next = nullptr;
    for (Message* message : destination.queue)
      if (message->not_before <= context_.now && messages_.isFirstInOrder(*message) &&
          isEndpointEligible(endpoint, *message) && (!next || message->sequence < next->sequence))
        next = message;
    if (!next)
      return;
    const bool by_global_tag = destination.tags.front().local > static_cast<double>(context_.now);
    startAttempt(*next, endpoint, by_global_tag);
  }
}

}  // namespace grademux::decision
