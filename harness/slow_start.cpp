// grademux harness: a fleet before destinations that have an outage and come back cold. Some of the senders
// are killed round the return and started again. The seed decides the kind and length of the outage, who is
// killed and when, and whether traffic is even, rare or comes in crowds. All calls of all senders to a
// returning destination count against its slow start budget.
#include <algorithm>
#include <future>

#include "../src/core/clock.h"
#include "scenarios.h"

namespace grademux::harness {

namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kGrain =
    50'000;  // load is made in steps of this, between which senders are killed and started
constexpr int kDestinations = 4;  // the first two have the outage
constexpr int kFailing = 2;
constexpr int kKilledOfTen = 8;  // on days on which most senders are killed
constexpr double kLimit = 60;    // calls a second that a warm destination takes from all senders
constexpr Micros kBefore = 4 * kSecond, kAfter = 8 * kSecond;
constexpr Micros kCrowdPeriod = 3 * kSecond, kCrowdLength = 1 * kSecond;
constexpr double kCrowdFactor = 2.4, kBetweenCrowdsFactor = 0.3;  // of even traffic; the mean is 1
constexpr double kRareFactor = 0.1;
const std::vector<Via> kBoth{Via::resp, Via::http};

enum class Traffic : std::uint8_t { rare, crowds, even };
constexpr int kTrafficKinds = 3;

enum class Outage : std::uint8_t { refuse, hang, shut };
constexpr int kOutageKinds = 3;

// Six seeds in a row have the same kind of outage: the days of each traffic.
Outage outageOf(std::uint64_t seed) {
  return static_cast<Outage>(seed / (2 * kTrafficKinds) % kOutageKinds);
}

const char* nameOf(Outage outage) {
  switch (outage) {
    case Outage::refuse:
      return "refuse";
    case Outage::hang:
      return "hang";
    case Outage::shut:
      return "shut";
  }
  return "";
}

// Pairs of seeds have the same traffic; of each pair, one day kills most senders and the other one sender.
Traffic trafficOf(std::uint64_t seed) {
  return static_cast<Traffic>(seed / 2 % kTrafficKinds);
}

const char* nameOf(Traffic traffic) {
  switch (traffic) {
    case Traffic::rare:
      return "rare";
    case Traffic::crowds:
      return "crowds";
    case Traffic::even:
      return "even";
  }
  return "";
}

class SlowStart {
 public:
  explicit SlowStart(const Options& options) : options_(options), random_(options.seed) {
    outage_ = drawn(500, 20'000);
    for (int d = 0; d < kDestinations; ++d) {
      states_.push_back(std::make_shared<DestinationState>());
      states_.back()->rate = kLimit;
    }
    EnvironmentConfig config;
    config.destinations = kDestinations;
    config.endpoints_each = 1;
    config.behaviour.service = 15'000;
    config.behaviour.spread = 20'000;
    config.behaviour.listed = kLimit;
    config.slots = 16;
    config.senders = options.senders;
    config.connections = 4;
    for (int s = 0; s < options.senders; ++s)
      addSender(config, options.seed * 1000 + static_cast<std::uint64_t>(s));
  }

  json play() {
    for (auto& sender : senders_)
      sender.environment->start();
    started_at_ = monotonicNow();
    loadUntil(kBefore);
    setOutage(true);
    loadUntil(kBefore + outage_);
    for (int d = 0; d < kFailing; ++d)
      states_[static_cast<std::size_t>(d)]->returned = monotonicNow();
    setOutage(false);
    loadUntil(kBefore + outage_ + kAfter);
    return figures();
  }

 private:
  struct SenderState {
    std::unique_ptr<TestEnvironment> environment;
    Micros killed_at = -1, restarted_at = -1;  // since the start; -1: not killed, or done
  };

  Micros drawn(Micros least_ms, Micros most_ms) {
    return std::uniform_int_distribution<Micros>(least_ms, most_ms)(random_) * 1000;
  }

  // Most senders on every other day, one on the others, are killed from 2.6 s before to 1 s after the return.
  void addSender(const EnvironmentConfig& config, std::uint64_t seed) {
    SenderState sender;
    sender.environment = std::make_unique<TestEnvironment>(options_.sender, seed, config);
    sender.environment->setDaemonText(
        [] { return std::string("[knowledge]\nkeep = true\ninterval = \"500 ms\"\n"); });
    for (int d = 0; d < kDestinations; ++d)
      sender.environment->endpoint(static_cast<std::size_t>(d)).shares(states_[static_cast<std::size_t>(d)]);
    const bool kills_many = options_.seed % 2 == 0;
    if (senders_.empty() || (kills_many && random_() % 10 < kKilledOfTen)) {
      const Micros since_return = drawn(0, 3600) - 2600 * 1000;
      sender.killed_at = std::max<Micros>(kBefore, kBefore + outage_ + since_return);
      sender.restarted_at = sender.killed_at + drawn(100, 1500);
    }
    senders_.push_back(std::move(sender));
  }

  // A process ends with the thread that started it, so that this thread kills and starts.
  void loadUntil(Micros end) {
    while (monotonicNow() < started_at_ + end) {
      const Micros since_start = monotonicNow() - started_at_;
      for (SenderState& sender : senders_)
        killOrRestart(sender, since_start);
      loadOnce();
    }
  }

  void killOrRestart(SenderState& sender, Micros since_start) {
    TestEnvironment& environment = *sender.environment;
    if (sender.killed_at >= 0 && since_start >= sender.killed_at) {
      sender.killed_at = -1;
      environment.expectCuts(true);
      environment.kill();
      environment.ledger.died(monotonicNow());
    } else if (sender.killed_at < 0 && sender.restarted_at >= 0 && since_start >= sender.restarted_at) {
      sender.restarted_at = -1;
      environment.start();
      environment.run(kGrain);
      environment.expectCuts(false);
    }
  }

  void loadOnce() {
    const double rate = options_.rate > 0 ? options_.rate : 0.9 * kLimit * kDestinations;
    const double each = rate * trafficFactor() / static_cast<double>(senders_.size());
    std::vector<std::future<void>> all;
    for (SenderState& sender : senders_)
      all.push_back(std::async(std::launch::async,
                               [&sender, each] { sender.environment->load(each, 4 * kGrain, kBoth); }));
    for (auto& one : all)
      one.get();
  }

  double trafficFactor() const {
    const bool is_crowd = (monotonicNow() - started_at_) % kCrowdPeriod < kCrowdLength;
    switch (trafficOf(options_.seed)) {
      case Traffic::rare:
        return kRareFactor;
      case Traffic::crowds:
        return is_crowd ? kCrowdFactor : kBetweenCrowdsFactor;
      case Traffic::even:
        return 1;
    }
    return 1;
  }

  void setOutage(bool on) {
    for (SenderState& sender : senders_)
      sender.environment->onStandIns([this, &sender, on] {
        for (std::size_t d = 0; d < kFailing; ++d)
          setOutage(sender.environment->endpoint(d), on);
      });
  }

  void setOutage(EndpointStandIn& endpoint, bool on) {
    switch (outageOf(options_.seed)) {
      case Outage::refuse:
        return endpoint.refuse(on);
      case Outage::hang:
        endpoint.behaviour.silent = on;
        return;
      case Outage::shut:
        endpoint.behaviour.shut = on;
        return;
    }
  }

  json figures() {
    json all = {{"senders", options_.senders},
                {"outage", nameOf(outageOf(options_.seed))},
                {"outage_ms", outage_ / 1000},
                {"traffic", nameOf(trafficOf(options_.seed))}};
    bool holds = true;
    std::vector<std::future<json>> done;
    for (SenderState& sender : senders_)
      done.push_back(std::async(std::launch::async, [&sender] {
        return finished(*sender.environment, [] { return json::object(); });
      }));
    for (auto& one : done) {
      const json figures = one.get();
      holds = holds && figures["holds"] == true;
      for (const char* name : {"double_ends", "unsafe_twice", "calls_after_drain", "calls_after_end",
                               "messages_lost", "answers_lost", "delivered", "submitted"})
        all[name] = all.value(name, std::int64_t{0}) + figures.value(name, std::int64_t{0});
    }
    std::uint64_t fell = 0, waits = 0;
    double peak = 0;
    for (const auto& state : states_) {
      fell += state->fell_over;
      waits += state->waits_broken;
      peak = std::max(peak, state->peak_budget_used);
    }
    all["fell_over"] = fell;
    all["waits_broken"] = waits;
    all["slow_start_peak"] = peak;
    all["holds"] = holds && fell == 0 && waits == 0;
    return all;
  }

  Options options_;
  std::mt19937_64 random_;
  Micros outage_ = 0, started_at_ = 0;
  std::vector<std::shared_ptr<DestinationState>> states_;
  std::vector<SenderState> senders_;
};

}  // namespace

json slowStart(const Options& o) {
  return SlowStart(o).play();
}

}  // namespace grademux::harness
