// How both listeners end client connections. Loop thread only.
//
// A close over unread input resets the connection, and replies that the client has not read are lost with it.
// So a connection is ended by sending the end and reading on, for a bounded time and amount, without
// processing what is read (RFC 9112, section 9.6).
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

#include "grademux/sender.h"

namespace grademux {

// The state of one connection's graceful close. The owner goes on reading, reports the bytes, and closes the
// socket when the client ends its side or a limit is reached.
class GracefulClose {
 public:
  // Sends the end of the connection. `now`: monotonic, microseconds.
  void start(boost::asio::ip::tcp::socket& socket, Micros now);
  bool isStarted() const { return started_; }
  // Counts bytes that were read after the end was sent. True: the limit is reached, close now.
  bool discard(std::size_t bytes);
  // The time limit of the close is over.
  bool isExpired(Micros now) const;

 private:
  bool started_ = false;
  Micros started_at_ = 0;
  std::size_t discarded_ = 0;
};

// Whether the kernel holds no input of this connection. False also on an error.
bool isInputEmpty(const boost::asio::ip::tcp::socket& socket);

// Closes a connection at once: sends the end, reads away what has arrived, up to a bound, then closes.
void closeNow(boost::asio::ip::tcp::socket& socket);

}  // namespace grademux
