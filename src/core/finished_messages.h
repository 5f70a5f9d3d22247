// Remembered final outcomes by message id, so that a resubmitted id gets the same answer. No I/O.
#pragma once

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

#include "journal_types.h"

namespace grademux {

class FinishedMessages {
 public:
  struct Item {
    std::string id;
    FinishedMessage message;
  };

  FinishedMessages() = default;
  FinishedMessages(const FinishedMessages&) = delete;
  FinishedMessages& operator=(const FinishedMessages&) = delete;

  // Adds a message, or replaces the message with the same id without changing its position.
  void remember(const std::string& id, const FinishedMessage& message);
  // Null if the id is not remembered. The pointer is valid until the message expires.
  const FinishedMessage* find(const std::string& id) const;
  // Removes expired messages from the front, up to the first that has not expired. `now` is Unix time.
  void expire(Micros now);

  const std::deque<Item>& items() const { return items_; }
  // The size of these messages' records in the journal.
  std::uint64_t bytes() const { return bytes_; }

 private:
  // In the order of the final outcomes. by_id_ points to the items: a deque doesn't move its elements when
  // items are added at the back or removed from the front.
  std::deque<Item> items_;
  std::unordered_map<std::string_view, FinishedMessage*> by_id_;
  std::uint64_t bytes_ = 0;
};

}  // namespace grademux
