// grademux: discovery: the watch that brings the list of endpoints, and the notices that tell the platform
// how messages ended.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "../core/delivery_notifier.h"
#include "../core/worker.h"
#include "../membership/membership.h"
#include "../net/http_connection.h"
#include "poll_schedule.h"

namespace grademux {

// The agent on this machine: one connection, made anew when the old one is no longer good.
class Agent {
 public:
  Agent(boost::asio::io_context& io, tcp::endpoint peer, std::string host);
  void request(HttpRequest request, Micros limit, HttpConnection::Done done);
  void retryAfterDelay(Micros pause,
                       std::function<void()> then);   // drops the connection, goes on after the pause
  void moveTo(tcp::endpoint peer, std::string host);  // calls off what is under way
  void stop();                                        // the same, and drops the connection

 private:
  boost::asio::io_context& io_;
  std::uint64_t generation_ = 0;  // what belongs to an earlier one is ignored
  tcp::endpoint peer_;
  std::string host_;
  std::unique_ptr<HttpConnection> connection_;
  boost::asio::steady_timer timer_;
};

// The platform's membership.
class EndpointWatcher : public Membership {
 public:
  // The loop must not run on once this is gone. `senders`: how many of them ask the same discovery.
  EndpointWatcher(Agent agent, Worker& worker, OnAnswer on_answer, int senders, std::uint64_t seed)
      : agent_(std::move(agent)),
        worker_(worker),
        on_answer_(std::move(on_answer)),
        schedule_(senders, seed) {}
  void start(std::int64_t from) override;
  void refresh() override {}                          // it is told at once of all that changes
  void moveTo(tcp::endpoint peer, std::string host);  // asks there, for the whole list
  // Asks no more, until it is started again.
  void pause() {
    ++generation_;
    agent_.stop();
  }
  void setSenderCount(int senders) { schedule_.setSenderCount(senders); }

 private:
  void poll();
  void schedulePoll(Micros pause);
  void take(const std::function<EndpointListAnswer()>& read);

  Agent agent_;
  Worker& worker_;
  OnAnswer on_answer_;
  PollSchedule schedule_;
  std::int64_t from_ = -1;
  bool silent_ = false;           // the last call broke off or was not answered
  std::uint64_t generation_ = 0;  // counts starts: a list of before one that is read still is ignored
};

// Sends notices until each has been answered, however often that takes.
class NoticeClient : public DeliveryNotifier {
 public:
  using OnTold = std::function<void(const std::string& id)>;
  NoticeClient(Agent agent, OnTold on_told) : agent_(std::move(agent)), on_told_(std::move(on_told)) {}
  void enqueueNotice(const std::string& id, const Notice& notice) override;
  void moveTo(tcp::endpoint peer, std::string host);  // all that is owed is told there
  std::size_t pendingNotices() const override { return owed_.size(); }

 private:
  void send();

  Agent agent_;
  OnTold on_told_;
  std::deque<std::pair<std::string, Notice>> owed_;
  std::size_t out_ = 0;    // the first so many are being told
  std::size_t most_ = 64;  // at once; one by one after a batch that could not be read
  bool waiting_ = false;
};

}  // namespace grademux
