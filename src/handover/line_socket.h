// One end of the Unix socket between two processes of one sender: sends and receives messages, one per line.
// Used on the loop thread only.
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
  /// Called once when the peer closes the connection or sends a malformed line; not called after destruction.
  using OnClosed = std::function<void()>;

  LineSocket(Socket socket, OnMessage on_message, OnClosed on_closed);
  /// Closes the connection. Messages that the kernel has not accepted are lost.
  ~LineSocket();
  LineSocket(const LineSocket&) = delete;
  LineSocket& operator=(const LineSocket&) = delete;

  void send(const Message& message);
  /// Returns true while the kernel has not accepted all messages.
  bool hasUnsent() const;

 private:
  class Connection;
  std::shared_ptr<Connection> connection_;
};

/// Returns the address of the handover socket in a folder. Unix sockets allow short addresses only, so the
/// path leads through the folder's descriptor, which must stay open while the address is used.
boost::asio::local::stream_protocol::endpoint socketAddress(int folder_fd);

}  // namespace grademux::handover
