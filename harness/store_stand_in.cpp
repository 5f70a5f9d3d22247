// grademux harness: the store's stand-in; see store_stand_in.h.
#include "store_stand_in.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <ctime>

#include "../src/core/clock.h"

namespace grademux::harness {

namespace asio = boost::asio;

namespace {

std::string base64(const std::string& in) {  // RFC 4648, section 4
  static const char* kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j)
      bits = bits << 8 | (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0);
    for (std::size_t j = 0; j < 4; ++j)
      out.push_back(i + j > in.size() ? '=' : kAlphabet[bits >> (18 - 6 * j) & 63]);
  }
  return out;
}

std::string parameter(const std::string& target, const std::string& name, const std::string& otherwise = "") {
  const auto query = target.find('?');
  for (std::size_t at = query; at != std::string::npos;) {
    const std::size_t from = at + 1;
    at = target.find('&', from);
    const std::string one = target.substr(from, at == std::string::npos ? at : at - from);
    const auto equals = one.find('=');
    if (one.substr(0, equals) == name)
      return equals == std::string::npos ? "" : one.substr(equals + 1);
  }
  return otherwise;
}

bool has(const std::string& target, const std::string& name) {
  return parameter(target, name, "-") != "-";
}

Micros spanOf(const std::string& text) {  // "500ms", "10s"
  const double n = std::strtod(text.c_str(), nullptr);
  return static_cast<Micros>(text.size() > 2 && text.substr(text.size() - 2) == "ms" ? n * 1e3 : n * 1e6);
}

}  // namespace

StoreStandIn::StoreStandIn(asio::io_context& io, std::size_t nodes) : io_(io), sweeper_(io) {
  for (std::size_t n = 0; n < nodes; ++n)
    nodes_.push_back(std::make_unique<HttpStandIn>(io, [this, n](Request r, HttpStandIn::Respond respond) {
      ask(n, std::move(r), std::move(respond));
    }));
  dropSessions(false);
}

std::vector<std::string> StoreStandIn::addresses() const {
  std::vector<std::string> all;
  for (const auto& n : nodes_)
    all.push_back(n->address());
  return all;
}

void StoreStandIn::node(std::size_t n, bool up) {
  nodes_[n]->refuse(!up);
}

void StoreStandIn::lag(std::size_t n, bool on) {
  if (on)
    lagging_[n] = state_;
  else
    lagging_.erase(n);
}

void StoreStandIn::forget() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    state_ = State();
  }
  wake();
}

void StoreStandIn::rewind() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    state_ = marked_;
  }
  wake();
}

std::vector<StoreStandIn::Change> StoreStandIn::changes(const std::string& key) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Change> all;
  for (const Change& c : changes_)
    if (c.key == key)
      all.push_back(c);
  return all;
}

std::string StoreStandIn::value(const std::string& key) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto at = state_.keys.find(key);
  return at == state_.keys.end() ? "" : at->second.value;
}

bool StoreStandIn::put(const std::string& key, const std::string& value) {
  const bool there = state_.keys.count(key) > 0;
  set(key, value, there ? state_.keys[key].session : "");
  wake();
  return there;
}

std::string StoreStandIn::answer(const std::string& status, const std::string& body,
                                 std::int64_t index) const {
  char date[64];
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  ::gmtime_r(&now, &parts);
  std::strftime(date, sizeof date, "Date: %a, %d %b %Y %H:%M:%S GMT\r\n", &parts);
  return httpAnswer(status, date + (index > 0 ? "X-Consul-Index: " + std::to_string(index) + "\r\n" : ""),
                    body);
}

void StoreStandIn::ask(std::size_t node, Request r, HttpStandIn::Respond respond) {
  ++requests_;
  bytes_ += r.head.size() + r.body.size();
  if (on_request)
    on_request(r, true);
  const std::string bytes = carryOut(node, r, respond);
  if (on_request)
    on_request(r, false);
  if (bytes.empty())
    return;  // held back
  reply(respond, bytes);
}

void StoreStandIn::reply(const HttpStandIn::Respond& respond, const std::string& bytes) {
  bytes_ += bytes.size();
  if (late_ <= 0) {
    respond({bytes, false, false});
    return;
  }
  const auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(late_));
  timer->async_wait([timer, respond, bytes](const boost::system::error_code& e) {
    if (!e)
      respond({bytes, false, false});
  });
}

