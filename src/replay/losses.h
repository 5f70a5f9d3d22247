// Analyzes a recording of decisions for lost priority weight: which messages were late or not delivered, and
// in which phase their time was spent. A recording is of one sender and may span restarts. The analysis does
// not run the decision module again.
#pragma once

#include <iosfwd>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "grademux/sender.h"

namespace grademux::replay {

// Phases of a message's time, from its submission by the client.
enum class Phase {
  before_decision,       // until the decision module received it
  before_first_attempt,  // queued before its first attempt
  before_retry,          // queued after a failed attempt
  failed_attempt,        // in attempts that did not deliver it
  no_process,            // no process was running, or the process left the message to its successor
  delivering_attempt,    // in the attempt that delivered it
  count
};

struct Loss {
  std::size_t messages = 0;
  double lost_weight = 0;     // in units of the classes' priority weight
  std::size_t unhealthy = 0;  // messages whose destination was down or in slow start in that time
  // Messages that arrived or were recovered while the process was younger than the slow start time.
  std::size_t recently_started = 0;
  Micros phase_times[static_cast<std::size_t>(Phase::count)] = {};  // sums over the messages, microseconds
};

struct Losses {
  std::size_t runs = 0, messages = 0, on_time = 0;
  double total_weight = 0, lost_weight = 0;
  // Keys are "late: " with the longest phase, or how the message ended: "refused at once", "handed back",
  // "handed back after calls", "given up", "unfinished" (the recording ends before the message does).
  std::map<std::string, Loss> by_cause;
  std::map<std::int64_t, Loss> by_destination;
  std::map<std::string, std::size_t> results;  // number of failed attempts by result
  std::string unreadable;  // the first line that can't be read, and why; empty: all lines were read
};

Losses analyzeLosses(std::istream& in);
nlohmann::json toJson(const Losses& l);
// Prints a readable table: causes, then the destinations with the highest lost weight.
void print(const Losses& l, std::ostream& out);

}  // namespace grademux::replay
