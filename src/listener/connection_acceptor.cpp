// See connection_acceptor.h.
#include "connection_acceptor.h"

#include <chrono>

#include "listening_socket.h"

namespace grademux {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds kRetryDelay{20};
constexpr std::chrono::milliseconds kSweepPeriod{100};

}  // namespace

ConnectionAcceptor::ConnectionAcceptor(asio::io_context& io, ConnectionHandler& handler, RoomCheck room_check)
    : handler_(handler), room_check_(room_check), acceptor_(io), retry_timer_(io), sweep_timer_(io) {}

void ConnectionAcceptor::bind(const tcp::endpoint& address) {
  bindListener(acceptor_, address);
  address_ = acceptor_.local_endpoint();
}

void ConnectionAcceptor::adopt(int descriptor, const tcp::endpoint& address) {
  adoptListeningSocket(acceptor_, descriptor, address);
  address_ = acceptor_.local_endpoint();
}

void ConnectionAcceptor::setSendBufferSize(int bytes) {
  acceptor_.set_option(asio::socket_base::send_buffer_size(bytes));
}

void ConnectionAcceptor::start() {
  acceptor_.listen();  // of an adopted socket, which listens already, this sets the length of the backlog
  accept();
  runSweep();
}

void ConnectionAcceptor::accept() {
  if (*accepting_ || paused_)
    return;
  if (room_check_ == RoomCheck::before_accept && !handler_.makeRoom())
    return retryAfterDelay();
  *accepting_ = true;
  acceptor_.async_accept([this, accepting = accepting_](error_code error, tcp::socket socket) {
    *accepting = false;
    if (error == asio::error::operation_aborted)
      return;
    if (error)
      return retryAfterDelay();  // for example out of descriptors: an immediate retry would spin
    onAccepted(std::move(socket));
  });
}

void ConnectionAcceptor::onAccepted(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  serveOrHold(std::move(socket));
}

void ConnectionAcceptor::serveOrHold(tcp::socket socket) {
  if (room_check_ == RoomCheck::after_accept && !handler_.makeRoom()) {
    held_ = std::make_unique<tcp::socket>(std::move(socket));
    return retryAfterDelay();
  }
  handler_.serve(std::move(socket));
  accept();
}

void ConnectionAcceptor::retryAfterDelay() {
  retry_timer_.expires_after(kRetryDelay);
  retry_timer_.async_wait([this](error_code stopped) {
    if (stopped || closed_)
      return;
    if (!held_)
      return accept();
    const auto waiting = std::move(held_);
    serveOrHold(std::move(*waiting));
  });
}

void ConnectionAcceptor::pause() {
  paused_ = true;
  error_code ignored;
  acceptor_.cancel(ignored);
  retry_timer_.cancel();
  if (const auto waiting = std::move(held_))
    serveOrHold(std::move(*waiting));
}

void ConnectionAcceptor::resume() {
  paused_ = false;
  accept();
}

void ConnectionAcceptor::stop() {
  paused_ = true;
  error_code ignored;
  acceptor_.cancel(ignored);
  retry_timer_.cancel();
  held_ = nullptr;
}

void ConnectionAcceptor::close() {
  closed_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
  held_ = nullptr;
}

void ConnectionAcceptor::runSweep() {
  handler_.sweep();
  sweep_timer_.expires_after(kSweepPeriod);
  sweep_timer_.async_wait([this](error_code stopped) {
    if (!stopped)
      runSweep();
  });
}

}  // namespace grademux
