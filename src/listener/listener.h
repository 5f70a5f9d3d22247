// grademux: the seam of everything that takes messages from clients. A door knows bytes and sockets, never a
// rule: it reads submissions, hands them to an SubmissionHandler, and gives each client exactly one answer to
// each. All functions are called on the loop thread. A new protocol is a new Door; see docs/architecture.md.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "../core/message.h"
#include "../operate/service_state.h"

namespace grademux {

enum class DrainReason {
  standby,   // the operators send clients away: newcomers are served, and it may be taken back
  stopping,  // the process ends: newcomers are still answered
  removed    // only this door ends: no newcomers
};

// In standby connections end between requests, idle ones spread over kSpread, so that a fleet's clients don't
// all come back in one instant; from kSentAway on those too whose client asks on and on.
constexpr Micros kDrainSpread = 1'000'000, kDrainDeadline = 2'500'000;
// A moment within kSpread of its own for each connection of a door, by its number.
constexpr Micros drainDelay(std::int64_t connection) {
  return static_cast<Micros>(static_cast<std::uint64_t>(connection) * 2654435761u % 1024) * kDrainSpread /
         1024;
}

class Listener {
 public:
  // Closes whatever is still open without an answer; callers wait for open() to be 0, or for their patience
  // to end, first. The constructor of each door binds its address and throws std::exception when it can't;
  // nothing is accepted before start().
  virtual ~Listener() = default;
  // Called once, when the core is ready. Throws std::exception when it can't listen. `state` is what the door
  // asks whether clients are sent away; it outlives the door.
  virtual void start(SubmissionHandler& core, const operate::ServiceState& state) = 0;
  // Called when clients are to leave, perhaps several times (standby, then stopping), after the state says
  // so. Connections between requests are closed; requests that are open get their answers and then the end of
  // their connection. What a state took back needs no call: from then on connections are kept again.
  virtual void drain(DrainReason how) = 0;
  // Requests that have been read and whose answer is not yet written.
  virtual std::size_t openRequests() const = 0;
  // Connections, with or without a request.
  virtual std::size_t connectionCount() const = 0;
  // Where it listens.
  virtual boost::asio::ip::tcp::endpoint address() const = 0;
};

}  // namespace grademux
