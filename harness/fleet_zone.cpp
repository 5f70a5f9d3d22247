// grademux harness: `fleet zone` and `fleet region`: a zone, or all zones of a region, fail and return, one
// time after another, while senders are killed, stopped, replaced and cut off, and the store's nodes go. The
// steps are drawn from the seed, have their moments, and are printed. What endpoints saw is held against the
// plans that the store took; with --compare the same day is played for senders that leave one by one, and for
// a fleet that is told of each failure as it begins.
#include <algorithm>
#include <cmath>
#include <iostream>

#include "../src/core/clock.h"
#include "fleet.h"
#include "scenarios.h"

namespace grademux::harness {

namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kBack = 24 * kSecond;  // from the end of a failure to the next
constexpr const char* kRegions =
    "[[region]]\nname = \"north\"\nzones = [\"a\", \"b\"]\nstand_by = \"south\"\n"
    "[[region]]\nname = \"south\"\nzones = [\"c\", \"d\"]\n";

enum class How { fleet, one_by_one, told };

class ZoneDay {
 public:
  ZoneDay(const Options& o, bool regions, How how)
      : options_(o),
        random_(o.seed),
        regions_(regions),
        how_(how),
        fleet_(o.sender, o.seed, shape(o, regions, how)) {}

  json play() {
    fleet_.startAll();
    begin_ = monotonicNow();
    const std::string lease = std::to_string(options_.lease_s);
    const auto said = fleet_.propose({"--settings", fleet_.settingsDigest(), "--mode", "lenient", "--lease",
                                      lease, "--binds-after", lease});
    if (said.status != 0)
      throw std::runtime_error("no plan: " + said.text);
    fleet_.eventually([&] { return fleet_.allAt(1); });
    fleet_.beginLoad();
    wait(6 * kSecond);  // senders know what is usual
    const Micros until = begin_ + options_.seconds * kSecond;
    do
      failure();
    while (monotonicNow() < until);
    const bool together = fleet_.eventually([&] { return fleet_.allAt(fleet_.planNumber()); }, 60 * kSecond);
    json f = fleet_.finish();
    figures(f);
    f["all_current_at_the_end"] = together;
    f["holds"] = f["holds"] == true && together && f["over_paced_seconds"] == 0 && f["not_left"] == 0 &&
                 f["not_returned"] == 0 && f["pair_away"] == 0;
    return f;
  }

 private:
  struct Failure {
    std::vector<std::string> zones;
    Micros from = 0, to = 0, left = 0, last_call = 0, back = 0;
  };

  static FleetConfig shape(const Options& o, bool regions, How how) {
    FleetConfig s;
    s.senders = o.senders;
    s.zones = regions ? 4 : o.zones;
    s.bears = regions ? 2.4 : 1.8;
    s.judge = how != How::one_by_one;
    if (regions)
      s.regions = kRegions;
    if (o.rate > 0)
      s.rate = o.rate;
    return s;
  }
  void say(const std::string& what) {
    std::cout << "+" << (monotonicNow() - begin_) / 1000 << " ms " << what << '\n' << std::flush;
  }
  void wait(Micros span) { std::this_thread::sleep_for(std::chrono::microseconds(span)); }
  Micros draw(double least, double most) {
    return static_cast<Micros>(std::uniform_real_distribution<>(least, most)(random_) * 1e6);
  }

  bool stands(const std::vector<std::string>& zones, const char* state) const {
    return std::all_of(zones.begin(), zones.end(), [&](const std::string& z) {
      const json s = fleet_.zoneState(z);
      return state == std::string("in") ? s.is_null() : s.is_object() && s["state"] == state;
    });
  }
  void word(const char* what, const Failure& f) {
    if (how_ != How::told)
      return;
    for (const std::string& z : f.zones)
      fleet_.insist({"fleet", "zone", what, z, "--why", "rig"});
  }

