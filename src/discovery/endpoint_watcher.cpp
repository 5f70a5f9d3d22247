// See endpoint_watcher.h.
#include "endpoint_watcher.h"

#include <algorithm>
#include <future>
#include <utility>

#include "../core/clock.h"
#include "../log/log.h"

namespace grademux {

namespace {

constexpr int kOk = 200, kUnavailable = 503;
constexpr std::size_t kMaxLoopParseBytes = 64u << 10;  // longer lists are parsed on the worker
constexpr Micros kMicrosPerMilli = 1000;

// Why a poll ended without an exchange that ended.
constexpr char kSuperseded[] = "superseded", kReplaced[] = "replaced", kStopped[] = "stopped";

bool hasList(const HttpAnswer& answer) {
  return answer.how == ExchangeResult::answered && answer.status == kOk && answer.complete;
}

// An answer that breaks off behind its status line counts as answered by HttpConnection.
const char* resultOf(const HttpAnswer& answer) {
  const bool is_cut_off = answer.how == ExchangeResult::answered && answer.status == kOk && !answer.complete;
  return is_cut_off ? "incomplete" : nameOf(answer.how);
}

Micros toMillis(Micros span) {
  return span < 0 ? span : span / kMicrosPerMilli;
}

void logPoll(log::Event event, const PollState& poll, const char* result, int status,
             const ExchangeProgress& progress) {
  log::write(event, {{"from", poll.from},
                     {"hold_ms", toMillis(poll.poll_time)},
                     {"result", result},
                     {"status", status},
                     {"bytes", progress.bytes_received},
                     {"since_start_ms", toMillis(progress.since_start)},
                     {"since_first_ms", toMillis(progress.since_first_byte)},
                     {"since_last_ms", toMillis(progress.since_last_byte)}});
}

}  // namespace

EndpointWatcher::EndpointWatcher(Agent agent, Worker& worker, OnAnswer on_answer, int senders,
                                 std::uint64_t seed)
    : agent_(std::move(agent)),
      worker_(worker),
      on_answer_(std::move(on_answer)),
      schedule_(senders, seed),
      next_poll_(agent_.io()) {}

void EndpointWatcher::start(std::int64_t from) {
  pause();
  from_ = from;
  startPoll();
}

void EndpointWatcher::pause() {
  ++generation_;
  ++timer_number_;
  next_poll_.cancel();
  endAllPolls();
  idle_connection_.reset();
}

void EndpointWatcher::moveTo(tcp::endpoint peer, std::string host) {
  agent_.moveTo(std::move(peer), std::move(host));
  schedule_.onAnswered();  // the backoff belongs to the previous agent
  is_agent_silent_ = false;
  start(-1);
}

void EndpointWatcher::startPoll() {
  Poll poll;
  poll.number = ++last_number_;
  poll.state.from = from_;
  poll.state.started_at = monotonicNow();
  poll.state.poll_time = is_agent_silent_ || from_ < 0 ? 0 : PollSchedule::kLongPollTime;
  poll.connection = takeIdleConnection();
  HttpConnection& connection = *poll.connection;
  HttpRequest request = buildRequest(poll);
  const Micros poll_time = poll.state.poll_time;
  scheduleNextPoll(PollSchedule::overlapDueAt(poll.state) - poll.state.started_at);
  polls_.push_back(std::move(poll));
  connection.exchange(
      std::move(request), PollSchedule::kConnectTimeout, poll_time + PollSchedule::kAnswerLimit,
      [this, number = last_number_](const HttpAnswer& answer) { onPollEnded(number, answer); });
}

HttpRequest EndpointWatcher::buildRequest(const Poll& poll) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/v1/endpoints";
  if (poll.state.from >= 0)
    request.target += "?from=" + std::to_string(poll.state.from) +
                      "&hold_ms=" + std::to_string(poll.state.poll_time / kMicrosPerMilli);
  request.begin_within = poll.state.poll_time + PollSchedule::kStallLimit;
  request.stall_limit = PollSchedule::kStallLimit;
  request.is_body_awaited = [](int status) { return status == kOk; };
  request.on_response_begun = [this, number = poll.number] { onResponseBegun(number); };
  return request;
}

std::unique_ptr<HttpConnection> EndpointWatcher::takeIdleConnection() {
  if (idle_connection_ && idle_connection_->isReusable())
    return std::move(idle_connection_);
  idle_connection_.reset();
  return agent_.newConnection();
}

void EndpointWatcher::scheduleNextPoll(Micros delay) {
  next_poll_.expires_after(std::chrono::microseconds(std::max<Micros>(0, delay)));
  next_poll_.async_wait([this, number = ++timer_number_](const boost::system::error_code& error) {
    if (!error && number == timer_number_)
      onNextPollDue();
  });
}

