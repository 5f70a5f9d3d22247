// grademux: HTTP connections; see http.h.
#include "http.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <stdexcept>

namespace grademux {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {
constexpr std::size_t kHeaderLimit = 16384;

std::string lower(std::string s) {
  for (char& c : s)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return s;
}
}  // namespace

const std::string* HttpAnswer::field(const std::string& name) const {
  for (const auto& [n, value] : fields)
    if (n == name) return &value;
  return nullptr;
}

struct HttpConnection::State : std::enable_shared_from_this<State> {
  State(asio::io_context& io, tcp::endpoint p, std::string h, std::size_t b)
      : socket(io), timer(io), peer(std::move(p)), host(std::move(h)), body_limit(b) {}

  tcp::socket socket;
  asio::steady_timer timer;
  tcp::endpoint peer;
  std::string host;
  std::size_t body_limit;
  boost::beast::flat_buffer in;
  http::request<http::string_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  Done done;
  std::uint64_t turn = 0;  // exchanges begun or over: what belongs to an earlier one is ignored
  bool open = false, written = false, header = false, keep = false;
  std::chrono::steady_clock::time_point ends;

  void begin(HttpRequest r, Micros connect_limit, Micros limit, Done d) {
    request = {};
    request.version(11);
    request.method_string(r.method);
    request.target(r.target);
    request.set(http::field::host, host);
    for (auto& [name, value] : r.fields) request.set(name, value);
    request.body() = std::move(r.body);
    request.prepare_payload();
    parser.emplace();
    parser->body_limit(body_limit);
    parser->header_limit(kHeaderLimit);
    done = std::move(d);
    written = header = keep = false;
    const std::uint64_t mine = ++turn;
    ends = std::chrono::steady_clock::now() + std::chrono::microseconds(limit);
    if (open) {
      setTimer(mine, limit);
      asio::post(socket.get_executor(), [self = shared_from_this(), mine] {
        if (mine == self->turn) self->write(mine);
      });
      return;
    }
    setTimer(mine, std::min(connect_limit, limit));
    socket.async_connect(peer, [self = shared_from_this(), mine](error_code e) {
      if (mine != self->turn) return;
      if (e) return self->finish(Exchanged::not_written);
      self->open = true;
      error_code ignored;
      self->socket.set_option(tcp::no_delay(true), ignored);
      const auto left = self->ends - std::chrono::steady_clock::now();
      self->setTimer(mine, std::chrono::duration_cast<std::chrono::microseconds>(left).count());
      self->write(mine);
    });
  }

  void setTimer(std::uint64_t mine, Micros span) {
    timer.expires_after(std::chrono::microseconds(std::max<Micros>(0, span)));
    timer.async_wait([self = shared_from_this(), mine](error_code e) {
      if (e || mine != self->turn) return;
      self->finish(self->header    ? Exchanged::answered
                   : self->written ? Exchanged::timed_out
                                   : Exchanged::not_written);
    });
  }

  void write(std::uint64_t mine) {
    http::async_write(socket, request, [self = shared_from_this(), mine](error_code e, std::size_t) {
      if (mine != self->turn) return;
      if (e) return self->finish(Exchanged::not_written);
      self->written = true;
      self->readHeader(mine);
    });
  }

  void readHeader(std::uint64_t mine) {
    http::async_read_header(
        socket, in, *parser, [self = shared_from_this(), mine](error_code e, std::size_t) {
          if (mine != self->turn) return;
          if (e) return self->finish(Exchanged::broken);
          // From here on the status is known, whatever becomes of the body.
          self->header = true;
          http::async_read(self->socket, self->in, *self->parser, [self, mine](error_code e2, std::size_t) {
            if (mine != self->turn) return;
            self->keep = !e2 && self->parser->get().keep_alive() && self->in.size() == 0;
            self->finish(Exchanged::answered, !e2);
          });
        });
  }

  void finish(Exchanged how, bool whole = false) {
    ++turn;
    timer.cancel();
    HttpAnswer a;
    a.how = how;
    if (how == Exchanged::answered) {
      const auto& m = parser->get();
      a.status = m.result_int();
      a.whole = whole;
      a.body = m.body();
      for (const auto& f : m)
        a.fields.emplace_back(lower(std::string(f.name_string())), std::string(f.value()));
    }
    if (!keep) close();
    Done d = std::move(done);
    done = nullptr;
    if (d) d(a);
  }

  void close() {
    error_code ignored;
    open = false;
    socket.close(ignored);
    in.clear();
  }
};

HttpConnection::HttpConnection(asio::io_context& io, tcp::endpoint peer, std::string host,
                               std::size_t body_limit)
    : state_(std::make_shared<State>(io, std::move(peer), std::move(host), body_limit)) {}

HttpConnection::~HttpConnection() {
  ++state_->turn;
  state_->done = nullptr;
  state_->timer.cancel();
  state_->close();
}

void HttpConnection::exchange(HttpRequest request, Micros connect_limit, Micros limit, Done done) {
  state_->begin(std::move(request), connect_limit, limit, std::move(done));
}

// What the other side has closed, or sent unasked, shows as something to read. Guards against a request
// written to a connection that is gone: it would end as a reset and might have run.
bool HttpConnection::reusable() const {
  if (!state_->open || state_->done) return false;
  char c;
  error_code e;
  state_->socket.non_blocking(true, e);
  if (e) return false;
  state_->socket.receive(asio::buffer(&c, 1), tcp::socket::message_peek, e);
  return e == asio::error::would_block;
}

tcp::endpoint parseAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  error_code e;
  if (colon != std::string::npos && colon + 1 < address.size()) {
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
    const auto ip = asio::ip::make_address(host, e);
    const std::string port = address.substr(colon + 1);
    const bool digits = port.size() <= 5 && port.find_first_not_of("0123456789") == std::string::npos;
    const int number = digits ? std::stoi(port) : -1;
    if (!e && number >= 0 && number <= 65535) return {ip, static_cast<unsigned short>(number)};
  }
  throw std::invalid_argument("not an address with a port: " + address);
}

}  // namespace grademux
