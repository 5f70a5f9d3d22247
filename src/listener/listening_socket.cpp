// grademux: doors' addresses; see listener.h.
#include "listening_socket.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <sstream>
#include <stdexcept>

namespace grademux {

namespace {
constexpr int kReceiveBufferBytes = 32768;
}  // namespace

void bindListener(boost::asio::ip::tcp::acceptor& acceptor, const boost::asio::ip::tcp::endpoint& address) {
  using boost::asio::socket_base;
  try {
    acceptor.open(address.protocol());
    acceptor.set_option(socket_base::reuse_address(true));
    // A client that sends 60 MB must not fill it.
    acceptor.set_option(socket_base::receive_buffer_size(kReceiveBufferBytes));
    acceptor.bind(address);
  } catch (const boost::system::system_error& e) {
    std::ostringstream what;
    what << "door at " << address << ": " << e.what();
    throw std::runtime_error(what.str());
  }
}

void adoptListeningSocket(boost::asio::ip::tcp::acceptor& acceptor, int passed,
                          const boost::asio::ip::tcp::endpoint& address) {
  std::ostringstream what;
  what << "door at " << address << ": descriptor " << passed << " was passed and ";
  const auto wrong = [&](const std::string& why) { throw std::runtime_error(what.str() + why); };
  const auto option = [&](int name) {
    int value = 0;
    socklen_t size = sizeof value;
    if (::getsockopt(passed, SOL_SOCKET, name, &value, &size) != 0)
      wrong(errno == EBADF ? "is not open" : errno == ENOTSOCK ? "is no socket" : std::strerror(errno));
    return value;
  };
  const bool tcp = option(SO_TYPE) == SOCK_STREAM && option(SO_PROTOCOL) == IPPROTO_TCP;
  if (!tcp)
    wrong("is no TCP socket");
  if (option(SO_ACCEPTCONN) == 0)
    wrong("does not listen");
  sockaddr_in own{};
  socklen_t size = sizeof own;
  if (::getsockname(passed, reinterpret_cast<sockaddr*>(&own), &size) != 0 || own.sin_family != AF_INET)
    wrong("has no IPv4 address");
  const boost::asio::ip::tcp::endpoint there(boost::asio::ip::address_v4(ntohl(own.sin_addr.s_addr)),
                                             ntohs(own.sin_port));
  const bool same = there.port() == address.port() &&
                    (there.address() == address.address() || there.address().is_unspecified());
  if (!same) {
    std::ostringstream other;
    other << "listens at " << there;
    wrong(other.str());
  }
  // A number of its own: whoever closes it by mistake closes no other's.
  const int fd = ::fcntl(passed, F_DUPFD_CLOEXEC, 16);
  if (fd < 0)
    wrong(std::strerror(errno));
  acceptor.assign(address.protocol(), fd);
  boost::system::error_code ignored;
  acceptor.set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
}

}  // namespace grademux
