// grademux harness: links; see link.h.
#include "fault_proxy.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "../src/net/address.h"

namespace grademux::harness {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

struct FaultProxy::Pair : std::enable_shared_from_this<Pair> {
  struct Direction {
    char piece[16384];
    std::string held;  // read, and not passed on
    bool writing = false, ended = false;
    std::unique_ptr<asio::steady_timer> timer;
  };
  Pair(FaultProxy& l, tcp::socket c) : link(l), client(std::move(c)), server(l.io_) {
    for (Direction& d : ways)
      d.timer = std::make_unique<asio::steady_timer>(l.io_);
  }
  FaultProxy& link;
  tcp::socket client, server;
  Direction ways[2];  // there, back
  bool open = true;

  void begin() {
    server.async_connect(parseAddress(link.target_), [self = shared_from_this()](error_code e) {
      if (!self->open)
        return;
      if (e)
        return self->close(true);
      error_code ignored;
      self->server.set_option(tcp::no_delay(true), ignored);
      self->read(true);
      self->read(false);
    });
  }
  Direction& way(bool there) { return ways[there ? 0 : 1]; }

  void read(bool there) {
    Direction& d = way(there);
    (there ? client : server)
        .async_read_some(asio::buffer(d.piece),
                         [self = shared_from_this(), there](error_code e, std::size_t n) {
                           if (!self->open)
                             return;
                           Direction& d2 = self->way(there);
                           if (e) {
                             d2.ended = true;
                             return self->pass(there);
                           }
                           d2.held.append(d2.piece, n);
                           self->later(there);
                         });
  }
  void later(bool there) {
    if (link.delay_ <= 0)
      return pass(there);
    Direction& d = way(there);
    d.timer->expires_after(std::chrono::microseconds(link.delay_));
    d.timer->async_wait([self = shared_from_this(), there](error_code e) {
      if (!e && self->open)
        self->pass(there);
    });
  }
  void pass(bool there) {
    Direction& d = way(there);
    if (!open || d.writing || !link.passes(there))
      return;
    if (d.held.empty()) {
      if (d.ended)
        close(false);
      return;
    }
    std::size_t n = d.held.size();
    if (link.rate_ > 0)
      n = std::min<std::size_t>(n, std::max<std::size_t>(1, link.rate_ / 100));
    bool cut = false;
    if (!there && link.cut_after_ != SIZE_MAX) {
      n = std::min(n, link.cut_after_);
      link.cut_after_ -= n;
      cut = link.cut_after_ == 0;
    }
    if (n == 0)
      return close(true);
    d.writing = true;
    const auto out = std::make_shared<std::string>(d.held.substr(0, n));
    d.held.erase(0, n);
    asio::async_write(there ? server : client, asio::buffer(*out),
                      [self = shared_from_this(), there, out, cut](error_code e, std::size_t) {
                        if (!self->open)
                          return;
                        Direction& d2 = self->way(there);
                        d2.writing = false;
                        if (e || cut) {
                          if (cut)
                            self->link.cut_after_ = SIZE_MAX;
                          return self->close(true);
                        }
                        if (!d2.held.empty() || d2.ended)
                          return self->again(there);
                        self->read(there);
                      });
  }
  void again(bool there) {  // slowed: a hundredth of a second's worth at a time
    Direction& d = way(there);
    if (link.rate_ == 0)
      return pass(there);
    d.timer->expires_after(std::chrono::milliseconds(10));
    d.timer->async_wait([self = shared_from_this(), there](error_code e) {
      if (!e && self->open)
        self->pass(there);
    });
  }
  void close(bool reset) {
    if (!open)
      return;
    open = false;
    error_code ignored;
    for (tcp::socket* s : {&client, &server}) {
      if (reset)
        s->set_option(asio::socket_base::linger(true, 0), ignored);
      s->close(ignored);
    }
    for (Direction& d : ways)
      d.timer->cancel();
    link.pairs_.erase(shared_from_this());
  }
};

FaultProxy::FaultProxy(asio::io_context& io, std::string target)
    : io_(io), target_(std::move(target)), acceptor_(io) {
  address_ = {asio::ip::address_v4::loopback(), 0};
  bind();
  acceptor_.listen();
  accept();
}

FaultProxy::~FaultProxy() {
  resetAll();
}

void FaultProxy::bind() {
  acceptor_.open(address_.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address_);
  address_ = acceptor_.local_endpoint();
}

std::string FaultProxy::address() const {
  return "127.0.0.1:" + std::to_string(address_.port());
}

void FaultProxy::accept() {
  acceptor_.async_accept([this](error_code e, tcp::socket s) {
    if (e)
      return;
    error_code ignored;
    s.set_option(tcp::no_delay(true), ignored);
    ++made_;
    const auto pair = std::make_shared<Pair>(*this, std::move(s));
    pairs_.insert(pair);
    pair->begin();
    accept();
  });
}

void FaultProxy::resetAll() {
  const auto all = pairs_;
  for (const auto& p : all)
    p->close(true);
}

void FaultProxy::setMode(Mode way) {
  const bool listens = way_ != Mode::refused;
  way_ = way;
  if (way == Mode::refused && listens) {
    error_code ignored;
    acceptor_.close(ignored);
    bind();  // without listening: refused, and the port stays its own
    resetAll();
  } else if (way != Mode::refused && !listens) {
    acceptor_.listen();
    accept();
  }
  const auto all = pairs_;
  for (const auto& p : all)
    for (const bool there : {true, false})
      p->pass(there);
}

}  // namespace grademux::harness
