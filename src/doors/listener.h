// grademux: what all doors do to have their address.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace grademux {

// Opens and binds; nothing is accepted before it is told to listen. What the kernel buffers for each
// connection counts as this sender's memory, so it is bounded here (bytes). Throws std::runtime_error naming
// the address.
void bindDoor(boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp::endpoint& address);

}  // namespace grademux
