// Opens the listening socket of a listener or of the admin server: binds an address, or adopts a socket that
// the process was started with. Loop thread only; the acceptor owns the descriptor afterwards.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace grademux {

// Opens and binds; the caller calls listen(). The kernel's receive buffer of each connection is bounded,
// since it counts as memory of this process. Throws std::runtime_error naming the address.
void bindListener(boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp::endpoint& address);

// Takes a duplicate of a listening socket that the process was started with, in place of binding. The socket
// is shared with another process: it is never shut down here. Throws std::runtime_error with the reason if
// the descriptor is not open, no TCP socket, not listening, or of another address.
void adoptListeningSocket(boost::asio::ip::tcp::acceptor& acceptor, int descriptor,
                          const boost::asio::ip::tcp::endpoint& address);

}  // namespace grademux
