// grademux harness: `fleet crowd`: hundreds of senders' parts in the fleet, each with its own connections to
// the store, trail and plan on disk, in one process: how soon a plan is with all of them, and what the store
// has to bear. The parts are the program's own; what is missing beside them is the sending.
#include <sys/resource.h>

#include <filesystem>
#include <future>
#include <thread>

#include "../src/core/clock.h"
#include "../src/core/worker.h"
#include "../src/fleet/consul.h"
#include "../src/fleet/fleet_member.h"
#include "fleet.h"
#include "scenarios.h"

namespace grademux::harness {

namespace asio = boost::asio;

namespace {

constexpr Micros kSecond = 1'000'000;
constexpr int kPlans = 5;

// A thread that runs a loop until this goes.
struct Loop {
  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(io);
  std::thread thread{[this] { io.run(); }};
  void on(const std::function<void()>& f) {
    std::promise<void> done;
    asio::post(io, [&] {
      f();
      done.set_value();
    });
    done.get_future().wait();
  }
  void end() {
    work.reset();
    io.stop();
    if (thread.joinable())
      thread.join();
  }
  ~Loop() { end(); }
};

struct One {
  std::string name;
  std::unique_ptr<fleet::FleetMember> part;
  fleet::RunningVersions own;
};

class Crowd {
 public:
  explicit Crowd(const Options& o) : options_(o), store_(stores_.io, 3), worker_(senders_.io) {
    rlimit open{};
    ::getrlimit(RLIMIT_NOFILE, &open);
    open.rlim_cur = open.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &open);
  }
  ~Crowd() {
    senders_.on([&] {
      for (One& one : all_)
        one.part->release("end");
    });
    stores_.end();
    senders_.end();
  }

