// grademux harness: HTTP stand-ins; see http_stand_in.h.
#include "http_stand_in.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdlib>

#include "../src/core/clock.h"

namespace grademux::harness {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

std::string Request::field(const std::string& name) const {
  const auto at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos)
    return "";
  const auto from = at + name.size() + 4;
  return head.substr(from, head.find("\r\n", from) - from);
}

std::string httpAnswer(const std::string& status, const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields +
         "\r\n" + body;
}

struct HttpStandIn::Connection : std::enable_shared_from_this<Connection> {
  Connection(HttpStandIn& o, tcp::socket s) : owner(o), socket(std::move(s)) {}
  HttpStandIn& owner;
  tcp::socket socket;
  std::string in, out;
  char piece[16384];
  Micros first_byte = 0;
  std::function<void()> on_unread;    // of the answer written last
  std::optional<LateCopy> late_copy;  // of the answer written last, not written yet
  std::string copy;
  bool open = true, busy = false, peer_ended = false;

  void read() {
    socket.async_read_some(asio::buffer(piece), [self = shared_from_this()](error_code e, std::size_t n) {
      if (!self->open)
        return;
      if (e)
        return self->onReadError(e);
      self->on_unread = nullptr;  // the peer asks again: it has read the answer before
      if (self->in.empty())
        self->first_byte = monotonicNow();
      self->in.append(self->piece, n);
      if (!self->busy)
        self->next();
    });
  }

  void onReadError(const error_code& e) {
    if (e == asio::error::eof && !peer_ended && busy && owner.on_end_) {
      peer_ended = true;
      return owner.on_end_();
    }
    if (on_unread && wasReset(e))
      on_unread();
    close(false);
  }

  // The peer's system answers bytes that nobody will read with a reset. When the end of the stream was queued
  // before it, reading tells the end alone, and the reset stands in the socket's state.
  bool wasReset(const error_code& e) {
    if (e == asio::error::connection_reset || e == asio::error::broken_pipe)
      return true;
    tcp_info info{};
    socklen_t size = sizeof info;
    return ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
           info.tcpi_state == TCP_CLOSE;
  }

  void next() {
    const auto end = in.find("\r\n\r\n");
    if (end == std::string::npos)
      return read();
    Request r;
    r.head = in.substr(0, end + 2);
    const std::size_t size = std::strtoul(r.field("Content-Length").c_str(), nullptr, 10);
    if (in.size() < end + 4 + size)
      return read();
    r.body = in.substr(end + 4, size);
    in.erase(0, end + 4 + size);
    const auto space = r.head.find(' ');
    r.method = r.head.substr(0, space);
    r.target = r.head.substr(space + 1, r.head.find(' ', space + 1) - space - 1);
    r.first_byte = first_byte;
    r.is_crossed = late_copy.has_value();
    if (late_copy && late_copy->trigger == LateCopy::Trigger::next_request)
      scheduleCopy();
    busy = true;
    read();  // hears of the end while the answer is made
    owner.handler_(std::move(r), [weak = weak_from_this()](Reaction reaction) {
      const auto self = weak.lock();
      return self && self->open && self->answer(std::move(reaction));
    });
  }

  // Writes the copy after its delay, whatever has come on the connection by then.
  void scheduleCopy() {
    const auto timer = std::make_shared<asio::steady_timer>(socket.get_executor(),
                                                            std::chrono::microseconds(late_copy->delay));
    timer->async_wait([timer, weak = weak_from_this()](error_code error) {
      const auto self = weak.lock();
      if (error || !self || !self->open)
        return;
      error_code ignored;
      asio::write(self->socket, asio::buffer(self->copy), ignored);
      self->late_copy.reset();
    });
  }

  bool answer(Reaction r) {
    out = std::move(r.bytes);
    if (r.late_copy && !late_copy) {
      late_copy = r.late_copy;
      copy = out;
      if (late_copy->trigger == LateCopy::Trigger::answer)
        scheduleCopy();
    }
    on_unread = std::move(r.on_unread);
    const bool close_after = r.close || r.reset, reset = r.reset;
    asio::async_write(socket, asio::buffer(out),
                      [self = shared_from_this(), close_after, reset](error_code e, std::size_t) {
                        if (!self->open)
                          return;
                        if (e || close_after)
                          return self->close(reset);
                        if (self->peer_ended)
                          return self->onReadError(asio::error::eof);
                        self->busy = false;
                        if (!self->in.empty())
                          self->next();
                      });
    return true;
  }

  void close(bool reset) {
    if (!open)
      return;
    open = false;
    error_code ignored;
    if (reset)
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
    owner.connections_.erase(shared_from_this());
  }
};

HttpStandIn::HttpStandIn(asio::io_context& io, Handler handler, const std::string& host, int port)
    : io_(io),
      acceptor_(io),
      address_(asio::ip::make_address(host), static_cast<unsigned short>(port)),
      handler_(std::move(handler)) {
  bind();
  listen();
}

HttpStandIn::~HttpStandIn() {
  const auto all = connections_;
  for (const auto& c : all)
    c->close(false);
}

void HttpStandIn::bind() {
  acceptor_.open(address_.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address_);
  address_ = acceptor_.local_endpoint();
}

void HttpStandIn::listen() {
  acceptor_.listen();
  listening_ = true;
  accept();
}

std::string HttpStandIn::address() const {
  return address_.address().to_string() + ":" + std::to_string(address_.port());
}

void HttpStandIn::accept() {
  acceptor_.async_accept([this](error_code e, tcp::socket s) {
    if (e)
      return;
    error_code ignored;
    s.set_option(tcp::no_delay(true), ignored);
    const auto c = std::make_shared<Connection>(*this, std::move(s));
    connections_.insert(c);
    c->read();
    accept();
  });
}

void HttpStandIn::refuse(bool on) {
  if (on != listening_)
    return;
  if (!on)
    return listen();
  listening_ = false;
  error_code ignored;
  acceptor_.close(ignored);
  bind();  // without listening: refused, and the port stays its own
  const auto all = connections_;
  for (const auto& c : all)
    c->close(true);
}

}  // namespace grademux::harness
