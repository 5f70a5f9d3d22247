// grademux harness: `fleet cost`: what the plan, the stamp and the trail cost a sender that is busy: the same
// sender without a fleet and with one, in turn. And `fleet play`: a fleet that stays up, to try the
// operators' commands on.
#include <sched.h>
#include <sys/wait.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <iostream>

#include "../src/core/clock.h"
#include "fleet.h"
#include "scenarios.h"

namespace grademux::harness {

namespace asio = boost::asio;

namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kWarm = 250'000, kSlice = 750'000;  // of each sender in each round
constexpr int kWindow = 800;                         // messages that are under way

// The senders and nothing else on one core, where there are enough: which of the others' threads it shares a
// core with is what makes one run differ from the next.
class OwnCore {
 public:
  OwnCore() {
    CPU_ZERO(&all_);
    if (::sched_getaffinity(0, sizeof all_, &all_) != 0 || CPU_COUNT(&all_) < 3)
      return;
    rest_ = all_;
    for (core_ = CPU_SETSIZE - 1; !CPU_ISSET(core_, &all_);)
      --core_;
    CPU_CLR(core_, &rest_);
    ::sched_setaffinity(0, sizeof rest_, &rest_);  // threads that begin from now on, too
  }
  ~OwnCore() {
    if (core_ >= 0)
      ::sched_setaffinity(0, sizeof all_, &all_);
  }
  OwnCore(const OwnCore&) = delete;
  OwnCore& operator=(const OwnCore&) = delete;
  bool held() const { return core_ >= 0; }
  // The process that `start` makes, and its threads, run there.
  void with(const std::function<void()>& start) const {
    if (core_ < 0)
      return start();
    cpu_set_t one;
    CPU_ZERO(&one);
    CPU_SET(core_, &one);
    ::sched_setaffinity(0, sizeof one, &one);
    start();
    ::sched_setaffinity(0, sizeof rest_, &rest_);
  }

 private:
  int core_ = -1;
  cpu_set_t all_, rest_;
};

// One of the senders that are compared: all run beside one another, and one at a time has work.
struct Busy {
  std::string name;
  std::unique_ptr<TestEnvironment> world;
  std::vector<double> per_second, cpu_us, bytes;  // by round

