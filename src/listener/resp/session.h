// One client connection of the RESP2 listener: reads one request at a time, passes it to the engine, and
// writes the reply. Each step has a time limit, except the wait for the engine to accept or reject a message.
// A session refers to its listener only through SessionOwner. Loop thread only; sessions are shared with
// their pending socket operations and submissions, and closed sessions may outlive the listener.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

#include "../../core/message.h"
#include "../buffer_usage.h"
#include "../client_memory.h"
#include "../connection_close.h"
#include "commands.h"

namespace grademux {

class RespSession;

// The interface of the listener to its sessions. A closed session makes no calls to the owner.
class SessionOwner {
 public:
  virtual ~SessionOwner() = default;
  virtual SubmissionHandler& handler() = 0;
  virtual ListenerStatus status() const = 0;
  // Whether clients are to disconnect: connections are closed between requests.
  virtual bool isDraining() const = 0;
  virtual Micros drainingSince() const = 0;  // monotonic; meaningful while isDraining()
  // Whether so many connections are open that idle ones are closed sooner.
  virtual bool isCrowded() const = 0;
  // The buffer that all sessions read into, before each keeps the bytes that it needs: an idle connection
  // holds no buffer.
  virtual std::vector<char>& readBuffer() = 0;
  // The memory that all sessions share; outlives each open session.
  virtual ClientMemory& memory() = 0;
  // Called when the session enters a phase, also the phase that it was in; the time in the phase starts
  // again.
  virtual void onPhaseEntered(const RespSession& session) = 0;
  // Called when the session has closed its socket; the owner removes the session.
  virtual void onSessionClosed(const RespSession& session) = 0;
};

class RespSession : public std::enable_shared_from_this<RespSession>, private MemoryHolder {
 public:
  enum class Phase {
    idle,       // between requests
    partial,    // a part of the next request has been read
    submitted,  // the engine has not answered the request
    waiting,    // the request waits for a message's final outcome
    writing,    // the reply is being written
    throttled,  // the last request failed; the next is read after a delay
    closing     // the sending side is shut down; input is discarded until the client closes its side
  };
  static constexpr std::size_t kPhaseCount = 7;
  // Time in microseconds without a request after which a client must expect that its connection is closed.
  static constexpr Micros kIdleCloseable = 2'000'000;
  // The memory of a connection without its buffers: the session, its place in the table, its descriptor.
  static constexpr std::size_t kConnectionBytes = 2048;

  RespSession(boost::asio::io_context& io, SessionOwner& owner, boost::asio::ip::tcp::socket socket,
              std::int64_t number);

  // Starts to serve. Called once, after the owner has added the session.
  void start() { read(); }
  Phase phase() const { return phase_; }
  // The time at which the session entered its phase; monotonic, microseconds.
  Micros since() const { return since_; }
  // Whether the client has submitted a message that was not answered with an error.
  bool hasSubmitted() const { return has_submitted_; }
  BufferUsage bufferUsage() const;
  // Whether the kernel holds no unread input of the client.
  bool isInputEmpty() const;

  // Closes the connection without losing replies; see connection_close.h. A request that arrives from now on
  // is discarded, and the client has to send it again.
  void closeGracefully();
  // Closes gracefully if the session is between requests. A request that has arrived is served first.
  void closeIfIdle();
  // Closes gracefully: after the reply, if one is being written, else now.
  void finish();
  // Closes without waiting for the client: it has closed its side, has reset the connection or does not read,
  // or the descriptor is needed.
  void close();
  // Like close(), but without a call to the owner, which is being destroyed.
  void abandon();

  // Replies to a client that waits for a final outcome, if the outcome is known, the wait is over or clients
  // are to disconnect.
  void checkOutcome(Micros now);
  // Applies the time limit of the phase.
  void checkLimit(Micros now);

 private:
  // MemoryHolder
  void onMemoryAvailable() override;
  bool isWaitingForClient() const override;
  void shedMemory() override;

  void enter(Phase phase);
  void waitToRead();
  void read();
  std::size_t nextReadSize() const;
  void reportMemory();
  void parse();
  void execute(std::vector<std::string>& words);
  void put(std::vector<std::string>& words);
  void waitForOutcome(const std::vector<std::string>& words);
  void refuseRest(const std::string& reply_line);
  void reply(std::string bytes);
  void onReplyWritten();
  void throttle();
  void readNext();
  void checkIdle(Micros now);
  void checkPartial(Micros now);

  SessionOwner& owner_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer throttle_timer_;
  std::string input_, output_;
  std::size_t expected_bytes_ = 0;   // least length of the request in `input_`; 0: not known
  std::size_t submitted_bytes_ = 0;  // phase `submitted`: length of the request that the engine has
  ClientMemory::Account memory_;
  RespClient client_;
  std::string awaited_id_;   // phase `waiting`: the message whose outcome is awaited
  Micros outcome_wait_ = 0;  // phase `waiting`: the longest wait, microseconds

  Phase phase_ = Phase::idle;
  Micros since_ = 0;
  GracefulClose graceful_close_;
  int consecutive_errors_ = 0;
  bool last_reply_ = false, open_ = true, waiting_to_read_ = false;
  bool has_succeeded_ = false;  // a request was answered without an error
  bool has_submitted_ = false;
};

}  // namespace grademux
