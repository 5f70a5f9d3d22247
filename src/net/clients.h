// grademux: the RESP2 server that clients hand messages to: PING and MSG.PUT, each request answered in
// turn. Every step of a connection has a time limit; a full table makes room for newcomers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "journal.h"

namespace grademux {

class Clients {
 public:
  using Reply = std::function<void(const std::string&)>;  // one RESP line without its end, called once
  // What a client hands in; its time is still a span. Answers by the reply, now or later.
  struct Put {
    TakenOn message;
    Micros may_last = 0;
  };
  // Connections altogether, and those among them that have handed a message in.
  struct Limits {
    std::size_t all = 1, proven = 1;
  };
  using OnPut = std::function<void(Put, Reply)>;

  Clients(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, Limits limits,
          OnPut on_put);  // throws when it can't listen
  ~Clients();
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  // Closes connections between requests; those that still come or are in one are closed once answered.
  void drain();
  std::size_t unanswered() const { return unanswered_; }
  unsigned short port() const;

 private:
  struct Session;
  void accept();
  bool makeRoom();
  bool crowded() const;
  void limitProven();
  void admit();
  void retryAccept();
  void sweep();
  void ended(const std::shared_ptr<Session>& s);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_, sweeper_;
  Limits limits_;
  OnPut on_put_;
  std::set<std::shared_ptr<Session>> sessions_;
  std::shared_ptr<Session> newcomer_;  // accepted, waits for room
  std::vector<char> piece_;  // what is read goes through it: a connection that waits holds no buffer
  std::size_t unanswered_ = 0;
  bool accepting_ = false, draining_ = false;
};

}  // namespace grademux
