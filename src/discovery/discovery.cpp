// grademux: discovery; see discovery.h.
#include "discovery.h"

#include <iostream>

namespace grademux {

namespace asio = boost::asio;

namespace {

// How long a watch call may wait for news. An agent that was silent is asked again when that is over: in less
// than the 6 s after which its news count as told.
constexpr Micros kHold = 3'000'000;
constexpr Micros kSilence = 1'000'000;    // an answer that is later than its wait by this won't come
constexpr Micros kConnect = 1'000'000;    // the agent is on this machine
constexpr Micros kPause = 100'000;        // after a call that failed
constexpr Micros kNoticeLimit = 500'000;  // for an answer that comes at once
constexpr Micros kNoticePause = 50'000;
constexpr std::size_t kListLimit = 8u << 20;

EndpointState stateOf(const json& e) {
  return oneOf<EndpointState>(text(e, "status"),
                              {{"Ready", EndpointState::ready},
                               {"Terminating", EndpointState::draining},
                               {"Gone", EndpointState::gone}},
                              "status");
}

ListedEndpoint entryOf(const json& e) {
  if (!e.is_object()) bad("an endpoint is not an object");
  ListedEndpoint l;
  l.endpoint.id = text(e, "name");
  l.endpoint.zone = text(e, "zone", "");
  l.endpoint.kind = text(e, "type", "");
  l.endpoint.destination = integer(e, "group");
  l.endpoint.weight = number(e, "weight", 0);
  l.endpoint.state = stateOf(e);
  l.address = text(e, "address", "");
  return l;
}

}  // namespace

EndpointList::News EndpointList::read(const json& answer) {
  if (!answer.is_object()) bad("the list is not an object");
  const std::int64_t index = integer(answer, "index");
  const bool whole = truth(answer, "snapshot", false);
  News news;
  news.kind = whole ? ListKind::full : ListKind::delta;
  std::map<std::string, json> changed;
  for (const json& e : array(answer, "endpoints")) {
    news.entries.push_back(entryOf(e));
    changed[news.entries.back().endpoint.id] = e;
  }
  if (whole) {
    for (const auto& [name, e] : entries_) {
      if (changed.count(name)) continue;
      news.entries.push_back(entryOf(e));
      news.entries.back().endpoint.state = EndpointState::gone;
    }
    entries_.clear();
  }
  for (auto& [name, e] : changed) {
    if (e["status"] == "Gone") entries_.erase(name);
    else entries_[name] = std::move(e);
  }
  index_ = index;
  return news;
}

std::set<std::int64_t> EndpointList::destinations() const {
  std::set<std::int64_t> all;
  for (const auto& [name, e] : entries_) all.insert(integer(e, "group"));
  return all;
}

json EndpointList::all() const {
  json list = json::array();
  for (const auto& [name, e] : entries_) list.push_back(e);
  return {{"index", index_}, {"snapshot", true}, {"endpoints", std::move(list)}};
}

Agent::Agent(asio::io_context& io, tcp::endpoint peer, std::string host)
    : io_(io), peer_(std::move(peer)), host_(std::move(host)), timer_(io) {}

void Agent::ask(HttpRequest request, Micros limit, HttpConnection::Done done) {
  if (!connection_ || !connection_->reusable())
    connection_ = std::make_unique<HttpConnection>(io_, peer_, host_, kListLimit);
  connection_->exchange(std::move(request), kConnect, limit, std::move(done));
}

void Agent::later(Micros pause, std::function<void()> then) {
  connection_.reset();
  timer_.expires_after(std::chrono::microseconds(pause));
  timer_.async_wait([this, mine = ++turn_, then = std::move(then)](const boost::system::error_code& e) {
    if (!e && mine == turn_) then();
  });
}

void Agent::moveTo(tcp::endpoint peer, std::string host) {
  ++turn_;
  timer_.cancel();
  connection_.reset();
  peer_ = std::move(peer);
  host_ = std::move(host);
}

void Watcher::start(std::int64_t from) {
  from_ = from;
  ask();
}

void Watcher::moveTo(tcp::endpoint peer, std::string host) {
  agent_.moveTo(std::move(peer), std::move(host));
  start(-1);
}

void Watcher::ask() {
  HttpRequest r;
  r.method = "GET";
  r.target = "/v1/endpoints";
  if (from_ >= 0) r.target += "?from=" + std::to_string(from_) + "&hold_ms=" + std::to_string(kHold / 1000);
  const Micros limit = (from_ >= 0 ? kHold : 0) + kSilence;
  agent_.ask(std::move(r), limit, [this](const HttpAnswer& a) {
    if (a.how != Exchanged::answered || a.status != 200 || !a.whole)
      return agent_.later(kPause, [this] { ask(); });
    try {
      from_ = on_answer_(json::parse(a.body));
    } catch (const std::exception& e) {
      // Guards against one garbled answer ending the watch: the whole list is asked for afresh.
      std::cerr << "discovery: " << e.what() << '\n';
      from_ = -1;
      return agent_.later(kPause, [this] { ask(); });
    }
    ask();
  });
}

void Notices::owe(const std::string& id, const Notice& notice) {
  owed_.emplace_back(id, notice);
  if (out_ == 0 && !waiting_) send();
}

void Notices::moveTo(tcp::endpoint peer, std::string host) {
  agent_.moveTo(std::move(peer), std::move(host));
  out_ = 0;
  waiting_ = false;
  send();
}

void Notices::send() {
  if (owed_.empty()) return;
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
    if (unreadable) std::cerr << "notice that can't be read, of message " << owed_.front().first << '\n';
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
    if (owed_.empty()) most_ = 64;
    send();
  });
}

}  // namespace grademux
