// Message table: the known messages, their deadlines, and the ordering queues.
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

  // Returns null for an unknown id. The pointer is valid until eraseIfUnused() erases the message.
  Message* find(const std::string& id);
  // Adds a message. `id` must be unknown.
  Message& add(const std::string& id);
  // Counts the message as open, and records its deadline and its position in its ordering queue.
  void open(Message& message);
  // Marks the final outcome as decided: no further attempt is started. Attempts in flight remain tracked.
  void closeMessage(Message& message);
  // Erases a closed message once it has no attempt in flight.
  void eraseIfUnused(Message& message);

  // Whether no earlier message with the same ordering key is open or possibly still executing.
  bool isFirstInOrder(const Message& message) const {
    return message.ordering_key.empty() || isFirstOfOrderingKey(message);
  }
  // Blocks later messages with the ordering key for Settings::ordering_backoff.
  void blockOrderingKey(const std::string& ordering_key);
  // Requests a timer for the end of the pause that keeps the message from being the first in order.
  void requestOrderTimer(const Message& message);
  // Restores a block of an earlier process.
  void onOrderingKeyBlocked(const OrderingKeyBlocked& block);
  // Blocks the key until an earlier process has reported one more attempt of the message, which is no attempt
  // of a known message here.
  void addInheritedAttempts(const std::string& ordering_key, const std::string& message_id, int attempts);
  // Remembers the destination of an attempt that an earlier process has in flight at an endpoint that is not
  // listed here, until takeUnlistedAttempt().
  void addUnlistedAttempt(const Message& message, int attempt);
  // The destination of such an attempt, whose outcome has come; null for others.
  Destination* takeUnlistedAttempt(const AttemptOutcome& outcome);
  // Handles the outcome of an inherited attempt; other outcomes are ignored.
  void onInheritedOutcome(const AttemptOutcome& outcome);
  // Exports the blocks that have changed in this call of decide().
  void exportOrderingKeys();
  // Erases ordering keys without messages once they are no longer blocked.
  void eraseIdleOrderingKeys();

  // Replaces the tenant positions of all messages: `positions[old]` is the new position, -1 for a removed
  // tenant.
  void moveTenants(const std::vector<int>& positions);

  int openMessages() const { return open_messages_; }
  // Returns the open message with the earliest deadline if that deadline has passed, else null.
  Message* firstExpired();
  Micros nextDeadline() const { return deadlines_.empty() ? kNever : deadlines_.begin()->first; }

 private:
  bool isFirstOfOrderingKey(const Message& message) const;
  void exportOrderingKey(const std::string& ordering_key, OrderingQueue& queue);

  DecisionContext& context_;
  EndpointTable& endpoint_table_;
  FairQueue& fair_queue_;
  std::map<std::string, Message> messages_;  // includes closed messages with an attempt in flight
  std::set<std::pair<Micros, std::string>> deadlines_;
  std::map<std::string, OrderingQueue> ordering_queues_;
  RevisitQueue<std::string> idle_ordering_keys_;
  std::set<std::string> changed_ordering_keys_;            // since the last exportOrderingKeys()
  std::map<std::string, std::string> inherited_messages_;  // ids, with their ordering keys
  std::map<std::pair<std::string, int>, std::int64_t>
      unlisted_attempts_;  // attempts, with their destinations
  std::uint64_t last_sequence_ = 0;
  int open_messages_ = 0;
};

}  // namespace grademux::decision
