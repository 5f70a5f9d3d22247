// grademux harness: several senders before the same destinations, all killed in an outage and started
// together while it lasts: what returns must not be pushed over by the backlogs of all of them, and a wait
// that was told before the kill holds after it.
#include <future>

#include "../src/core/clock.h"
#include "scenarios.h"

namespace grademux::harness {

namespace {

constexpr Micros kSecond = 1'000'000;
constexpr int kDestinations = 4;
constexpr double kTakes = 60;  // calls a second that a warm destination takes from all senders
const std::vector<Via> kBoth{Via::resp, Via::http};

class Herd {
 public:
  explicit Herd(const Options& o) : options_(o) {
    for (int d = 0; d < kDestinations; ++d) {
      standings_.push_back(std::make_shared<DestinationState>());
      standings_.back()->rate = kTakes;
    }
    EnvironmentConfig shape;
    shape.destinations = kDestinations;
    shape.behaviour.service = 15'000;
    shape.behaviour.spread = 20'000;
    shape.behaviour.listed = kTakes;
    shape.slots = 16;
    shape.senders = o.senders;
    for (int s = 0; s < o.senders; ++s) {
      worlds_.push_back(
          std::make_unique<TestEnvironment>(o.sender, o.seed + static_cast<std::uint64_t>(s), shape));
      TestEnvironment& w = *worlds_.back();
      w.setDaemonText([] { return std::string("[knowledge]\nkeep = true\ninterval = \"500 ms\"\n"); });
      for (std::size_t i = 0; i < w.endpoints(); ++i)
        w.endpoint(i).shares(standings_[i / 2]);
    }
  }

  json play() {
    start();
    load(0.2);
    const Micros outage = monotonicNow();
    standings_[0]->shut_until = outage + span(0.35);  // tells all who call to wait for so long
    refuse(1, true);
    load(0.1);
    each([](TestEnvironment& w) {  // in the outage, and in the wait
      w.expectCuts(true);
      w.kill();
      w.ledger.died(monotonicNow());
    });
    load(0.05);  // clients find nobody
    start();
    each([](TestEnvironment& w) {
      w.run(50'000);  // the last cuts come in
      w.expectCuts(false);
    });
    load(0.2);
    standings_[0]->returned = outage + span(0.35);
    standings_[1]->returned = monotonicNow();
    refuse(1, false);
    load(0.45);
    return figures();
  }

 private:
  Micros span(double part) const {
    return static_cast<Micros>(part * static_cast<double>(options_.seconds * kSecond));
  }
  // By the caller's thread: a child ends with the thread that started it.
  void start() {
    for (auto& w : worlds_)
      w->start();
  }
  void each(const std::function<void(TestEnvironment&)>& f) {
    std::vector<std::future<void>> all;
    for (auto& w : worlds_)
      all.push_back(std::async(std::launch::async, [&f, &w] { f(*w); }));
    for (auto& f1 : all)
      f1.get();
  }
  void load(double part) {
    const double rate = options_.rate > 0 ? options_.rate : 40;
    each([&](TestEnvironment& w) { w.load(rate, span(part), kBoth); });
  }
  void refuse(std::size_t destination, bool on) {
    each([=](TestEnvironment& w) {
      w.onStandIns([&] {
        for (std::size_t e = 2 * destination; e < 2 * destination + 2; ++e)
          w.endpoint(e).refuse(on);
      });
    });
  }

  json figures() {
    std::vector<json> all(worlds_.size());
    std::vector<std::future<void>> done;
    for (std::size_t i = 0; i < worlds_.size(); ++i)
      done.push_back(std::async(std::launch::async, [this, i, &all] {
        all[i] = finished(*worlds_[i], [] { return json::object(); });
      }));
    for (auto& f : done)
      f.get();
    json f = {{"senders", options_.senders}};
    bool holds = true;
    for (const char* name : {"double_ends", "unsafe_twice", "calls_after_drain", "messages_lost",
                             "answers_lost", "delivered", "submitted"}) {
      std::int64_t sum = 0;
      for (const json& one : all)
        sum += one.value(name, std::int64_t{0});
      f[name] = sum;
    }
    for (const json& one : all)
      holds = holds && one["holds"] == true;
    std::uint64_t fell = 0, waits = 0;
    for (const auto& s : standings_)
      fell += s->fell_over, waits += s->waits_broken;
    f["fell_over"] = fell;
    f["waits_broken"] = waits;
    f["holds"] = holds && fell == 0 && waits == 0;
    if (f["holds"] != true)
      f["worlds"] = all;
    return f;
  }

  Options options_;
  std::vector<std::shared_ptr<DestinationState>> standings_;
  std::vector<std::unique_ptr<TestEnvironment>> worlds_;
};

}  // namespace

json herd(const Options& o) {
  return Herd(o).play();
}

}  // namespace grademux::harness
