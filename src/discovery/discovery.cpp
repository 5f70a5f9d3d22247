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

void Agent::ask(HttpRequest request, Micros limit, HttpConnection::Done done) {
  if (!connection_ || !connection_->reusable())
    connection_ = std::make_unique<HttpConnection>(io_, peer_, host_, kListLimit);
  connection_->exchange(std::move(request), Asking::kConnect, limit, std::move(done));
}

void Agent::later(Micros pause, std::function<void()> then) {
  connection_.reset();
  timer_.expires_after(std::chrono::microseconds(pause));
  timer_.async_wait([this, mine = ++turn_, then = std::move(then)](const boost::system::error_code& e) {
    if (!e && mine == turn_)
      then();
  });
}

void Agent::stop() {
  ++turn_;
  timer_.cancel();
  connection_.reset();
}

void Agent::moveTo(tcp::endpoint peer, std::string host) {
  stop();
  peer_ = std::move(peer);
  host_ = std::move(host);
}

void Watcher::start(std::int64_t from) {
  ++asked_;
  agent_.stop();
  from_ = from;
  ask();
}

void Watcher::moveTo(tcp::endpoint peer, std::string host) {
  agent_.moveTo(std::move(peer), std::move(host));
  asking_.answered();  // another agent: what was learned of the one before says nothing of it
  silent_ = false;
  start(-1);
}

void Watcher::ask() {
  HttpRequest r;
  r.method = "GET";
  r.target = "/v1/endpoints";
  const Micros hold = silent_ || from_ < 0 ? 0 : Asking::kHold;
  if (from_ >= 0)
    r.target += "?from=" + std::to_string(from_) + "&hold_ms=" + std::to_string(hold / 1000);
  agent_.ask(std::move(r), hold + Asking::kSilence, [this](const HttpAnswer& a) {
    if (a.how != Exchanged::answered || a.status != 200 || !a.whole) {
      const bool turned_away = a.how == Exchanged::answered && a.status == kTurnedAway;
      silent_ = !turned_away;
      return askLater(turned_away ? asking_.afterTurnedAway() : asking_.afterBroken());
    }
    if (a.body.size() <= kReadAtOnce)
      return take([&a] { return readList(json::parse(a.body)); });
    // A long list is read on the worker: it would hold up the loop for its length.
    worker_.run([this, mine = asked_, body = a.body]() -> std::function<void()> {
      std::packaged_task<ListAnswer()> read([&body] { return readList(json::parse(body)); });
      read();
      const auto answer = std::make_shared<std::future<ListAnswer>>(read.get_future());
      return [this, mine, answer] {
        if (mine == asked_)
          take([&answer] { return answer->get(); });
      };
    });
  });
}

void Watcher::take(const std::function<ListAnswer()>& read) {
  try {
    from_ = on_answer_(read());
  } catch (const std::exception& e) {
    // Guards against one garbled answer ending the watch: the whole list is asked for afresh.
    log::write(log::Event::discovery_garbled, {{"cause", e.what()}});
    from_ = -1;
    return askLater(asking_.afterBroken());
  }
  asking_.answered();
  silent_ = false;
  ask();
}

void Watcher::askLater(Micros pause) {
  agent_.later(pause, [this] { ask(); });
}

void Notices::owe(const std::string& id, const Notice& notice) {
  owed_.emplace_back(id, notice);
  if (out_ == 0 && !waiting_)
    send();
}

void Notices::moveTo(tcp::endpoint peer, std::string host) {
  agent_.moveTo(std::move(peer), std::move(host));
  out_ = 0;
  waiting_ = false;
  send();
}

void Notices::send() {
  if (owed_.empty())
    return;
  out_ = std::min(owed_.size(), most_);
  HttpRequest r;
  r.method = "POST";
  r.target = "/v1/notices";
  r.fields.emplace_back("Content-Type", "application/json");
  for (std::size_t i = 0; i < out_; ++i) {
    json line{{"message", owed_[i].first},
              {"outcome", owed_[i].second.handed_back ? "handed_back" : "given_up"}};
    if (owed_[i].second.handed_back && owed_[i].second.retry_in_ms > 0)
      line["retry_in_ms"] = owed_[i].second.retry_in_ms;
    r.body += line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  }
  agent_.ask(std::move(r), kNoticeLimit, [this](const HttpAnswer& a) {
    const std::size_t told = out_;
    out_ = 0;
    const bool unreadable = a.how == Exchanged::answered && a.status == 400;
    if (unreadable && told > 1) {  // one bad line must not hold up the others
      most_ = 1;
      return send();
    }
    if (unreadable)
      log::write(log::Event::discovery_notice_refused, {{"message", owed_.front().first}});
    if (!unreadable && (a.how != Exchanged::answered || a.status / 100 != 2)) {
      waiting_ = true;
      return agent_.later(kNoticePause, [this] {
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
