// grademux: one end of the channel between two processes; see line_socket.h.
#include "line_socket.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <string>

#include "../core/json_fields.h"

namespace grademux::handover {

namespace asio = boost::asio;
using boost::system::error_code;

struct LineSocket::State : std::enable_shared_from_this<State> {
  State(Socket s, OnMessage h, OnClosed o) : socket(std::move(s)), heard(std::move(h)), over(std::move(o)) {}

  Socket socket;
  OnMessage heard;
  OnClosed over;
  std::array<char, 16384> piece{};
  std::string in, out, next;  // next: said while a write is out
  bool open = true, writing = false;

  void read() {
    socket.async_read_some(asio::buffer(piece), [self = shared_from_this()](error_code e, std::size_t n) {
      if (!self->open)
        return;
      if (e)
        return self->end();
      self->in.append(self->piece.data(), n);
      self->take();
    });
  }

  void take() {
    std::size_t from = 0;
    for (auto at = in.find('\n', from); at != std::string::npos && open; at = in.find('\n', from)) {
      const std::string line = in.substr(from, at - from);
      from = at + 1;
      try {
        const Message m = parseMessage(line);
        heard(m);
      } catch (const BadInput&) {
        return end();
      }
    }
    if (!open)
      return;
    in.erase(0, from);
    if (in.size() > kMaxLineBytes)
      return end();
    read();
  }

  void write() {
    if (writing)
      return;
    if (out.empty())
      out.swap(next);
    if (out.empty())
      return;
    writing = true;
    socket.async_write_some(asio::buffer(out), [self = shared_from_this()](error_code e, std::size_t n) {
      self->writing = false;
      if (!self->open)
        return;
      if (e)
        return self->end();
      self->out.erase(0, n);
      self->write();
    });
  }

  void end() {
    if (!open)
      return;
    open = false;
    error_code ignored;
    socket.close(ignored);
    if (over)
      over();
  }
};

LineSocket::LineSocket(Socket socket, OnMessage heard, OnClosed over)
    : state_(std::make_shared<State>(std::move(socket), std::move(heard), std::move(over))) {
  state_->read();
}

LineSocket::~LineSocket() {
  state_->open = false;
  error_code ignored;
  state_->socket.close(ignored);
}

void LineSocket::send(const Message& m) {
  if (!state_->open)
    return;
  state_->next += serialize(m);
  state_->write();
}

bool LineSocket::hasUnsent() const {
  return state_->open && !(state_->out.empty() && state_->next.empty());
}

asio::local::stream_protocol::endpoint channelIn(int folder_fd) {
  return {"/proc/self/fd/" + std::to_string(folder_fd) + "/handover"};
}

}  // namespace grademux::handover