std::string StoreStandIn::carryOut(std::size_t node, const Request& r, const HttpStandIn::Respond& respond) {
  const std::string path = r.target.substr(0, r.target.find('?'));
  const auto under = [&](const char* prefix) { return path.compare(0, std::strlen(prefix), prefix) == 0; };
  const auto rest = [&](const char* prefix) { return path.substr(std::strlen(prefix)); };
  const auto yes = [&](bool done) { return answer("200 OK", done ? "true\n" : "false\n"); };
  if (r.method == "GET" && under("/v1/kv/")) {
    const std::string key = rest("/v1/kv/");
    const bool below = has(r.target, "recurse");
    const bool stale = has(r.target, "stale") && !has(r.target, "consistent");
    const State& s = stale && lagging_.count(node) ? lagging_.at(node) : state_;
    const std::int64_t after = std::atoll(parameter(r.target, "index", "0").c_str());
    // A wait for an index that is above the present one waits too: the caller notices by the answer's.
    if (after > 0 && indexOf(s, key, below) <= after) {
      const Micros wait = spanOf(parameter(r.target, "wait", "300s"));
      const auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(wait));
      waiting_.push_back({key, below, after, respond, timer});
      timer->async_wait([this, timer](const boost::system::error_code& e) {
        if (e)
          return;
        const auto at =
            std::find_if(waiting_.begin(), waiting_.end(), [&](const Waiting& w) { return w.hold == timer; });
        if (at == waiting_.end())
          return;
        const Waiting w = *at;
        waiting_.erase(at);
        reply(w.respond, read(state_, w.key, w.below));
      });
      return "";
    }
    return read(s, key, below);
  }
  if (r.method == "PUT" && under("/v1/kv/")) {
    const std::string key = rest("/v1/kv/");
    const auto at = state_.keys.find(key);
    const std::string session = parameter(r.target, "acquire");
    if (!session.empty()) {
      if (!state_.sessions.count(session))
        return answer("500 Internal Server Error", "invalid session \"" + session + "\"");
      if (at != state_.keys.end() && !at->second.session.empty() && at->second.session != session)
        return yes(false);
      set(key, r.body, session);
    } else if (has(r.target, "cas")) {
      const std::int64_t changed = std::atoll(parameter(r.target, "cas").c_str());
      if (changed != (at == state_.keys.end() ? 0 : at->second.changed))
        return yes(false);
      set(key, r.body, at == state_.keys.end() ? "" : at->second.session);
    } else {
      set(key, r.body, at == state_.keys.end() ? "" : at->second.session);
    }
    wake();
    return yes(true);
  }
  if (r.method == "PUT" && path == "/v1/session/create") {
    if (full_)
      return answer("500 Internal Server Error", "no room for a session");
    const json o = json::parse(r.body, nullptr, false);
    char id[40];
    std::snprintf(id, sizeof id, "%08llx-0000-4000-8000-000000000000",
                  static_cast<unsigned long long>(++next_session_));
    Session s;
    s.name = o.value("Name", "");
    s.ttl = spanOf(o.value("TTL", "0s"));
    s.until = monotonicNow() + s.ttl;
    state_.sessions[id] = s;
    return answer("200 OK", json{{"ID", id}}.dump());
  }
  if (r.method == "PUT" && under("/v1/session/renew/")) {
    const auto s = state_.sessions.find(rest("/v1/session/renew/"));
    if (s == state_.sessions.end())
      return answer("404 Not Found", "Session id not found");
    s->second.until = monotonicNow() + s->second.ttl;
    return answer("200 OK", json::array({{{"ID", s->first}}}).dump());
  }
  if (r.method == "PUT" && under("/v1/session/destroy/")) {
    release(rest("/v1/session/destroy/"));
    wake();
    return yes(true);
  }
  return answer("404 Not Found", "no such page");
}

void StoreStandIn::set(const std::string& key, const std::string& value, const std::string& session) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Key& k = state_.keys[key];
  if (k.created == 0)
    k.created = state_.index + 1;
  k.changed = ++state_.index;
  k.value = value;
  k.session = session;
  changes_.push_back({monotonicNow(), key, value});
}

void StoreStandIn::release(const std::string& session) {
  const std::lock_guard<std::mutex> lock(mutex_);
  state_.sessions.erase(session);
  for (auto& [key, k] : state_.keys) {
    if (k.session != session)
      continue;
    k.session.clear();
    k.changed = ++state_.index;
  }
}

// A session may outlive its time by up to as much again: the store promises no less, and some more.
void StoreStandIn::dropSessions(bool all) {
  std::vector<std::string> over;
  for (const auto& [id, s] : state_.sessions)
    if (all || monotonicNow() > s.until)
      over.push_back(id);
  for (const std::string& id : over)
    release(id);
  if (!over.empty())
    wake();
  if (all)
    return;
  sweeper_.expires_after(std::chrono::milliseconds(100));
  sweeper_.async_wait([this](const boost::system::error_code& e) {
    if (!e)
      dropSessions(false);
  });
}

std::int64_t StoreStandIn::indexOf(const State& s, const std::string& key, bool below) const {
  if (!below) {
    const auto at = s.keys.find(key);
    return at == s.keys.end() ? s.index : at->second.changed;
  }
  std::int64_t most = 1;
  for (auto at = s.keys.lower_bound(key); at != s.keys.end() && at->first.compare(0, key.size(), key) == 0;
       ++at)
    most = std::max(most, at->second.changed);
  return most;
}

std::string StoreStandIn::read(const State& s, const std::string& key, bool below) const {
  json all = json::array();
  for (auto at = s.keys.lower_bound(key); at != s.keys.end(); ++at) {
    if (below ? at->first.compare(0, key.size(), key) != 0 : at->first != key)
      break;
    json e = {{"Key", at->first},
              {"Value", base64(at->second.value)},
              {"CreateIndex", at->second.created},
              {"ModifyIndex", at->second.changed},
              {"LockIndex", 0},
              {"Flags", 0}};
    if (!at->second.session.empty())
      e["Session"] = at->second.session;
    all.push_back(std::move(e));
  }
  const std::int64_t index = indexOf(s, key, below);
  return all.empty() ? answer("404 Not Found", "", index) : answer("200 OK", all.dump(), index);
}

void StoreStandIn::wake() {
  std::vector<Waiting> waiting;
  waiting.swap(waiting_);
  for (Waiting& w : waiting) {
    const std::int64_t index = indexOf(state_, w.key, w.below);
    if (index == w.index) {
      waiting_.push_back(std::move(w));
      continue;
    }
    w.hold->cancel();
    reply(w.respond, read(state_, w.key, w.below));
  }
}

}  // namespace grademux::harness
