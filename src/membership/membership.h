// grademux: the seam of membership: who tells the core which endpoints there are. One stands behind a
// program: the platform's watch (src/discovery), or a program's own sources (sources.h), which bring files,
// folders and DNS together.
#pragma once

#include <cstdint>
#include <functional>

#include "../core/endpoint_list.h"

namespace grademux {

class Membership {
 public:
  // Takes an answer over; gives the version to go on from. Called on the loop.
  using OnAnswer = std::function<std::int64_t(EndpointListAnswer)>;

  virtual ~Membership() = default;
  // Once, on the loop, after the core has what the journal kept. `version`: of the list that the core knows,
  // -1: none. May tell at once. Never throws: a source that is silent or broken says so in the log, and what
  // is known serves on.
  virtual void start(std::int64_t version) = 0;
  // SIGHUP: look again now, not when it is due.
  virtual void refresh() = 0;
};

}  // namespace grademux
