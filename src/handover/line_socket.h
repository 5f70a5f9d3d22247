// grademux: one end of the channel between two processes of one sender.
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
  using OnClosed = std::function<void()>;  // once; not if this is destroyed first

  // What can't be read ends the channel.
  LineSocket(Socket socket, OnMessage heard, OnClosed over);
  ~LineSocket();  // closes it; what was said goes out first as far as the kernel takes it
  LineSocket(const LineSocket&) = delete;
  LineSocket& operator=(const LineSocket&) = delete;

  void send(const Message& m);
  bool hasUnsent() const;  // something waits to go out

 private:
  struct State;
  std::shared_ptr<State> state_;
};

// The address of the channel of this folder. Paths of Unix sockets are short, so it goes through the folder's
// descriptor, which has to stay open meanwhile.
boost::asio::local::stream_protocol::endpoint channelIn(int folder_fd);

}  // namespace grademux::handover