void EndpointWatcher::onNextPollDue() {
  if (answers_being_parsed_ > 0)  // further answers would wait behind it
    return scheduleNextPoll(PollSchedule::kResponseGrace);
  const bool is_latest_pending = !polls_.empty() && polls_.back().number == last_number_;
  if (is_latest_pending && !polls_.back().state.hasBegun())
    is_agent_silent_ = true;
  if (polls_.size() >= PollSchedule::maxPolls(from_)) {
    const Poll& latest = polls_.back();
    const Micros replaceable_in = PollSchedule::replaceableAt(latest.state) - monotonicNow();
    if (replaceable_in > 0)
      return scheduleNextPoll(replaceable_in);
    logPoll(log::Event::discovery_poll_failed, latest.state, kReplaced, 0, latest.connection->progress());
    polls_.pop_back();
  }
  startPoll();
}

void EndpointWatcher::onResponseBegun(std::uint64_t number) {
  for (Poll& poll : polls_) {
    if (poll.number != number)
      continue;
    poll.state.begun_at = monotonicNow();
    if (number == last_number_)
      scheduleNextPoll(PollSchedule::overlapDueAt(poll.state) - poll.state.begun_at);
  }
}

void EndpointWatcher::onPollEnded(std::uint64_t number, const HttpAnswer& answer) {
  const auto found = std::find_if(polls_.begin(), polls_.end(),
                                  [number](const Poll& poll) { return poll.number == number; });
  if (found == polls_.end())
    return;
  Poll poll = std::move(*found);
  polls_.erase(found);
  const bool has_list = hasList(answer);
  logPoll(has_list ? log::Event::discovery_poll_ended : log::Event::discovery_poll_failed, poll.state,
          resultOf(answer), answer.status, answer.progress);
  if (!has_list)
    return onPollFailed(number, answer);
  endPollsBefore(number);
  if (poll.connection->isReusable())
    idle_connection_ = std::move(poll.connection);
  parseAnswer(poll.state.from, answer.body);
}

void EndpointWatcher::onPollFailed(std::uint64_t number, const HttpAnswer& answer) {
  const bool is_rejected = answer.how == ExchangeResult::answered && answer.status == kUnavailable;
  if (is_rejected)
    return scheduleNextPoll(schedule_.delayAfterRejection());
  if (number != last_number_)
    return;  // a later poll goes on
  is_agent_silent_ = true;
  scheduleNextPoll(schedule_.delayAfterFailure());
}

void EndpointWatcher::endPollsBefore(std::uint64_t number) {
  while (!polls_.empty() && polls_.front().number < number) {
    const Poll& earlier = polls_.front();
    logPoll(log::Event::discovery_poll_failed, earlier.state, kSuperseded, 0, earlier.connection->progress());
    polls_.erase(polls_.begin());
  }
}

void EndpointWatcher::endAllPolls() {
  for (const Poll& poll : polls_)
    logPoll(log::Event::discovery_poll_ended, poll.state, kStopped, 0, poll.connection->progress());
  polls_.clear();
}

void EndpointWatcher::parseAnswer(std::int64_t poll_from, const std::string& body) {
  if (body.size() <= kMaxLoopParseBytes && answers_being_parsed_ == 0)
    return applyAnswer(poll_from, [&body] { return parseEndpointList(json::parse(body)); });
  ++answers_being_parsed_;
  worker_.run([this, mine = generation_, poll_from, body]() -> std::function<void()> {
    std::packaged_task<EndpointListAnswer()> read([&body] { return parseEndpointList(json::parse(body)); });
    read();
    const auto list = std::make_shared<std::future<EndpointListAnswer>>(read.get_future());
    return [this, mine, poll_from, list] {
      --answers_being_parsed_;
      if (mine == generation_)
        applyAnswer(poll_from, [&list] { return list->get(); });
    };
  });
}

bool EndpointWatcher::isOutdated(std::int64_t poll_from, const EndpointListAnswer& list) const {
  if (poll_from == from_)
    return false;
  return from_ < 0 ? !list.is_snapshot : list.index <= from_;
}

void EndpointWatcher::applyAnswer(std::int64_t poll_from, const std::function<EndpointListAnswer()>& read) {
  try {
    EndpointListAnswer list = read();
    if (isOutdated(poll_from, list))
      return continueWatch();
    const bool has_restarted = !list.is_snapshot && list.index < from_;
    from_ = on_answer_(std::move(list));
    if (has_restarted) {
      log::write(log::Event::discovery_restarted, {{"index", from_}});
      return requestSnapshot();
    }
  } catch (const std::exception& error) {
    // A malformed list does not end the watch: a snapshot is requested.
    log::write(log::Event::discovery_malformed, {{"cause", error.what()}});
    return requestSnapshot();
  }
  schedule_.onAnswered();
  is_agent_silent_ = false;
  continueWatch();
}

void EndpointWatcher::requestSnapshot() {
  ++generation_;
  endAllPolls();
  idle_connection_.reset();
  from_ = -1;
  scheduleNextPoll(schedule_.delayAfterFailure());
}

void EndpointWatcher::continueWatch() {
  const bool is_watched = !polls_.empty() && polls_.back().state.from == from_;
  if (!is_watched && polls_.size() < PollSchedule::maxPolls(from_))
    startPoll();
}

}  // namespace grademux
