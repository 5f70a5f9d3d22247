#include "fair_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace grademux::decision {

FairQueue::FairQueue(DecisionContext& context) : context_(context) {
  tenant_rates_.resize(context.settings.tenants.size());
}

// Tag adjustment (RePAIR): on each arrival all global tags are shifted so that the smallest equals the
// current time. Otherwise new destinations starve or dominate.
void FairQueue::adjustGlobalTags() {
  if (!backlog_.empty())
    global_tag_shift_ +=
        static_cast<double>(context_.now) - (backlog_.bySecond().begin()->first + global_tag_shift_);
}

// The paper's w: calls a second from the endpoint list; 1 if the list states no weight.
double FairQueue::destinationWeight(const Destination& destination) const {
  for (const EndpointEntry* endpoint : destination.endpoints)
    if (endpoint->state == EndpointState::ready && context_.settings.weight_kind != WeightKind::none &&
        endpoint->weight > 0)
      return endpoint->weight;
  return 1;
}

void FairQueue::updateIndex(Destination& destination) {
  if (destination.tags.empty())
    return backlog_.drop(destination.id);
  backlog_.put(destination.id, &destination, destination.tags.front().local,
               destination.tags.front().global + destination.global_tag_raise);
}

void FairQueue::enqueue(Message& message, Micros not_before) {
  Destination& destination = *message.destination;
  adjustGlobalTags();
  message.is_queued = true;
  message.not_before = not_before;
  message.queue_sequence = ++last_queue_sequence_;
  destination.queue.add(&message);
  destination.queued_objectives.insert(static_cast<double>(message.class_version->latency_objective));
  ++queued_messages_;
  // 1/M: one start per latency objective of the most urgent queued class.
  destination.local_tag_interval = *destination.queued_objectives.begin();
  const double step = kSecond / destinationWeight(destination);
  const double now_tag = static_cast<double>(context_.now);
  // Idle credit of at most sigma/w. A cold destination gets none: credit and backlog together would overload
  // it.
  const double credit =
      destination.tags.empty() && destination.last_global_tag > -1e17 && !context_.isCold(destination.target)
          ? kIdleCredit * step
          : 0;
  destination.last_local_tag = std::max(destination.last_local_tag + destination.local_tag_interval, now_tag);
  destination.last_global_tag =
      std::max(destination.last_global_tag + step, now_tag - global_tag_shift_ - credit);
  destination.tags.push_back(
      {destination.last_local_tag, destination.last_global_tag - destination.global_tag_raise});
  updateIndex(destination);
}

void FairQueue::dequeue(Message& message, bool started) {
  Destination& destination = *message.destination;
  destination.queue.remove(&message);
  destination.queued_objectives.erase(
      destination.queued_objectives.find(static_cast<double>(message.class_version->latency_objective)));
  --queued_messages_;
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
  const double credit = context_.isCold(destination.target) ? 0 : kSecond / destinationWeight(destination);
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

FairQueue::Position FairQueue::positionOf(const Destination& destination) const {
  const FairQueueTag& tag = destination.tags.front();
  const bool is_due = tag.local <= static_cast<double>(context_.now);
  return {!is_due, is_due ? tag.local : tag.global + destination.global_tag_raise, destination.id};
}

Destination* FairQueue::nextDestination(const Position& from) const {
  for (const bool by_global_tag : {false, true}) {
    if (by_global_tag < from.by_global_tag)
      continue;
    const auto& order = by_global_tag ? backlog_.bySecond() : backlog_.byFirst();
    auto next =
        by_global_tag == from.by_global_tag ? order.lower_bound({from.tag, from.destination}) : order.begin();
    for (; next != order.end() && (by_global_tag || next->first <= static_cast<double>(context_.now));
         ++next) {
      Destination* destination = backlog_.at(next->second);
      if (destination->blocked_in_iteration != context_.iteration &&
          positionOf(*destination).by_global_tag == by_global_tag)
        return destination;
    }
  }
  return nullptr;
}

void FairQueue::countTenantMessage(int tenant) {
  context_.countEvent(tenant_rates_[static_cast<std::size_t>(tenant)]);
}

std::vector<int> FairQueue::moveTenants(const std::vector<Tenant>& old_tenants) {
  const std::vector<Tenant>& tenants = context_.settings.tenants;
  std::vector<int> positions(old_tenants.size(), -1);
  std::vector<Rate> rates(tenants.size());
  for (std::size_t index = 0; index < tenants.size(); ++index)
    for (std::size_t old_index = 0; old_index < old_tenants.size(); ++old_index)
      if (old_tenants[old_index].name == tenants[index].name) {
        positions[old_index] = static_cast<int>(index);
        rates[index] = tenant_rates_[old_index];
      }
  tenant_rates_ = std::move(rates);
  return positions;
}

}  // namespace grademux::decision
