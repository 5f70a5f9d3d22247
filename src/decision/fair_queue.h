// grademux, decision 1, tags: which destination may use a free slot, and which of its messages loses most by
// waiting. RBFQ of "RePAIR" (dual real-time tags); docs/design.md lists what was kept of it.
#pragma once

#include <tuple>

#include "decision_state.h"

namespace grademux::decision {

constexpr double kIdleCredit = 2;  // sigma: starts that an idle destination may catch up, globally

struct FairQueue : DecisionState {
  using DecisionState::DecisionState;
  // On arrival all global tags move so that the smallest is now: else new ones starve or rule.
  void adjustGlobalTags();

  double destinationWeight(const Destination& destination) const;

  void updateIndex(Destination& destination);

  void enqueue(Message& message, Micros not_before);

  // Takes a message out of the held ones. A start takes the first tag; one that leaves unserved the last.
  void dequeue(Message& message, bool started);

  // A destination that could not send while others did gains no claim by it but one start: with the old tags
  // of a long wait it would take all slots for as long, once it may send again, from those that were served
  // meanwhile.
  void raiseGlobalTags(Destination& destination, double served);

  void lowerLocalTags(Destination& destination);

  // The order in which destinations may use a free slot: due local tags first, then global ones; ties by
  // destination. A place: by its global tag?, the tag, the destination.
  using QueuePosition = std::tuple<bool, double, std::int64_t>;
  QueuePosition positionOf(const Destination& destination) const;

  // The first from a place on where something may still leave in this turn.
  Destination* nextDestination(const QueuePosition& from) const;

  // What a message of a tenant is worth, as far as this sender can tell: the part inside its share in full.
  double tenantWeight(int tenant) const;

  // Which held message of a destination takes its tag: the one that loses most by waiting for the backlog.
  double priorityAt(const Message& message, Micros when) const;
};

}  // namespace grademux::decision
