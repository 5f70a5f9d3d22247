// grademux: doors' addresses; see listener.h.
#include "listener.h"

#include <sstream>
#include <stdexcept>

namespace grademux {

namespace {
constexpr int kKernelBuffer = 32768;
}

void bindDoor(boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp::endpoint& address) {
  using boost::asio::socket_base;
  try {
    acceptor.open(address.protocol());
    acceptor.set_option(socket_base::reuse_address(true));
    // A client that sends 60 MB must not fill it.
    acceptor.set_option(socket_base::receive_buffer_size(kKernelBuffer));
    acceptor.bind(address);
  } catch (const boost::system::system_error& e) {
    std::ostringstream what;
    what << "door at " << address << ": " << e.what();
    throw std::runtime_error(what.str());
  }
}

}  // namespace grademux
