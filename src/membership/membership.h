// The interface through which the core receives its endpoint list. A program uses one implementation: the
// watch of the platform's discovery (src/discovery), or the sources of a standalone program (sources.h),
// which combine files, folders and DNS.
#pragma once

#include <cstdint>
#include <functional>

#include "../core/endpoint_list.h"

namespace grademux {

class Membership {
 public:
  // Applies an answer and returns the version from which the next delta starts. Called on the loop.
  using OnAnswer = std::function<std::int64_t(EndpointListAnswer)>;

  virtual ~Membership() = default;
  // Called once, on the loop, after the core has restored the list in the journal. `version`: the version of
  // the core's list, -1 if it has none. May call OnAnswer before it returns. Never throws: a source that does
  // not respond or is malformed is logged, and the known endpoints stay in use.
  virtual void start(std::int64_t version) = 0;
  // SIGHUP: checks all sources now instead of when the next check is due.
  virtual void refresh() = 0;
};

}  // namespace grademux
