// The interface of everything that accepts messages from clients. A listener handles bytes and sockets and
// contains no delivery rules: it reads submissions, passes them to a SubmissionHandler, and sends the client
// exactly one answer to each. All functions are called on the loop thread. A new protocol is a new Listener;
// see docs/architecture.md.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "../core/message.h"
#include "../operate/service_state.h"
#include "buffer_usage.h"

namespace grademux {

enum class DrainReason {
  standby,   // clients are to disconnect; new ones are still served, and the state may be revoked
  stopping,  // the process is ending; new clients are still answered
  removed    // only this listener is ending; new clients are not accepted
};

// While the listener drains, the closes of idle connections are spread over kDrainSpread, so that the clients
// of a fleet don't all reconnect at once. After kDrainDeadline, connections that are never idle are closed,
// too. Both in microseconds.
constexpr Micros kDrainSpread = 1'000'000, kDrainDeadline = 2'500'000;

// The delay of a connection's close within kDrainSpread: a multiplicative hash of the connection's number.
constexpr Micros drainDelay(std::int64_t connection) {
  return static_cast<Micros>(static_cast<std::uint64_t>(connection) * 2654435761u % 1024) * kDrainSpread /
         1024;
}

class Listener {
 public:
  // Closes open connections without answering their requests; callers first wait for openRequests() to be 0,
  // or for a time limit. The constructor of each listener binds its address and throws std::exception if it
  // can't; no connection is accepted before start().
  virtual ~Listener() = default;
  // Called once, when the core is ready. Throws std::exception if the listener can't listen. `core` and
  // `state` outlive the listener; `state` tells whether clients are to disconnect.
  virtual void start(SubmissionHandler& core, const operate::ServiceState& state) = 0;
  // Called when clients are to disconnect, after the state has changed; can be called several times (standby,
  // then stopping). Connections between requests are closed; open requests are answered, then their
  // connections are closed. No call is needed when the state is revoked: connections then stay open again.
  virtual void drain(DrainReason reason) = 0;
  // The number of requests that have been read and not yet answered.
  virtual std::size_t openRequests() const = 0;
  // The number of connections, with or without an open request.
  virtual std::size_t connectionCount() const = 0;
  // What the buffers of all connections have allocated.
  virtual BufferUsage bufferUsage() const = 0;
  // The address that the listener is bound to.
  virtual boost::asio::ip::tcp::endpoint address() const = 0;
};

}  // namespace grademux
