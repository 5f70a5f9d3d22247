// The discovery agent on this machine: where it listens, and new connections to it. Loop thread only.
#pragma once

#include <memory>
#include <string>

#include "../net/http_connection.h"

namespace grademux {

class Agent {
 public:
  static constexpr std::size_t kMaxAnswerBytes = 64u << 20;  // a list of some 400,000 endpoints

  // An answer with a body of more than `max_answer_bytes` is malformed.
  Agent(boost::asio::io_context& io, tcp::endpoint peer, std::string host,
        std::size_t max_answer_bytes = kMaxAnswerBytes);
  boost::asio::io_context& io() const { return io_; }
  std::unique_ptr<HttpConnection> newConnection() const;
  // New connections are made to this agent from now on.
  void moveTo(tcp::endpoint peer, std::string host);

 private:
  boost::asio::io_context& io_;
  tcp::endpoint peer_;
  std::string host_;
  std::size_t max_answer_bytes_;
};

}  // namespace grademux
