// The interface of everything that takes messages from clients. A listener knows bytes and sockets, never a
// rule: it reads submissions, hands them to a SubmissionHandler, and gives each client exactly one answer to
// each. All functions are called on the loop thread. A new protocol is a new Listener; see
// docs/architecture.md.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "../core/message.h"
#include "../operate/service_state.h"

namespace grademux {

enum class DrainReason {
  standby,   // clients are to leave: new ones are still served, and the state may be taken back
  stopping,  // the process ends: new clients are still answered
  removed    // only this listener ends: new clients are not accepted
};

// While draining, idle connections are closed spread over kDrainSpread, so that the clients of a fleet don't
// all reconnect at once; from kDrainDeadline on, also connections that are never idle (microseconds).
constexpr Micros kDrainSpread = 1'000'000, kDrainDeadline = 2'500'000;

// The delay of one connection within kDrainSpread, by its number (multiplicative hash).
constexpr Micros drainDelay(std::int64_t connection) {
  return static_cast<Micros>(static_cast<std::uint64_t>(connection) * 2654435761u % 1024) * kDrainSpread /
         1024;
}

class Listener {
 public:
  // Closes whatever is still open without an answer; callers first wait for openRequests() to be 0, or for a
  // time limit. The constructor of each listener binds its address and throws std::exception when it can't;
  // nothing is accepted before start().
  virtual ~Listener() = default;
  // Called once, when the core is ready. Throws std::exception when it can't listen. `core` and `state`,
  // which says whether clients are to leave, outlive the listener.
  virtual void start(SubmissionHandler& core, const operate::ServiceState& state) = 0;
  // Called when clients are to leave, after the state says so, perhaps several times (standby, then
  // stopping). Connections between requests are closed; open requests get their answers, then their
  // connection ends. When the state is taken back no call is needed: connections are kept again from then on.
  virtual void drain(DrainReason reason) = 0;
  // Requests that have been read and whose answer is not yet written.
  virtual std::size_t openRequests() const = 0;
  // Connections, with or without a request.
  virtual std::size_t connectionCount() const = 0;
  // The address that it is bound to.
  virtual boost::asio::ip::tcp::endpoint address() const = 0;
};

}  // namespace grademux