  // As much as it takes, or with a rate so many a second.
  void slice(double rate) {
    TestEnvironment& w = *world;
    const auto work = [&](Micros span) {
      rate > 0 ? w.load(rate, span, {Via::resp}) : w.saturate(kWindow, span, {Via::resp});
    };
    work(kWarm);
    const Micros begun = monotonicNow();
    const double cpu = w.child().cpuSeconds();
    const std::uint64_t before = w.ledger.deliveries, written = w.journalBytes();
    work(kSlice);
    const double done = static_cast<double>(w.ledger.deliveries - before);
    const double used = w.child().cpuSeconds() - cpu;
    const double span = static_cast<double>(monotonicNow() - begun) / 1e6;
    w.run(20'000);  // the journal is looked at
    per_second.push_back(done / span);
    cpu_us.push_back(used / std::max(1.0, done) * 1e6);
    bytes.push_back(static_cast<double>(w.journalBytes() - written) / std::max(1.0, done));
    w.settle(20 * kSecond);
  }
};

double median(std::vector<double> v) {
  std::sort(v.begin(), v.end());
  return v[v.size() / 2];
}

// The median of the ratios by round, with the interval that holds it with 95%, whatever their distribution:
// the order statistics at n/2 -+ 0.98 root of n.
json ratio(const std::vector<double>& a, const std::vector<double>& b) {
  std::vector<double> r;
  for (std::size_t i = 0; i < a.size(); ++i)
    r.push_back(a[i] / b[i]);
  std::sort(r.begin(), r.end());
  const double n = static_cast<double>(r.size()), off = 0.98 * std::sqrt(n);
  const auto low = static_cast<std::size_t>(std::max(0.0, std::floor(n / 2 - off)));
  const auto high = static_cast<std::size_t>(std::min(n - 1, std::ceil(n / 2 + off)));
  return {{"median", r[r.size() / 2]}, {"low", r[low]}, {"high", r[high]}};
}

}  // namespace

// Three senders under the same load in turn, a second each, in an order drawn anew for each round: without a
// fleet, once more without, and with one. What the two that are alike differ by is what the figures can't
// tell.
json fleetCost(const Options& o) {
  const OwnCore core;
  boost::asio::io_context io{1};
  StoreStandIn store(io, 1);
  auto work = asio::make_work_guard(io);
  std::thread thread([&] { io.run(); });
  const int rounds = std::max<int>(3, static_cast<int>(o.seconds * kSecond / (4 * (kWarm + kSlice))));
  std::vector<Busy> all(3);
  EnvironmentConfig shape;
  // A pace beside which the machine's own hiccups are no sickness: with 1 to 2 ms the module took endpoints
  // for ill now and then, with a fleet and without, and a sender stood at a tenth of its throughput for
  // seconds.
  shape.behaviour.service = 10'000;
  shape.behaviour.spread = 4'000;
  shape.slots = 400;
  shape.http = false;
  shape.capacity = 1 << 22;
  for (std::size_t i = 0; i < all.size(); ++i) {
    const bool fleet = i == 2;
    all[i].name = fleet ? "fleet" : i == 0 ? "plain" : "plain again";
    all[i].world = std::make_unique<TestEnvironment>(o.sender, o.seed, shape);
    all[i].world->setDaemonText([&store, fleet]() -> std::string {  // without a fleet an empty one
      if (!fleet)
        return "";
      return "[fleet]\nname = \"s0\"\nstore = [\"" + store.addresses()[0] + "\"]\nstamp = true\n";
    });
    core.with([&] { all[i].world->start(); });
  }
  // With no plan in the store nothing holds its reads back.
  {
    const TemporaryFolder said;
    SenderProcess command;
    command.start({o.sender, "fleet", "plan", "propose", "--why", "rig", "--store", store.addresses()[0]}, {},
                  said.path() + "/said");
    if (command.wait() != 0)
      throw std::runtime_error("no plan can be made");
  }
  std::mt19937_64 random(o.seed);
  std::vector<std::size_t> order = {0, 1, 2};
  for (int round = 0; round < rounds; ++round) {
    std::shuffle(order.begin(), order.end(), random);
    for (const std::size_t i : order)
      all[i].slice(o.rate);
    std::cout << "round " << round << ":";
    for (const Busy& b : all)
      std::cout << ' ' << b.name << ' ' << static_cast<int>(b.per_second.back()) << "/s "
                << static_cast<int>(b.cpu_us.back()) << " us";
    std::cout << '\n' << std::flush;
  }
  bool ended_well = true;
  json figures = {{"rounds", rounds}, {"own_core", core.held()}};
  for (Busy& b : all) {
    bool kept = false;
    const json summary = b.world->ledger.summary(kept);
    if (!kept)
      std::cout << b.name << ' ' << summary.dump() << '\n' << b.world->log() << '\n';
    const int status = b.world->stop();
    ended_well = ended_well && kept && WIFEXITED(status) && WEXITSTATUS(status) == 0;
    figures[b.name] = {{"deliveries", b.world->ledger.deliveries.load()},
                       {"per_second", median(b.per_second)},
                       {"cpu_us_per_message", median(b.cpu_us)},
                       {"journal_bytes_per_message", median(b.bytes)}};
  }
  const Busy &plain = all[0], &again = all[1], &fleet = all[2];
  figures["throughput_ratio"] = ratio(fleet.per_second, plain.per_second);
  figures["throughput_ratio_of_alike"] = ratio(again.per_second, plain.per_second);
  figures["cpu_ratio"] = ratio(fleet.cpu_us, plain.cpu_us);
  figures["cpu_ratio_of_alike"] = ratio(again.cpu_us, plain.cpu_us);
  figures["holds"] = ended_well;
  all.clear();
  io.stop();
  thread.join();
  return figures;
}

json fleetPlay(const Options& o) {
  FleetConfig shape;
  shape.senders = o.senders;
  Fleet fleet(o.sender, o.seed, shape);
  fleet.startAll();
  fleet.beginLoad();
  std::string where;
  for (const std::string& word : fleet.storeAt())
    where += " " + word;
  std::cout << "the fleet is at" << where << '\n';
  for (std::size_t i = 0; i < fleet.size(); ++i)
    std::cout << "s" << i << ": configuration " << fleet.world(i).configFile() << ", folder "
              << fleet.world(i).state() << ", process " << fleet.world(i).child().pid() << '\n';
  std::cout << std::flush;
  static volatile std::sig_atomic_t over = 0;
  std::signal(SIGINT, [](int) { over = 1; });
  for (const Micros until = monotonicNow() + o.seconds * kSecond; !over && monotonicNow() < until;)
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  return fleet.finish();
}

}  // namespace grademux::harness
