#include "clock_offset.h"

namespace grademux {

namespace {

void shiftKnown(Micros& moment, Micros offset) {
  if (moment > 0)
    moment += offset;
}

}  // namespace

void shiftMoments(DestinationHealth& health, Micros offset) {
  health.warming_since += offset;
  health.observed_at += offset;
  shiftKnown(health.retry_after_until, offset);
}

void shiftMoments(OrderingKeyBlocked& block, Micros offset) {
  shiftKnown(block.until, offset);
}

void shiftMoments(LearnedEndpoint& learned, Micros offset) {
  shiftKnown(learned.last_outcome_at, offset);
  shiftKnown(learned.last_message_at, offset);
}

void shiftMoments(LearnedPool& pool, Micros offset) {
  shiftKnown(pool.last_outcome_at, offset);
  shiftKnown(pool.stale_observed_at, offset);
}

}  // namespace grademux
