// See http_listener.h.
#include "http_listener.h"

#include "../../core/clock.h"

namespace grademux {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t kReadBufferBytes = 16384;
constexpr int kSendBufferBytes = 32768;       // the kernel's send buffer of each connection
constexpr Micros kIdleCloseable = 2'000'000;  // a connection idle for longer may be closed to make room

}  // namespace

HttpListener::HttpListener(asio::io_context& io, const tcp::endpoint& listen, Limits limits,
                           ClientMemory& memory)
    : acceptor_(io, *this, ConnectionAcceptor::RoomCheck::before_accept),
      limits_(limits),
      memory_(memory),
      read_buffer_(kReadBufferBytes) {
  acceptor_.bind(listen);
  acceptor_.setSendBufferSize(kSendBufferBytes);
}

HttpListener::~HttpListener() {
  sessions_.forEach([](HttpSession& session) { session.close(); });
}

void HttpListener::start(SubmissionHandler& core, const operate::ServiceState& state) {
  handler_ = &core;
  state_ = &state;
  acceptor_.start();
}

void HttpListener::serve(tcp::socket socket) {
  HttpSessionOwner& owner = *this;
  const auto session = std::make_shared<HttpSession>(owner, std::move(socket), ++next_number_);
  sessions_.add(session, kIdle);
  session->start();  // its first request has usually arrived by now
}

// At the limit, closes the connection that has been idle longest, if it has been idle for kIdleCloseable.
bool HttpListener::makeRoom() {
  const bool has_memory = memory_.hasRoomForConnection(HttpSession::kConnectionBytes);
  if (sessions_.size() < limits_.connections && has_memory)
    return true;
  const std::shared_ptr<HttpSession> longest = sessions_.oldest(kIdle);
  if (!longest || monotonicNow() - longest->since() < kIdleCloseable)
    return false;
  longest->close();
  return memory_.hasRoomForConnection(HttpSession::kConnectionBytes);
}

void HttpListener::sweep() {
  const Micros now = monotonicNow();
  sessions_.forEach([now](HttpSession& session) { session.checkLimits(now); });
  memory_.relieve(now);
}

BufferUsage HttpListener::bufferUsage() const {
  BufferUsage usage;
  sessions_.forEach([&usage](const HttpSession& session) { usage += session.bufferUsage(); });
  return usage;
}

void HttpListener::drain(DrainReason reason) {
  draining_since_ = monotonicNow();
  if (reason == DrainReason::removed) {
    removed_ = true;
    acceptor_.close();
  }
  const bool close_idle = reason != DrainReason::standby;
  sessions_.forEach([close_idle](HttpSession& session) { session.drain(close_idle); });
}

}  // namespace grademux
