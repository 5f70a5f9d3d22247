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
  if (!message.ordering_key.empty() && message.attempts_in_flight > 0)
    changed_ordering_keys_.insert(message.ordering_key);
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
    changed_ordering_keys_.insert(message.ordering_key);
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
         (!message.attempts.empty() ||
          (queue.inherited_attempts == 0 && context_.now >= queue.blocked_until));
}

void MessageTable::blockOrderingKey(const std::string& ordering_key) {
  OrderingQueue& queue = ordering_queues_[ordering_key];
  queue.blocked_until = std::max(queue.blocked_until, context_.now + context_.settings.ordering_backoff);
  context_.requestTimer(queue.blocked_until);
  changed_ordering_keys_.insert(ordering_key);
}

void MessageTable::requestOrderTimer(const Message& message) {
  const OrderingQueue& queue = ordering_queues_.at(message.ordering_key);
  if (queue.messages.front() == &message && queue.blocked_until > context_.now)
    context_.requestTimer(queue.blocked_until);
}

void MessageTable::onOrderingKeyBlocked(const OrderingKeyBlocked& block) {
  OrderingQueue& queue = ordering_queues_[block.ordering_key];
  queue.blocked_until = std::max(queue.blocked_until, block.until);
  queue.exported_until = block.until;
  queue.exported_message = block.finished_message;
  if (!block.finished_message.empty() && block.attempts_in_flight == 0)
    blockOrderingKey(block.ordering_key);
  else if (block.attempts_in_flight > 0)
    addInheritedAttempts(block.ordering_key, block.finished_message, block.attempts_in_flight);
  context_.requestTimer(queue.blocked_until);
  if (queue.messages.empty())
    idle_ordering_keys_.schedule(queue.blocked_until, block.ordering_key);
}

void MessageTable::addInheritedAttempts(const std::string& ordering_key, const std::string& message_id,
                                        int attempts) {
  OrderingQueue& queue = ordering_queues_[ordering_key];
  queue.inherited_message = message_id;
  queue.inherited_attempts += attempts;
  inherited_messages_[message_id] = ordering_key;
}

void MessageTable::addUnlistedAttempt(const Message& message, int attempt) {
  unlisted_attempts_[{message.id, attempt}] = message.destination->id;
}

Destination* MessageTable::takeUnlistedAttempt(const AttemptOutcome& outcome) {
  const auto unlisted = unlisted_attempts_.find({outcome.id, outcome.attempt});
  if (unlisted == unlisted_attempts_.end())
    return nullptr;
  Destination& destination = endpoint_table_.destination(unlisted->second);
  endpoint_table_.retainUnlisted(unlisted->second);
  unlisted_attempts_.erase(unlisted);
  return &destination;
}

void MessageTable::onInheritedOutcome(const AttemptOutcome& outcome) {
  const auto inherited = inherited_messages_.find(outcome.id);
  if (inherited == inherited_messages_.end())
    return;
  const std::string ordering_key = inherited->second;
  if (mayBeExecuting(outcome))
    blockOrderingKey(ordering_key);
  OrderingQueue& queue = ordering_queues_[ordering_key];
  if (--queue.inherited_attempts > 0)
    return;
  queue.inherited_message.clear();
  inherited_messages_.erase(inherited);
  changed_ordering_keys_.insert(ordering_key);
  if (queue.messages.empty())
    idle_ordering_keys_.schedule(queue.blocked_until, ordering_key);
}

void MessageTable::exportOrderingKeys() {
  for (const std::string& ordering_key : std::exchange(changed_ordering_keys_, {})) {
    const auto queue = ordering_queues_.find(ordering_key);
    if (queue != ordering_queues_.end())
      exportOrderingKey(ordering_key, queue->second);
  }
}

void MessageTable::exportOrderingKey(const std::string& ordering_key, OrderingQueue& queue) {
  OrderingKeyBlocked block;
  block.ordering_key = ordering_key;
  block.until = queue.blocked_until > context_.now ? queue.blocked_until : 0;
  const Message* first = queue.messages.empty() ? nullptr : queue.messages.front();
  if (queue.inherited_attempts > 0)
    block.finished_message = queue.inherited_message;
  else if (first && first->is_finished)
    block.finished_message = first->id;
  const bool is_known =
      queue.exported_message == block.finished_message &&
      (queue.exported_until == block.until || (block.until == 0 && queue.exported_until <= context_.now));
  if (is_known)
    return;
  queue.exported_until = block.until;
  queue.exported_message = block.finished_message;
  context_.actions.push_back(std::move(block));
}

void MessageTable::eraseIdleOrderingKeys() {
  std::string key;
  while (idle_ordering_keys_.popDue(context_.now, key)) {
    const auto queue = ordering_queues_.find(key);
    if (queue == ordering_queues_.end() || !queue->second.messages.empty() ||
        queue->second.inherited_attempts > 0)
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
