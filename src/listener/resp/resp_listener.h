// grademux: the RESP2 listener that clients hand messages to: accepts connections, bounds how many there are,
// and makes room for newcomers in a full table. What happens on one connection: session.h.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <vector>

#include "../listener.h"
#include "session.h"

namespace grademux {

class RespListener : public Listener, private SessionOwner {
 public:
  // Connections altogether, and those among them that have handed a message in.
  struct Limits {
    std::size_t all = 1, proven = 1;
  };

  // Binds `listen`; throws std::runtime_error when it can't.
  // `passed`: a listening socket at that address which the process was started with; -1: there is none.
  RespListener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, Limits limits,
               int passed = -1);
  ~RespListener() override;
  RespListener(const RespListener&) = delete;
  RespListener& operator=(const RespListener&) = delete;

  void start(SubmissionHandler& core, const operate::ServiceState& state) override;
  void drain(DrainReason how) override;
  std::size_t openRequests() const override;
  std::size_t connectionCount() const override { return sessions_.size(); }
  // Another process takes the address over: newcomers wait for it, connections end between requests.
  void pause();
  void resume();  // it did not come to that: newcomers are served again
  // The process is about to end: nobody is accepted any more, and each connection is closed gracefully, which
  // takes a moment; see connections().
  void finish();
  std::size_t halfRead() const;  // requests that have begun to come
  boost::asio::ip::tcp::endpoint address() const override { return acceptor_address_; }
  void setLimits(Limits limits) { limits_ = limits; }  // what is over them ends as others come

 private:
  using SessionPtr = std::shared_ptr<RespSession>;

  SubmissionHandler& handler() override { return *handler_; }
  RespFacts facts() const override;
  bool isDraining() const override { return removed_ || paused_ || state_->isDraining(); }
  Micros drainingSince() const override { return draining_since_; }
  bool isCrowded() const override;
  std::vector<char>& readBuffer() override { return read_buffer_; }
  void onSessionClosed(const SessionPtr& session) override { sessions_.erase(session); }

  void accept();
  void admit(boost::asio::ip::tcp::socket socket);
  void acceptLater();
  void stopAccepting();
  bool makeRoom();
  SessionPtr leastUsed(bool closing_too) const;
  std::size_t countIn(RespSession::Phase phase) const;
  void limitProven();
  void sweep();
  void closeIdle();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint acceptor_address_;
  boost::asio::steady_timer accept_timer_, sweep_timer_;
  Limits limits_;
  SubmissionHandler* handler_ = nullptr;
  const operate::ServiceState* state_ = nullptr;
  std::set<SessionPtr> sessions_;
  std::unique_ptr<boost::asio::ip::tcp::socket> newcomer_;  // accepted, waits for room
  std::vector<char> read_buffer_;
  std::int64_t next_number_ = 0;  // of connections
  Micros started_at_ = 0, draining_since_ = 0;
  bool accepting_ = false, removed_ = false;
  bool paused_ = false;  // nobody is accepted: another process takes the address over, or this one ends
  bool passed_listener_ = false;  // the listening socket is another's, too
};

}  // namespace grademux
