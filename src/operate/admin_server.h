// The TCP server for operators: a client sends one line and gets one line that begins with ACK or NAK.
// Answers are due within 1 s under any load: the server's connections have descriptors of their own, and
// clients that send no complete line are limited in number and time. Used on the loop thread alone.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>

#include "../core/clock.h"
#include "admin_command.h"

namespace grademux::operate {

/// Limit of connections at a time, and the number of file descriptors reserved for them.
constexpr std::size_t kMaxAdminConnections = 48;

class AdminServer {
 public:
  /// Carries a command out, on the loop thread.
  using CommandHandler = std::function<CommandResult(AdminCommand)>;

  /// Binds and listens. Throws std::runtime_error with the address when that fails.
  AdminServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
              CommandHandler handler);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

 private:
  class Connection;
  void accept();
  void pauseAccepting(Micros pause);
  void addConnection(boost::asio::ip::tcp::socket socket);
  void scheduleTimeoutCheck();
  void checkTimeouts();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_, timeout_timer_;
  CommandHandler handler_;
  std::list<std::shared_ptr<Connection>> connections_;  // oldest first
  bool timeout_check_scheduled_ = false;
};

}  // namespace grademux::operate
