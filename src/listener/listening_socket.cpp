// See listening_socket.h.
#include "listening_socket.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <sstream>
#include <stdexcept>

namespace grademux {

using boost::asio::ip::tcp;

namespace {

constexpr int kReceiveBufferBytes = 32768;
constexpr int kFirstDuplicate = 16;  // the lowest number that a duplicated descriptor may have

// A descriptor that the process inherited, and the address that it is expected to listen on.
struct PassedSocket {
  int descriptor;
  const tcp::endpoint& address;

  [[noreturn]] void fail(const std::string& reason) const {
    std::ostringstream what;
    what << "door at " << address << ": descriptor " << descriptor << " was passed and " << reason;
    throw std::runtime_error(what.str());
  }

  int socketOption(int name) const {
    int value = 0;
    socklen_t size = sizeof value;
    if (::getsockopt(descriptor, SOL_SOCKET, name, &value, &size) != 0)
      fail(errno == EBADF ? "is not open" : errno == ENOTSOCK ? "is no socket" : std::strerror(errno));
    return value;
  }

  tcp::endpoint boundAddress() const {
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    const int result = ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &size);
    if (result != 0 || bound.sin_family != AF_INET)
      fail("has no IPv4 address");
    return {boost::asio::ip::address_v4(ntohl(bound.sin_addr.s_addr)), ntohs(bound.sin_port)};
  }
};

}  // namespace

void bindListener(tcp::acceptor& acceptor, const tcp::endpoint& address) {
  using boost::asio::socket_base;
  try {
    acceptor.open(address.protocol());
    acceptor.set_option(socket_base::reuse_address(true));
    acceptor.set_option(socket_base::receive_buffer_size(kReceiveBufferBytes));
    acceptor.bind(address);
  } catch (const boost::system::system_error& error) {
    std::ostringstream what;
    what << "door at " << address << ": " << error.what();
    throw std::runtime_error(what.str());
  }
}

void adoptListeningSocket(tcp::acceptor& acceptor, int descriptor, const tcp::endpoint& address) {
  const PassedSocket passed{descriptor, address};
  if (passed.socketOption(SO_TYPE) != SOCK_STREAM || passed.socketOption(SO_PROTOCOL) != IPPROTO_TCP)
    passed.fail("is no TCP socket");
  if (passed.socketOption(SO_ACCEPTCONN) == 0)
    passed.fail("does not listen");
  const tcp::endpoint bound = passed.boundAddress();
  const bool same_host = bound.address() == address.address() || bound.address().is_unspecified();
  if (bound.port() != address.port() || !same_host) {
    std::ostringstream reason;
    reason << "listens at " << bound;
    passed.fail(reason.str());
  }
  const int duplicate = ::fcntl(descriptor, F_DUPFD_CLOEXEC, kFirstDuplicate);
  if (duplicate < 0)
    passed.fail(std::strerror(errno));
  acceptor.assign(address.protocol(), duplicate);
  boost::system::error_code ignored;
  acceptor.set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
}

}  // namespace grademux
