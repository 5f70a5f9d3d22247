// grademux harness: the scenarios. Each gives its figures as one JSON object, with "holds" true only if every
// invariant was kept.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "test_environment.h"

namespace grademux::harness {

struct Options {
  std::string sender, self;  // the programs: under test, and this one (for the relay)
  int seconds = 20;
  bool seconds_given = false;
  std::uint64_t seed = 1;
  double rate = 0;          // messages a second; 0: the scenario's own
  int destinations = 2000;  // wide
  int listed = 20'000;      // wide: entries of the list that comes under load
  int senders = 4;          // herd, fleet, slow_start
  std::string part;         // fleet: which
  double lease_s = 2;       // fleet
  int zones = 3;            // fleet zone
  bool compare = false;     // fleet zone: beside one by one, and beside who knows at once
};
using Scenario = json (*)(const Options&);
// Partners that change in every way, see membership.cpp.
json membership(const Options& o);

// Restarts in mid-outage, with what the sender knows and without, see restart.cpp.
json restart(const Options& o);

// Several senders killed at once and started together before a returning destination, see herd.cpp.
json herd(const Options& o);

// Senders killed and restarted round the return of a destination: its slow start budget, see slow_start.cpp.
json slowStart(const Options& o);

// Clients that take what memory and descriptors they can get, see floods.cpp.
json floods(const Options& o);

// A world that stays up until Ctrl-C, see play.cpp.
json play(const Options& o);

// For scenarios: waits until all is settled, takes the figures then and ends the program; `holds` tells
// whether all invariants do.
json finished(TestEnvironment& w, const std::function<json()>& figuresOf);
json doors(const TestEnvironment& w, Micros from = 0);
struct Measured {
  double per_second = 0, cpu_us = 0, cpu_share = 0;  // cpu_us: microseconds of processor a message
};
// As much as goes through at the RESP door, after a second to warm up.
Measured saturated(TestEnvironment& w, Micros span);

const std::map<std::string, std::pair<Scenario, const char*>>& scenarios();

}  // namespace grademux::harness
