// grademux: one kept-alive HTTP/1.1 client connection that carries one exchange at a time, on Boost.Beast. It
// tells how far an exchange came, never sends anything twice, and is closed to call an exchange off. All
// functions are called on the loop thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "grademux/sender.h"

namespace grademux {

using boost::asio::ip::tcp;

constexpr Micros kNoLimit = std::numeric_limits<Micros>::max();

struct HttpRequest {
  std::string method, target;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  // Asked right before the first byte is written, once the connection is there; false: nothing is written, as
  // if there was no connection. Empty: it may.
  std::function<bool()> may_begin;
  // The last byte is written within this span (microseconds, from exchange() on) or the exchange ends as not
  // written.
  Micros write_within = kNoLimit;
};

enum class Exchanged {
  answered,     // an answer came that can be trusted: see `whole`
  not_written,  // no connection, or it broke before the last byte was written
  broken,       // after the last byte the connection broke, or the answer is spoilt: it may have run
  timed_out     // nothing came in time
};

struct HttpAnswer {
  Exchanged how = Exchanged::not_written;
  int status = 0;       // of an answer that can be trusted
  bool begun = false;   // at least a byte of it came
  bool whole = false;   // sound from end to end; else only its first line came, and that says 200
  bool reused = false;  // the request was written on a connection of an earlier exchange
  int head_status = 0;  // of a head that came to its end, also if the body broke off; 0: none did
  std::vector<std::pair<std::string, std::string>> fields;  // of that head, names in lower case
  std::string body;                                         // of a whole answer
  const std::string* field(const std::string& name) const;  // in lower case; null: there is none
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
  // Calls the exchange off and answers what has come of it by now, without waiting. Its Done is not called.
  // `answered`: it is over as if it had not been called off. Requires an exchange under way.
  HttpAnswer abandon();
  // The last byte of the request under way has been handed to the system: it may reach the other side.
  bool written() const;
  bool reusable() const;  // open, idle, and not closed from the other side

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace grademux
