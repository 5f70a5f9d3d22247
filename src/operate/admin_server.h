// grademux: the operators' door: one line to a connection, answered by one line that begins with ACK or NAK.
// Answers are owed in 1 s whatever else goes on, so its connections have descriptors of their own, and
// callers without a whole line hold up nobody: they are bounded in number and time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>

#include "service_state.h"

namespace grademux::operate {

constexpr std::size_t kMaxAdminConnections =
    48;  // connections at once, and the descriptors that are set aside for them

class AdminServer {
 public:
  using Handle = std::function<CommandResult(AdminCommand)>;  // on the loop thread

  // Binds and listens; throws std::runtime_error naming the address when it can't.
  AdminServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, Handle handle);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

 private:
  struct Caller;
  void accept();
  void admit(boost::asio::ip::tcp::socket socket);
  void sweep();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_, sweeper_;
  Handle handle_;
  std::list<std::shared_ptr<Caller>> callers_;  // oldest first
  bool sweeping_ = false;
};

}  // namespace grademux::operate
