// grademux: what all doors do to have their address.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace grademux {

// Opens and binds; nothing is accepted before it is told to listen. What the kernel buffers for each
// connection counts as this sender's memory, so it is bounded here (bytes). Throws std::runtime_error naming
// the address.
void bindListener(boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp::endpoint& address);

// Takes a listening socket that the process was started with, in place of binding. It is another's, too: it
// is never shut down here, and closing it ends only this process's part in it. Throws std::runtime_error
// saying what is wrong if the descriptor is not open, no TCP socket, not listening, or of another address.
void adoptListeningSocket(boost::asio::ip::tcp::acceptor& acceptor, int passed,
                          const boost::asio::ip::tcp::endpoint& address);

}  // namespace grademux
