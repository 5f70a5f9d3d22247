// grademux: discovery; see discovery.h.
#include "discovery.h"

#include <future>

#include "../log/log.h"

namespace grademux {

namespace asio = boost::asio;

namespace {

constexpr int kTurnedAway = 503;
// The agent answers a notice at once. One that is not answered by then goes on a new connection: the old one
// may have fallen silent, and a notice is lost 300 ms after its message's time is up.
constexpr Micros kNoticeLimit = 150'000;
constexpr Micros kNoticePause = 50'000;
static_assert(kNoticeLimit + kNoticePause <= 200'000, "the second try leaves 100 ms for itself");
constexpr std::size_t kListLimit = 64u << 20;   // bytes: some 400,000 endpoints
constexpr std::size_t kReadAtOnce = 64u << 10;  // bytes of a list that are read on the loop

}  // namespace

Agent::Agent(asio::io_context& io, tcp::endpoint peer, std::string host)
    : io_(io), peer_(std::move(peer)), host_(std::move(host)), timer_(io) {}

void Agent::request(HttpRequest request, Micros limit, HttpConnection::Done done) {
  if (!connection_ || !connection_->reusable())
    connection_ = std::make_unique<HttpConnection>(io_, peer_, host_, kListLimit);
  connection_->exchange(std::move(request), PollSchedule::kConnect, limit, std::move(done));
}

void Agent::retryAfterDelay(Micros pause, std::function<void()> then) {
  connection_.reset();
  timer_.expires_after(std::chrono::microseconds(pause));
  timer_.async_wait([this, mine = ++generation_, then = std::move(then)](const boost::system::error_code& e) {
    if (!e && mine == generation_)
      then();
  });
}

void Agent::stop() {
  ++generation_;
  timer_.cancel();
  connection_.reset();
}

void Agent::moveTo(tcp::endpoint peer, std::string host) {
  stop();
  peer_ = std::move(peer);
  host_ = std::move(host);
}

void EndpointWatcher::start(std::int64_t from) {
  ++generation_;
  agent_.stop();
  from_ = from;
  poll();
}

void EndpointWatcher::moveTo(tcp::endpoint peer, std::string host) {
  agent_.moveTo(std::move(peer), std::move(host));
  schedule_.onAnswered();  // another agent: what was learned of the one before says nothing of it
  silent_ = false;
  start(-1);
}

void EndpointWatcher::poll() {
  HttpRequest r;
  r.method = "GET";
  r.target = "/v1/endpoints";
  const Micros hold = silent_ || from_ < 0 ? 0 : PollSchedule::kHold;
  if (from_ >= 0)
    r.target += "?from=" + std::to_string(from_) + "&hold_ms=" + std::to_string(hold / 1000);
  agent_.request(std::move(r), hold + PollSchedule::kSilence, [this](const HttpAnswer& a) {
    if (a.how != Exchanged::answered || a.status != 200 || !a.whole) {
      const bool turned_away = a.how == Exchanged::answered && a.status == kTurnedAway;
      silent_ = !turned_away;
      return schedulePoll(turned_away ? schedule_.delayAfterRejection() : schedule_.delayAfterFailure());
    }
    if (a.body.size() <= kReadAtOnce)
      return take([&a] { return parseEndpointList(json::parse(a.body)); });
    // A long list is read on the worker: it would hold up the loop for its length.
    worker_.run([this, mine = generation_, body = a.body]() -> std::function<void()> {
      std::packaged_task<EndpointListAnswer()> read([&body] { return parseEndpointList(json::parse(body)); });
      read();
      const auto answer = std::make_shared<std::future<EndpointListAnswer>>(read.get_future());
      return [this, mine, answer] {
        if (mine == generation_)
          take([&answer] { return answer->get(); });
      };
    });
  });
}

void EndpointWatcher::take(const std::function<EndpointListAnswer()>& read) {
  try {
    from_ = on_answer_(read());
  } catch (const std::exception& e) {
    // Guards against one garbled answer ending the watch: the whole list is asked for afresh.
    log::write(log::Event::discovery_malformed, {{"cause", e.what()}});
    from_ = -1;
    return schedulePoll(schedule_.delayAfterFailure());
  }
  schedule_.onAnswered();
  silent_ = false;
  poll();
}

void EndpointWatcher::schedulePoll(Micros pause) {
  agent_.retryAfterDelay(pause, [this] { poll(); });
}

void NoticeClient::enqueueNotice(const std::string& id, const Notice& notice) {
  owed_.emplace_back(id, notice);
  if (out_ == 0 && !waiting_)
    send();
}

void NoticeClient::moveTo(tcp::endpoint peer, std::string host) {
  agent_.moveTo(std::move(peer), std::move(host));
  out_ = 0;
  waiting_ = false;
  send();
}

void NoticeClient::send() {
  if (owed_.empty())
    return;
  out_ = std::min(owed_.size(), most_);
  HttpRequest r;
  r.method = "POST";
  r.target = "/v1/notices";
  r.fields.emplace_back("Content-Type", "application/json");
  for (std::size_t i = 0; i < out_; ++i) {
    json line{{"message", owed_[i].first},
              {"outcome", owed_[i].second.returned ? "handed_back" : "given_up"}};
    if (owed_[i].second.returned && owed_[i].second.retry_after_ms > 0)
      line["retry_in_ms"] = owed_[i].second.retry_after_ms;
    r.body += line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  }
  agent_.request(std::move(r), kNoticeLimit, [this](const HttpAnswer& a) {
    const std::size_t told = out_;
    out_ = 0;
    const bool unreadable = a.how == Exchanged::answered && a.status == 400;
    if (unreadable && told > 1) {  // one bad line must not hold up the others
      most_ = 1;
      return send();
    }
    if (unreadable)
      log::write(log::Event::discovery_notice_rejected, {{"message", owed_.front().first}});
    if (!unreadable && (a.how != Exchanged::answered || a.status / 100 != 2)) {
      waiting_ = true;
      return agent_.retryAfterDelay(kNoticePause, [this] {
        waiting_ = false;
        send();
      });
    }
    for (std::size_t i = 0; i < told; ++i) {
      on_told_(owed_.front().first);
      owed_.pop_front();
    }
    if (owed_.empty())
      most_ = 64;
    send();
  });
}

}  // namespace grademux
