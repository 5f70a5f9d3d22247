// Closing of client connections, for both listeners. Loop thread only.
//
// Closing a socket that has unread input resets the connection, and the client loses replies that it has not
// read. A graceful close therefore shuts down the sending side first, then reads and discards input for a
// bounded time and amount before the socket is closed (RFC 9112, section 9.6).
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>

#include "grademux/sender.h"

namespace grademux {

// The state of one connection's graceful close. The owner continues to read, reports the number of bytes
// read, and closes the socket when the client closes its sending side or a limit is reached.
class GracefulClose {
 public:
  // Shuts down the sending side. `now`: monotonic, microseconds.
  void start(boost::asio::ip::tcp::socket& socket, Micros now);
  bool isStarted() const { return started_; }
  // Counts bytes that were read after start(). Returns true when the limit is reached and the socket is to be
  // closed.
  bool discard(std::size_t bytes);
  // Whether the time limit of the close has passed.
  bool isExpired(Micros now) const;

 private:
  bool started_ = false;
  Micros started_at_ = 0;
  std::size_t discarded_ = 0;
};

// Whether the kernel's receive buffer of the connection is empty. Also false on an error.
bool isInputEmpty(const boost::asio::ip::tcp::socket& socket);

// What a client has done to its side of the connection.
enum class ClientSide : std::uint8_t {
  open,
  finished_sending,  // it sends no more; it may have closed the connection, or may still read
  gone               // it has reset the connection, as a client does that closes without reading everything
};

// The state of the client's side. Bytes that came before may still be unread.
ClientSide clientSideOf(boost::asio::ip::tcp::socket& socket);

// Closes a connection without waiting for the client: shuts down the sending side, discards the input that
// has arrived, up to a bound, then closes the socket.
void closeNow(boost::asio::ip::tcp::socket& socket);

}  // namespace grademux
