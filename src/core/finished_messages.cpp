#include "finished_messages.h"

#include "journal_record.h"

namespace grademux {

void FinishedMessages::remember(const std::string& id, const FinishedMessage& message) {
  const auto known = by_id_.find(id);
  if (known != by_id_.end()) {
    bytes_ -= finishedBytes(id, *known->second);
    bytes_ += finishedBytes(id, message);
    *known->second = message;
    return;
  }
  items_.push_back({id, message});
  by_id_[items_.back().id] = &items_.back().message;
  bytes_ += finishedBytes(id, message);
}

const FinishedMessage* FinishedMessages::find(const std::string& id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second;
}

void FinishedMessages::expire(Micros now) {
  while (!items_.empty() && items_.front().message.remember_until <= now) {
    const Item& oldest = items_.front();
    bytes_ -= finishedBytes(oldest.id, oldest.message);
    by_id_.erase(oldest.id);
    items_.pop_front();
  }
}

}  // namespace grademux
