// grademux: the RESP2 server that clients hand messages to: the commands of commands.h, each request answered
// in turn. Every step of a connection has a time limit; a full table makes room for newcomers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "../door.h"

namespace grademux {

class RespDoor : public Door {
 public:
  // Connections altogether, and those among them that have handed a message in.
  struct Limits {
    std::size_t all = 1, proven = 1;
  };

  // Binds `listen`; throws std::runtime_error when it can't.
  // `passed`: a listening socket at that address which the process was started with; -1: there is none.
  RespDoor(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, Limits limits,
           int passed = -1);
  ~RespDoor() override;
  RespDoor(const RespDoor&) = delete;
  RespDoor& operator=(const RespDoor&) = delete;

  void start(Intake& core, const operate::State& state) override;
  void drain(Leaving how) override;
  std::size_t open() const override { return unanswered_; }
  std::size_t connections() const override { return sessions_.size(); }
  // Another process takes the address over: newcomers wait for it, connections end between requests.
  void pause();
  void resume();  // it did not come to that: newcomers are served again
  // The process is about to end: nobody is accepted any more, and each connection is ended in order, which
  // takes a moment; see connections().
  void finish();
  std::size_t halfRead() const;  // requests that have begun to come
  boost::asio::ip::tcp::endpoint address() const override { return acceptor_address_; }
  void setLimits(Limits limits) { limits_ = limits; }  // what is over them ends as others come

 private:
  struct Session;
  void accept();
  std::shared_ptr<Session> leastUsed(bool leaving) const;
  bool makeRoom();
  bool crowded() const;
  bool away() const { return removed_ || paused_ || state_->sendsAway(); }
  void limitProven();
  void admit();
  void retryAccept();
  void sweep();
  void endBetweenRequests();
  void ended(const std::shared_ptr<Session>& s);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint acceptor_address_;
  boost::asio::steady_timer pause_, sweeper_;
  Limits limits_;
  Intake* core_ = nullptr;
  const operate::State* state_ = nullptr;
  std::set<std::shared_ptr<Session>> sessions_;
  std::shared_ptr<Session> newcomer_;  // accepted, waits for room
  std::vector<char> piece_;  // what is read goes through it: a connection that waits holds no buffer
  std::size_t unanswered_ = 0;
  std::int64_t next_id_ = 0;  // of connections
  Micros since_ = 0;          // started
  Micros away_since_ = 0;     // drained last
  bool accepting_ = false, removed_ = false;
  bool paused_ = false;  // another process takes the address over
  bool passed_ = false;  // the listening socket
};

}  // namespace grademux
