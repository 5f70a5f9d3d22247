// The TCP server for operators; see admin_server.h.
#include "admin_server.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <utility>

#include "../listener/listening_socket.h"

namespace grademux::operate {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxLineBytes = 128;
// The platform's clients may take 4 s to send their line.
constexpr Micros kReadTimeout = 5'000'000;
// A younger connection is not closed to make room: its line may be on the way.
constexpr Micros kMinConnectionAge = 50'000;
// The client has this long after the answer to close the connection.
constexpr Micros kCloseTimeout = 500'000;
constexpr Micros kTimeoutCheckInterval = 250'000;
constexpr Micros kAcceptErrorPause = 20'000;

}  // namespace

class AdminServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(AdminServer& server, tcp::socket socket) : server_(server), socket_(std::move(socket)) {}

  bool isOpen() const { return open_; }
  Micros age() const { return monotonicNow() - since_; }

  void read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](error_code error, std::size_t size) {
                              if (self->open_)
                                self->onRead(error, size);
                            });
  }

  void close() {
    if (!open_)
      return;
    open_ = false;
    error_code ignored;
    socket_.close(ignored);
    server_.connections_.remove(shared_from_this());
  }

  void checkTimeout() {
    if (answered_ && age() >= kCloseTimeout)
      return close();
    if (!answered_ && age() >= kReadTimeout) {
      socket_.cancel();
      answer({false, "no whole line came in 5 s"});
    }
  }

 private:
  void onRead(error_code error, std::size_t size) {
    if (answered_)  // further input is discarded
      return error ? close() : read();
    input_.append(chunk_.data(), size);
    const auto end = input_.find('\n');
    if (end != std::string::npos)
      return onLine(input_.substr(0, end));
    if (input_.size() >= kMaxLineBytes)
      return answer({false, "a line of 128 bytes at most is expected"});
    if (error == asio::error::eof && !input_.empty())
      return onLine(input_);
    error ? close() : read();
  }

  void onLine(const std::string& line) {
    const auto command = line.size() < kMaxLineBytes ? parseAdminCommand(line) : std::nullopt;
    if (!command)
      return answer({false, "one of status, standby, active is expected"});
    answer(server_.handler_(*command));
  }

  void answer(const CommandResult& result) {
    answered_ = true;
    since_ = monotonicNow();
    output_ = (result.ok ? "ACK " : "NAK ") + result.reason + "\n";
    asio::async_write(socket_, asio::buffer(output_),
                      [self = shared_from_this()](error_code error, std::size_t) {
                        if (self->open_)
                          self->onAnswerWritten(error);
                      });
  }

  void onAnswerWritten(error_code error) {
    if (error)
      return close();
    // Closing with unread input would reset the connection and lose the answer.
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    read();
  }

  AdminServer& server_;
  tcp::socket socket_;
  std::array<char, kMaxLineBytes> chunk_{};
  std::string input_, output_;
  Micros since_ = monotonicNow();  // when the connection was accepted or, later, answered
  bool answered_ = false, open_ = true;
};

AdminServer::AdminServer(asio::io_context& io, const tcp::endpoint& address, CommandHandler handler)
    : io_(io), acceptor_(io), accept_timer_(io), timeout_timer_(io), handler_(std::move(handler)) {
  bindListener(acceptor_, address);
  acceptor_.listen();
  accept();
}

AdminServer::~AdminServer() {
  const auto connections = connections_;
  for (const auto& connection : connections)
    connection->close();
}

void AdminServer::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted)
      return;
    if (error)
      return pauseAccepting(kAcceptErrorPause);
    const bool is_full = connections_.size() >= kMaxAdminConnections;
    if (is_full && connections_.front()->age() >= kMinConnectionAge)
      connections_.front()->close();
    addConnection(std::move(socket));
    // With one connection above the limit, the next client waits in the backlog until one may be closed.
    if (connections_.size() > kMaxAdminConnections)
      return pauseAccepting(kMinConnectionAge);
    accept();
  });
}

void AdminServer::pauseAccepting(Micros pause) {
  accept_timer_.expires_after(std::chrono::microseconds(pause));
  accept_timer_.async_wait([this](error_code error) {
    if (error)
      return;
    if (connections_.size() > kMaxAdminConnections)
      connections_.front()->close();
    accept();
  });
}

void AdminServer::addConnection(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const auto connection = std::make_shared<Connection>(*this, std::move(socket));
  connections_.push_back(connection);
  connection->read();
  scheduleTimeoutCheck();
}

void AdminServer::scheduleTimeoutCheck() {
  if (timeout_check_scheduled_ || connections_.empty())
    return;
  timeout_check_scheduled_ = true;
  timeout_timer_.expires_after(std::chrono::microseconds(kTimeoutCheckInterval));
  timeout_timer_.async_wait([this](error_code error) {
    if (!error)
      checkTimeouts();
  });
}

void AdminServer::checkTimeouts() {
  timeout_check_scheduled_ = false;
  const auto connections = connections_;
  for (const auto& connection : connections)
    if (connection->isOpen())
      connection->checkTimeout();
  scheduleTimeoutCheck();
}

}  // namespace grademux::operate
