// grademux harness: clients; see clients.h.
#include "clients.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>

namespace grademux::harness {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

class RespWire : public Wire {
  std::string request(const Message& m) const override {
    std::string fields = "c=" + m.cls + ",d=" + std::to_string(m.deadline_ms) + ",dest=" + m.to();
    if (!m.key.empty())
      fields += ",k=" + m.key;
    std::string out = "*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000000000000000\r\n";
    for (const std::string* s : {&m.id, static_cast<const std::string*>(&fields), &m.body})
      out += "$" + std::to_string(s->size()) + "\r\n" + *s + "\r\n";
    return out;
  }
  std::optional<Reply> answer(std::string& in) const override {
    const auto end = in.find("\r\n");
    if (end == std::string::npos)
      return std::nullopt;
    const Reply said = in[0] == '+'                     ? Reply::accepted
                       : in.compare(0, 5, "-BUSY") == 0 ? Reply::refused
                                                        : Reply::failed;
    in.erase(0, end + 2);
    return said;
  }
};

class HttpWire : public Wire {
  std::string request(const Message& m) const override {
    std::string out = "PUT /v1/messages/" + m.id + " HTTP/1.1\r\nHost: grademux\r\nGrademux-Class: " + m.cls +
                      "\r\nGrademux-Destination: " + m.to() +
                      "\r\nGrademux-Deadline-Ms: " + std::to_string(m.deadline_ms) + "\r\n";
    if (!m.key.empty())
      out += "Idempotency-Key: " + m.key + "\r\n";
    return out + "Content-Length: " + std::to_string(m.body.size()) + "\r\n\r\n" + m.body;
  }
  std::optional<Reply> answer(std::string& in) const override {
    const auto end = in.find("\r\n\r\n");
    if (end == std::string::npos)
      return std::nullopt;
    const auto length = in.find("\r\nContent-Length: ");
    const std::size_t size = length < end ? std::strtoul(in.c_str() + length + 18, nullptr, 10) : 0;
    if (in.size() < end + 4 + size)
      return std::nullopt;
    const int status = std::atoi(in.c_str() + 9);
    in.erase(0, end + 4 + size);
    return status == 202 || status == 200   ? Reply::accepted
           : status == 429 || status == 503 ? Reply::refused
                                            : Reply::failed;
  }
};

}  // namespace

std::unique_ptr<Wire> respWire() {
  return std::make_unique<RespWire>();
}
std::unique_ptr<Wire> httpWire() {
  return std::make_unique<HttpWire>();
}

struct Clients::Connection : std::enable_shared_from_this<Connection> {
  explicit Connection(Clients& c) : clients(c), socket(c.io_), retry(c.io_) {}
  Clients& clients;
  tcp::socket socket;
  asio::steady_timer retry;
  std::string out, in;
  char piece[4096];
  Done done;
  bool open = false, gone = false, used = false;  // used: it has had an answer, so a door may have closed it
  int tries = 0;

  void begin(std::string request, Done d) {
    out = std::move(request);
    done = std::move(d);
    tries = 0;
    go();
  }
  void go() {
    if (open)
      return write();
    socket = tcp::socket(clients.io_);
    socket.async_connect(clients.door_, [self = shared_from_this()](error_code e) {
      if (self->gone)
        return;
      if (e)
        return self->again();
      error_code ignored;
      self->socket.set_option(tcp::no_delay(true), ignored);
      self->open = true;
      self->used = false;
      self->in.clear();
      self->write();
    });
  }
  // Nobody is there: nothing was handed in, it is tried again for a while.
  void again() {
    if (++tries > 500)
      return finish(clients.cuts_ ? Reply::cut : Reply::nothing);
    retry.expires_after(std::chrono::milliseconds(20));
    retry.async_wait([self = shared_from_this()](error_code e) {
      if (!e && !self->gone)
        self->go();
    });
  }
  void write() {
    asio::async_write(socket, asio::buffer(out), [self = shared_from_this()](error_code e, std::size_t) {
      if (self->gone)
        return;
      if (e)
        return self->broke();
      self->read();
    });
  }
  void read() {
    socket.async_read_some(asio::buffer(piece), [self = shared_from_this()](error_code e, std::size_t n) {
      if (self->gone)
        return;
      if (e)
        return self->broke();
      self->in.append(self->piece, n);
      const auto said = self->clients.wire_->answer(self->in);
      if (!said)
        return self->read();
      self->used = true;
      self->finish(*said);
    });
  }
  // A door may close a kept connection between requests: if that crosses a request, it is sent once more on a
  // new one, as the protocol has it.
  void broke() {
    error_code ignored;
    socket.close(ignored);
    open = false;
    if (used && in.empty() && !clients.cuts_ && tries++ == 0) {
      used = false;
      return go();
    }
    finish(clients.cuts_ ? Reply::cut : Reply::nothing);
  }
  void finish(Reply said) {
    Done d = std::move(done);
    done = nullptr;
    --clients.busy_;
    d(said);
    if (!gone)
      clients.next(shared_from_this());
  }
};

Clients::Clients(asio::io_context& io, tcp::endpoint door, std::unique_ptr<Wire> wire,
                 std::size_t connections)
    : io_(io), door_(std::move(door)), wire_(std::move(wire)) {
  for (std::size_t i = 0; i < connections; ++i)
    connections_.push_back(std::make_shared<Connection>(*this));
}

Clients::~Clients() {
  for (const auto& c : connections_) {
    c->gone = true;
    error_code ignored;
    c->socket.close(ignored);
  }
}

void Clients::submit(const Message& m, Done done) {
  queue_.emplace_back(wire_->request(m), std::move(done));
  for (const auto& c : connections_)
    if (!c->done)
      return next(c);
}

void Clients::next(const std::shared_ptr<Connection>& c) {
  if (queue_.empty() || c->done)
    return;
  auto [request, done] = std::move(queue_.front());
  queue_.pop_front();
  ++busy_;
  c->begin(std::move(request), std::move(done));
}

}  // namespace grademux::harness
