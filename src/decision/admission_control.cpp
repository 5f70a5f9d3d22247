#include "admission_control.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace grademux::decision {

namespace {

// A message that may be shed, ordered by its priority once it could be sent, then by arrival.
struct ShedCandidate {
  double priority = 0;
  Message* message = nullptr;
  bool operator<(const ShedCandidate& other) const {
    return std::tie(priority, message->sequence) < std::tie(other.priority, other.message->sequence);
  }
};

}  // namespace

AdmissionControl::AdmissionControl(const Modules& modules)
    : context_(modules.context),
      latency_(modules.latency),
      fair_queue_(modules.fair_queue),
      rate_limiter_(modules.rate_limiter),
      attempts_(modules.attempts),
      endpoint_table_(modules.endpoint_table),
      messages_(modules.messages),
      retry_policy_(modules.retry_policy),
      dispatcher_(modules.dispatcher) {}

void AdmissionControl::onMessageArrival(const MessageArrival& arrival, const ClassVersion& class_version) {
  if (messages_.find(arrival.id))
    return;
  const ClassVersion version = class_version ? class_version : findClass(arrival.message_class);
  if (!version)
    return context_.actions.push_back(FailMessage{arrival.id});
  Message& message = messages_.add(arrival.id);
  message.class_version = version;
  message.tenant = findTenant(arrival.tenant);
  if (message.tenant >= 0)
    fair_queue_.countTenantMessage(message.tenant);
  message.destination = &endpoint_table_.destination(arrival.destination);
  ++message.destination->open_messages;
  // Messages that were counted by this sender, another one or its earlier process are no further demand.
  if (!arrival.resubmitted)
    context_.countEvent(message.destination->message_rate);
  message.submitted_at = std::min(context_.now, arrival.deadline - version->deadline);
  const auto stretch =
      static_cast<Micros>(version->latency_objective_stretch * static_cast<double>(arrival.estimated_work));
  message.latency_objective = std::min(version->deadline, version->latency_objective + stretch);
  message.deadline = arrival.deadline - 2 * context_.settings.min_decide_interval;
  if (version->ordered)
    message.ordering_key = arrival.ordering_key;
  messages_.open(message);
  fair_queue_.enqueue(message, context_.now);
  if (messages_.openMessages() > context_.settings.max_open_messages)
    finishAndErase(message, true);
}

ClassVersion AdmissionControl::findClass(const std::string& name) const {
  for (const ClassVersion& version : context_.class_versions)
    if (version->name == name)
      return version;
  return nullptr;
}

// Position of the last tenant with this name in Settings::tenants; -1 if there is none.
int AdmissionControl::findTenant(const std::string& name) const {
  int tenant = -1;
  for (std::size_t index = 0; index < context_.settings.tenants.size(); ++index)
    if (context_.settings.tenants[index].name == name)
      tenant = static_cast<int>(index);
  return tenant;
}

void AdmissionControl::onRecoveredMessage(const RecoveredMessage& recovered) {
  onMessageArrival(recovered.message, recovered.class_version);
  Message* message = messages_.find(recovered.message.id);
  if (!message)
    return;
  for (const PastAttempt& past_attempt : recovered.attempts)
    recoverAttempt(*message, past_attempt);
  if (message->attempts_in_flight > 0)
    return fair_queue_.dequeue(*message, false);
  if (!retry_policy_.isAttemptPossible(*message))
    finishAndErase(*message, context_.now < message->deadline);
}

void AdmissionControl::recoverAttempt(Message& message, const PastAttempt& past_attempt) {
  EndpointEntry* endpoint = endpoint_table_.find(past_attempt.endpoint);
  if (past_attempt.in_flight && endpoint) {
    ++endpoint->calls_in_flight;
    attempts_.recordAttempt(message, *endpoint, attempts_.newCallId(), past_attempt.sent_at, -1);
    return;
  }
  if (past_attempt.in_flight)
    messages_.addUnlistedAttempt(message, static_cast<int>(message.attempts.size()));
  if (!message.ordering_key.empty()) {
    if (past_attempt.in_flight)
      messages_.addInheritedAttempts(message.ordering_key, message.id, 1);
    else if (past_attempt.outcome_lost)
      messages_.blockOrderingKey(message.ordering_key);
  }
  Attempt attempt;
  attempt.endpoint = endpoint;
  if (endpoint)
    ++endpoint->open_attempts;
  attempt.sent_at = past_attempt.sent_at;
  attempt.in_flight = false;
  attempt.may_have_executed = past_attempt.may_have_run;
  message.attempts.push_back(attempt);
}

void AdmissionControl::onMessageWithdrawn(const MessageWithdrawn& withdrawn) {
  Message* message = messages_.find(withdrawn.id);
  if (!message)
    return;
  messages_.closeMessage(*message);
  messages_.eraseIfUnused(*message);
}

void AdmissionControl::shedLoad() {
  const Settings& settings = context_.settings;
  const int reserve = std::max(1, static_cast<int>(kOpenMessageReserve * settings.max_open_messages));
  const int most_open = std::max(1, settings.max_open_messages - reserve);
  // Senders of a small fleet use all their calls only during an outage.
  const bool is_busy = context_.isLargeFleet() && attempts_.callsInFlight() >= settings.max_in_flight;
  const double wait_per_message =
      is_busy ? latency_.mean() * latency_.commonSlowdown() / settings.max_in_flight : 0;
  const double longest_wait = kMaxQueueTimeFraction * context_.shortest_objective;
  // Only the messages that wait for a free call count.
  double wait =
      wait_per_message * static_cast<double>(fair_queue_.queuedMessages() - dispatcher_.blockedMessages());
  if (messages_.openMessages() <= most_open && wait <= longest_wait)
    return;
  std::vector<ShedCandidate> candidates;
  for (auto& [id, entry] : fair_queue_.backlog()) {
    const Micros sent_at =
        context_.now + std::max(rate_limiter_.queueDrainTime(*entry.item), static_cast<Micros>(wait));
    for (Message* message : entry.item->queue)
      if (retry_policy_.mayReject(*message))
        candidates.push_back({fair_queue_.priorityAt(*message, sent_at) +
                                  1e-3 * fair_queue_.priorityAt(*message, context_.now),
                              message});
  }
  std::sort(candidates.begin(), candidates.end());
  for (const auto& [priority, message] : candidates) {
    const bool is_late =
        wait > longest_wait && message->destination->blocked_in_iteration != context_.iteration &&
        priority < kMinRetainedPriority * fair_queue_.priorityAt(*message, message->submitted_at);
    if (messages_.openMessages() <= most_open && !is_late)
      continue;
    wait -= is_late ? wait_per_message : 0;
    finishAndErase(*message, true);
  }
}

void AdmissionControl::failExpired() {
  while (Message* message = messages_.firstExpired())
    finishAndErase(*message, false);
}

void AdmissionControl::finishMessage(Message& message, bool may_reject) {
  if (message.is_finished)
    return;
  if (may_reject && retry_policy_.mayReject(message)) {
    const Micros retry_after =
        context_.settings.retry_after_supported
            ? std::min(context_.settings.max_retry_after, rate_limiter_.queueDrainTime(*message.destination))
            : 0;
    context_.actions.push_back(RejectMessage{message.id, retry_after});
  } else {
    context_.actions.push_back(FailMessage{message.id});
  }
  messages_.closeMessage(message);
}

void AdmissionControl::finishAndErase(Message& message, bool may_reject) {
  finishMessage(message, may_reject);
  messages_.eraseIfUnused(message);
}

}  // namespace grademux::decision
