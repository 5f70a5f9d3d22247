// grademux harness: `fleet audit`: plans are proposed one after another while links are cut, processes are
// stopped, killed and started again, files are broken and mended, store nodes go and come back. The steps are
// drawn from the seed and printed; the same seed draws the same steps.
#include <iostream>

#include "../src/core/clock.h"
#include "fleet.h"
#include "scenarios.h"

namespace grademux::harness {

namespace {

constexpr Micros kSecond = 1'000'000;

class Audit {
 public:
  explicit Audit(const Options& o)
      : options_(o),
        random_(o.seed),
        lease_(static_cast<Micros>(o.lease_s * 1e6)),
        fleet_(o.sender, o.seed, shape(o)) {}

  json play() {
    fleet_.startAll();
    begin_ = monotonicNow();
    fleet_.beginLoad();
    propose(true);
    wait(kSecond / 2);
    const Micros until = begin_ + options_.seconds * kSecond;
    while (monotonicNow() < until)
      step();
    mend();
    const std::int64_t last = fleet_.planNumber();
    const bool together = fleet_.eventually([&] { return fleet_.allAt(fleet_.planNumber()); }, 60 * kSecond);
    say("all at plan " + std::to_string(last) + (together ? "" : ": NOT"));
    wait(kSecond);
    json f = fleet_.finish();
    f["senders"] = options_.senders;
    f["lease_s"] = options_.lease_s;
    f["all_current_at_the_end"] = together;
    f["steps"] = steps_;
    f["proposed"] = proposed_;
    f["shut_out"] = shut_out_;
    f["stragglers"] = stragglers_;
    f["brought_up"] = brought_up_;
    std::sort(acknowledged_.begin(), acknowledged_.end());
    f["last_acknowledged"] = percentiles(acknowledged_);
    f["holds"] = f["holds"] == true && together;
    return f;
  }

 private:
  static FleetConfig shape(const Options& o) {
    FleetConfig s;
    s.senders = o.senders;
    s.lease = static_cast<Micros>(o.lease_s * 1e6);
    if (o.rate > 0)
      s.rate = o.rate;
    return s;
  }
  void say(const std::string& what) {
    std::cout << "+" << (monotonicNow() - begin_) / 1000 << " ms " << what << '\n' << std::flush;
  }
  void wait(Micros span) { std::this_thread::sleep_for(std::chrono::microseconds(span)); }
  std::size_t any() { return random_() % fleet_.size(); }
  Micros span(double least, double most) {
    return static_cast<Micros>(std::uniform_real_distribution<>(least, most)(random_) *
                               static_cast<double>(lease_));
  }

  // New settings for all, and a plan that asks for them.
  void propose(bool first = false) {
    aim_ = 4000 + 10 * ++proposed_;
    fleet_.setAim(aim_);
    for (const std::size_t i : broken_)
      fleet_.world(i).writeConfig(false);
    std::vector<std::string> words = {"--settings", fleet_.settingsDigest(intact()), "--mode", "strict"};
    if (first)
      words.insert(words.end(), {"--lease", std::to_string(options_.lease_s), "--binds-after",
                                 std::to_string(options_.lease_s)});
    else
      words.insert(words.end(), {"--binds-after", std::to_string(options_.lease_s)});
    words.insert(words.end(), {"--most-shut-out", "0.5"});
    const auto said = fleet_.propose(words);
    say("propose: " + std::to_string(said.status) + " " + said.text.substr(0, said.text.find('\n')));
    const std::int64_t number = fleet_.planNumber();
    const Micros from = monotonicNow();
    // Faults that stand now are what it has to live with; whoever is whole has it in a moment.
    if (broken_.empty() && deaf_.empty() && stopped_.empty() &&
        fleet_.eventually([&] { return fleet_.allAt(number) || fleet_.planNumber() != number; },
                          10 * kSecond) &&
        fleet_.planNumber() == number)
      acknowledged_.push_back(monotonicNow() - from);
  }
  std::size_t intact() const {
    for (std::size_t i = 0; i < fleet_.size(); ++i)
      if (!broken_.count(i))
        return i;
    return 0;
  }

