// Accepts the connections of one listener and calls its sweep. When the process is out of descriptors, or the
// listener has no room, accepting is tried again after a short delay; clients wait in the backlog meanwhile.
// Loop thread only. Destroying the acceptor closes its socket and cancels everything that is pending.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace grademux {

// What a listener implements to be given connections. It outlives its ConnectionAcceptor.
class ConnectionHandler {
 public:
  virtual ~ConnectionHandler() = default;
  // Called before a connection is served. May close others to make room; false: there is no room for now.
  virtual bool makeRoom() = 0;
  // Called with each new connection: non-blocking, TCP_NODELAY set.
  virtual void serve(boost::asio::ip::tcp::socket socket) = 0;
  // Called every 100 ms from ConnectionAcceptor::start() on, to apply time limits.
  virtual void sweep() = 0;
};

class ConnectionAcceptor {
 public:
  // When makeRoom() is called: before the connection is accepted, or once it has been (it is then kept,
  // unread, until there is room).
  enum class RoomCheck { before_accept, after_accept };

  ConnectionAcceptor(boost::asio::io_context& io, ConnectionHandler& handler, RoomCheck room_check);

  // Binds the address. Throws std::runtime_error naming the address.
  void bind(const boost::asio::ip::tcp::endpoint& address);
  // Uses a listening socket that the process was started with; see adoptListeningSocket().
  void adopt(int descriptor, const boost::asio::ip::tcp::endpoint& address);
  // Bytes that the kernel buffers for sending on each connection.
  void setSendBufferSize(int bytes);

  // Starts to listen, accept and sweep; called once, after bind() or adopt(). Throws std::exception when the
  // socket can't listen.
  void start();
  // Accepts nothing more until resume(). A connection that waits for room is still served.
  void pause();
  void resume();
  // Accepts nothing more and drops a connection that waits for room. The socket stays open.
  void stop();
  // The same, and closes the listening socket.
  void close();

  boost::asio::ip::tcp::endpoint address() const { return address_; }

 private:
  void accept();
  void onAccepted(boost::asio::ip::tcp::socket socket);
  void serveOrHold(boost::asio::ip::tcp::socket socket);
  void retryAfterDelay();
  void runSweep();

  ConnectionHandler& handler_;
  const RoomCheck room_check_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint address_;
  boost::asio::steady_timer retry_timer_, sweep_timer_;
  std::unique_ptr<boost::asio::ip::tcp::socket> held_;  // accepted, waits for room
  bool adopted_ = false;  // the listening socket belongs to another process, too
  bool paused_ = false, closed_ = false;
  // An accept is pending. Shared with its handler, which may run after this object is destroyed.
  std::shared_ptr<bool> accepting_ = std::make_shared<bool>(false);
};

}  // namespace grademux
