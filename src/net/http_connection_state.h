// The state of an HttpConnection and of its pending exchange. Loop thread only. http_connection.cpp connects
// and writes, http_connection_responses.cpp reads the response and ends the exchange.
#pragma once

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <optional>

#include "answer_reader.h"
#include "http_connection.h"
#include "response_history.h"

namespace grademux {

struct HttpConnection::State : std::enable_shared_from_this<State> {
  using Clock = std::chrono::steady_clock;
  using TimePoint = Clock::time_point;

  State(boost::asio::io_context& io, tcp::endpoint peer_endpoint, std::string host_name,
        std::size_t max_body_bytes)
      : socket(io),
        timer(io),
        peer(std::move(peer_endpoint)),
        host(std::move(host_name)),
        body_limit(max_body_bytes) {}

  tcp::socket socket;
  boost::asio::steady_timer timer;
  tcp::endpoint peer;
  std::string host;
  std::size_t body_limit;
  std::string in, out;
  std::size_t sent = 0;  // bytes of `out`
  std::optional<AnswerReader> reader;
  ResponseHistory history;  // of the open connection
  Done done;
  std::function<bool()> is_write_allowed;
  std::function<void(const HttpAnswer&)> on_set_aside;
  std::function<bool(int status)> is_body_awaited;
  std::function<void()> on_response_begun;
  // Counters of exchanges started or finished and of timers set. A handler with an earlier number is ignored:
  // a handler that is already queued can't be cancelled.
  std::uint64_t exchange_number = 0, timer_number = 0;
  bool open = false, written = false, response_started = false, keep = false, reused = false;
  bool keeps_body = true;                   // the body of the response is needed
  bool within_response = false;             // a response has begun, other than a complete interim response
  bool retry_after_received = false;        // the complete head of a 429 has arrived
  std::uint64_t response_digest = 0;        // of the complete response
  std::optional<HttpAnswer> set_aside;      // a response of the current exchange that is likely a late copy
  Micros earliest_response = 0;             // of the current request
  Micros stall_limit = kDefaultStallLimit;  // of the current request
  std::size_t bytes_received = 0;           // of the current exchange
  TimePoint started_at, deadline, write_deadline, begin_deadline;
  // Of the current exchange, valid if `written`, `response_started`, `bytes_received`.
  TimePoint written_at, first_byte_at, last_byte_at;
  TimePoint set_aside_at;  // valid if `set_aside`
  TimePoint idle_since;    // end of the previous exchange, valid if `reused`

  // ---- connecting and writing
  void begin(HttpRequest request, Micros connect_limit, Micros limit, Done then);
  void connect(std::uint64_t exchange, Micros limit);
  static Micros microsBetween(TimePoint from, TimePoint until);
  static Micros remaining(TimePoint until);
  void setTimer(std::uint64_t exchange, Micros span);
  // Whether the socket has nothing to read: neither unexpected bytes nor the end of the stream.
  bool isIdle();
  void startWrite(std::uint64_t exchange);
  // Writes without waiting. `written` becomes true right after the call that passes the last byte to the
  // kernel, so that any event that ends the exchange can tell whether the request may have run.
  void write(std::uint64_t exchange);
  void waitToWrite(std::uint64_t exchange);
  void close();
  void clearInput();

  // ---- responses
  void onTimeout(std::uint64_t exchange);
  void read(std::uint64_t exchange);
  // Reads the bytes that have arrived, without waiting. Returns true if they ended the exchange.
  bool readAvailable(std::uint64_t exchange);
  void recordReceived(std::size_t size);
  // Parses the bytes in `in`. Returns true if they ended the exchange.
  bool parseResponses(std::uint64_t exchange);
  // HTTP/1.1 has no identifier that relates a response to its request (RFC 9112, section 9.2): time and
  // content are the only signs.
  bool isLateCopy() const;
  // Whether the response on a reused connection began sooner than the peer can have answered this request.
  bool isImplausiblyEarly() const;
  // Whether the part of a response that has arrived confirms that the request was executed.
  bool isConfirmedByStatus() const;
  // Sets the likely late copy aside and goes on with the bytes after it. The connection is not used again.
  void setResponseAside(std::uint64_t exchange);
  // The time until the exchange ends without another response.
  Micros timeLeft() const;
  // Limits the time until the next piece of a partial response. Between an interim response and the final
  // one, the limit is that of the exchange: the endpoint is still executing the request.
  void setResponseTimer(std::uint64_t exchange);
  // Whether the head is complete and no body is awaited.
  bool isHeadEnough() const;
  // Ends the exchange with the state of its response.
  void end(AnswerReader::State state);
  // Whether the response that is set aside is taken for the request's own: no other one has come. Bytes that
  // begin no response are none, and neither is the beginning of a second 200.
  bool takesSetAside(bool complete) const;

  HttpAnswer takeSetAside() const;
  // Ends the exchange and calls `done`.
  void finish(ExchangeResult how, bool complete = false);
  HttpAnswer buildAnswer(ExchangeResult how, bool complete) const;
  ExchangeProgress progress() const;
  std::optional<HttpAnswer> cancel();  // see HttpConnection
  HttpAnswer settle();                 // see HttpConnection
};

}  // namespace grademux