  void step() {
    ++steps_;
    const std::size_t i = any();
    const std::string who = "s" + std::to_string(i);
    switch (random_() % 9) {
      case 0:
      case 1:
        propose();
        break;
      case 2: {
        static constexpr FaultProxy::Mode kWays[] = {FaultProxy::Mode::cut, FaultProxy::Mode::cut_there,
                                                     FaultProxy::Mode::cut_back, FaultProxy::Mode::refused};
        const FaultProxy::Mode way = kWays[random_() % 4];
        say(who + " is cut off from the store, way " + std::to_string(static_cast<int>(way)));
        fleet_.cutStore(i, way);
        deaf_.insert(i);
        if (random_() % 3)
          propose();
        wait(span(0.2, 2.5));
        say(who + " is joined again");
        fleet_.cutStore(i, FaultProxy::Mode::forwarding);
        deaf_.erase(i);
        break;
      }
      case 3: {
        say(who + " is stopped");
        fleet_.stop(i);
        stopped_.insert(i);
        if (random_() % 3)
          propose();
        wait(span(0.2, 2.5));
        say(who + " goes on");
        fleet_.go(i);
        stopped_.erase(i);
        break;
      }
      case 4:
        say(who + " is killed and started");
        fleet_.kill(i);
        wait(span(0, 0.5));
        fleet_.restart(i);
        break;
      case 5: {
        const std::size_t n = random_() % 3;
        say("store node " + std::to_string(n) + " is gone");
        fleet_.onStore([&] { fleet_.store().node(n, false); });
        wait(span(0.1, 1));
        fleet_.onStore([&] { fleet_.store().node(n, true); });
        say("store node " + std::to_string(n) + " is back");
        break;
      }
      case 6: {
        say(who + " has a broken file");
        broken_.insert(i);
        ++stragglers_;
        propose();
        wait(span(0.5, 2));
        say(who + "'s file is whole");
        broken_.erase(i);
        fleet_.world(i).writeConfig();
        const std::int64_t plan = fleet_.planNumber();
        brought_up_ += fleet_.eventually([&] {
          const json r = fleet_.report(i);
          return r.is_object() && r["own"]["plan"].get<std::int64_t>() >= plan;
        });
        break;
      }
      case 7: {
        std::vector<std::string> words = {"fleet", "shut-out", who, "--why", "rig"};
        say(who + " is shut out by word: " + std::to_string(fleet_.word(words).status));
        shut_out_ += fleet_.eventually(
            [&] {
              const json r = fleet_.report(i);
              return r.is_object() && r["standing"] == "shut out";
            },
            5 * kSecond);
        wait(span(0.2, 1));
        words[1] = "readmit";
        say(who + " is readmitted: " + std::to_string(fleet_.word(words).status));
        break;
      }
      case 8:
        say("all sessions expire");
        fleet_.onStore([&] { fleet_.store().expireAll(); });
        break;
    }
    wait(span(0.1, 0.6));
  }

  void mend() {
    say("all is mended");
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      fleet_.go(i);
      fleet_.cutStore(i, FaultProxy::Mode::forwarding);
      fleet_.world(i).writeConfig();
    }
  }

  Options options_;
  std::mt19937_64 random_;
  Micros lease_, begin_ = 0;
  Fleet fleet_;
  double aim_ = 4000;
  std::set<std::size_t> broken_, deaf_, stopped_;
  std::int64_t steps_ = 0, proposed_ = 0, stragglers_ = 0, brought_up_ = 0, shut_out_ = 0;
  std::vector<Micros> acknowledged_;
};

}  // namespace

json fleetAudit(const Options& o) {
  return Audit(o).play();
}

}  // namespace grademux::harness
