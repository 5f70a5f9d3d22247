// Log lines of the delivery engine about the health of destinations and the start of attempts.
#pragma once

#include "../log/events.h"
#include "grademux/sender.h"

namespace grademux {

// Logs the health of a destination. `now` and the times in `health` are of the same clock.
void logHealth(log::Event event, const DestinationHealth& health, Micros now, Micros slow_start_time);
// Logs an attempt that is about to be made, and what decided when. `attempt`: its number within the message.
void logAttemptStarted(const StartAttempt& start, int attempt);

}  // namespace grademux
