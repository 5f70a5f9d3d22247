#include "admission_control.h"

namespace grademux::decision {

void AdmissionControl::onMessageArrival(const MessageArrival& arrival, ClassVersion class_version) {
  if (messages.count(arrival.id))
    return;
  for (const ClassVersion& version : class_versions)
    if (!class_version && version->name == arrival.message_class)
      class_version = version;
  if (!class_version)
    return actions.push_back(FailMessage{arrival.id});
  Message& message = messages[arrival.id];
  message.id = arrival.id;
  message.class_version = class_version;
  for (std::size_t index = 0; index < settings.tenants.size(); ++index)
    if (settings.tenants[index].name == arrival.tenant)
      message.tenant = static_cast<int>(index);
  if (message.tenant >= 0)
    countEvent(tenant_rates[static_cast<std::size_t>(message.tenant)]);
  message.destination = &destinations[arrival.destination];
  message.destination->id = arrival.destination;
  ++message.destination->open_messages;
  countEvent(message.destination->message_rate);
  message.submitted_at = std::min(now, arrival.deadline - class_version->deadline);
  const auto stretched = static_cast<Micros>(class_version->latency_objective_stretch *
                                             static_cast<double>(arrival.estimated_work));
  message.latency_objective = std::min(class_version->deadline, class_version->latency_objective + stretched);
  message.deadline = arrival.deadline - 2 * settings.min_decide_interval;
  message.sequence = ++next_message_sequence;
  if (class_version->ordered && !arrival.ordering_key.empty()) {
    message.ordering_key = arrival.ordering_key;
    ordering_queues[message.ordering_key].messages.push_back(&message);
  }
  ++open_messages;
  deadlines.insert({message.deadline, message.id});
  enqueue(message, now);
  if (open_messages > settings.max_open_messages) {
    finishMessage(message, true);
    eraseIfUnused(message);
  }
}

void AdmissionControl::onRecoveredMessage(const RecoveredMessage& recovered) {
  onMessageArrival(recovered.message, recovered.class_version);
  auto it = messages.find(recovered.message.id);
  if (it == messages.end())
    return;
  Message& message = it->second;
  for (const PastAttempt& past_attempt : recovered.attempts) {
    auto endpoint = endpoints.find(past_attempt.endpoint);
    if (past_attempt.in_flight && endpoint != endpoints.end()) {
      ++endpoint->second.calls_in_flight;
      recordAttempt(message, endpoint->second, ++next_call_id, past_attempt.sent_at, -1);
      continue;
    }
    Attempt attempt;
    attempt.endpoint = endpoint == endpoints.end() ? nullptr : &endpoint->second;
    if (attempt.endpoint)
      ++attempt.endpoint->open_attempts;
    attempt.sent_at = past_attempt.sent_at;
    attempt.in_flight = false;
    attempt.may_have_executed = past_attempt.may_have_run;
    message.attempts.push_back(attempt);
  }
  if (message.attempts_in_flight > 0)
    return dequeue(message, false);
  if (isAttemptPossible(message))
    return;
  finishMessage(message, now < message.deadline);
  eraseIfUnused(message);
}

void AdmissionControl::shedLoad() {
  const int most =
      std::max(1, settings.max_open_messages -
                      std::max(1, static_cast<int>(kOpenMessageReserve * settings.max_open_messages)));
  const bool busy = isLargeFleet() && static_cast<int>(attempts_per_call.size()) >= settings.max_in_flight;
  const double each = busy ? mean_latency * common_slowdown / settings.max_in_flight : 0;
  double wait = each * static_cast<double>(queued_messages -
                                           blocked_messages);  // of those that lack nothing but a slot
  if (open_messages <= most && wait <= kMaxQueueTimeFraction * shortest_objective)
    return;
  std::vector<std::tuple<double, std::uint64_t, Message*>> least;
  for (auto& [id, b] : backlog) {
    const Micros then = now + std::max(queueDrainTime(*b.item), static_cast<Micros>(wait));
    for (Message* message : b.item->queue)
      if (mayReject(*message))
        least.push_back(
            {priorityAt(*message, then) + 1e-3 * priorityAt(*message, now), message->sequence, message});
  }
  std::sort(least.begin(), least.end());
  for (auto& [worth, order, m] : least) {
    const bool late = wait > kMaxQueueTimeFraction * shortest_objective &&
                      m->destination->blocked_in_iteration != iteration &&
                      worth < kMinRetainedPriority * priorityAt(*m, m->submitted_at);
    if (open_messages <= most && !late)
      continue;
    wait -= late ? each : 0;
    finishMessage(*m, true);
    eraseIfUnused(*m);
  }
}

void AdmissionControl::failExpired() {
  while (!deadlines.empty() && deadlines.begin()->first <= now) {
    Message& message = messages.at(deadlines.begin()->second);
    finishMessage(message, false);
    eraseIfUnused(message);
  }
}

}  // namespace grademux::decision
