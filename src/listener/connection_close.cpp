// See connection_close.h.
#include "connection_close.h"

#include <poll.h>

#include <boost/asio/buffer.hpp>

namespace grademux {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr Micros kCloseLimit = 500'000;  // from the shutdown of the sending side on
constexpr std::size_t kMaxDiscardedBytes = 1u << 20;
constexpr std::size_t kReadBytes = 16384;
constexpr int kMaxReads = 64;  // of closeNow()

}  // namespace

void GracefulClose::start(tcp::socket& socket, Micros now) {
  error_code ignored;
  socket.shutdown(tcp::socket::shutdown_send, ignored);
  started_ = true;
  started_at_ = now;
}

bool GracefulClose::discard(std::size_t bytes) {
  discarded_ += bytes;
  return discarded_ >= kMaxDiscardedBytes;
}

bool GracefulClose::isExpired(Micros now) const {
  return started_ && now - started_at_ >= kCloseLimit;
}

bool isInputEmpty(const tcp::socket& socket) {
  error_code error;
  return socket.available(error) == 0 && !error;
}

ClientSide clientSideOf(tcp::socket& socket) {
  pollfd entry{socket.native_handle(), POLLRDHUP, 0};
  if (::poll(&entry, 1, 0) <= 0)
    return ClientSide::open;
  if (entry.revents & (POLLERR | POLLHUP | POLLNVAL))
    return ClientSide::gone;
  return entry.revents & POLLRDHUP ? ClientSide::finished_sending : ClientSide::open;
}

void closeNow(tcp::socket& socket) {
  error_code error;
  socket.shutdown(tcp::socket::shutdown_send, error);
  socket.non_blocking(true, error);
  static char buffer[kReadBytes];  // safe to share: only the loop thread calls this function
  for (int reads = 0; reads < kMaxReads && !error; ++reads)
    socket.read_some(boost::asio::buffer(buffer), error);
  socket.close(error);
}

}  // namespace grademux
