// grademux: the operators' door; see door.h.
#include "admin_server.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "../core/clock.h"
#include "../listener/listening_socket.h"

namespace grademux::operate {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kLine = 128;  // bytes; calls are words
// Callers may hold a connection for 4 s with no whole call; then each is told, and ended.
constexpr Micros kPatience = 5'000'000;
constexpr Micros kGrace = 50'000;    // a newcomer's line is on its way: none younger makes room
constexpr Micros kLinger = 500'000;  // for the caller to end the connection itself
constexpr Micros kSweep = 250'000;

}  // namespace

struct AdminServer::Caller : std::enable_shared_from_this<Caller> {
  Caller(AdminServer& d, tcp::socket s) : door(d), socket(std::move(s)) {}

  AdminServer& door;
  tcp::socket socket;
  std::array<char, kLine> piece{};
  std::string in, out;
  Micros since = monotonicNow();
  bool answered = false, open = true;

  void read() {
    socket.async_read_some(asio::buffer(piece), [self = shared_from_this()](error_code e, std::size_t n) {
      if (!self->open)
        return;
      if (self->answered)
        return e ? self->close() : self->read();  // the rest is thrown away
      self->in.append(self->piece.data(), n);
      const auto end = self->in.find('\n');
      if (end != std::string::npos)
        return self->call(self->in.substr(0, end));
      if (self->in.size() >= kLine)
        return self->answer({false, "a line of 128 bytes at most is expected"});
      if (e == asio::error::eof && !self->in.empty())
        return self->call(self->in);  // without its end
      e ? self->close() : self->read();
    });
  }

  void call(const std::string& line) {
    AdminCommand asked;
    if (line.size() >= kLine || !parseAdminCommand(line, asked))
      return answer({false, "one of status, standby, active is expected"});
    answer(door.handle_(asked));
  }

  void answer(const CommandResult& v) {
    answered = true;
    since = monotonicNow();
    out = (v.ok ? "ACK " : "NAK ") + v.reason + "\n";
    asio::async_write(socket, asio::buffer(out), [self = shared_from_this()](error_code e, std::size_t) {
      if (!self->open)
        return;
      if (e)
        return self->close();
      error_code ignored;  // a close with input unread would take the answer with it
      self->socket.shutdown(tcp::socket::shutdown_send, ignored);
      self->read();
    });
  }

  void close() {
    if (!open)
      return;
    open = false;
    error_code ignored;
    socket.close(ignored);
    door.callers_.remove(shared_from_this());
  }

  void checkLimit(Micros now) {
    if (answered && now - since >= kLinger)
      return close();
    if (!answered && now - since >= kPatience) {
      socket.cancel();
      answer({false, "no whole line came in 5 s"});
    }
  }
};

AdminServer::AdminServer(asio::io_context& io, const tcp::endpoint& listen, Handle handle)
    : io_(io), acceptor_(io), pause_(io), sweeper_(io), handle_(std::move(handle)) {
  bindListener(acceptor_, listen);
  acceptor_.listen();
  accept();
}

AdminServer::~AdminServer() {
  const auto all = callers_;
  for (const auto& c : all)
    c->close();
}

void AdminServer::accept() {
  acceptor_.async_accept([this](error_code e, tcp::socket s) {
    if (e == asio::error::operation_aborted)
      return;
    const Micros now = monotonicNow();
    const bool full = callers_.size() >= kMaxAdminConnections;
    if (!e && full && now - callers_.front()->since >= kGrace)
      callers_.front()->close();
    if (!e)
      admit(std::move(s));
    // With one over the bound, who comes next waits in the backlog until somebody may make room.
    const Micros rest = e ? 20'000 : callers_.size() > kMaxAdminConnections ? kGrace : 0;
    if (rest == 0)
      return accept();
    pause_.expires_after(std::chrono::microseconds(rest));
    pause_.async_wait([this](error_code stopped) {
      if (stopped)
        return;
      if (callers_.size() > kMaxAdminConnections)
        callers_.front()->close();
      accept();
    });
  });
}

void AdminServer::admit(tcp::socket s) {
  error_code ignored;
  s.set_option(tcp::no_delay(true), ignored);
  const auto caller = std::make_shared<Caller>(*this, std::move(s));
  callers_.push_back(caller);
  caller->read();
  sweep();
}

void AdminServer::sweep() {
  if (sweeping_ || callers_.empty())
    return;
  sweeping_ = true;
  sweeper_.expires_after(std::chrono::microseconds(kSweep));
  sweeper_.async_wait([this](error_code stopped) {
    if (stopped)
      return;
    sweeping_ = false;
    const Micros now = monotonicNow();
    const auto all = callers_;
    for (const auto& c : all)
      if (c->open)
        c->checkLimit(now);
    sweep();
  });
}

}  // namespace grademux::operate