  json play() {
    propose(1);
    begin();
    const Micros from = monotonicNow();
    const auto [first, most] = acknowledged(1, from);
    json plans = json::array();
    std::vector<Micros> spans, last;
    std::uint64_t busiest = most;
    const std::uint64_t calls = store_.requests(), bytes = store_.bytes();
    const Micros quiet = monotonicNow(), still = options_.seconds * kSecond;
    std::this_thread::sleep_for(std::chrono::microseconds(still));
    const double minutes = static_cast<double>(monotonicNow() - quiet) / 6e7 * options_.senders;
    const double calls_a_minute = static_cast<double>(store_.requests() - calls) / minutes;
    const double bytes_a_minute = static_cast<double>(store_.bytes() - bytes) / minutes;
    std::uint64_t plan_calls = 0, plan_bytes = 0;
    for (int n = 2; n < 2 + kPlans; ++n) {
      const std::uint64_t calls_before = store_.requests(), bytes_before = store_.bytes();
      const Micros at = monotonicNow();
      propose(n);
      auto [each, peak] = acknowledged(n, at);
      busiest = std::max(busiest, peak);
      plan_calls += store_.requests() - calls_before;
      plan_bytes += store_.bytes() - bytes_before;
      if (each.empty())
        return {{"senders", options_.senders}, {"plan", n}, {"holds", false}};
      last.push_back(*std::max_element(each.begin(), each.end()));
      spans.insert(spans.end(), each.begin(), each.end());
      std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    std::sort(spans.begin(), spans.end());
    std::sort(last.begin(), last.end());
    const double per_plan = static_cast<double>(kPlans) * options_.senders;
    return {{"senders", options_.senders},
            {"lease_s", options_.lease_s},
            {"all_current_after_start_ms",
             first.empty() ? json() : json(*std::max_element(first.begin(), first.end()) / 1000)},
            {"plans", kPlans},
            {"acknowledged", percentiles(spans)},
            {"last_acknowledged", percentiles(last)},
            {"store_calls_a_sender_and_minute", calls_a_minute},
            {"store_bytes_a_sender_and_minute", bytes_a_minute},
            {"store_calls_a_sender_and_plan", static_cast<double>(plan_calls) / per_plan},
            {"store_bytes_a_sender_and_plan", static_cast<double>(plan_bytes) / per_plan},
            {"store_calls_busiest_second", busiest},
            {"holds", !first.empty()}};
  }

 private:
  static std::string settings(int n) { return "settings-" + std::to_string(n); }

  void propose(int n) {
    fleet::Plan p;
    p.number = n;
    p.requirements.settings = settings(n);
    p.strict = true;
    p.lease = p.effective_after = static_cast<Micros>(options_.lease_s * 1e6);
    p.author = p.reason = "crowd";
    p.changed_at = unixNow();
    p.max_fenced_fraction = 1;
    now_ = n;
    stores_.on([&] { store_.put("grademux/plan", toJson(p).dump()); });
  }

  void begin() {
    all_.resize(static_cast<std::size_t>(options_.senders));
    for (std::size_t i = 0; i < all_.size(); ++i) {
      One& one = all_[i];
      one.name = "s" + std::to_string(i);
      one.own.program = "0.4.0";
      one.own.settings = settings(1);
      const std::string folder = folder_.path() + "/" + one.name;
      std::filesystem::create_directory(folder);
      senders_.on([&] {
        fleet::FleetConfig spec;
        spec.name = one.name;
        spec.store = store_.addresses();
        std::rotate(spec.store.begin(), spec.store.begin() + static_cast<long>(i % spec.store.size()),
                    spec.store.end());
        fleet::FleetMember::Callbacks sender;
        sender.list_version = [] { return std::int64_t{-1}; };
        sender.catch_up = [this, &one](const std::vector<fleet::MissingRequirement>&) {
          one.own.settings = settings(now_);
          one.part->onConfigApplied(one.own, "");
        };
        sender.set_allowed = [](bool, const std::string&) {};
        sender.refresh_endpoints = [](const std::vector<std::string>&) {};
        sender.zone_policy = []() -> const zones::ZonePolicy& {
          static const zones::ZonePolicy policy;
          return policy;
        };
        sender.sender_count = [n = options_.senders] { return n; };
        one.part = std::make_unique<fleet::FleetMember>(
            senders_.io, worker_, spec, std::make_unique<fleet::Consul>(senders_.io, spec.store), folder, 1,
            options_.seed * 10'000 + i, std::move(sender));
      });
    }
    senders_.on([&] {
      for (One& one : all_)
        one.part->start(one.own, "start", {});
    });
  }

  // How long after `from` each has reported that it acts by the plan, in microseconds; empty: not all have.
  // And the calls to the store in the busiest second until then.
  std::pair<std::vector<Micros>, std::uint64_t> acknowledged(int plan, Micros from) {
    std::vector<Micros> each(all_.size());
    std::uint64_t most = 0, before = store_.requests();
    Micros second = monotonicNow();
    for (std::size_t left = all_.size(); left > 0;) {
      if (monotonicNow() - from > 60 * kSecond)
        return {{}, most};
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      if (monotonicNow() - second >= kSecond) {
        most = std::max(most, store_.requests() - before);
        before = store_.requests();
        second = monotonicNow();
      }
      for (std::size_t i = 0; i < all_.size(); ++i) {
        if (each[i] > 0)
          continue;
        const json r = json::parse(store_.value("grademux/senders/" + all_[i].name), nullptr, false);
        if (!r.is_object() || r["own"]["plan"] != plan)
          continue;
        each[i] = std::max<Micros>(1, monotonicNow() - from);
        --left;
      }
    }
    return {each, std::max(most, store_.requests() - before)};
  }

  Options options_;
  TemporaryFolder folder_;
  Loop stores_, senders_;
  StoreStandIn store_;
  Worker worker_;
  std::atomic<int> now_{0};
  std::vector<One> all_;
};

}  // namespace

json fleetCrowd(const Options& o) {
  return Crowd(o).play();
}

}  // namespace grademux::harness
