// What the decision module has learned, as the engine exports it and takes it over from an earlier process,
// and how far it is still trusted. Plain types and one interface, which the wiring implements.
#pragma once

#include <string>
#include <vector>

#include "grademux/sender.h"

namespace grademux {

// What was learned of a destination, or of one of its endpoints. Times are Unix time.
struct LearnedRecord {
  LearnedEndpoint learned;
  std::string address;  // of the endpoint at that time: another address is another machine
};

struct LearnedState {
  LearnedPool pool;
  std::vector<LearnedRecord> records;
};

// Decides how far state of an earlier process is still trusted. Called on the loop thread during recovery;
// `now` is Unix time.
class TrustPolicy {
 public:
  virtual ~TrustPolicy() = default;
  // The state as it counts at `now`; fields that are not trusted are 0.
  virtual LearnedEndpoint trustedPart(const LearnedEndpoint& learned, Micros now) const = 0;
  virtual LearnedPool trustedPart(const LearnedPool& pool, Micros now) const = 0;
  // Reduces `health` to what is still trusted. False: nothing is.
  virtual bool reduceToTrusted(DestinationHealth& health, Micros now, Micros slow_start_time) const = 0;
};

}  // namespace grademux