  void failure() {
    Failure f;
    const auto zones = static_cast<std::size_t>(regions_ ? 4 : options_.zones);
    if (regions_)
      f.zones = random_() % 2 ? std::vector<std::string>{"a", "b"} : std::vector<std::string>{"c", "d"};
    else
      f.zones = {std::string(1, static_cast<char>('a' + random_() % zones))};
    static constexpr Fleet::ZoneFault kTroubles[] = {Fleet::ZoneFault::silent, Fleet::ZoneFault::refuses,
                                                     Fleet::ZoneFault::errors};
    const auto trouble = random_() % 3;
    const Micros lasts = draw(7, 10), first = draw(0.2, 4), second = draw(1, 14);
    const auto meanwhile = random_() % 8, later = random_() % 8;
    const bool flaps = random_() % 4 == 0;
    std::string names;
    for (const std::string& z : f.zones)
      names += z;
    say("zones " + names + " fail, way " + std::to_string(trouble) + (flaps ? ", and flap" : ""));
    f.from = monotonicNow();
    for (const std::string& z : f.zones)
      fleet_.zone(z, kTroubles[trouble]);
    word("leave", f);
    wait(first);
    fault(meanwhile);
    if (flaps) {
      for (const std::string& z : f.zones)
        fleet_.zone(z, Fleet::ZoneFault::none);
      wait(kSecond);
      for (const std::string& z : f.zones)
        fleet_.zone(z, kTroubles[trouble]);
    }
    while (monotonicNow() < f.from + lasts)
      wait(10'000);
    say("zones " + names + " are well");
    for (const std::string& z : f.zones)
      fleet_.zone(z, Fleet::ZoneFault::none);
    f.to = monotonicNow();
    word("return", f);
    wait(second);
    fault(later);
    while (monotonicNow() < f.to + kBack)
      wait(10'000);
    if (how_ != How::one_by_one && !fleet_.eventually([&] { return stands(f.zones, "in"); }, 40 * kSecond)) {
      say("zones " + names + " have NOT come back\n" + fleet_.word({"fleet", "zones"}).text);
      ++not_returned_;
    }
    failures_.push_back(std::move(f));
  }

  void fault(std::uint64_t which) {
    const std::size_t i = random_() % fleet_.size();
    const std::string who = "s" + std::to_string(i);
    const Micros span = draw(0.5, 3);
    switch (which) {
      case 0:
        return;
      case 1:
      case 2: {  // 46% at once
        const std::size_t n = which == 1 ? 1 : std::max<std::size_t>(1, fleet_.size() * 46 / 100);
        say(std::to_string(n) + " senders from " + who + " on are killed and started");
        for (std::size_t k = 0; k < n; ++k)
          fleet_.kill((i + k) % fleet_.size());
        wait(span / 2);
        for (std::size_t k = 0; k < n; ++k)
          fleet_.restart((i + k) % fleet_.size());
        return;
      }
      case 3:
        say(who + " is stopped");
        fleet_.stop(i);
        wait(span);
        fleet_.go(i);
        return;
      case 4:
      case 5: {
        const FaultProxy::Mode way = which == 4 ? FaultProxy::Mode::cut : FaultProxy::Mode::cut_back;
        say(who + " is cut off from the store");
        fleet_.cutStore(i, way);
        wait(span);
        fleet_.cutStore(i, FaultProxy::Mode::forwarding);
        return;
      }
      case 6:
        say("the store is gone");
        fleet_.onStore([&] {
          for (std::size_t n = 0; n < 3; ++n)
            fleet_.store().node(n, false);
        });
        wait(span);
        fleet_.onStore([&] {
          for (std::size_t n = 0; n < 3; ++n)
            fleet_.store().node(n, true);
        });
        return;
      case 7:
        say("all sessions expire");
        fleet_.onStore([&] { fleet_.store().expireAll(); });
        return;
    }
  }

  // From the plans as the store took them and the calls as endpoints saw them.
  void figures(json& f) {
    const auto plans = fleet_.plansTaken();
    std::vector<ObservedCall> calls;
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      const auto of = fleet_.calls(i);
      calls.insert(calls.end(), of.begin(), of.end());
    }
    std::sort(calls.begin(), calls.end(),
              [](const ObservedCall& a, const ObservedCall& b) { return a.at < b.at; });
    std::int64_t not_left = 0, in_return = 0;
    std::vector<Micros> left, last, back;
    for (Failure& x : failures_) {
      for (const auto& [at, p] : plans) {
        const auto all = [&](const char* state) {
          return std::all_of(x.zones.begin(), x.zones.end(), [&](const std::string& z) {
            return p["zones"].contains(z) ? p["zones"][z]["state"] == state : state == std::string("in");
          });
        };
        if (x.left == 0 && at >= x.from && at < x.to && all("out"))
          x.left = at;
        if (x.left != 0 && x.back == 0 && at > x.to && all("in"))
          x.back = at;
      }
      for (const ObservedCall& c : calls)
        if (c.at >= x.from && c.at < x.to && std::count(x.zones.begin(), x.zones.end(), c.zone))
          ++in_return, x.last_call = c.at;
      if (x.left == 0)
        ++not_left;
      else
        left.push_back(x.left - x.from), last.push_back(std::max(x.last_call, x.left) - x.from);
      if (x.back != 0)
        back.push_back(x.back - x.to);
    }
    const auto worth = fleet_.worth();
    for (const auto& [at, p] : plans)
      std::cout << "+" << (at - begin_) / 1000 << " ms plan " << p["number"] << ": "
                << p["why"].get<std::string>() << '\n';
    f["worth"] = worth.second / std::max(1.0, worth.first);
    f["senders"] = options_.senders;
    f["failures"] = failures_.size();
    f["calls_into_failed_zone"] = in_return;
    f["left_after_ms"] = percentiles(left);
    f["last_sender_after_ms"] = percentiles(last);
    f["returned_after_ms"] = percentiles(back);
    f["over_paced_seconds"] = overPaced(plans, calls);
    f["pair_away"] = pairAway(plans);
    f["not_left"] = how_ == How::one_by_one ? 0 : not_left;
    f["not_returned"] = not_returned_;
  }

  // Seconds in which an endpoint of a zone at a stage of its return got more than the stage's share of what
  // it bears, or a zone in its trial more than a trial's calls: with one call for each sender, and three
  // roots.
  std::int64_t overPaced(const std::vector<std::pair<Micros, json>>& plans,
                         const std::vector<ObservedCall>& calls) {
    std::int64_t over = 0;
    for (std::size_t p = 0; p < plans.size(); ++p) {
      const Micros from = plans[p].first, to = p + 1 < plans.size() ? plans[p + 1].first : monotonicNow();
      for (const auto& [zone, s] : plans[p].second["zones"].items()) {
        if (s["state"] != "back")
          continue;
        const bool trial = s["stage"] == 0;
        const double share = trial ? 4 : s["share"].get<double>() * fleet_.bears();
        const double most = share + options_.senders + 3 * std::sqrt(share);
        std::map<std::pair<Micros, std::size_t>, int> seconds;
        for (const ObservedCall& c : calls)  // what a sender sent before it had heard was another plan's
          if (c.at >= from && c.at < to && c.zone == zone && c.plan == plans[p].second["number"])
            ++seconds[{(c.at - from) / kSecond, trial ? 0 : c.endpoint}];
        for (const auto& [second, n] : seconds)
          over += n > most;
      }
    }
    return over;
  }

  // Plans under which zones of both regions were away.
  std::int64_t pairAway(const std::vector<std::pair<Micros, json>>& plans) const {
    if (!regions_)
      return 0;
    return std::count_if(plans.begin(), plans.end(), [](const auto& p) {
      bool north = false, south = false;
      for (const auto& [zone, s] : p.second["zones"].items())
        (zone < "c" ? north : south) = true;
      return north && south;
    });
  }

  Options options_;
  std::mt19937_64 random_;
  bool regions_;
  How how_;
  Micros begin_ = 0;
  Fleet fleet_;
  std::vector<Failure> failures_;
  std::int64_t not_returned_ = 0;
};

}  // namespace

json fleetZone(const Options& o, bool regions) {
  json f = ZoneDay(o, regions, How::fleet).play();
  if (!o.compare)
    return f;
  const json alone = ZoneDay(o, regions, How::one_by_one).play();
  const json told = ZoneDay(o, regions, How::told).play();
  f["worth_one_by_one"] = alone["worth"];
  f["calls_into_failed_zone_one_by_one"] = alone["calls_into_failed_zone"];
  f["pushed_over_one_by_one"] = alone["pushed_over"];
  f["worth_oracle"] = told["worth"];
  f["holds"] = f["holds"] == true && told["holds"] == true;
  return f;
}

}  // namespace grademux::harness
