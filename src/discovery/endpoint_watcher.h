// The platform's membership: keeps the endpoint list current by polling the discovery agent. Loop thread
// only, but for the parsing of long lists on the worker.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "../core/worker.h"
#include "../membership/membership.h"
#include "agent.h"
#include "poll_schedule.h"

namespace grademux {

class EndpointWatcher : public Membership {
 public:
  // The loop must not run after the watcher is destroyed. `senders`: how many poll the same discovery.
  EndpointWatcher(Agent agent, Worker& worker, OnAnswer on_answer, int senders, std::uint64_t seed);
  void start(std::int64_t from) override;
  void refresh() override {}                          // the watch reports changes at once
  void moveTo(tcp::endpoint peer, std::string host);  // requests a snapshot there
  // Stops polling until start().
  void pause();
  void setSenderCount(int senders) { schedule_.setSenderCount(senders); }

 private:
  struct Poll {
    std::uint64_t number = 0;
    PollState state;
    std::unique_ptr<HttpConnection> connection;
  };

  void startPoll();
  HttpRequest buildRequest(const Poll& poll);
  std::unique_ptr<HttpConnection> takeIdleConnection();
  // Sets the time of the next poll, which replaces an earlier one.
  void scheduleNextPoll(Micros delay);
  void onNextPollDue();
  void onResponseBegun(std::uint64_t number);
  void onPollEnded(std::uint64_t number, const HttpAnswer& answer);
  void onPollFailed(std::uint64_t number, const HttpAnswer& answer);
  // Polls whose answers can only be older than one that is complete.
  void endPollsBefore(std::uint64_t number);
  void endAllPolls();
  void parseAnswer(std::int64_t poll_from, const std::string& body);
  // `poll_from`: the version that the poll named.
  void applyAnswer(std::int64_t poll_from, const std::function<EndpointListAnswer()>& read);
  // Whether a later answer has been applied, beside which this one tells nothing new.
  bool isOutdated(std::int64_t poll_from, const EndpointListAnswer& list) const;
  // Requests the whole list after the delay of a failed poll.
  void requestSnapshot();
  // Polls from the version that is known now, unless a poll does so.
  void continueWatch();

  Agent agent_;
  Worker& worker_;
  OnAnswer on_answer_;
  PollSchedule schedule_;
  std::int64_t from_ = -1;
  std::vector<Poll> polls_;  // in the order of their start
  std::unique_ptr<HttpConnection> idle_connection_;
  boost::asio::steady_timer next_poll_;
  std::uint64_t timer_number_ = 0;  // a handler of an earlier timer is ignored
  std::uint64_t last_number_ = 0;   // of the latest poll
  int answers_being_parsed_ = 0;
  // The last poll failed, other than by a 503 or a malformed list, or its answer has not begun in time: the
  // next one waits for no change.
  bool is_agent_silent_ = false;
  // Counts starts and requests of a snapshot; an answer that was parsed for an earlier one is ignored.
  std::uint64_t generation_ = 0;
};

}  // namespace grademux
