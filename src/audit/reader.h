// grademux audit: reads trails, also of a sender that runs, record by record in bounded memory. What can't be
// vouched for is told as a gap, never passed over.
#pragma once

#include <functional>

#include "trail.h"

namespace grademux::audit {

struct Gap {
  Micros from = 0, to = 0;  // Unix time of the records around it, by the sender's clock; 0: open
  std::string why;
};

struct Entry {
  std::string sender;
  std::int64_t sequence = 0;
  Micros at = 0;        // Unix time, by the sender's clock
  Micros ahead = 0;     // the store's clock less the sender's, when last known
  bool paired = false;  // `ahead` is known
  json record;
  // On the store's clock where that is known: the one on which records of several senders have an order.
  Micros common() const { return at + (paired ? ahead : 0); }
};

struct Reading {
  std::string sender;  // empty: there is no trail
  std::int64_t records = 0;
  Micros first = 0, last = 0;
};

// In the order of writing. `expected`: whose it should be; empty: anybody's.
Reading readTrail(const std::string& folder, const std::string& expected,
                  const std::function<void(const Entry&)>& entry, const std::function<void(const Gap&)>& gap);

// Several trails as one, by the clock of the store; `each` gives the trail's place in `folders`, too.
void readTrails(const std::vector<std::string>& folders,
                const std::function<void(std::size_t, const Entry&)>& entry,
                const std::function<void(std::size_t, const Gap&)>& gap);

}  // namespace grademux::audit
