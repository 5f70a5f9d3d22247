#include "message_table.h"

#include <algorithm>

namespace grademux::decision {

Message* MessageTable::find(const std::string& id) {
  const auto found = messages_.find(id);
  return found == messages_.end() ? nullptr : &found->second;
}

Message& MessageTable::add(const std::string& id) {
  Message& message = messages_[id];
  message.id = id;
  return message;
}

void MessageTable::open(Message& message) {
  message.sequence = ++last_sequence_;
  if (!message.ordering_key.empty())
    ordering_queues_[message.ordering_key].messages.push_back(&message);
  ++open_messages_;
  deadlines_.insert({message.deadline, message.id});
}

void MessageTable::closeMessage(Message& message) {
  if (message.is_finished)
    return;
  if (message.is_queued)
    fair_queue_.dequeue(message, false);
  message.is_finished = true;
  --open_messages_;
  deadlines_.erase({message.deadline, message.id});
}

void MessageTable::eraseIfUnused(Message& message) {
  if (!message.is_finished || message.attempts_in_flight > 0)
    return;
  if (!message.ordering_key.empty()) {
    OrderingQueue& queue = ordering_queues_[message.ordering_key];
    queue.messages.erase(std::find(queue.messages.begin(), queue.messages.end(), &message));
    if (queue.messages.empty())
      idle_ordering_keys_.schedule(queue.blocked_until, message.ordering_key);
  }
  for (const Attempt& attempt : message.attempts)
    if (attempt.endpoint)
      --attempt.endpoint->open_attempts;
  if (--message.destination->open_messages == 0 && message.destination->endpoints.empty())
    endpoint_table_.retainUnlisted(message.destination->id);
  messages_.erase(messages_.find(message.id));
}

bool MessageTable::isFirstOfOrderingKey(const Message& message) const {
  const OrderingQueue& queue = ordering_queues_.at(message.ordering_key);
  return queue.messages.front() == &message &&
         (!message.attempts.empty() || context_.now >= queue.blocked_until);
}

void MessageTable::blockOrderingKey(const Message& message) {
  OrderingQueue& queue = ordering_queues_[message.ordering_key];
  queue.blocked_until = std::max(queue.blocked_until, context_.now + context_.settings.ordering_backoff);
  context_.requestTimer(queue.blocked_until);
}

void MessageTable::eraseIdleOrderingKeys() {
  std::string key;
  while (idle_ordering_keys_.popDue(context_.now, key)) {
    const auto queue = ordering_queues_.find(key);
    if (queue == ordering_queues_.end() || !queue->second.messages.empty())
      continue;
    if (context_.now >= queue->second.blocked_until)
      ordering_queues_.erase(queue);
    else
      idle_ordering_keys_.schedule(queue->second.blocked_until, key);
  }
}

void MessageTable::moveTenants(const std::vector<int>& positions) {
  for (auto& [id, message] : messages_)
    if (message.tenant >= 0)
      message.tenant = positions[static_cast<std::size_t>(message.tenant)];
}

Message* MessageTable::firstExpired() {
  if (deadlines_.empty() || deadlines_.begin()->first > context_.now)
    return nullptr;
  return &messages_.at(deadlines_.begin()->second);
}

}  // namespace grademux::decision
