// grademux harness: a plain HTTP/1.1 server for stand-ins on loopback. One request at a time on a connection;
// what is answered, when, and how badly, is the handler's.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "grademux/sender.h"

namespace grademux::harness {

struct Request {
  std::string method, target, head, body;
  Micros first_byte = 0;    // when it came, on the monotonic clock
  bool is_crossed = false;  // a late copy of the previous answer will be written after this request came
  std::string field(const std::string& name) const;  // names as the sender writes them
};

// A second copy of an answer, written on the same connection after a delay (microseconds).
struct LateCopy {
  enum class Trigger : std::uint8_t { answer, next_request };
  Trigger trigger = Trigger::answer;  // the event at which the delay starts
  Micros delay = 0;
};

struct Reaction {
  std::string bytes;
  bool close = false, reset = false;
  // Called once if the peer had closed the connection before it read these bytes: its system answered them
  // with a reset. Not called when the peer read them, however it closes afterwards.
  std::function<void()> on_unread = {};
  std::optional<LateCopy> late_copy = {};
};
std::string httpAnswer(const std::string& status, const std::string& fields = "",
                       const std::string& body = "");

class HttpStandIn {
 public:
  // Called at most once, from any handler of the loop; false if the connection is gone by then.
  using Respond = std::function<bool(Reaction)>;
  using Handler = std::function<void(Request, Respond)>;
  // Listens on a loopback address, at a free port if none is given.
  HttpStandIn(boost::asio::io_context& io, Handler handler, const std::string& host = "127.0.0.1",
              int port = 0);
  ~HttpStandIn();
  std::string address() const;
  void refuse(bool on);  // new connections are refused, those that are open are reset
  // From now on the end of a connection with an open request is passed to `on_end`, and the connection stays
  // open for an answer that crosses it.
  void keepEndedConnections(std::function<void()> on_end) { on_end_ = std::move(on_end); }
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection;
  void bind();
  void listen();
  void accept();
  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint address_;
  Handler handler_;
  std::function<void()> on_end_;
  bool listening_ = false;
  std::set<std::shared_ptr<Connection>> connections_;
};

}  // namespace grademux::harness
