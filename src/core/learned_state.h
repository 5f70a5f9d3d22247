// The learned state of the decision module, as the engine exports it and restores it from an earlier process,
// and the interface that decides how far that state is still trusted.
#pragma once

#include <string>
#include <vector>

#include "grademux/sender.h"

namespace grademux {

// The learned state of a destination, or of one of its endpoints. Times are Unix time.
struct LearnedRecord {
  LearnedEndpoint learned;
  // Address of the endpoint when the state was learned. The state is valid for this address only: an endpoint
  // at another address is another machine.
  std::string address;
};

struct LearnedState {
  LearnedPool pool;
  std::vector<LearnedRecord> records;
};

// Decides how far the learned state of an earlier process is still trusted. Called on the loop thread during
// recovery; `now` is Unix time.
class TrustPolicy {
 public:
  virtual ~TrustPolicy() = default;
  // The part of the state that is still trusted at `now`; fields that are not trusted are 0.
  virtual LearnedEndpoint trustedPart(const LearnedEndpoint& learned, Micros now) const = 0;
  virtual LearnedPool trustedPart(const LearnedPool& pool, Micros now) const = 0;
  // Reduces `health` to the part that is still trusted. False: no part is trusted.
  virtual bool reduceToTrusted(DestinationHealth& health, Micros now, Micros slow_start_time) const = 0;
};

}  // namespace grademux
