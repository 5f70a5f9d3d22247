// grademux harness: a fleet; see fleet.h.
#include "fleet.h"

#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>

#include "../src/core/clock.h"

namespace grademux::harness {

namespace asio = boost::asio;

namespace {

constexpr const char* kPrefix = "rig";
// What a call or an answer may come later than it was begun, on a machine that is busy with all of this.
constexpr Micros kSlack = 150'000;

}  // namespace

Fleet::Fleet(const std::string& program, std::uint64_t seed, FleetConfig shape)
    : program_(program),
      shape_(shape),
      work_(asio::make_work_guard(io_)),
      calls_(static_cast<std::size_t>(shape.senders)),
      deaf_(calls_.size()),
      killed_(calls_.size()),
      went_(calls_.size()) {
  store_ = std::make_unique<StoreStandIn>(io_, shape_.nodes);
  const auto nodes = store_->addresses();
  const bool zones = shape.zones > 1;
  const std::string judges =
      (zones ? std::string("judge_zones = ") + (shape.judge ? "true" : "false") + "\nzone_pause = \"2 s\"\n"
             : "") +
      shape.regions;
  EnvironmentConfig each;
  each.destinations = 2;
  each.slots = 16;
  each.http = false;
  each.passed = true;
  each.links = true;
  each.disk_mb = 16;
  each.connections = 8;
  each.capacity = 1 << 18;
  each.zones = shape.zones;
  if (zones) {
    each.endpoints_each = shape.zones;
    each.behaviour.service = 60'000;  // so that some calls are always out, and the others are called too
    each.behaviour.spread = 40'000;
    each.behaviour.listed =  // of its destination
        shape.bears * shape.rate * shape.senders / static_cast<double>(each.destinations);
  }
  each.senders = shape.senders;
  for (std::size_t i = 0; i < calls_.size(); ++i) {
    links_.emplace_back();
    std::string addresses;
    for (std::size_t n = 0; n < nodes.size(); ++n) {  // senders begin at different nodes
      const std::size_t at = (i + n) % nodes.size();
      links_[i].push_back(std::make_unique<FaultProxy>(io_, nodes[at]));
      addresses += (n ? ", \"" : "\"") + links_[i].back()->address() + "\"";
    }
    worlds_.push_back(std::make_unique<TestEnvironment>(program_, seed + i, each));
    TestEnvironment& w = *worlds_.back();
    w.setDaemonText([i, addresses, judges] {
      return "[fleet]\nname = \"s" + std::to_string(i) + "\"\nstore = [" + addresses + "]\nprefix = \"" +
             kPrefix + "\"\nstamp = true\nsession = \"10 s\"\ntrail = \"1 MiB\"\n" + judges;
    });
    for (std::size_t e = 0; e < w.endpoints(); ++e) {
      if (zones) {
        if (standings_.size() <= e) {
          standings_.push_back(std::make_shared<DestinationState>());
          standings_[e]->rate = bears();
        }
        w.endpoint(e).shares(standings_[e]);
      }
      w.endpoint(e).on_call = [this, i, e, zone = w.zoneOf(e)](const Request& r) {
        ObservedCall c;
        c.endpoint = e;
        c.zone = zone;
        c.at = r.first_byte;
        const std::string stamp = r.field("X-Fleet-Version");
        if (const auto dot = stamp.find('.'); dot != std::string::npos) {
          c.plan = std::atoll(stamp.c_str());
          c.version = std::atoll(stamp.c_str() + dot + 1);
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        calls_[i].push_back(c);
      };
    }
  }
  thread_ = std::thread([this] { io_.run(); });
}

Fleet::~Fleet() {
  stopLoad();
  for (std::size_t i = 0; i < size(); ++i)
    worlds_[i]->child().signal(SIGKILL);
  worlds_.clear();
  io_.stop();
  thread_.join();
  links_.clear();
  store_.reset();
}

void Fleet::onStore(const std::function<void()>& f) {
  std::promise<void> done;
  asio::post(io_, [&] {
    f();
    done.set_value();
  });
  done.get_future().wait();
}

void Fleet::start(std::size_t i) {
  worlds_[i]->start();
}

void Fleet::startAll() {
  for (std::size_t i = 0; i < size(); ++i)
    start(i);
}

void Fleet::beginLoad() {
  loading_ = true;
  for (auto& w : worlds_) {
    w->expectCuts(true);  // whoever is sent away, or meets a dead process, comes again
    load_.emplace_back([this, world = w.get()] {
      while (loading_)
        world->load(shape_.rate, 50'000, {Via::resp});
    });
  }
}

void Fleet::stopLoad() {
  loading_ = false;
  for (std::thread& t : load_)
    t.join();
  load_.clear();
}

void Fleet::cutStore(std::size_t i, FaultProxy::Mode way) {
  onStore([&] {
    for (auto& l : links_[i])
      l->setMode(way);
  });
  auto& deaf = deaf_[i];
  if (way == FaultProxy::Mode::forwarding) {
    if (!deaf.empty() && deaf.back().to == 0)
      deaf.back().to = monotonicNow();
  } else if (deaf.empty() || deaf.back().to != 0) {
    deaf.push_back({monotonicNow(), 0});
  }
}

void Fleet::stop(std::size_t i) {
  worlds_[i]->child().signal(SIGSTOP);
}
void Fleet::go(std::size_t i) {
  went_[i].push_back(monotonicNow());
  worlds_[i]->child().signal(SIGCONT);
}
void Fleet::kill(std::size_t i) {
  killed_[i] = true;
  const Micros at = monotonicNow();  // under the sanitizers it takes a while to be gone
  worlds_[i]->kill();
  worlds_[i]->ledger.died(at);
}
void Fleet::trap(std::size_t who, int nth, bool before, std::function<void(std::size_t node)> then) {
  std::vector<std::string> asked;  // under which name each node is known to whoever is waited for
  if (who == kCommand)
    asked = store_->addresses();
  else
    for (std::size_t n = 0; n < links_[who].size(); ++n)
      asked.push_back(links_[who][n]->address());
  sprung_ = false;
  auto left = std::make_shared<int>(nth);
  onStore([&] {
    store_->on_request = [=](const Request& r, bool is_before) {
      const auto at = std::find(asked.begin(), asked.end(), r.field("Host"));
      if (is_before != before || sprung_ || at == asked.end() || --*left > 0)
        return;
      const auto n = static_cast<std::size_t>(at - asked.begin());
      then(who == kCommand ? n : (who + n) % asked.size());
      sprung_ = true;
    };
  });
}

void Fleet::untrap() {
  onStore([&] { store_->on_request = nullptr; });
}

void Fleet::killCommand() {
  while (command_ <= 0)
    std::this_thread::yield();  // it asks before its start has come back
  ::kill(command_, SIGKILL);
}

void Fleet::killNow(std::size_t i) {
  worlds_[i]->child().signal(SIGKILL);
  worlds_[i]->ledger.died(monotonicNow());
}

void Fleet::nodeDown(std::size_t node) {
  asio::post(io_, [this, node] { store_->node(node, false); });
}

void Fleet::zone(const std::string& name, ZoneFault t, const std::vector<std::size_t>& senders) {
  for (std::size_t i = 0; i < size(); ++i) {
    if (!senders.empty() && std::find(senders.begin(), senders.end(), i) == senders.end())
      continue;
    TestEnvironment& w = *worlds_[i];
    const Micros from = monotonicNow();
    w.onStandIns([&] {
      for (std::size_t e = 0; e < w.endpoints(); ++e) {
        if (w.zoneOf(e) != name)
          continue;
        FaultProxy& l = w.endpointLink(e);
        // What was held back is lost, not late.
        if (t == ZoneFault::none)
          l.resetAll();
        l.setMode(t == ZoneFault::silent    ? FaultProxy::Mode::cut
                  : t == ZoneFault::refuses ? FaultProxy::Mode::refused
                                            : FaultProxy::Mode::forwarding);
        w.endpoint(e).behaviour.fail = t == ZoneFault::errors ? 1 : 0;
        if (t == ZoneFault::none && senders.empty())
          standings_[e]->returned = monotonicNow();
      }
    });
    w.ledger.cutOff(from);
  }
}

void Fleet::cold(const std::string& name) {
  for (std::size_t e = 0; e < worlds_[0]->endpoints(); ++e)
    if (worlds_[0]->zoneOf(e) == name)
      standings_[e]->returned = monotonicNow();
}

double Fleet::bears() const {
  return shape_.bears * shape_.rate * shape_.senders / static_cast<double>(worlds_[0]->endpoints());
}

std::pair<double, double> Fleet::worth() {
  double asked = 0, got = 0;
  for (auto& w : worlds_)
    for (std::size_t m = 0; m < w->ledger.size(); ++m) {
      const Record& r = w->ledger.at(static_cast<std::int64_t>(m));
      asked += offeredWeight(r);
      got += deliveredWeight(r);
    }
  return {asked, got};
}

std::vector<std::pair<Micros, json>> Fleet::plansTaken() const {
  std::vector<std::pair<Micros, json>> all;
  for (const StoreStandIn::Change& c : store_->changes(std::string(kPrefix) + "/plan")) {
    json o = json::parse(c.value, nullptr, false);
    if (o.is_object())
      all.emplace_back(c.at, std::move(o));
  }
  return all;
}

json Fleet::zoneState(const std::string& name) const {
  const json p = json::parse(store_->value(std::string(kPrefix) + "/plan"), nullptr, false);
  return p.is_object() && p["zones"].contains(name) ? p["zones"][name] : json();
}

std::size_t Fleet::callsInto(const std::string& zone, std::size_t sender, Micros since) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto& all = calls_[sender];
  return static_cast<std::size_t>(std::count_if(
      all.begin(), all.end(), [&](const ObservedCall& c) { return c.zone == zone && c.at > since; }));
}

void Fleet::restart(std::size_t i, const std::string& program) {
  worlds_[i]->restart(program);
}

void Fleet::setAim(double aim_ms) {
  for (auto& w : worlds_) {
    w->setAim(aim_ms);
    w->writeConfig();
  }
}

std::string Fleet::settingsDigest(std::size_t i) {
  const Said s = command({"fleet", "digest", "--config", worlds_[i]->configFile()});
  return s.text.substr(s.text.find(' ') + 1, 16);
}

std::vector<std::string> Fleet::storeAt() const {
  std::vector<std::string> words = {"--prefix", kPrefix};
  for (const std::string& a : store_->addresses())
    words.insert(words.end(), {"--store", a});
  return words;
}

Fleet::Said Fleet::command(std::vector<std::string> words) {
  words.insert(words.begin(), program_);
  TemporaryFolder folder;
  SenderProcess child;
  child.start(words, {}, folder.path() + "/said");
  command_ = child.pid();
  const int status = child.wait();
  command_ = 0;
  std::ifstream f(folder.path() + "/said");
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, {std::istreambuf_iterator<char>(f), {}}};
}

Fleet::Said Fleet::propose(std::vector<std::string> words) {
  words.insert(words.begin(), {"fleet", "plan", "propose", "--why", "rig"});
  return word(std::move(words));
}

Fleet::Said Fleet::word(std::vector<std::string> words) {
  const auto where = storeAt();
  words.insert(words.end(), where.begin(), where.end());
  return command(std::move(words));
}

Fleet::Said Fleet::insist(const std::vector<std::string>& words) {
  Said said;
  for (int tries = 0; tries < 10; ++tries)
    if (said = word(words); said.text.find("not done: meanwhile") == std::string::npos)
      break;
  return said;
}

std::int64_t Fleet::planNumber() const {
  const json p = json::parse(store_->value(std::string(kPrefix) + "/plan"), nullptr, false);
  return p.is_object() ? p.value("number", std::int64_t{0}) : 0;
}

json Fleet::report(std::size_t i) const {
  return json::parse(store_->value(std::string(kPrefix) + "/senders/s" + std::to_string(i)), nullptr, false);
}

bool Fleet::eventually(const std::function<bool()>& holds, Micros most) const {
  for (const Micros until = monotonicNow() + most; !holds();) {
    if (monotonicNow() > until)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

bool Fleet::allAt(std::int64_t plan) {
  for (std::size_t i = 0; i < size(); ++i) {
    const json r = report(i);
    if (!r.is_object() || r["own"]["plan"] != plan)
      return false;
  }
  return true;
}

std::vector<ObservedCall> Fleet::calls(std::size_t i) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return calls_[i];
}

// When each plan bound, by the rig's clock, from the documents as the store took them: so long after its
// change, and not before the one that precedes it.
std::vector<Fleet::Plan> Fleet::plans() const {
  std::vector<Plan> all;
  bool before = false;
  for (const auto& [at, o] : plansTaken()) {
    Plan p;
    p.at = at;
    p.number = o.value("number", std::int64_t{0});
    p.binds = p.at + o.value("binds_after_ms", std::int64_t{0}) * 1000;
    if (!all.empty())
      p.binds = std::max(p.binds, all.back().binds);
    // Over one that was lenient it binds only those who have heard of it.
    const bool strict = o.value("strict", false);
    p.strict = strict && before;
    before = strict;
    all.push_back(p);
  }
  return all;
}

void Fleet::holdAgainst(std::size_t i, json& f) {
  const std::vector<ObservedCall> made = calls(i);
  std::int64_t old = f.value("calls_under_old_version_after_bind", 0),
               taken = f.value("taken_on_by_shut_out", 0), residue = f.value("residue_calls", 0),
               unstamped = f.value("unstamped", 0);
  Micros worst = f.value("worst_late_us", Micros{0});
  const auto all = plans();
  // One call may have stood between its last check and its first byte when the process was stopped: no lease
  // can prevent it. A second one after the same stop was begun by the old plan.
  std::vector<Micros> stops = went_[i];
  const auto stoodStill = [&](const ObservedCall& c) {
    const auto at =
        std::find_if(stops.begin(), stops.end(), [&](Micros s) { return c.at >= s && c.at < s + kSlack; });
    if (at == stops.end())
      return false;
    stops.erase(at);
    return true;
  };
  for (const ObservedCall& c : made) {
    unstamped += c.plan < 0;
    for (const Plan& p : all) {
      if (!p.strict || c.plan >= p.number || c.at <= p.binds)
        continue;
      worst = std::max(worst, c.at - p.binds);
      // What was begun before and arrives after is no call that starts after.
      c.at > p.binds + kSlack && !stoodStill(c) ? ++old : ++residue;
      break;
    }
  }
  // A sender that was cut off since before a plan was made can't have heard of it: nothing that it took on
  // after the plan bound was taken on under it, whatever it says of itself.
  TestEnvironment& w = *worlds_[i];
  for (const StoreOutage& s : deaf_[i])
    for (const Plan& p : all) {
      if (!p.strict || p.at < s.from + kSlack)
        continue;
      const Micros to = s.to == 0 ? monotonicNow() : s.to;
      for (std::size_t m = 0; m < w.ledger.size(); ++m) {
        const Record& r = w.ledger.at(static_cast<std::int64_t>(m));
        const Micros at = r.answered;
        if (r.said == harness::Reply::accepted && at > p.binds + kSlack && at < to)
          ++taken;
      }
      for (const ObservedCall& c : made)
        if (c.at > p.binds + kSlack && c.at < to)
          ++old;
    }
  f["calls_under_old_version_after_bind"] = old;
  f["taken_on_by_shut_out"] = taken;
  f["residue_calls"] = residue;
  f["worst_late_us"] = worst;
  f["unstamped"] = unstamped;
  f["calls"] = f.value("calls", std::int64_t{0}) + static_cast<std::int64_t>(made.size());
}

// No call that says it was decided under a plan goes into a zone which that plan has left; in a trial only
// who is to try goes there; and nothing that returns is pushed over.
void Fleet::heldZones(std::size_t i, json& f) {
  std::map<std::int64_t, json> zones_of;
  for (const auto& [at, o] : plansTaken())
    zones_of[o.value("number", std::int64_t{0})] = o.value("zones", json::object());
  std::int64_t into = f.value("calls_into_left_zone", std::int64_t{0}),
               trials = f.value("trials", std::int64_t{0});
  for (const ObservedCall& c : calls(i)) {
    const auto plan = zones_of.find(c.plan);
    if (plan == zones_of.end() || !plan->second.contains(c.zone))
      continue;
    const json& state = plan->second[c.zone];
    const bool trial = state["state"] == "back" && state["stage"] == 0;
    const bool carries =
        trial && std::count(state["carriers"].begin(), state["carriers"].end(), "s" + std::to_string(i)) > 0;
    trials += carries;
    into += state["state"] == "out" || (trial && !carries);
  }
  f["calls_into_left_zone"] = into;
  f["trials"] = trials;
}

// Steps of a return that senders took before their time: a zone has to be out for its pause, doubled with
// each return that has failed since it was in, and in its trial and at each stage for a third of the
// settings' ramp.
std::int64_t Fleet::earlyStages() const {
  constexpr Micros kPause = 2'000'000, kStage = 11'000'000 / 3;
  struct Step {
    std::string state;
    int stage;  // -1: of no return
    Micros since;
    int failed = 0;
  };
  std::map<std::string, Step> stands;  // of zones that are not in
  std::int64_t early = 0;
  for (const auto& [at, p] : plansTaken()) {
    const bool by_sender = p.value("by", "").size() <= 3;  // s0 to s15, and not a user at a host
    std::map<std::string, Step> now;
    for (const auto& [zone, s] : p["zones"].items()) {
      const std::string state = s["state"];
      now[zone] = {state, state == "back" ? s.value("stage", 0) : -1, at, 0};
    }
    for (const auto& [zone, was] : stands) {
      const auto next = now.find(zone);
      const bool same =
          next != now.end() && next->second.state == was.state && next->second.stage == was.stage;
      if (next != now.end())
        next->second.failed = was.failed + (was.state == "back" && next->second.state == "out");
      if (same)
        next->second.since = was.since;
      else if (by_sender && (next == now.end() || next->second.state == "back"))
        early += at - was.since < (was.state == "out" ? kPause << was.failed : kStage);
    }
    stands = std::move(now);
  }
  return early;
}

// The trail, read here anew: each call names a version that the trail has, with the plan that the call names.
void Fleet::heldTrail(std::size_t i, const std::vector<ObservedCall>& made, json& f) {
  std::map<std::int64_t, std::int64_t> plan_of;  // by version
  std::int64_t gaps = 0, standings = 0, sequence = 0;
  std::vector<std::string> segments;
  std::error_code e;
  for (const auto& at : std::filesystem::directory_iterator(worlds_[i]->state() + "/trail", e))
    segments.push_back(at.path().string());
  std::sort(segments.begin(), segments.end());
  for (const std::string& path : segments) {
    std::ifstream in(path, std::ios::binary);
    const std::string bytes{std::istreambuf_iterator<char>(in), {}};
    for (std::size_t at = 0; at + 16 <= bytes.size();) {
      std::size_t size = 0;
      for (int b = 3; b >= 0; --b)
        size = size << 8 | static_cast<unsigned char>(bytes[at + 4 + static_cast<std::size_t>(b)]);
      if (at + 16 + size > bytes.size()) {
        gaps += !killed_[i];
        break;
      }
      const json r =
          json::from_msgpack(bytes.begin() + static_cast<std::ptrdiff_t>(at + 16),
                             bytes.begin() + static_cast<std::ptrdiff_t>(at + 16 + size), true, false);
      at += 16 + size;
      if (!r.is_object()) {
        ++gaps;
        continue;
      }
      const std::string kind = r.value("kind", "");
      if (kind == "segment")
        continue;
      gaps += r.value("seq", std::int64_t{0}) != sequence + 1;
      sequence = r.value("seq", std::int64_t{0});
      standings += kind == "standing";
      if (kind == "version")
        plan_of[r["number"]] = r["own"]["plan"];
      for (const json& v : r.value("versions", json::array()))
        plan_of[v["number"]] = v["own"]["plan"];
    }
  }
  std::int64_t disagrees = 0;
  for (const ObservedCall& c : made)
    if (c.plan >= 0) {
      const auto at = plan_of.find(c.version);
      disagrees += at == plan_of.end() || at->second != c.plan;
    }
  f["trail_disagrees_with_endpoints"] =
      f.value("trail_disagrees_with_endpoints", std::int64_t{0}) + disagrees;
  f["gaps_unexplained"] = f.value("gaps_unexplained", std::int64_t{0}) + gaps;
  f["standings"] = f.value("standings", std::int64_t{0}) + standings;
}

json Fleet::finish() {
  stopLoad();
  json f = json::object();
  bool holds = true, settled = true;
  std::vector<std::future<bool>> all;
  for (auto& w : worlds_)
    all.push_back(std::async(std::launch::async, [&w] { return w->settle(40'000'000); }));
  for (auto& s : all)
    settled = s.get() && settled;
  bool ended_well = true;
  for (auto& w : worlds_)
    w->child().signal(SIGTERM);
  for (auto& w : worlds_) {
    const int status = w->child().wait();
    ended_well = ended_well && WIFEXITED(status) && WEXITSTATUS(status) == 0;
  }
  for (std::size_t i = 0; i < size(); ++i) {
    bool kept = false;
    const json s = worlds_[i]->ledger.summary(kept);
    holds = holds && kept;
    for (const char* name :
         {"submitted", "accepted", "refused", "cut", "delivered", "messages_lost", "double_ends",
          "unsafe_twice", "run_after_refusal", "answers_lost", "strangers", "calls_after_drain"})
      f[name] = f.value(name, std::int64_t{0}) + s.value(name, std::int64_t{0});
    if (s.contains("two_ends"))
      f["two_ends"]["s" + std::to_string(i)] = s["two_ends"];
    holdAgainst(i, f);
    heldTrail(i, calls(i), f);
    heldZones(i, f);
  }
  std::uint64_t pushed = 0, waits = 0;
  for (const auto& s : standings_)
    pushed += s->fell_over, waits += s->waits_broken;
  f["early_stages"] = earlyStages();
  f["pushed_over"] = pushed;
  f["waits_broken"] = waits;
  f["plans"] = plans().size();
  f["store_requests"] = store_->requests();
  f["settled"] = settled;
  f["ended_well"] = ended_well;
  for (const char* none : {"calls_under_old_version_after_bind", "taken_on_by_shut_out", "unstamped",
                           "trail_disagrees_with_endpoints", "gaps_unexplained", "calls_into_left_zone",
                           "early_stages", "pushed_over", "waits_broken"})
    holds = holds && f[none] == 0;
  f["holds"] = holds && settled && ended_well;
  return f;
}

}  // namespace grademux::harness
