// grademux: one kept-alive HTTP/1.1 connection that carries one exchange at a time, on Boost.Beast. It
// tells how far an exchange came, never sends anything twice, and is closed to call an exchange off.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "grademux/sender.h"

namespace grademux {

using boost::asio::ip::tcp;

struct HttpRequest {
  std::string method, target;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  // Asked right before the first byte is written, once the connection is there; false: nothing is written, as
  // if there was no connection. Empty: it may.
  std::function<bool()> may;
};

enum class Exchanged {
  answered,     // an answer came that can be trusted: see `whole`
  not_written,  // no connection, or it broke before the last byte was written
  broken,       // after the last byte the connection broke, or the answer is spoilt: it says nothing
  timed_out     // nothing came in time
};

struct HttpAnswer {
  Exchanged how = Exchanged::not_written;
  int status = 0;
  bool begun = false;  // at least a byte of it came
  bool whole = false;  // sound from end to end; else only its first line came, and that says 200
  std::string body;
  std::vector<std::pair<std::string, std::string>> fields;
  const std::string* field(const std::string& name) const;  // in lower case
};

class HttpConnection {
 public:
  using Done = std::function<void(const HttpAnswer&)>;
  HttpConnection(boost::asio::io_context& io, tcp::endpoint peer, std::string host, std::size_t body_limit);
  ~HttpConnection();  // closes it; an exchange under way is called off and its Done never called
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Done is called once, from the event loop, never from within this call.
  void exchange(HttpRequest request, Micros connect_limit, Micros limit, Done done);
  bool reusable() const;  // open, idle, and not closed from the other side

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace grademux
