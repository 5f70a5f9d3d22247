// grademux harness: restarts in mid-outage, with what the sender knows and without it, side by side: the same
// load, faults and moments in two worlds at once.
#include <algorithm>
#include <fstream>
#include <future>

#include "../src/core/clock.h"
#include "scenarios.h"

namespace grademux::harness {

namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kAway = 600'000;  // between the end of a process and the next one's start
constexpr double kTakes = 60;      // calls a second that a warm destination takes
const std::vector<Via> kBoth{Via::resp, Via::http};

// One of the two worlds.
class Half {
 public:
  Half(const Options& o, bool knows) : options_(o), knows_(knows), world_(o.sender, o.seed, shape()) {
    world_.setDaemonText([this] {
      return std::string("[knowledge]\nkeep = ") + (knows_ ? "true" : "false") +
             "\ninterval = \"500 ms\"\n[log.parts]\nknowledge = \"debug\"\n";
    });
    for (int d = 0; d < kDestinations; ++d) {
      auto s = std::make_shared<DestinationState>();
      s->rate = kTakes;
      standings_.push_back(s);
      for (int e = 0; e < 2; ++e)
        at(d, e).shares(s);
    }
  }

  json play() {
    // The schedule is for 30 s; other spans stretch it.
    const double rate = options_.rate > 0 ? options_.rate : 100;
    begun_ = monotonicNow();
    world_.start();
    until(5, rate);
    world_.onStandIns([&] {
      standings_[0]->shut_until = begun_ + span(10);  // tells callers so
      for (int e = 0; e < 2; ++e)
        at(1, e).refuse(true);
    });
    until(6.5, rate);
    EndpointStandIn& leaving = at(2, 0);
    world_.onStandIns([&] {
      world_.discovery().tell(json::array({leaving.listed("Terminating")}), false,
                              [&leaving](std::int64_t) { leaving.drainedAt(monotonicNow()); });
    });
    until(7.2, rate);
    kill(rate);  // in mid-outage, in a told wait, during a drain
    until(9.5, rate);
    world_.onStandIns([&] {
      for (int e = 0; e < 2; ++e)
        at(1, e).refuse(false);
      standings_[1]->returned = monotonicNow();
      standings_[0]->returned = begun_ + span(10);
    });
    until(12, rate);
    kill(rate);  // in the ramp
    until(14, rate);
    world_.onStandIns([&] {
      leaving.drainedAt(INT64_MAX / 4);
      world_.discovery().tell(json::array({leaving.listed("Ready")}), false);
    });
    until(16, rate);
    stop(rate);
    until(22, rate);
    kill(rate);  // twice in a row
    kill(rate);
    until(26, rate);
    spoil_ = true;
    kill(rate);
    until(30, rate);
    return finished(world_, [this] { return figures(); });
  }

 private:
  static constexpr int kDestinations = 4;
  static EnvironmentConfig shape() {
    EnvironmentConfig s;
    s.destinations = kDestinations;
    s.behaviour.service = 15'000;
    s.behaviour.spread = 20'000;
    s.slots = 16;
    return s;
  }
  EndpointStandIn& at(int destination, int e) {
    return world_.endpoint(static_cast<std::size_t>(2 * destination + e));
  }
  Micros span(double seconds) const { return static_cast<Micros>(seconds * 1e6 * options_.seconds / 30); }
  void until(double moment, double rate) {
    const Micros left = begun_ + span(moment) - monotonicNow();
    if (left > 0)
      world_.load(rate, left, kBoth);
  }

