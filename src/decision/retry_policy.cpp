#include "retry_policy.h"

namespace grademux::decision {

bool RetryPolicy::mayHaveExecuted(const Message& message) {
  return std::any_of(message.attempts.begin(), message.attempts.end(),
                     [](const Attempt& attempt) { return attempt.may_have_executed; });
}

bool RetryPolicy::isAttemptAllowed(const Message& message, const EndpointEntry& endpoint) const {
  if (static_cast<int>(message.attempts.size()) >= message.class_version->max_attempts)
    return false;
  if (message.attempts_in_flight > 0 && !settings.hedging_allowed)
    return false;
  if (message.class_version->idempotency == Idempotency::idempotent || !mayHaveExecuted(message))
    return true;
  if (message.class_version->idempotency == Idempotency::non_idempotent)
    return false;
  for (const Attempt& attempt : message.attempts) {
    if (!attempt.may_have_executed)
      continue;
    if (message.class_version->idempotency_scope != IdempotencyScope::all &&
        (!attempt.endpoint || attempt.endpoint->zone != endpoint.zone))
      return false;
    if (message.class_version->idempotency_scope == IdempotencyScope::cell &&
        attempt.endpoint->destination != endpoint.destination)
      return false;
  }
  return now <= retryAllowedUntil(message);
}

Micros RetryPolicy::retryAllowedUntil(const Message& message) const {
  Micros until = kNever;
  for (const Attempt& attempt : message.attempts)
    if (attempt.may_have_executed)
      until = std::min(until, attempt.sent_at + message.class_version->idempotency_window -
                                  2 * settings.min_decide_interval);
  return until;
}

bool RetryPolicy::mayReject(const Message& message) const {
  if (message.class_version->idempotency == Idempotency::idempotent || !mayHaveExecuted(message))
    return true;
  return message.class_version->idempotency == Idempotency::idempotency_key &&
         message.class_version->idempotency_scope == IdempotencyScope::all;
}

bool RetryPolicy::isAttemptPossible(const Message& message) const {
  for (const EndpointEntry* endpoint : message.destination->endpoints)
    if (isAttemptAllowed(message, *endpoint))
      return true;
  return message.attempts.empty();
}

bool RetryPolicy::isFirstInOrder(const Message& message) const {
  if (message.ordering_key.empty())
    return true;
  const OrderingQueue& queue = ordering_queues.at(message.ordering_key);
  return queue.messages.front() == &message && (!message.attempts.empty() || now >= queue.blocked_until);
}

Micros RetryPolicy::attemptTimeout(const Message& message, const EndpointEntry& endpoint) const {
  const Micros left = message.deadline - now;
  const TargetState& target = endpoint.target;
  const double slowness = std::max(
      {1.0, common_slowdown, target.outlier.latency_samples > 0 ? target.outlier.latency_ratio : 1.0});
  const double patience =
      message.class_version->idempotency == Idempotency::non_idempotent ? kNonIdempotentTimeoutFactor : 1;
  const double most = kTimeoutRatio * patience * expectedLatency(endpoint) * slowness;
  return static_cast<Micros>(std::clamp(most, 1.0, static_cast<double>(std::max<Micros>(1, left))));
}

void RetryPolicy::recordConnectionUse(Destination& destination, Micros idled, bool lost) {
  if (lost) {
    destination.lost_after_idle =
        idled;  // a lost fresh call clears the suspicion: the destination itself hangs
    return;
  }
  if (destination.lost_after_idle < 0 || (idled >= 0 && idled < destination.lost_after_idle))
    return;
  if (idled < 0) {
    stale_connection_score *= std::exp(-static_cast<double>(now - stale_observed_at) /
                                       static_cast<double>(settings.slow_start_time + 1));
    ++stale_connection_score;
    stale_after_idle = now - stale_observed_at < settings.slow_start_time
                           ? std::min(stale_after_idle, destination.lost_after_idle)
                           : destination.lost_after_idle;
    stale_observed_at = now;
  }
  destination.lost_after_idle = -1;
}

Micros RetryPolicy::staleIdleThreshold() const {
  const bool dead = stale_connection_score > kStaleConnectionThreshold / (isLargeFleet() ? 2 : 1) &&
                    now - stale_observed_at < kStaleConnectionSpans * settings.slow_start_time;
  return dead ? stale_after_idle / 2 : kNever;
}

Micros RetryPolicy::reserveConnection(EndpointEntry& endpoint, const Message& message) {
  const bool exposed =
      message.class_version->idempotency == Idempotency::non_idempotent || !message.attempts.empty();
  const bool stale =
      exposed && now - endpoint.stale_connection_at < kStaleConnectionSpans * settings.slow_start_time;
  while (!endpoint.idle_since.empty() && settings.idle_connection_timeout > 0 &&
         now - endpoint.idle_since.front() >= settings.idle_connection_timeout)
    endpoint.idle_since.pop_front();
  if (!endpoint.idle_since.empty() && (stale || now - endpoint.idle_since.front() >= staleIdleThreshold())) {
    actions.push_back(CloseIdleConnections{endpoint.id});
    endpoint.idle_since.clear();
  }
  if (endpoint.idle_since.empty())
    return -1;
  const Micros idled = now - endpoint.idle_since.back();
  endpoint.idle_since.pop_back();
  return idled;
}

void RetryPolicy::returnConnection(EndpointEntry& endpoint) {
  endpoint.idle_since.push_back(now);
  const double others = std::max(0.0, perSecond(endpoint.destination->message_rate) - 1 / rateSpanSeconds()) /
                        readyEndpointCount(*endpoint.destination);
  const double least = kMinExpectedReuses * settings.sender_count / kReuseSenderCount;
  const bool full_table =
      isLargeFleet() && now - endpoint.connect_failed_at < kStaleConnectionSpans * settings.slow_start_time;
  if (!full_table && others * static_cast<double>(settings.idle_connection_timeout) / kSecond >= least)
    return;
  actions.push_back(CloseIdleConnections{endpoint.id});
  endpoint.idle_since.clear();
}

void RetryPolicy::startAttempt(Message& message, EndpointEntry& endpoint, bool global_phase) {
  Destination& destination = *message.destination;
  dequeue(message, true);
  if (global_phase)
    lowerLocalTags(destination);
  auto room = calls_with_room.find(&endpoint);
  std::uint64_t call;
  Micros idled = -1;
  if (room != calls_with_room.end() && room->second.second > 0) {
    call = room->second.first;
    --room->second.second;
  } else {
    call = ++next_call_id;
    idled = reserveConnection(endpoint, message);
    calls_with_room[&endpoint] = {call, endpoint.kind->messages_per_call - 1};
    ++endpoint.calls_in_flight;
    const double endpoint_count = readyEndpointCount(destination), own = perSecond(destination.message_rate);
    chargeSend(endpoint.target,
               hasSeparateRoutes(endpoint) ? endpoint.target.rate_limit.limit
                                           : destination.target.rate_limit.limit / endpoint_count,
               own / endpoint_count);
    if (!hasSeparateRoutes(endpoint))
      chargeSend(destination.target, destination.target.rate_limit.limit, own);
  }
  const Micros until = message.class_version->idempotency == Idempotency::idempotency_key
                           ? retryAllowedUntil(message)
                           : kNever;
  recordAttempt(message, endpoint, call, now, idled);
  actions.push_back(StartAttempt{message.id, endpoint.id, attemptTimeout(message, endpoint),
                                 until == kNever ? 0 : until - now + 1});
}

void RetryPolicy::recordAttempt(Message& message, EndpointEntry& endpoint, std::uint64_t call, Micros sent,
                                Micros idled) {
  ++attempts_per_call[call];
  ++endpoint.open_attempts;
  endpoint.last_used_at = now;
  attempts_in_flight[++next_attempt_sequence] = {&message, message.attempts.size()};
  message.attempts.push_back({&endpoint, sent, call, next_attempt_sequence, true, true, idled, false, false});
  ++message.attempts_in_flight;
}

void RetryPolicy::finishAttempt(Message& message, Attempt& attempt) {
  attempt.in_flight = false;
  --message.attempts_in_flight;
  attempts_in_flight.erase(attempt.sequence);
  attempt.endpoint->target.outlier.overdue_attempts =
      attempt.endpoint->destination->target.outlier.overdue_attempts = 0;  // counted anew each turn
  auto call = attempts_per_call.find(attempt.call_id);
  if (--call->second > 0)
    return;
  attempts_per_call.erase(call);
  --attempt.endpoint->calls_in_flight;
}

bool RetryPolicy::isEndpointEligible(EndpointEntry& endpoint, const Message& message) {
  if (!isReady(endpoint) || !isAttemptAllowed(message, endpoint))
    return false;
  // Before the process ends only what will be heard is started: no attempt is lost in the unknown.
  const double heard =
      kOverdueRatio * kNonIdempotentTimeoutFactor * common_slowdown * expectedLatency(endpoint);
  if (shutdown_at != kNever && (isOutlier(endpoint) || static_cast<double>(shutdown_at - now) < heard))
    return false;
  const TargetState& target = limitScope(endpoint);
  // A message that can't be repeated is no trial: it would be lost where calls end in the unknown. It goes
  // after all when half of its time is used up.
  const bool risky = std::max(target.outlier.unknown_outcome_fraction,
                              endpoint.target.outlier.unknown_outcome_fraction) > kMaxUnknownOutcomeFraction;
  return !(message.class_version->idempotency == Idempotency::non_idempotent && risky &&
           now - message.submitted_at < message.class_version->deadline / 2);
}

EndpointEntry* RetryPolicy::chooseEndpoint(Destination& destination, const Message& message) {
  EndpointEntry* best = nullptr;
  auto key = [&](EndpointEntry& endpoint) {
    std::size_t zone = 0;
    while (zone < settings.zones.size() && settings.zones[zone] != endpoint.zone)
      ++zone;
    const double fee =
        hasSeparateRoutes(endpoint) && zone < settings.zone_cost.size() ? settings.zone_cost[zone] : 0;
    return std::make_tuple(isOutlier(endpoint) ? 1 : 0, fee, endpoint.calls_in_flight,
                           endpoint.idle_since.empty(), endpoint.last_used_at);
  };
  for (EndpointEntry* endpoint : destination.endpoints) {
    if (earliestSendAt(*endpoint, &message) > now || !isEndpointEligible(*endpoint, message))
      continue;
    if (!best || key(*endpoint) < key(*best))
      best = endpoint;
  }
  return best;
}

RetryPolicy::Pick RetryPolicy::chooseMessage(Destination& destination) {
  Pick best{nullptr, nullptr};
  double best_loss = -1;
  for (EndpointEntry* endpoint : destination.endpoints) {
    const Micros later = isReady(*endpoint) ? earliestSendAt(*endpoint, nullptr) : now;
    if (later > now)
      next_timer_at = std::min(next_timer_at, later);
  }
  const Micros drain = queueDrainTime(destination);
  for (Message* message : destination.queue) {
    if (message->not_before > now) {
      next_timer_at = std::min(next_timer_at, message->not_before);
      continue;
    }
    if (!isFirstInOrder(*message))
      continue;
    const double worth = priorityAt(*message, now),
                 loss = worth - priorityAt(*message, now + drain) + 1e-3 * worth;
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

Micros RetryPolicy::queueDrainTime(Destination& destination) {
  double rate = 0;
  for (EndpointEntry* endpoint : destination.endpoints)
    if (isReady(*endpoint))
      rate = hasSeparateRoutes(*endpoint)
                 ? rate + allowedRate(endpoint->target, endpoint->target.rate_limit.limit,
                                      perSecond(destination.message_rate) / readyEndpointCount(destination))
                 : allowedRate(destination.target, destination.target.rate_limit.limit,
                               perSecond(destination.message_rate));
  const double wait = static_cast<double>(destination.queue.size()) * kSecond / std::max(rate, 1e-6);
  return static_cast<Micros>(std::clamp(wait, static_cast<double>(settings.min_decide_interval), 1e12));
}

void RetryPolicy::dispatchMessages() {
  calls_with_room.clear();
  ++iteration;
  blocked_messages = 0;
  QueuePosition place{false, -1e300, 0};
  std::vector<Destination*> barred;
  double served = -1e300;  // the latest global tag that was
  while (static_cast<int>(attempts_per_call.size()) < settings.max_in_flight) {
    Destination* destination = nextDestination(place);
    if (!destination)
      break;
    place = positionOf(*destination);
    Pick pick = chooseMessage(*destination);
    if (!pick.first || (isOutlier(*pick.second) && outlierCallsInFlight() >= outlierCallLimit())) {
      destination->blocked_in_iteration = iteration;  // a start elsewhere opens nothing here
      barred.push_back(destination);
      blocked_messages += destination->queue.size();
      continue;
    }
    if (std::get<0>(place))
      served = std::get<1>(place);
    startAttempt(*pick.first, *pick.second, std::get<0>(place));
    fillBatch(*destination, *pick.second);
    // All before this place are blocked; only the one that has sent may stand before it now.
    if (!destination->tags.empty())
      place = std::min(place, positionOf(*destination));
  }
  for (Destination* destination : barred)
    raiseGlobalTags(*destination, served);
}

void RetryPolicy::fillBatch(Destination& destination, EndpointEntry& endpoint) {
  while (calls_with_room[&endpoint].second > 0 && !destination.queue.empty()) {
    Message* next = nullptr;
    for (Message* message : destination.queue)
      if (message->not_before <= now && isFirstInOrder(*message) && isEndpointEligible(endpoint, *message) &&
          (!next || message->sequence < next->sequence))
        next = message;
    if (!next)
      return;
    startAttempt(*next, endpoint, destination.tags.front().local > static_cast<double>(now));
  }
}

void RetryPolicy::onAttemptOutcome(const AttemptOutcome& outcome) {
  auto it = messages.find(outcome.id);
  if (it == messages.end())
    return;
  Message& message = it->second;
  if (outcome.attempt < 0 || outcome.attempt >= static_cast<int>(message.attempts.size()))
    return;
  Attempt& attempt = message.attempts[static_cast<std::size_t>(outcome.attempt)];
  if (!attempt.in_flight)
    return;
  finishAttempt(message, attempt);
  if (outcome.result == AttemptResult::ok || outcome.result == AttemptResult::error ||
      outcome.result == AttemptResult::rejected)
    returnConnection(*attempt.endpoint);
  if (outcome.result == AttemptResult::ok ||
      (attempt.is_overdue && (outcome.result == AttemptResult::timeout || attempt.cancel_requested)))
    recordConnectionUse(*attempt.endpoint->destination, attempt.connection_idle_time,
                        outcome.result != AttemptResult::ok);
  attempt.may_have_executed =
      !(outcome.result == AttemptResult::rejected || outcome.result == AttemptResult::connect_failed ||
        outcome.result == AttemptResult::not_sent);
  if (outcome.result == AttemptResult::connect_failed)
    attempt.endpoint->connect_failed_at = now;
  if (outcome.stale_connection)
    attempt.endpoint->stale_connection_at = now;
  applyLimitReport(*attempt.endpoint, outcome.limit_report);
  onAttemptResult(*attempt.endpoint, outcome.result,
                  outcome.round_trip > 0 ? outcome.round_trip : now - attempt.sent_at, outcome.retry_after,
                  outcome.stale_connection);
  const bool runs_on = attempt.may_have_executed && outcome.result != AttemptResult::ok &&
                       outcome.result != AttemptResult::error;
  if (runs_on && !message.ordering_key.empty()) {
    OrderingQueue& queue = ordering_queues[message.ordering_key];
    queue.blocked_until = std::max(queue.blocked_until, now + settings.ordering_backoff);
    next_timer_at = std::min(next_timer_at, queue.blocked_until);
  }
  if (outcome.already_finished || outcome.result == AttemptResult::ok)
    closeMessage(message);
  if (!message.is_finished)
    scheduleRetry(message, *attempt.endpoint);
  eraseIfUnused(message);
}

void RetryPolicy::scheduleRetry(Message& message, EndpointEntry& endpoint) {
  if (message.is_queued || message.attempts_in_flight > 0)
    return;
  if (now >= message.deadline || !isAttemptPossible(message))
    return finishMessage(message, now < message.deadline);
  const double left = static_cast<double>(message.deadline - now);
  const int tries = message.class_version->max_attempts - static_cast<int>(message.attempts.size());
  const double least = isLargeFleet()
                           ? shortest_objective + returnJitter(limitScope(endpoint), *message.destination)
                           : expectedLatency(endpoint);
  enqueue(message, now + static_cast<Micros>(std::max(least, left * std::exp2(-std::min(tries, 60)))));
}

void RetryPolicy::closeMessage(Message& message) {
  if (message.is_finished)
    return;
  if (message.is_queued)
    dequeue(message, false);
  message.is_finished = true;
  --open_messages;
  deadlines.erase({message.deadline, message.id});
}

void RetryPolicy::finishMessage(Message& message, bool worth_a_return) {
  if (message.is_finished)
    return;
  if (worth_a_return && mayReject(message))
    actions.push_back(RejectMessage{
        message.id, settings.retry_after_supported
                        ? std::min(settings.max_retry_after, queueDrainTime(*message.destination))
                        : 0});
  else
    actions.push_back(FailMessage{message.id});
  closeMessage(message);
}

void RetryPolicy::eraseIfUnused(Message& message) {
  if (!message.is_finished || message.attempts_in_flight > 0)
    return;
  if (!message.ordering_key.empty()) {
    OrderingQueue& queue = ordering_queues[message.ordering_key];
    queue.messages.erase(std::find(queue.messages.begin(), queue.messages.end(), &message));
    if (queue.messages.empty())
      idle_ordering_keys.schedule(queue.blocked_until, message.ordering_key);
  }
  for (const Attempt& attempt : message.attempts)
    if (attempt.endpoint)
      --attempt.endpoint->open_attempts;
  if (--message.destination->open_messages == 0 && message.destination->endpoints.empty())
    unlisted_destinations.schedule(now + retentionTime(), message.destination->id);
  messages.erase(messages.find(message.id));
}

}  // namespace grademux::decision
