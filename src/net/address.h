// grademux: addresses as the configuration and discovery write them.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace grademux {

// "10.0.0.4:6379" or "[::1]:6379"; throws std::invalid_argument.
boost::asio::ip::tcp::endpoint parseAddress(const std::string& address);
std::string addressText(const boost::asio::ip::tcp::endpoint& address);  // the same way back

}  // namespace grademux
