// The final outcomes that are remembered, by message id, so that a resubmitted id gets the same answer. No
// I/O.
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

  // Adds a message, or replaces the one with the same id in its place.
  void remember(const std::string& id, const FinishedMessage& message);
  // Null if the id is not remembered. The pointer is valid until the message expires.
  const FinishedMessage* find(const std::string& id) const;
  // Removes messages from the front whose time is up. `now` is Unix time.
  void expire(Micros now);

  const std::deque<Item>& items() const { return items_; }
  // Bytes of these messages in the journal.
  std::uint64_t bytes() const { return bytes_; }

 private:
  std::deque<Item> items_;  // in the order of their ends; a deque never moves its elements
  std::unordered_map<std::string_view, FinishedMessage*> by_id_;
  std::uint64_t bytes_ = 0;
};

}  // namespace grademux
