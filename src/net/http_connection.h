// One persistent HTTP/1.1 client connection on Boost.Beast, with one exchange at a time. The connection
// reports how far an exchange progressed, never sends a request twice, and is closed when an exchange is
// cancelled. All functions are called on the loop thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http_exchange.h"

namespace grademux {

using boost::asio::ip::tcp;

class HttpConnection {
 public:
  using Done = std::function<void(const HttpAnswer&)>;
  HttpConnection(boost::asio::io_context& io, tcp::endpoint peer, std::string host, std::size_t body_limit);
  ~HttpConnection();  // closes the connection; the Done of a pending exchange is never called
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Sends a request. Done is called once, from the event loop, never from within this call. Both limits are
  // in microseconds; `limit` is for the whole exchange.
  void exchange(HttpRequest request, Micros connect_limit, Micros limit, Done done);
  // Cancels the pending exchange and returns its result so far, without waiting; its Done is not called. The
  // result `answered` means that the response, or a status line with 200, had already arrived. Returns
  // nothing if a response is set aside (HttpRequest::earliest_response): the exchange goes on to its end.
  // Requires a pending exchange.
  std::optional<HttpAnswer> cancel();
  bool hasResponseSetAside() const;  // of the pending exchange
  // Ends the pending exchange now, as its limit would, and returns its result; its Done is not called.
  // Requires hasResponseSetAside().
  HttpAnswer settle();
  // Whether the last byte of the current request has been passed to the kernel, so that the peer may receive
  // it.
  bool isWritten() const;
  bool isReusable() const;            // open, idle, and not closed by the peer
  ExchangeProgress progress() const;  // of the pending exchange

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace grademux
