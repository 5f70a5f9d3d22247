// See agent.h.
#include "agent.h"

#include <utility>

namespace grademux {

Agent::Agent(boost::asio::io_context& io, tcp::endpoint peer, std::string host, std::size_t max_answer_bytes)
    : io_(io), peer_(std::move(peer)), host_(std::move(host)), max_answer_bytes_(max_answer_bytes) {}

std::unique_ptr<HttpConnection> Agent::newConnection() const {
  return std::make_unique<HttpConnection>(io_, peer_, host_, max_answer_bytes_);
}

void Agent::moveTo(tcp::endpoint peer, std::string host) {
  peer_ = std::move(peer);
  host_ = std::move(host);
}

}  // namespace grademux