  void kill(double rate) {
    world_.expectCuts(true);
    const Micros killed = monotonicNow();
    world_.kill();
    world_.ledger.died(killed);
    again(rate);
  }
  void stop(double rate) {
    world_.expectCuts(true);
    world_.child().signal(SIGTERM);
    const Micros patience = monotonicNow() + 10 * kSecond;
    while (!world_.child().ended() && monotonicNow() < patience)
      world_.load(rate, kSecond / 50, kBoth);
    if (!world_.child().ended())
      throw std::runtime_error("the program does not end");
    world_.ledger.died(monotonicNow());
    again(rate);
  }
  void again(double rate) {
    if (spoil_ && knows_)
      spoil();
    world_.load(rate, kAway, kBoth);
    world_.start();
    started_.push_back(monotonicNow());
    world_.run(50'000);  // the last cuts come in
    world_.expectCuts(false);
  }
  // Some bytes in the middle and the tail.
  void spoil() {
    const std::string path = world_.folder() + "/state/knowledge";
    std::fstream f(path, std::ios::in | std::ios::out | std::ios::binary);
    for (const int at : {30, 200, 201}) {
      f.seekp(at);
      f.put('\x5a');
    }
  }

  json figures() {
    double worth = 0, offered = 0;
    std::vector<Micros> delivered;
    for (std::size_t i = 0; i < world_.ledger.size(); ++i) {
      const Record& r = world_.ledger.at(static_cast<std::int64_t>(i));
      if (r.said != Reply::accepted)
        continue;
      offered += offeredWeight(r);
      if (r.delivered == 0 || r.ended == 0)
        continue;
      worth += deliveredWeight(r);
      delivered.push_back(r.ended);
    }
    std::sort(delivered.begin(), delivered.end());
    const auto between = [&](Micros a, Micros b) {
      return static_cast<double>(std::lower_bound(delivered.begin(), delivered.end(), b) -
                                 std::lower_bound(delivered.begin(), delivered.end(), a));
    };
    const double usual = between(begun_ + span(2), begun_ + span(5)) / static_cast<double>(span(3));
    json first = json::array(), back = json::array();
    for (const Micros s : started_) {
      const auto next = std::lower_bound(delivered.begin(), delivered.end(), s);
      first.push_back(next == delivered.end() ? -1 : (*next - s) / 1000);
      Micros w = s;
      while (w < s + 10 * kSecond && between(w, w + kSecond / 2) < 0.9 * usual * kSecond / 2)
        w += kSecond / 20;
      back.push_back((w - s) / 1000);
    }
    std::uint64_t fell = 0, waits = 0;
    world_.onStandIns([&] {
      for (const auto& s : standings_)
        fell += s->fell_over, waits += s->waits_broken;
    });
    const std::string log = world_.log();
    json f = {{"worth", worth / std::max(1.0, offered)},
              {"offered", offered},
              {"fell_over", fell},
              {"waits_broken", waits},
              {"first_ms", first},
              {"usual_ms", back},
              {"holds", fell == 0 && waits == 0}};
    if (!knows_)
      return f;
    const auto count = [&](const std::string& word) {
      int n = 0;
      for (std::size_t p = log.find(word); p != std::string::npos; p = log.find(word, p + 1))
        ++n;
      return n;
    };
    std::int64_t bytes = 0, longest = 0;
    for (std::size_t p = log.find("knowledge.written"); p != std::string::npos;
         p = log.find("knowledge.written", p + 1)) {
      const auto field = [&](const char* name) {
        return std::atoll(log.c_str() + log.find(name, p) + std::string(name).size());
      };
      bytes = std::max<std::int64_t>(bytes, field("bytes="));
      longest = std::max<std::int64_t>(longest, field("took_us="));
    }
    f["corrupt_ignored"] = count("knowledge.damaged") + count("knowledge.rejected");
    f["used"] = count("knowledge.read");
    f["writes"] = {{"count", count("knowledge.written")}, {"bytes_most", bytes}, {"us_most", longest}};
    f["holds"] = f["holds"] == true && f["corrupt_ignored"] == 1 && f["used"] > 2;
    return f;
  }

  Options options_;
  bool knows_;
  TestEnvironment world_;
  std::vector<std::shared_ptr<DestinationState>> standings_;
  std::vector<Micros> started_;
  Micros begun_ = 0;
  bool spoil_ = false;
};

}  // namespace

json restart(const Options& o) {
  auto without = std::async(std::launch::async, [&o] { return Half(o, false).play(); });
  const json with = Half(o, true).play();
  const json other = without.get();
  const auto sum = [&](const char* name) { return with.value(name, 0) + other.value(name, 0); };
  json f = {{"worth_with", with["worth"]},
            {"worth_without", other["worth"]},
            {"corrupt_ignored", with["corrupt_ignored"]},
            {"writes", with["writes"]},
            {"first_ms_with", with["first_ms"]},
            {"first_ms_without", other["first_ms"]},
            {"usual_ms_with", with["usual_ms"]},
            {"usual_ms_without", other["usual_ms"]},
            {"holds", with["holds"] == true && other["holds"] == true}};
  for (const char* name : {"fell_over", "waits_broken", "double_ends", "unsafe_twice"})
    f[name] = sum(name);
  f["late_drains"] = sum("calls_after_drain");
  f["lost"] = sum("messages_lost") + sum("answers_lost");
  if (f["holds"] != true)
    f["halves"] = {{"with", with}, {"without", other}};
  return f;
}

}  // namespace grademux::harness
