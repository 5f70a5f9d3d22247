// Opens the listening socket of a listener or of the admin server: binds an address, or adopts a socket that
// the process inherited. Loop thread only; the acceptor owns the descriptor afterwards.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace grademux {

// Opens and binds the acceptor; the caller calls listen(). The kernel's receive buffer of each connection is
// bounded, since it counts as memory of this process. Throws std::runtime_error naming the address.
void bindListener(boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp::endpoint& address);

// Assigns a duplicate of a listening socket that the process inherited, in place of binding. The socket is
// shared with another process, so this process never shuts it down. Throws std::runtime_error with the reason
// if the descriptor is not open, not a TCP socket, not listening, or bound to another address.
void adoptListeningSocket(boost::asio::ip::tcp::acceptor& acceptor, int descriptor,
                          const boost::asio::ip::tcp::endpoint& address);

}  // namespace grademux
