// Helpers for the tests of the model: small worlds as text, and modules that are spoilt on purpose.
#pragma once

#include <gtest/gtest.h>

#include "../../model/fleet.h"

namespace grademux::model {

inline World worldOf(const std::string& text) {
  const Reading r = readWorldText(text, "world");
  for (const Mistake& m : r.mistakes)
    ADD_FAILURE() << m.format("world");
  return r.world;
}

// Two senders and few partners in trouble, so that each rule has its occasions.
inline const char* const kTroubled = R"(
[run]
length = "30 s"
[fleet]
senders = 2
partners = 4
[traffic]
rate = 40
load = [0.8, 0.9]
[rules]
ramp_time = "8 s"
order_pause = "300 ms"
[[kind]]
name = "partner"
tells_wait = 1
[[class]]
name = "payment"
effect = "unsafe"
ordered = true
share = 0.5
[[class]]
name = "status"
share = 0.5
[[trouble]]
kind = "hang"
at = "3 s"
length = "4 s"
part = 0.6
[[trouble]]
kind = "shut"
at = "13 s"
length = "3 s"
part = 0.6
[[trouble]]
kind = "leave"
at = "22 s"
length = "4 s"
part = 0.9
[[trouble]]
kind = "kill"
at = "24 s"
length = "500 ms"
part = 0.5
)";

inline json played(const World& w, std::uint64_t seed = 1, const PolicySpec* p = policy("module")) {
  return Fleet(w, {p, seed, nullptr}).play();
}

// The module behind something that changes what it hears, what it is told of the site, or what it does.
class Spoilt : public Policy {
 public:
  Spoilt(const Settings& s, std::uint64_t seed) : module_(s, seed) {}
  std::vector<Action> decide(Micros now, const std::vector<Event>& events) override {
    std::vector<Event> heard;
    for (Event e : events)
      if (hear(e))
        heard.push_back(std::move(e));
    std::vector<Action> acts;
    for (Action& a : module_.decide(now, heard))
      if (act(a))
        acts.push_back(std::move(a));
    return acts;
  }

 protected:
  virtual bool hear(Event&) { return true; }
  virtual bool act(Action&) { return true; }

 private:
  Sender module_;
};

// Hears of no limits.
struct Reckless : Spoilt {
  using Spoilt::Spoilt;
  bool hear(Event& e) override {
    if (auto* o = std::get_if<AttemptOutcome>(&e))
      o->limit_report.reset();
    return true;
  }
};

inline Settings taken(Settings s, void (*change)(Settings&)) {
  change(s);
  return s;
}
template <class P, void (*Change)(Settings&)>
std::unique_ptr<Policy> spoilt(const Making& m) {
  return std::make_unique<P>(taken(m.settings, Change), m.seed);
}
inline void nothing(Settings&) {}
inline void allSafe(Settings& s) {
  for (MessageClass& c : s.classes)
    c.idempotency = Idempotency::idempotent;
}
inline void noOrder(Settings& s) {
  for (MessageClass& c : s.classes)
    c.ordered = false;
}
inline void noRamp(Settings& s) {
  s.slow_start_time = 1;
  s.cold_capacity_fraction = 1;
  s.overload_factor = 1000;
}

}  // namespace grademux::model
