// grademux: the server for clients; see clients.h.
#include "clients.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <vector>

#include "resp.h"

namespace grademux {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kDiscard = 1u << 20;  // of a malformed request's rest
constexpr std::int64_t kLongestMs = 24LL * 3600 * 1000;

bool wholeNumber(const std::string& s, std::int64_t& out) {
  if (s.empty() || s.size() > 18 || s.find_first_not_of("0123456789") != std::string::npos) return false;
  out = std::strtoll(s.c_str(), nullptr, 10);
  return true;
}

// "c=notice,d=8000,..."; answers what is wrong, or nothing.
const char* readFields(const std::string& list, Clients::Put& put) {
  bool timed = false, addressed = false;
  for (std::size_t at = 0; at < list.size();) {
    const std::size_t end = std::min(list.find(',', at), list.size());
    const std::string item = list.substr(at, end - at);
    at = end + 1;
    const auto equals = item.find('=');
    if (equals == std::string::npos) return "malformed list of values";
    const std::string name = item.substr(0, equals), value = item.substr(equals + 1);
    std::int64_t n = 0;
    if (name == "c") {
      put.message.message_class = value;
    } else if (name == "d") {
      if (!wholeNumber(value, n) || n > kLongestMs) return "malformed d";
      put.may_last = n * 1000;
      timed = true;
    } else if (name == "dest") {
      if (!wholeNumber(value, put.message.destination)) return "malformed dest";
      addressed = true;
    } else if (name == "k") {
      put.message.idempotency_key = value;
    } else if (name == "r" || name == "again") {
      put.message.repeat = put.message.repeat || value == "1";
    }
  }
  if (put.message.message_class.empty()) return "no class";
  if (!timed) return "no d";
  if (!addressed) return "no dest";
  return nullptr;
}

// Ids and keys go on as HTTP header values: guards against one that would end its header early.
bool plain(const std::string& s) {
  for (const char c : s)
    if (c <= ' ' || c == 127) return false;
  return true;
}

std::string upper(std::string s) {
  for (char& c : s)
    if (c >= 'a' && c <= 'z') c = static_cast<char>(c - 'a' + 'A');
  return s;
}

}  // namespace

struct Clients::Session : std::enable_shared_from_this<Session> {
  Session(Clients& c, tcp::socket s) : clients(c), socket(std::move(s)) {}

  Clients& clients;
  tcp::socket socket;
  std::string in, out;
  char piece[16384];
  bool busy = false, closing = false, open = true;

  void read() {
    socket.async_read_some(asio::buffer(piece), [self = shared_from_this()](error_code e, std::size_t n) {
      if (!self->open) return;
      if (e) return self->close();
      self->in.append(self->piece, n);
      self->next();
    });
  }

  // One request at a time; the next is read once this one is answered.
  void next() {
    std::vector<std::string> words;
    std::size_t used = 0;
    std::string error;
    switch (parseRequest(in, words, used, error)) {
      case Parsed::partial:
        return read();
      case Parsed::malformed:
        closing = true;
        return answer("-ERR " + error);
      case Parsed::whole:
        break;
    }
    in.erase(0, used);
    const std::string command = upper(words[0]);
    if (command == "PING") return answer(words.size() > 1 ? "-ERR wrong number of arguments" : "+PONG");
    if (command != "MSG.PUT") return answer("-ERR unknown command");
    if (words.size() != 5) return answer("-ERR wrong number of arguments");
    Put put;
    if (words[1].find_first_not_of('0') != std::string::npos) put.message.order_key = words[1];
    put.message.id = words[2];
    put.message.body = words[4];
    if (put.message.id.empty() || !plain(put.message.id)) return answer("-ERR malformed id");
    if (const char* wrong = readFields(words[3], put)) return answer(std::string("-ERR ") + wrong);
    if (!plain(put.message.idempotency_key)) return answer("-ERR malformed k");
    busy = true;
    ++clients.unanswered_;
    clients.on_put_(std::move(put), [self = shared_from_this()](const std::string& reply) {
      self->busy = false;
      --self->clients.unanswered_;
      if (self->open) self->answer(reply);
    });
  }

  void answer(const std::string& reply) {
    out = reply + "\r\n";
    busy = true;
    asio::async_write(socket, asio::buffer(out), [self = shared_from_this()](error_code e, std::size_t) {
      if (!self->open) return;
      self->busy = false;
      if (!e && self->closing) return self->hangUp();
      if (e || (self->clients.draining_ && self->in.empty() && self->socket.available(e) == 0))
        return self->close();
      self->in.empty() ? self->read() : self->next();
    });
  }

  // Sends the end and reads on for a while: a close with input unread would take the reply with it.
  void hangUp() {
    error_code ignored;
    socket.shutdown(tcp::socket::shutdown_send, ignored);
    in.clear();
    discard(kDiscard);
  }
  void discard(std::size_t most) {
    busy = false;
    socket.async_read_some(asio::buffer(piece),
                           [self = shared_from_this(), most](error_code e, std::size_t n) {
                             if (!self->open) return;
                             if (e || n >= most) return self->close();
                             self->discard(most - n);
                           });
  }

  void close() {
    if (!open) return;
    open = false;
    error_code ignored;
    socket.shutdown(tcp::socket::shutdown_both, ignored);
    socket.close(ignored);
    clients.ended(shared_from_this());
  }
};

Clients::Clients(asio::io_context& io, const tcp::endpoint& listen, std::size_t most, OnPut on_put)
    : io_(io), acceptor_(io), pause_(io), most_(most), on_put_(std::move(on_put)) {
  acceptor_.open(listen.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(listen);
  acceptor_.listen();
  accept();
}

Clients::~Clients() {
  const auto all = sessions_;
  for (const auto& s : all) {
    s->open = false;
    error_code ignored;
    s->socket.close(ignored);
  }
}

unsigned short Clients::port() const { return acceptor_.local_endpoint().port(); }

// No more connections than there is room for: the others wait in the backlog. Guards against running out of
// descriptors, which the calls to endpoints need too.
void Clients::accept() {
  if (accepting_ || sessions_.size() >= most_) return;
  accepting_ = true;
  acceptor_.async_accept([this](error_code e, tcp::socket s) {
    accepting_ = false;
    if (e == asio::error::operation_aborted) return;
    if (e) {  // out of descriptors, say: try again soon rather than spin
      pause_.expires_after(std::chrono::milliseconds(20));
      pause_.async_wait([this](error_code stopped) {
        if (!stopped) accept();
      });
      return;
    }
    error_code ignored;
    s.set_option(tcp::no_delay(true), ignored);
    auto session = std::make_shared<Session>(*this, std::move(s));
    sessions_.insert(session);
    session->read();
    accept();
  });
}

void Clients::ended(const std::shared_ptr<Session>& s) {
  sessions_.erase(s);
  accept();
}

void Clients::drain() {
  draining_ = true;
  const auto all = sessions_;
  for (const auto& s : all) {
    error_code e;
    if (!s->busy && s->in.empty() && s->socket.available(e) == 0) s->close();
  }
}

}  // namespace grademux
