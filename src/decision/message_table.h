// The known messages, their deadlines, and the queues of those that must be sent in order.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "decision_context.h"
#include "endpoint_table.h"
#include "fair_queue.h"

namespace grademux::decision {

class MessageTable {
 public:
  MessageTable(DecisionContext& context, EndpointTable& endpoint_table, FairQueue& fair_queue)
      : context_(context), endpoint_table_(endpoint_table), fair_queue_(fair_queue) {}

  // Null: not known. A pointer lasts until eraseIfUnused() erases the message.
  Message* find(const std::string& id);
  // Adds a message; `id` must not be known.
  Message& add(const std::string& id);
  // Counts the message as open, with its deadline and its place in the queue of its ordering key.
  void open(Message& message);
  // The final outcome is decided: no further attempt is started. Attempts in flight stay known.
  void closeMessage(Message& message);
  // Erases a closed message once it has no attempt in flight.
  void eraseIfUnused(Message& message);

  // Whether no earlier message with the same ordering key is open or may still be executing.
  bool isFirstInOrder(const Message& message) const {
    return message.ordering_key.empty() || isFirstOfOrderingKey(message);
  }
  // Blocks the ordering key of the message for Settings::ordering_backoff.
  void blockOrderingKey(const Message& message);
  // Erases ordering keys without messages once they are no longer blocked.
  void eraseIdleOrderingKeys();

  // Replaces tenant positions: `positions[old]` is the new one, -1 for a removed tenant.
  void moveTenants(const std::vector<int>& positions);

  int openMessages() const { return open_messages_; }
  // The open message with the earliest deadline, if it has passed; else null.
  Message* firstExpired();
  Micros nextDeadline() const { return deadlines_.empty() ? kNever : deadlines_.begin()->first; }

 private:
  bool isFirstOfOrderingKey(const Message& message) const;

  DecisionContext& context_;
  EndpointTable& endpoint_table_;
  FairQueue& fair_queue_;
  std::map<std::string, Message> messages_;  // also closed ones with an attempt in flight
  std::set<std::pair<Micros, std::string>> deadlines_;
  std::map<std::string, OrderingQueue> ordering_queues_;
  RevisitQueue<std::string> idle_ordering_keys_;
  std::uint64_t last_sequence_ = 0;
  int open_messages_ = 0;
};

}  // namespace grademux::decision
