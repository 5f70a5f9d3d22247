// grademux: the doors of a process; see doors.h.
#include "doors.h"

#include <algorithm>

#include "../core/clock.h"
#include "../doors/resp/server.h"

namespace grademux {

namespace {

constexpr Micros kLeave = 5'000'000;  // a door that was removed is waited for so long
constexpr Micros kLook = 100'000;

bool same(const HttpDoor::Limits& a, const HttpDoor::Limits& b) {
  return a.connections == b.connections && a.pipeline == b.pipeline && a.batch_window == b.batch_window &&
         a.request_bytes == b.request_bytes && a.longest_wait == b.longest_wait && a.idle == b.idle;
}

RespDoor::Limits respLimits(const DoorSpec& s) {
  return {s.limits.connections, s.limits.connections};
}

}  // namespace

std::unique_ptr<Door> Doors::make(const DoorSpec& s) {
  if (s.kind == DoorKind::resp)
    return std::make_unique<RespDoor>(io_, s.listen, respLimits(s));
  return std::make_unique<HttpDoor>(io_, s.listen, s.limits);
}

void Doors::bind(const std::vector<DoorSpec>& specs) {
  for (const DoorSpec& s : specs)
    doors_.push_back({s, make(s)});
}

void Doors::start(Intake& core, const operate::State& state) {
  core_ = &core;
  state_ = &state;
  for (const Entry& d : doors_)
    d.door->start(core, state);
}

void Doors::change(const std::vector<DoorSpec>& specs) {
  if (state_->stopping())
    return;
  auto at = [](const std::vector<Entry>& all, const DoorSpec& s) {
    return std::find_if(all.begin(), all.end(), [&](const Entry& e) {
      return e.door && e.spec.kind == s.kind && e.spec.listen == s.listen;
    });
  };
  std::vector<Entry> next;
  for (const DoorSpec& s : specs) {  // what is new; a failure leaves all as it was
    Entry e{s, nullptr};
    if (at(doors_, s) == doors_.end()) {
      e.door = make(s);
      e.door->start(*core_, *state_);
    }
    next.push_back(std::move(e));
  }
  for (Entry& e : next) {
    if (e.door)
      continue;
    const auto old = at(doors_, e.spec);
    e.door = std::move(doors_[static_cast<std::size_t>(old - doors_.begin())].door);
    if (same(old->spec.limits, e.spec.limits))
      continue;
    if (auto* http = dynamic_cast<HttpDoor*>(e.door.get()))
      http->setLimits(e.spec.limits);
    if (auto* resp = dynamic_cast<RespDoor*>(e.door.get()))
      resp->setLimits(respLimits(e.spec));
  }
  for (Entry& e : doors_) {
    if (!e.door)
      continue;
    e.door->drain(Leaving::removed);
    leaving_.emplace_back(monotonicNow() + kLeave, std::move(e.door));
  }
  doors_ = std::move(next);
  reap();
}

void Doors::reap() {
  if (reaping_ || leaving_.empty())
    return;
  reaping_ = true;
  timer_.expires_after(std::chrono::microseconds(kLook));
  timer_.async_wait([this](const boost::system::error_code& e) {
    if (e)
      return;
    reaping_ = false;
    const Micros now = monotonicNow();
    leaving_.erase(
        std::remove_if(leaving_.begin(), leaving_.end(),
                       [&](const auto& l) { return l.second->connections() == 0 || now >= l.first; }),
        leaving_.end());
    reap();
  });
}

void Doors::drain(Leaving how) {
  for (const Entry& d : doors_)
    if (d.door)
      d.door->drain(how);
}

void Doors::giveUp() {
  for (Entry& e : doors_) {
    e.door->drain(Leaving::removed);
    leaving_.emplace_back(monotonicNow() + kLeave, std::move(e.door));
  }
  reap();
}

void Doors::retake() {
  for (Entry& e : doors_) {
    if (e.door)
      continue;
    e.door = make(e.spec);
    e.door->start(*core_, *state_);
  }
}

std::size_t Doors::open() const {
  std::size_t sum = 0;
  for (const Entry& d : doors_)
    if (d.door)
      sum += d.door->open();
  for (const auto& [until, door] : leaving_)
    sum += door->open();
  return sum;
}

}  // namespace grademux
