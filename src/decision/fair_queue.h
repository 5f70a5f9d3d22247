// Fair queue: the queued messages of all destinations, and the order in which destinations use free calls.
// The order is RBFQ of the paper "RePAIR" (dual real-time tags); docs/design.md lists the differences.
#pragma once

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

#include "decision_context.h"

namespace grademux::decision {

constexpr double kIdleCredit = 2;  // the paper's sigma: starts that an idle destination may catch up on

class FairQueue {
 public:
  // A position in the order of destinations: first the destinations with a due local tag, by local tag, then
  // all destinations by global tag. Equal tags are ordered by destination id.
  struct Position {
    bool by_global_tag = false;
    double tag = -1e300;
    std::int64_t destination = 0;
    bool operator<(const Position& other) const {
      return std::tie(by_global_tag, tag, destination) <
             std::tie(other.by_global_tag, other.tag, other.destination);
    }
  };
  using Backlog =
      TwoKeyIndex<Destination>;  // destinations with queued messages, by their first local and global tag

  explicit FairQueue(DecisionContext& context);

  // Queues the message at its destination; its attempt starts at `not_before` at the earliest. Adds a tag
  // pair: local l = max(l_prev + 1/M, now), global g = max(g_prev + 1/w, now - idle credit).
  void enqueue(Message& message, Micros not_before);
  // Removes the message from the queue. A started message uses up the first tag pair of its destination; any
  // other message removes the last pair.
  void dequeue(Message& message, bool started);
  // Lowers the local tags of the destination by 1/M, after a start by its global tag.
  void lowerLocalTags(Destination& destination);
  // Raises the global tags of a destination that could not start an attempt while others were served up to
  // global tag `served`. The destination keeps a lag of one start, or none while cold, so that it does not
  // use all calls once it may send again.
  void raiseGlobalTags(Destination& destination, double served);

  Position positionOf(const Destination& destination) const;
  // Returns the first destination at or after `from` that is not blocked in this iteration; null if there is
  // none.
  Destination* nextDestination(const Position& from) const;

  // Priority of the message if it is delivered at `when`: its class's priority weight, lowered past the
  // latency objective and for tenants over quota.
  double priorityAt(const Message& message, Micros when) const;
  // Counts a message for the rate of the tenant at this position of Settings::tenants.
  void countTenantMessage(int tenant);
  // Assigns the tenants' rates to the tenants of the current settings, by name. Returns the new position of
  // each old tenant, or -1 for a removed one.
  std::vector<int> moveTenants(const std::vector<Tenant>& old_tenants);

  const Backlog& backlog() const { return backlog_; }
  std::size_t queuedMessages() const { return queued_messages_; }
  // Offset that is added to every stored global tag.
  double globalTagShift() const { return global_tag_shift_; }

 private:
  void adjustGlobalTags();
  double destinationWeight(const Destination& destination) const;
  void updateIndex(Destination& destination);
  double tenantWeight(int tenant) const;

  DecisionContext& context_;
  Backlog backlog_;
  double global_tag_shift_ = 0;
  std::uint64_t last_queue_sequence_ = 0;
  std::size_t queued_messages_ = 0;
  std::vector<Rate> tenant_rates_;
};

// Inline: each dispatch computes the priority of many queued messages.

// Returns the priority factor of a tenant: the part of its rate within the quota counts in full, the rest by
// Settings::over_quota_weight.
inline double FairQueue::tenantWeight(int tenant) const {
  if (tenant < 0)
    return 1;
  const double quota =
      context_.settings.tenants[static_cast<std::size_t>(tenant)].quota / context_.settings.sender_count;
  const double rate = context_.perSecond(tenant_rates_[static_cast<std::size_t>(tenant)]);
  if (quota <= 0 || rate <= quota)
    return 1;
  return quota / rate + (1 - quota / rate) * context_.settings.over_quota_weight;
}

inline double FairQueue::priorityAt(const Message& message, Micros when) const {
  const MessageClass& message_class = *message.class_version;
  const double age = static_cast<double>(when - message.submitted_at);
  const double objective = static_cast<double>(message.latency_objective);
  const double deadline = std::max(objective, static_cast<double>(message_class.deadline));
  double weight = 1;
  if (age >= deadline)
    return 0;
  if (age > objective && context_.settings.lateness_penalty == LatenessPenalty::linear)
    weight = 1 - (1 - message_class.late_weight_fraction) * (age - objective) / (deadline - objective);
  else if (age > objective)
    weight = std::max(message_class.late_weight_fraction, std::exp2(-(age - objective) / objective));
  return message_class.priority_weight * weight * tenantWeight(message.tenant);
}

}  // namespace grademux::decision
