// A server on loopback without a thread: the test accepts connections, reads requests and decides when each
// byte is sent, while it runs the event loop of the client.
#pragma once

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "loopback.h"

namespace grademux::loopback {

class HeldServer {
 public:
  // `io`: the client's event loop.
  explicit HeldServer(boost::asio::io_context& io) : io_(io) {}
  ~HeldServer() {
    for (const int connection : connections_)
      ::close(connection);
  }
  std::string address() const { return listener_.address(); }
  void runLoop() {
    io_.restart();
    io_.poll();
  }
  // Runs the client until a request that contains the text has arrived; returns its connection.
  int waitForRequest(const std::string& text) {
    int found = -1;
    EXPECT_TRUE(eventually([&] {
      runLoop();
      pollfd ready{listener_.fd, POLLIN, 0};
      if (::poll(&ready, 1, 0) > 0)
        connections_.push_back(::accept4(listener_.fd, nullptr, nullptr, SOCK_CLOEXEC));
      for (const int connection : connections_) {
        char piece[4096];
        const ssize_t size = ::recv(connection, piece, sizeof piece, MSG_DONTWAIT);
        if (size > 0 && std::string(piece, static_cast<std::size_t>(size)).find(text) != std::string::npos)
          found = connection;
      }
      return found >= 0;
    }));
    return found;
  }
  // Fails silently on a connection that the client has closed.
  static void send(int connection, const std::string& bytes) {
    (void)!::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

 private:
  boost::asio::io_context& io_;
  Listener listener_;
  std::vector<int> connections_;
};

}  // namespace grademux::loopback
