// Connection between two processes of one sender; see line_socket.h.
#include "line_socket.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <string>
#include <utility>

#include "../core/json_fields.h"

namespace grademux::handover {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBufferBytes = 16384;
constexpr const char* kSocketName = "handover";

}  // namespace

// Pending asynchronous operations share ownership, so that their buffers outlive the LineSocket.
class LineSocket::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Socket socket, OnMessage on_message, OnClosed on_closed)
      : socket_(std::move(socket)), on_message_(std::move(on_message)), on_closed_(std::move(on_closed)) {}

  void read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](error_code error, std::size_t size) {
                              if (self->open_)
                                self->onRead(error, size);
                            });
  }

  void send(const Message& message) {
    if (!open_)
      return;
    queued_ += serialize(message);
    write();
  }

  bool hasUnsent() const { return open_ && !(writing_buffer_.empty() && queued_.empty()); }

  // Closes without a callback.
  void close() {
    open_ = false;
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void onRead(error_code error, std::size_t size) {
    if (error)
      return closeAndReport();
    input_.append(chunk_.data(), size);
    if (!dispatchLines())
      return;
    if (input_.size() > kMaxLineBytes)
      return closeAndReport();
    read();
  }

  // Returns false if a message handler, or a malformed line, closed the connection.
  bool dispatchLines() {
    std::size_t begin = 0;
    for (auto end = input_.find('\n'); end != std::string::npos; end = input_.find('\n', begin)) {
      dispatch(input_.substr(begin, end - begin));
      if (!open_)
        return false;
      begin = end + 1;
    }
    input_.erase(0, begin);
    return true;
  }

  void dispatch(const std::string& line) {
    try {
      const Message message = parseMessage(line);
      on_message_(message);
    } catch (const BadInput&) {
      closeAndReport();
    }
  }

  void write() {
    if (writing_)
      return;
    if (writing_buffer_.empty())
      writing_buffer_.swap(queued_);
    if (writing_buffer_.empty())
      return;
    writing_ = true;
    socket_.async_write_some(asio::buffer(writing_buffer_),
                             [self = shared_from_this()](error_code error, std::size_t size) {
                               self->writing_ = false;
                               if (self->open_)
                                 self->onWritten(error, size);
                             });
  }

  void onWritten(error_code error, std::size_t size) {
    if (error)
      return closeAndReport();
    writing_buffer_.erase(0, size);
    write();
  }

  void closeAndReport() {
    if (!open_)
      return;
    close();
    if (on_closed_)
      on_closed_();
  }

  Socket socket_;
  OnMessage on_message_;
  OnClosed on_closed_;
  std::array<char, kReadBufferBytes> chunk_{};
  std::string input_;
  std::string writing_buffer_;  // not modified while a write is pending
  std::string queued_;          // messages to write after writing_buffer_
  bool open_ = true, writing_ = false;
};

LineSocket::LineSocket(Socket socket, OnMessage on_message, OnClosed on_closed)
    : connection_(
          std::make_shared<Connection>(std::move(socket), std::move(on_message), std::move(on_closed))) {
  connection_->read();
}

LineSocket::~LineSocket() {
  connection_->close();
}

void LineSocket::send(const Message& message) {
  connection_->send(message);
}

bool LineSocket::hasUnsent() const {
  return connection_->hasUnsent();
}

asio::local::stream_protocol::endpoint socketAddress(int folder_fd) {
  return {"/proc/self/fd/" + std::to_string(folder_fd) + "/" + kSocketName};
}

}  // namespace grademux::handover
