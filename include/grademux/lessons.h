// grademux: what one process of a sender has learned and the next may know. Types only, as in settings.h; how
// far it is trusted after a time is decided in src/knowledge/ageing.h.
#pragma once

#include <cstdint>
#include <string>

#include "grademux/settings.h"

namespace grademux {

// The health of a destination, or of an endpoint that is a route apart, for the next process of this sender:
// asked to be kept as an action, given back as an event. cold_since in the far past: healthy.
struct Ailment {
  std::string endpoint;  // empty: the destination
  std::int64_t destination = 0;
  bool down = false;
  Micros cold_since = 0;
  Micros wait_until = 0;  // told to wait; 0: not
  Micros noted = 0;       // when this was so
};
// What was learned of a destination, or of one of its endpoints, besides its health: given where a Survey
// asks, taken by the next process. 0: unknown. How far it is trusted after a time is decided outside.
struct Lesson {
  std::string endpoint;  // empty: the destination
  std::int64_t destination = 0;
  double limit = 0;            // calls a second from all senders, told or learned from refusals
  bool told = false;           // by answers
  double part = 0;             // of it that this sender takes
  Micros usual = 0;            // latency
  int samples = 0;             // answers that it stands on
  double risk = 0;             // share of calls that ended in the unknown
  double traffic = 0;          // own messages a second; of destinations alone
  Micros heard = 0, came = 0;  // the last outcome, the last message
};
// The same of all destinations together: the mean latency, connections that die idle.
struct Experience {
  double typical = 0;
  int typical_of = 0;
  double dead_score = 0;
  Micros dead_least = 0, dead_at = 0, heard = 0;
};
// Asks what was learned of so many destinations with numbers above `after`; the answer ends in Surveyed.
struct Survey {
  std::int64_t after = INT64_MIN;
  int most = 0;
};
struct Surveyed {
  std::int64_t after = INT64_MIN;  // where the next Survey goes on
  bool all = false;                // there are no more
  Experience pool;
};

}  // namespace grademux
