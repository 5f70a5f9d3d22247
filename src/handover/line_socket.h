// One end of the Unix socket between two processes of one sender: sends and receives messages, one a line.
// Used on the loop thread alone.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <functional>
#include <memory>

#include "messages.h"

namespace grademux::handover {

class LineSocket {
 public:
  using Socket = boost::asio::local::stream_protocol::socket;
  using OnMessage = std::function<void(const Message&)>;
  /// Called once when the peer closes the connection, or sends what can't be parsed; not after destruction.
  using OnClosed = std::function<void()>;

  LineSocket(Socket socket, OnMessage on_message, OnClosed on_closed);
  /// Closes the connection. Messages that the kernel has not accepted by then are lost.
  ~LineSocket();
  LineSocket(const LineSocket&) = delete;
  LineSocket& operator=(const LineSocket&) = delete;

  void send(const Message& message);
  /// True while the kernel has not accepted all messages.
  bool hasUnsent() const;

 private:
  class Connection;
  std::shared_ptr<Connection> connection_;
};

/// The socket's address in a folder. Addresses of Unix sockets are short, so the path leads through the
/// folder's descriptor, which must stay open while the address is used.
boost::asio::local::stream_protocol::endpoint socketAddress(int folder_fd);

}  // namespace grademux::handover
