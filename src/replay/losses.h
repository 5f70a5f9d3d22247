// grademux: where worth went, message by message, in a record of decisions: what came late or not at all, and
// in which part of its way its time passed. Reads records of one sender, also over restarts. No decision is
// made anew.
#pragma once

#include <iosfwd>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "grademux/sender.h"

namespace grademux::replay {

// The parts of a message's way, from when its client handed it in.
enum class Part {
  before,  // until the decision module heard of it
  first,   // held, before its first call
  again,   // held, after a call that did not deliver it
  failed,  // in calls that did not deliver it
  away,    // no process was there, or the one that was left it to the next
  answer,  // in the call that delivered it
  count
};

struct Loss {
  std::size_t messages = 0;
  double worth = 0;         // lost, as classes give it
  std::size_t ailing = 0;   // of the messages: their destination was down or ramped up in that time
  std::size_t started = 0;  // of the messages: the process was younger than a ramp when it came, or came back
  Micros parts[static_cast<std::size_t>(Part::count)] = {};  // sums
};

struct Losses {
  std::size_t runs = 0, messages = 0, in_time = 0;
  double worth = 0, lost = 0;
  // "late: " and the part that took longest, or what the end was: "refused at once", "refused", "handed
  // back", "given up", "unfinished" (the record ends before).
  std::map<std::string, Loss> by_cause;
  std::map<std::int64_t, Loss> by_destination;
  std::map<std::string, std::size_t> results;  // of calls that did not deliver
  std::string unreadable;
};

Losses losses(std::istream& in);
nlohmann::json shown(const Losses& l);
// The same for people: causes, then the destinations that lost most.
void print(const Losses& l, std::ostream& out);

}  // namespace grademux::replay
