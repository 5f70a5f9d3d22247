// Parses and formats IP addresses with a port, as the configuration and discovery write them.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace grademux {

// Parses "10.0.0.4:6379" or "[::1]:6379"; throws std::invalid_argument for anything else.
boost::asio::ip::tcp::endpoint parseAddress(const std::string& address);
// Formats an address so that parseAddress() reads it back.
std::string addressText(const boost::asio::ip::tcp::endpoint& address);

}  // namespace grademux
