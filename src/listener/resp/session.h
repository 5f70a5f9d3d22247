// One client connection of the RESP2 listener: reads one request at a time, hands it to the engine, writes
// the reply. Each step has a time limit. A session knows its listener by SessionOwner alone. Loop thread
// only; sessions are shared with their pending socket operations and submissions, and may outlive the
// listener, closed.
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

// What the sessions of one listener ask it for. It is not called once a session is closed.
class SessionOwner {
 public:
  virtual ~SessionOwner() = default;
  virtual SubmissionHandler& handler() = 0;
  virtual ListenerStatus status() const = 0;
  // Clients are to go elsewhere: connections end between requests.
  virtual bool isDraining() const = 0;
  virtual Micros drainingSince() const = 0;  // monotonic; meaningful while isDraining()
  // Many connections are open: idle ones are closed sooner.
  virtual bool isCrowded() const = 0;
  // Where a read puts its bytes before a session keeps what it needs: an idle connection holds no buffer.
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
    partial,    // a part of the next request has been read
    submitted,  // the engine has the request and has not answered
    waiting,    // for a message's final outcome
    writing,    // the reply
    throttled,  // the last request failed; the next is read after a delay
    closing     // the end was sent; input is discarded until the client ends its side
  };
  static constexpr std::size_t kPhaseCount = 7;
  // Without a request for so long (microseconds), a client expects the end of its connection.
  static constexpr Micros kIdleCloseable = 2'000'000;

  RespSession(boost::asio::io_context& io, SessionOwner& owner, boost::asio::ip::tcp::socket socket,
              std::int64_t number);

  // Begins to serve; called once, when the owner knows the session.
  void start() { read(); }
  Phase phase() const { return phase_; }
  // When the session entered its phase; monotonic, microseconds.
  Micros since() const { return since_; }
  // The client has submitted a message that was not answered with an error.
  bool hasSubmitted() const { return has_submitted_; }
  // The client has sent nothing that has not been read.
  bool isInputEmpty() const;

  // Ends the connection without losing replies; see connection_close.h. A request that arrives from now on is
  // the client's to send again.
  void closeGracefully();
  // Closes gracefully between requests; a request that has arrived meanwhile is served first.
  void closeIfIdle();
  // The reply that is being written is the last; any other session is closed gracefully now.
  void finish();
  // Closes at once: the client has ended its side, broke off or does not read, or its descriptor is needed.
  void close();
  // The same without a call to the owner, which is being destroyed.
  void abandon();

  // Replies to a client that waits for a final outcome once there is one, its wait is over or clients are to
  // leave.
  void checkOutcome(Micros now);
  // Applies the time limit of the phase.
  void checkLimit(Micros now);

 private:
  void enter(Phase phase);
  void waitToRead();
  void read();
  void parse();
  void execute(std::vector<std::string>& words);
  void put(std::vector<std::string>& words);
  void waitForOutcome(const std::vector<std::string>& words);
  void reply(const std::string& bytes);
  void onReplyWritten();
  void throttle();
  void readNext();
  void checkIdle(Micros now);
  void checkPartial(Micros now);

  SessionOwner& owner_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer throttle_timer_;
  std::string in_, out_;
  RespClient client_;
  std::string awaited_id_;   // waiting: for the outcome of this message
  Micros outcome_wait_ = 0;  // waiting: for so long

  Phase phase_ = Phase::idle;
  Micros since_ = 0;
  GracefulClose graceful_close_;
  int consecutive_errors_ = 0;
  bool last_reply_ = false, open_ = true, waits_to_read_ = false;
  bool has_succeeded_ = false;  // has had a reply that was no error
  bool has_submitted_ = false;
};

}  // namespace grademux
