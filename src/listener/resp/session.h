// grademux: one client connection of the RESP2 listener: reads one request at a time, hands it on, writes the
// reply. Each step has a time limit. A session knows its listener by SessionOwner alone. All on the loop
// thread.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

#include "../../core/message.h"
#include "../connection_close.h"
#include "commands.h"

namespace grademux {

class RespSession;

// What the sessions of one listener ask it for. It outlives them, but for replies that come when a session is
// closed.
class SessionOwner {
 public:
  virtual ~SessionOwner() = default;
  virtual SubmissionHandler& handler() = 0;
  virtual RespFacts facts() const = 0;
  // Clients are to go elsewhere: connections end between requests.
  virtual bool isDraining() const = 0;
  virtual Micros drainingSince() const = 0;  // monotonic; meaningful while sendsAway()
  // So many connections are open that idle ones are missing elsewhere.
  virtual bool isCrowded() const = 0;
  // Where a read puts its bytes before a session keeps what it needs: a connection that waits holds no
  // buffer.
  virtual std::vector<char>& readBuffer() = 0;
  // The session has entered a phase, the one it was in included; its time in the phase starts anew.
  virtual void onPhaseEntered(const RespSession& session) = 0;
  // The session has closed its socket and is to be forgotten.
  virtual void onSessionClosed(const RespSession& session) = 0;
};

class RespSession : public std::enable_shared_from_this<RespSession> {
 public:
  enum class Phase {
    idle,       // between requests
    partial,    // the next request has begun
    asked,      // a request was handed on and is not answered
    waiting,    // for a message's final outcome
    writing,    // the reply is on its way
    throttled,  // the last request was useless; what comes next waits
    closing     // the end was sent; what comes is thrown away until the client ends its side
  };
  static constexpr std::size_t kPhaseCount = 7;
  // Without a request for so long (microseconds), a client expects the end of its connection.
  static constexpr Micros kIdleCloseable = 2'000'000;

  RespSession(boost::asio::io_context& io, SessionOwner& owner, boost::asio::ip::tcp::socket socket,
              std::int64_t number);

  // Begins to serve; called once, by when the owner knows the session.
  void start() { read(); }
  Phase phase() const { return phase_; }
  Micros since() const { return since_; }  // in this phase, monotonic
  // The client has handed a message in.
  bool proven() const { return proven_; }
  // The client has sent nothing that has not been read.
  bool isInputEmpty() const;

  // Ends the connection in order (RFC 9112, section 9.6): sends the end, then reads until the client ends its
  // side, for a bounded time, and heeds nothing of it. A close with input unread would reset the connection
  // and take replies with it that the client has not read; a request that comes from now on is the client's
  // to send again.
  void closeGracefully();
  // Between requests, unless the next one has come meanwhile, which is then served first.
  void closeIfIdle();
  // The reply that is being written is the last; any other session is closed gracefully now.
  void finish();
  // At once: the client has ended, broke off or does not read, or its descriptor is needed. What has come is
  // read away first.
  void close();
  // The same without word to the owner, which is going.
  void abandon();

  // Answers a client that waits for a final outcome, once there is one, its time is over or clients are sent
  // away.
  void checkOutcome(Micros now);
  // Holds this moment against the limit of the phase. Guards against connections that hold their place for
  // nothing: silent, half-sent, never read or left open.
  void checkLimit(Micros now);

 private:
  void enter(Phase phase);
  void waitToRead();
  void read();
  void parse();
  void run(std::vector<std::string>& words);
  void put(std::vector<std::string>& words);
  void waitForOutcome(const std::vector<std::string>& words);
  void answer(const std::string& reply);
  void answered();
  void throttle();
  void goOn();
  void checkIdle(Micros now);
  void checkPartial(Micros now);

  SessionOwner& owner_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer throttle_timer_;
  std::string in_, out_;
  RespClient client_;
  std::string awaited_id_;  // waiting: the message's id, and for how long
  Micros patience_ = 0;
  Phase phase_ = Phase::idle;
  Micros since_ = 0;
  GracefulClose graceful_close_;
  int useless_requests_ = 0;  // in a row
  bool last_reply_ = false, open_ = true, waits_to_read_ = false;
  bool useful_ = false;  // has had a reply that was no error
  bool proven_ = false;
};

}  // namespace grademux
