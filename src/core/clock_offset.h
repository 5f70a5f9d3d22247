// Conversion of times between the monotonic clock and Unix time. `offset` is added to each time. An unknown
// time (0) stays 0, except in the health of a destination: the start of the slow start and the time of the
// last observation are always known there.
#pragma once

#include "grademux/sender.h"

namespace grademux {

void shiftMoments(DestinationHealth& health, Micros offset);
void shiftMoments(OrderingKeyBlocked& block, Micros offset);
void shiftMoments(LearnedEndpoint& learned, Micros offset);
void shiftMoments(LearnedPool& pool, Micros offset);

}  // namespace grademux
