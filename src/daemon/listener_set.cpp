// grademux: the doors of a process; see doors.h.
#include "listener_set.h"

#include <algorithm>

#include "../core/clock.h"
#include "../listener/resp/resp_listener.h"

namespace grademux {

namespace {

constexpr Micros kLeave = 5'000'000;  // a door that was removed is waited for so long
constexpr Micros kLook = 100'000;

bool same(const HttpListener::Limits& a, const HttpListener::Limits& b) {
  return a.connections == b.connections && a.pipeline == b.pipeline && a.batch_window == b.batch_window &&
         a.request_bytes == b.request_bytes && a.max_wait == b.max_wait && a.idle_timeout == b.idle_timeout;
}

RespListener::Limits respLimits(const ListenerConfig& s) {
  return {s.limits.connections, s.limits.connections};
}

}  // namespace

std::unique_ptr<Listener> ListenerSet::make(const ListenerConfig& s) {
  if (s.kind == ListenerKind::resp)
    return std::make_unique<RespListener>(io_, s.listen, respLimits(s));
  return std::make_unique<HttpListener>(io_, s.listen, s.limits);
}

void ListenerSet::bind(const std::vector<ListenerConfig>& specs) {
  for (const ListenerConfig& s : specs)
    listeners_.push_back({s, make(s)});
}

void ListenerSet::start(SubmissionHandler& core, const operate::ServiceState& state) {
  core_ = &core;
  state_ = &state;
  for (const Entry& d : listeners_)
    d.door->start(core, state);
}

void ListenerSet::applyConfig(const std::vector<ListenerConfig>& specs) {
  if (state_->isStopping())
    return;
  auto at = [](const std::vector<Entry>& all, const ListenerConfig& s) {
    return std::find_if(all.begin(), all.end(), [&](const Entry& e) {
      return e.door && e.spec.kind == s.kind && e.spec.listen == s.listen;
    });
  };
  std::vector<Entry> next;
  for (const ListenerConfig& s : specs) {  // what is new; a failure leaves all as it was
    Entry e{s, nullptr};
    if (at(listeners_, s) == listeners_.end()) {
      e.door = make(s);
      e.door->start(*core_, *state_);
    }
    next.push_back(std::move(e));
  }
  for (Entry& e : next) {
    if (e.door)
      continue;
    const auto old = at(listeners_, e.spec);
    e.door = std::move(listeners_[static_cast<std::size_t>(old - listeners_.begin())].door);
    if (same(old->spec.limits, e.spec.limits))
      continue;
    if (auto* http = dynamic_cast<HttpListener*>(e.door.get()))
      http->setLimits(e.spec.limits);
    if (auto* resp = dynamic_cast<RespListener*>(e.door.get()))
      resp->setLimits(respLimits(e.spec));
  }
  for (Entry& e : listeners_) {
    if (!e.door)
      continue;
    e.door->drain(DrainReason::removed);
    draining_.emplace_back(monotonicNow() + kLeave, std::move(e.door));
  }
  listeners_ = std::move(next);
  reap();
}

void ListenerSet::reap() {
  if (reaping_ || draining_.empty())
    return;
  reaping_ = true;
  timer_.expires_after(std::chrono::microseconds(kLook));
  timer_.async_wait([this](const boost::system::error_code& e) {
    if (e)
      return;
    reaping_ = false;
    const Micros now = monotonicNow();
    draining_.erase(
        std::remove_if(draining_.begin(), draining_.end(),
                       [&](const auto& l) { return l.second->connectionCount() == 0 || now >= l.first; }),
        draining_.end());
    reap();
  });
}

void ListenerSet::drain(DrainReason how) {
  for (const Entry& d : listeners_)
    if (d.door)
      d.door->drain(how);
}

void ListenerSet::releaseAddresses() {
  for (Entry& e : listeners_) {
    e.door->drain(DrainReason::removed);
    draining_.emplace_back(monotonicNow() + kLeave, std::move(e.door));
  }
  reap();
}

void ListenerSet::reacquireAddresses() {
  for (Entry& e : listeners_) {
    if (e.door)
      continue;
    e.door = make(e.spec);
    e.door->start(*core_, *state_);
  }
}

std::size_t ListenerSet::openRequests() const {
  std::size_t sum = 0;
  for (const Entry& d : listeners_)
    if (d.door)
      sum += d.door->openRequests();
  for (const auto& [until, door] : draining_)
    sum += door->openRequests();
  return sum;
}

}  // namespace grademux
