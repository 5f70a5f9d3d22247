#include "fair_queue.h"

namespace grademux::decision {

void FairQueue::adjustGlobalTags() {
  if (!backlog.empty())
    global_tag_shift += static_cast<double>(now) - (backlog.bySecond().begin()->first + global_tag_shift);
}

double FairQueue::destinationWeight(const Destination& destination) const {
  for (const EndpointEntry* endpoint : destination.endpoints)
    if (endpoint->state == EndpointState::ready && settings.weight_kind != WeightKind::none &&
        endpoint->weight > 0)
      return endpoint->weight;
  return 1;
}

void FairQueue::updateIndex(Destination& destination) {
  if (destination.tags.empty())
    return backlog.drop(destination.id);
  backlog.put(destination.id, &destination, destination.tags.front().local,
              destination.tags.front().global + destination.global_tag_raise);
}

void FairQueue::enqueue(Message& message, Micros not_before) {
  Destination& destination = *message.destination;
  adjustGlobalTags();
  message.is_queued = true;
  message.not_before = not_before;
  message.queue_sequence = ++next_queue_sequence;
  destination.queue.add(&message);
  destination.queued_objectives.insert(static_cast<double>(message.class_version->latency_objective));
  ++queued_messages;
  destination.local_tag_interval =
      *destination.queued_objectives.begin();  // M: one start for each aim of the most urgent held class
  const double step = kSecond / destinationWeight(destination), now_tag = static_cast<double>(now);
  // Idle credit, sigma/w at most; none after an outage: with its backlog that would push it over.
  const double credit =
      destination.tags.empty() && destination.last_global_tag > -1e17 && !isCold(destination.target)
          ? kIdleCredit * step
          : 0;
  destination.last_local_tag = std::max(destination.last_local_tag + destination.local_tag_interval, now_tag);
  destination.last_global_tag =
      std::max(destination.last_global_tag + step, now_tag - global_tag_shift - credit);
  destination.tags.push_back(
      {destination.last_local_tag, destination.last_global_tag - destination.global_tag_raise});
  updateIndex(destination);
}

void FairQueue::dequeue(Message& message, bool started) {
  Destination& destination = *message.destination;
  destination.queue.remove(&message);
  destination.queued_objectives.erase(
      destination.queued_objectives.find(static_cast<double>(message.class_version->latency_objective)));
  --queued_messages;
  message.is_queued = false;
  if (started) {
    destination.tags.pop_front();
  } else {
    destination.tags.pop_back();
    destination.last_local_tag -= destination.local_tag_interval;
    destination.last_global_tag -= kSecond / destinationWeight(destination);
  }
  updateIndex(destination);
}

void FairQueue::raiseGlobalTags(Destination& destination, double served) {
  const double credit = isCold(destination.target) ? 0 : kSecond / destinationWeight(destination);
  const double increase = served - credit - (destination.tags.front().global + destination.global_tag_raise);
  if (increase <= 0)
    return;
  destination.global_tag_raise += increase;
  destination.last_global_tag += increase;
  updateIndex(destination);
}

void FairQueue::lowerLocalTags(Destination& destination) {
  for (FairQueueTag& tag : destination.tags)
    tag.local -= destination.local_tag_interval;
  destination.last_local_tag -= destination.local_tag_interval;
  updateIndex(destination);
}

FairQueue::QueuePosition FairQueue::positionOf(const Destination& destination) const {
  const FairQueueTag& tag = destination.tags.front();
  const bool due = tag.local <= static_cast<double>(now);
  return {!due, due ? tag.local : tag.global + destination.global_tag_raise, destination.id};
}

Destination* FairQueue::nextDestination(const QueuePosition& from) const {
  for (const bool global : {false, true}) {
    if (global < std::get<0>(from))
      continue;
    const auto& order = global ? backlog.bySecond() : backlog.byFirst();
    auto it = global == std::get<0>(from) ? order.lower_bound({std::get<1>(from), std::get<2>(from)})
                                          : order.begin();
    for (; it != order.end() && (global || it->first <= static_cast<double>(now)); ++it) {
      Destination* destination = backlog.at(it->second);
      if (destination->blocked_in_iteration != iteration && std::get<0>(positionOf(*destination)) == global)
        return destination;
    }
  }
  return nullptr;
}

double FairQueue::tenantWeight(int tenant) const {
  if (tenant < 0)
    return 1;
  const double quota = settings.tenants[static_cast<std::size_t>(tenant)].quota / settings.sender_count;
  const double rate = perSecond(tenant_rates[static_cast<std::size_t>(tenant)]);
  if (quota <= 0 || rate <= quota)
    return 1;
  return quota / rate + (1 - quota / rate) * settings.over_quota_weight;
}

double FairQueue::priorityAt(const Message& message, Micros when) const {
  const MessageClass& message_class = *message.class_version;
  const double age = static_cast<double>(when - message.submitted_at),
               aim = static_cast<double>(message.latency_objective);
  const double deadline = std::max(aim, static_cast<double>(message_class.deadline));
  double share = 1;
  if (age >= deadline)
    return 0;
  if (age > aim && settings.lateness_penalty == LatenessPenalty::linear)
    share = 1 - (1 - message_class.late_weight_fraction) * (age - aim) / (deadline - aim);
  else if (age > aim)
    share = std::max(message_class.late_weight_fraction, std::exp2(-(age - aim) / aim));
  return message_class.priority_weight * share * tenantWeight(message.tenant);
}

}  // namespace grademux::decision
