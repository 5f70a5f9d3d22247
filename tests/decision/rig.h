// Helpers for the tests: settings in plain figures and a small driver of one Sender.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "grademux/sender.h"

namespace grademux {

constexpr Micros kMs = 1000;
constexpr Micros kS = 1000000;

inline MessageClass makeClass(const std::string& name, Effect effect, Micros aim = 2 * kS) {
  MessageClass c;
  c.name = name;
  c.effect = effect;
  c.aim = aim;
  c.deadline = 20 * kS;
  c.late_worth = 0.3;
  c.memory = 5 * kS;
  return c;
}

inline Settings makeSettings() {
  Settings s;
  s.classes = {makeClass("safe", Effect::safe), makeClass("keyed", Effect::keyed),
               makeClass("unsafe", Effect::unsafe)};
  s.kinds = {{"shared", false, 1}, {"apart", true, 1}, {"batch", false, 3}};
  s.zones = {"a", "b"};
  s.slots = 8;
  s.max_open = 200;
  s.max_attempts = 6;
  s.tick = 5 * kMs;
  s.ask_within = 10 * kS;
  s.drain_grace = 250 * kMs;
  s.fall_span = 2 * kS;
  s.ramp_time = 10 * kS;
  s.cold_share = 0.3;
  s.overload_factor = 1.5;
  s.dial_timeout = kS;
  s.conn_idle = 5 * kS;
  return s;
}

inline Endpoint makeEndpoint(const std::string& id, std::int64_t dest, const std::string& kind = "shared",
                             double weight = 0, const std::string& zone = "a") {
  Endpoint e;
  e.id = id;
  e.zone = zone;
  e.kind = kind;
  e.destination = dest;
  e.weight = weight;
  return e;
}

class Rig {
 public:
  explicit Rig(Settings s = makeSettings(), std::uint64_t seed = 7) : set(s), sender(std::move(s), seed) {}

  Rig& at(Micros t) {
    now = t;
    return *this;
  }
  void list(std::vector<Endpoint> endpoints, ListKind kind = ListKind::cached) {
    run({ListUpdate{kind, std::move(endpoints)}});
  }
  Arrival arrival(const std::string& id, const std::string& cls, std::int64_t dest,
                  const std::string& key = "") {
    Arrival a;
    a.id = id;
    a.message_class = cls;
    a.destination = dest;
    a.order_key = key;
    for (const auto& c : set.classes)
      if (c.name == cls)
        a.give_up_at = now + c.deadline;
    return a;
  }
  std::vector<std::string> arrive(const std::string& id, const std::string& cls, std::int64_t dest,
                                  const std::string& key = "") {
    return run({arrival(id, cls, dest, key)});
  }
  Outcome outcome(const std::string& id, int attempt, Result r, Micros rtt = 100 * kMs, Micros wait = 0) {
    Outcome o;
    o.id = id;
    o.attempt = attempt;
    o.result = r;
    o.finished = r == Result::ok;
    o.rtt = rtt;
    o.wait = wait;
    return o;
  }
  std::vector<std::string> end(const std::string& id, int attempt, Result r, Micros rtt = 100 * kMs,
                               Micros wait = 0) {
    return run({outcome(id, attempt, r, rtt, wait)});
  }
  std::vector<std::string> wake() { return run({Wake{}}); }

  // Runs one turn; returns the ids of the messages sent, in order.
  std::vector<std::string> run(const std::vector<Event>& events) {
    acts = sender.decide(now, events);
    std::vector<std::string> sent;
    for (const Action& a : acts)
      if (const auto* s = std::get_if<Send>(&a)) {
        sent.push_back(s->id);
        where[s->id] = s->endpoint;
        timeout[s->id] = s->timeout;
      }
    return sent;
  }
  template <class T>
  std::vector<T> got() const {
    std::vector<T> v;
    for (const Action& a : acts)
      if (const auto* x = std::get_if<T>(&a))
        v.push_back(*x);
    return v;
  }

  Settings set;
  Sender sender;
  Micros now = 0;
  std::vector<Action> acts;
  std::map<std::string, std::string> where;
  std::map<std::string, Micros> timeout;
};

}  // namespace grademux
