// See address.h.
#include "address.h"

#include <boost/asio/ip/address.hpp>
#include <sstream>
#include <stdexcept>

namespace grademux {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

tcp::endpoint parseAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  error_code e;
  if (colon != std::string::npos && colon + 1 < address.size()) {
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
      host = host.substr(1, host.size() - 2);
    const auto ip = asio::ip::make_address(host, e);
    const std::string port = address.substr(colon + 1);
    const bool digits = port.size() <= 5 && port.find_first_not_of("0123456789") == std::string::npos;
    const int number = digits ? std::stoi(port) : -1;
    if (!e && number >= 0 && number <= 65535)
      return {ip, static_cast<unsigned short>(number)};
  }
  throw std::invalid_argument("expected IP:PORT or [IPv6]:PORT, found: " + address);
}

std::string addressText(const tcp::endpoint& address) {
  std::ostringstream out;
  out << address;
  return out.str();
}

}  // namespace grademux
