// Discovery: the watch that keeps the endpoint list current, and the notices that report final outcomes to
// the platform. Loop thread only, but for the parsing of long lists on the worker.
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

// One connection to the agent on this machine, replaced when it is no longer usable.
class Agent {
 public:
  static constexpr std::size_t kMaxAnswerBytes = 64u << 20;  // a list of some 400,000 endpoints

  // An answer with a body of more than `max_answer_bytes` is malformed.
  Agent(boost::asio::io_context& io, tcp::endpoint peer, std::string host,
        std::size_t max_answer_bytes = kMaxAnswerBytes);
  void request(HttpRequest request, Micros limit, HttpConnection::Done done);
  // The same on a new connection, where a late copy of an earlier response can't arrive.
  void requestOnNewConnection(HttpRequest request, Micros limit, HttpConnection::Done done);
  // Closes the connection and calls `then` after the pause.
  void retryAfterDelay(Micros pause, std::function<void()> then);
  void moveTo(tcp::endpoint peer, std::string host);  // stops, and connects to this agent from now on
  void stop();  // cancels a pending request or retry and closes the connection

 private:
  boost::asio::io_context& io_;
  std::uint64_t generation_ = 0;  // retries of an earlier generation are ignored
  tcp::endpoint peer_;
  std::string host_;
  std::size_t max_answer_bytes_;
  std::unique_ptr<HttpConnection> connection_;
  boost::asio::steady_timer timer_;
};

// The platform's membership.
class EndpointWatcher : public Membership {
 public:
  // The loop must not run after the watcher is destroyed. `senders`: how many poll the same discovery.
  EndpointWatcher(Agent agent, Worker& worker, OnAnswer on_answer, int senders, std::uint64_t seed)
      : agent_(std::move(agent)),
        worker_(worker),
        on_answer_(std::move(on_answer)),
        schedule_(senders, seed) {}
  void start(std::int64_t from) override;
  void refresh() override {}                          // the watch reports changes at once
  void moveTo(tcp::endpoint peer, std::string host);  // requests a snapshot there
  // Stops polling until start().
  void pause() {
    ++generation_;
    agent_.stop();
  }
  void setSenderCount(int senders) { schedule_.setSenderCount(senders); }

 private:
  void poll();
  void schedulePoll(Micros pause);
  void applyAnswer(const std::function<EndpointListAnswer()>& read);

  Agent agent_;
  Worker& worker_;
  OnAnswer on_answer_;
  PollSchedule schedule_;
  std::int64_t from_ = -1;
  bool last_poll_failed_ = false;  // the last poll failed, other than by a 503 or a malformed list
  std::uint64_t generation_ = 0;   // counts starts; a list that was requested before a start is ignored
};

// Sends notices, in batches, until each has been answered.
class NoticeClient : public DeliveryNotifier {
 public:
  using OnDelivered = std::function<void(const std::string& id)>;
  NoticeClient(Agent agent, OnDelivered on_delivered)
      : agent_(std::move(agent)), on_delivered_(std::move(on_delivered)) {}
  void enqueueNotice(const std::string& id, const Notice& notice) override;
  void moveTo(tcp::endpoint peer, std::string host);  // sends all pending notices there
  std::size_t pendingNotices() const override { return pending_.size(); }

 private:
  static constexpr std::size_t kMaxNotices = 64;  // per batch

  void send();

  Agent agent_;
  OnDelivered on_delivered_;
  std::deque<std::pair<std::string, Notice>> pending_;
  std::size_t in_flight_ = 0;            // how many of the first pending notices have been sent
  std::size_t max_batch_ = kMaxNotices;  // 1 after the agent rejected a batch as malformed
  bool backing_off_ = false;
};

}  // namespace grademux
