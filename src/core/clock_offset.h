// Conversion of moments between the monotonic clock and Unix time. `offset` is added to each moment; a moment
// that is unknown (0) stays so, but for the health of a destination, where the start of the slow start is
// always known.
#pragma once

#include "grademux/sender.h"

namespace grademux {

void shiftMoments(DestinationHealth& health, Micros offset);
void shiftMoments(LearnedEndpoint& learned, Micros offset);
void shiftMoments(LearnedPool& pool, Micros offset);

}  // namespace grademux
