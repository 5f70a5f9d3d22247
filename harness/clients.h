// grademux harness: clients of each protocol under load: connections that carry one request at a time,
// answers read whole, lost ones noticed.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "delivery_checker.h"

namespace grademux::harness {

struct Message {
  std::string id, cls, key, body;
  std::string partner;  // named in place of the destination, if it isn't empty
  std::int64_t destination = 0, deadline_ms = 20000;
  std::string to() const { return partner.empty() ? std::to_string(destination) : partner; }
};

// How a protocol writes a request and reads its answer.
class Wire {
 public:
  virtual ~Wire() = default;
  virtual std::string request(const Message& m) const = 0;
  // Takes one whole answer off the front of `in`; none while it is not whole.
  virtual std::optional<Reply> answer(std::string& in) const = 0;
};
std::unique_ptr<Wire> respWire();
std::unique_ptr<Wire> httpWire();

// A client program: so many connections to one door, the rest queues in front of them.
class Clients {
 public:
  using Done = std::function<void(Reply)>;  // `nothing`: the connection ended first
  Clients(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint door, std::unique_ptr<Wire> wire,
          std::size_t connections);
  ~Clients();
  void submit(const Message& m, Done done);
  // A request whose connection ended before its answer came is told as `cut` from now on (or no more).
  void expectCuts(bool on) { cuts_ = on; }
  std::size_t busy() const { return busy_ + queue_.size(); }

 private:
  struct Connection;
  void next(const std::shared_ptr<Connection>& c);
  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint door_;
  std::unique_ptr<Wire> wire_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::deque<std::pair<std::string, Done>> queue_;
  std::size_t busy_ = 0;
  bool cuts_ = false;
};

}  // namespace grademux::harness
