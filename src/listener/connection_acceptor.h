// Accepts the connections of one listener and calls the listener's sweep() periodically. When the process is
// out of descriptors, or the listener has no room, the acceptor retries after a short delay; clients wait in
// the backlog meanwhile. Loop thread only. Destroying the acceptor closes its socket and cancels its pending
// operations.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace grademux {

// Implemented by a listener to receive its connections. The handler outlives its ConnectionAcceptor.
class ConnectionHandler {
 public:
  virtual ~ConnectionHandler() = default;
  // Called before a connection is served; may close other connections to make room. Returns false if the
  // listener has no room at the moment.
  virtual bool makeRoom() = 0;
  // Called with each new connection: non-blocking, TCP_NODELAY set.
  virtual void serve(boost::asio::ip::tcp::socket socket) = 0;
  // Called every 100 ms from ConnectionAcceptor::start() on, to apply time limits.
  virtual void sweep() = 0;
};

class ConnectionAcceptor {
 public:
  // Whether makeRoom() is called before a connection is accepted or after. With `after_accept`, an accepted
  // connection for which there is no room is held, unread, until there is room.
  enum class RoomCheck { before_accept, after_accept };

  ConnectionAcceptor(boost::asio::io_context& io, ConnectionHandler& handler, RoomCheck room_check);

  // Binds the address. Throws std::runtime_error naming the address.
  void bind(const boost::asio::ip::tcp::endpoint& address);
  // Uses a listening socket that the process inherited, in place of bind(); see adoptListeningSocket().
  void adopt(int descriptor, const boost::asio::ip::tcp::endpoint& address);
  // Sets the size in bytes of the kernel's send buffer of each connection.
  void setSendBufferSize(int bytes);

  // Starts to listen, accept and sweep. Called once, after bind() or adopt(). Throws std::exception if the
  // socket can't listen.
  void start();
  // Accepts no connections until resume(). A connection that waits for room is still served.
  void pause();
  void resume();
  // Accepts no more connections and drops a connection that waits for room. The listening socket stays open.
  void stop();
  // Like stop(), but also closes the listening socket.
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
  std::unique_ptr<boost::asio::ip::tcp::socket> held_;  // an accepted connection that waits for room
  bool paused_ = false, closed_ = false;
  // Whether an accept is pending. Shared with the completion handler, which may run after this object is
  // destroyed.
  std::shared_ptr<bool> accepting_ = std::make_shared<bool>(false);
};

}  // namespace grademux
