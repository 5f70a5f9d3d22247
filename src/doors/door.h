// grademux: the seam of everything that takes messages from clients. A door knows bytes and sockets, never a
// rule: it reads submissions, hands them to an Intake, and gives each client exactly one answer to each. All
// functions are called on the loop thread. A new protocol is a new Door; see docs/architecture.md.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>

#include "../core/message.h"

namespace grademux {

enum class Leaving {
  stopping,  // the process ends: newcomers are still answered
  removed    // only this door ends: no newcomers
};

class Door {
 public:
  // Closes whatever is still open without an answer; callers wait for open() to be 0, or for their patience
  // to end, first. The constructor of each door binds its address and throws std::exception when it can't;
  // nothing is accepted before start().
  virtual ~Door() = default;
  // Called once, when the core is ready. Throws std::exception when it can't listen.
  virtual void start(Intake& core) = 0;
  // Called when the door is to end, perhaps twice (removed, then stopping). Connections between requests are
  // closed; requests that are open get their answers and then the end of their connection.
  virtual void drain(Leaving how) = 0;
  // Requests that have been read and whose answer is not yet written.
  virtual std::size_t open() const = 0;
  // Connections, with or without a request.
  virtual std::size_t connections() const = 0;
  // Where it listens.
  virtual boost::asio::ip::tcp::endpoint address() const = 0;
};

}  // namespace grademux
