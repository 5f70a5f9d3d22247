// The fastest responses of each endpoint, from which it follows how early a response can't belong to the call
// that was just written, and how long a connection rests between two calls. No I/O and no clock.
#pragma once

#include <limits>
#include <map>
#include <optional>
#include <string>

#include "grademux/sender.h"

namespace grademux {

class ResponseTimes {
 public:
  // Records the time from the last byte of a call to the first byte of its response, in microseconds.
  // `reused`: on a connection that had carried a call before. A response that is implausibly early for its
  // call is not recorded.
  void record(const std::string& endpoint, Micros response_time, bool reused);
  // Records a response that repeats an earlier one of its connection, and was plausible. As it may be a late
  // copy all the same, it only lowers what is plausible.
  void recordRepeated(const std::string& endpoint, Micros response_time);
  // Records an implausibly early response that was taken in the end, as no other one came. As it may be a
  // late copy, it lowers what is plausible by half at most.
  void recordSetAside(const std::string& endpoint, Micros response_time);
  // A response on a reused connection that begins sooner than this after its call, in microseconds, is
  // implausible; 0: unknown.
  Micros earliestPlausible(const std::string& endpoint) const;
  // How long a connection stays unused after a response, in microseconds: bytes that the endpoint wrote right
  // behind the response arrive meanwhile.
  Micros restAfterResponse(const std::string& endpoint) const;
  // For an endpoint that is removed, or moves to another address.
  void forget(const std::string& endpoint) { fastest_.erase(endpoint); }

 private:
  struct Fastest {
    std::optional<Micros> on_new, on_reused;
    Micros most_plausible = kNoBound;  // upper bound of earliestPlausible()
  };
  static constexpr Micros kNoBound = std::numeric_limits<Micros>::max();

  static Micros earliestPlausible(const Fastest& fastest);
  void lowerBound(const std::string& endpoint, Micros response_time);

  std::map<std::string, Fastest> fastest_;
};

}  // namespace grademux
