// grademux fleet: one sender's part; see part.h.
#include "part.h"

#include <fcntl.h>
#include <unistd.h>

#include <future>

#include "../core/clock.h"
#include "../core/file.h"
#include "../log/log.h"

namespace grademux::fleet {

namespace asio = boost::asio;

namespace {

constexpr Micros kLeastPause = 100'000, kMostPause = 4'000'000;  // after a call to the store that failed
constexpr Micros kSpread = 200'000;  // before files are read again, over the fleet
constexpr Micros kLeastTry = 500'000, kMostTry = 15'000'000;
constexpr Micros kMostWait = 10'000'000;
constexpr std::size_t kMostPlan = 1 << 20, kMostParts = 16 << 20;
constexpr Micros kPulse = 20'000;     // endpoints that may be called again are looked for so often
constexpr Micros kJudge = 1'000'000;  // zones are looked at so often ...
constexpr double kJudges = 4;         // ... and of all senders so many read what the others saw

std::string hostName() {
  char name[256] = "";
  return ::gethostname(name, sizeof name - 1) == 0 ? name : "";
}

}  // namespace

namespace {

// The document in this file, with its check; null if there is none.
json kept(const std::string& path, std::size_t most) {
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0)
    return json();
  std::string bytes;
  const bool read = readAll(fd, bytes, most);
  ::close(fd);
  return read ? json::parse(bytes, nullptr, false) : json();
}

}  // namespace

std::string planFile(const Plan& plan) {
  return json{{"plan", shown(plan)}, {"check", digestOf(plan)}}.dump() + "\n";
}

std::optional<Plan> keptPlan(const std::string& path) {
  const json o = kept(path, kMostPlan);
  if (!o.is_object() || !o.contains("plan"))
    return std::nullopt;
  try {
    Plan p = readPlan(o["plan"]);
    if (digestOf(p) == text(o, "check", ""))
      return p;
  } catch (const std::exception&) {
  }  // of another version, or damaged: the store knows better
  return std::nullopt;
}

std::string partsFile(const zones::Parts& parts) {
  const json o = zones::shown(parts);
  return json{{"parts", o}, {"check", digestOf(o.dump())}}.dump() + "\n";
}

zones::Parts keptParts(const std::string& path) {
  const json o = kept(path, kMostParts);
  if (!o.is_object() || !o.contains("parts"))
    return {};
  try {
    if (digestOf(o["parts"].dump()) == text(o, "check", ""))
      return zones::readParts(o["parts"]);
  } catch (const std::exception&) {
  }  // nothing is sent there then before the zone is in
  return {};
}

Part::Part(asio::io_context& io, Worker& worker, Spec spec, std::unique_ptr<Store> store,
           const std::string& folder, std::int64_t epoch, std::uint64_t seed, Sender sender)
    : io_(io),
      worker_(worker),
      spec_(std::move(spec)),
      store_(std::move(store)),
      plan_path_(folder + "/fleet-plan"),
      epoch_(epoch),
      sender_(std::move(sender)),
      standing_(spec_.name),
      pauses_(seed),
      tries_(seed + 1),
      process_(digestOf(std::to_string(::getpid()) + " " + std::to_string(boottimeNow()) + " " + hostName())),
      trail_(std::make_shared<audit::Trail>(folder + "/trail", spec_.name, spec_.trail)),
      ask_timer_(io),
      look_timer_(io),
      bring_timer_(io),
      renew_timer_(io),
      halt_timer_(io),
      zone_timer_(io),
      judge_timer_(io),
      parts_path_(folder + "/fleet-zones"),
      desk_(spec_.name),
      parts_(keptParts(parts_path_)) {
  if (const auto plan = keptPlan(plan_path_))
    standing_.remember(*plan);
  desk_.remember(parts_);
}

Part::~Part() {
  *alive_ = false;
}

void Part::start(const Own& own, const std::string& cause,
                 const std::map<std::uint32_t, std::string>& versions) {
  own_ = own;
  since_ = unixNow();
  json record = {{"kind", "start"},
                 {"cause", cause},
                 {"epoch", epoch_},
                 {"own", shown(this->own())},
                 {"acting", standing_.acting().number}};
  json known = json::array();
  for (const auto& [number, text] : versions)
    known.push_back({{"number", number}, {"own", json::parse(text, nullptr, false)}});
  if (!known.empty())
    record["versions"] = std::move(known);
  if (!trail_->aside().empty()) {
    record["aside"] = trail_->aside();
    log::write(log::Event::fleet_trail_aside, {{"folder", trail_->aside()}});
  }
  note(std::move(record));
  look();
  ask();
  judge();
}

void Part::leave() {
  if (leaving_ || released_)
    return;
  leaving_ = true;
  endSession();
}

void Part::release(const std::string& cause) {
  if (released_)
    return;
  note({{"kind", "end"},
        {"cause", cause},
        {"epoch", epoch_},
        {"version", version_number_},
        {"calls", version_calls_}});
  released_ = true;
  *alive_ = false;
  for (Timer* t :
       {&ask_timer_, &look_timer_, &bring_timer_, &renew_timer_, &halt_timer_, &zone_timer_, &judge_timer_})
    t->cancel();
  // The process that goes on ends the session by its epoch; one that ends for good leaves that to its time.
  // And the trail is whole before another process can open it.
  std::promise<void> written;
  worker_.run([trail = std::move(trail_), &written]() mutable -> std::function<void()> {
    trail.reset();
    written.set_value();
    return [] {};
  });
  written.get_future().wait();
}

void Part::after(Timer& timer, Micros span, std::function<void()> then) {
  timer.expires_after(std::chrono::microseconds(span));
  timer.async_wait([alive = alive_, then = std::move(then)](const boost::system::error_code& e) {
    if (!e && *alive)
      then();
  });
}

Own Part::own() const {
  Own o = own_;
  o.list = sender_.list();
  o.plan = standing_.acting().number;
  return o;
}

// ---- the plan

void Part::ask() {
  const Micros asked = boottimeNow();
  // Of the plan that is being taken over, too: its lease may be the shorter one.
  const Micros lease = std::min(standing_.acting().lease, standing_.newest().lease);
  const Micros wait = std::min(kMostWait, lease / 5);
  store_->read(spec_.planKey(), index_, wait, [this, alive = alive_, asked](const Answered& a) {
    if (*alive)
      hear(a, asked);
  });
}

void Part::hear(const Answered& a, Micros asked) {
  std::string why = a.why;
  bool news = false;
  if (a.ok) {
    index_ = a.index < index_ ? 0 : a.index;  // it goes back when the store was restored
    if (a.clock > 0) {
      ahead_ = a.clock + 500'000 - unixNow();
      paired_ = true;
    }
    try {
      Plan plan;
      if (!a.entries.empty())
        plan = readPlan(json::parse(a.entries[0].value));
      const std::int64_t before = standing_.heardOf() ? standing_.newest().number : -1;
      if (standing_.heard(plan, asked)) {
        plan_changed_ = a.entries.empty() ? 0 : a.entries[0].changed;
        news = plan.number != before;
        if (news) {
          log::write(log::Event::fleet_plan_heard,
                     {{"plan", plan.number}, {"by", plan.by}, {"why", plan.why}});
          note({{"kind", "heard"}, {"plan", shown(plan)}, {"digest", digestOf(plan)}});
          tries_.succeeded();
        }
        lost_ = -1;
      } else if (lost_ != plan.number) {  // the store may know nothing of this sender, nor of what it acts by
        lost_ = plan.number;
        reported_.clear();
      }
    } catch (const std::exception& e) {
      why = std::string("the plan can't be read: ") + e.what();
    }
  }
  if (why.empty() == silent_) {  // once for each stretch
    silent_ = !why.empty();
    if (silent_)
      log::write(log::Event::fleet_store_silent, {{"cause", why}});
    else
      log::write(log::Event::fleet_store_answers);
    note({{"kind", silent_ ? "store silent" : "store answers"}, {"why", why}});
  }
  look();
  if (released_)
    return;
  if (!why.empty())
    return after(ask_timer_, pauses_.next(kLeastPause, kMostPause), [this] { ask(); });
  pauses_.succeeded();
  // An answer that was not held back, for whatever reason, must not make a loop of it.
  const bool held = boottimeNow() - asked >= kLeastPause || news;
  if (held && index_ > 0)
    return ask();
  after(ask_timer_, kLeastPause, [this] { ask(); });
}

// Called when anything may have changed: what the verdict is, and what has to follow from it.
void Part::look() {
  if (released_)
    return;
  const Own now = own();
  if (standing_.due(now, boottimeNow()))
    takeOver();
  const Standing::Verdict v = standing_.at(boottimeNow(), now);
  until_ = v.until;
  followZones();
  if (!told_ || v.may != may_) {
    told_ = true;
    may_ = v.may;
    sender_.act(may_, v.why);
  }
  const std::string why = v.why + (v.why.empty() || refused_.empty() ? "" : "; " + refused_);
  if (past_.empty() || past_.back().plan != now.plan || past_.back().may != may_) {
    if (past_.size() == kPast)
      past_.erase(past_.begin());
    past_.push_back({unixNow(), now.plan, may_});
  }
  if (v.kind != kind_ || why != why_ || since_ == 0) {
    if (v.kind != kind_)
      since_ = unixNow();
    kind_ = v.kind;
    why_ = why;
    log::write(log::Event::fleet_standing,
               {{"standing", nameOf(kind_)}, {"plan", standing_.acting().number}, {"why", why_}});
    note({{"kind", "standing"}, {"standing", nameOf(kind_)}, {"why", why_}, {"own", shown(now)}});
  }
  publish();
  const auto missing = standing_.lacking(now);
  const bool here = std::any_of(missing.begin(), missing.end(), [](const Lack& l) {
    return l.what == Lack::What::settings || l.what == Lack::What::daemon || l.what == Lack::What::list;
  });
  if (here && !bringing_) {
    bringing_ = true;
    after(bring_timer_, pauses_.within(kSpread), [this] { bringUp(); });
  }
  if (standing_.gone(boottimeNow()) >= 0.5 && !halting_ && !standing_.newest().shut_out.count(spec_.name))
    haltIfTooMany();
  const Micros lease = standing_.acting().lease;
  Micros next = lease / 8;
  if (may_ && until_ < Standing::kNever)
    next = std::clamp<Micros>(until_ - boottimeNow(), 1000, next);
  after(look_timer_, next, [this] { look(); });
}

// On disk first: a process that comes after this one must not go back to the plan before.
void Part::takeOver() {
  const Plan plan = standing_.newest();
  if (taking_ == plan.number)
    return;
  taking_ = plan.number;
  worker_.run([this, alive = alive_, plan, path = plan_path_]() -> std::function<void()> {
    const std::string failed = replaceFile(path, planFile(plan));
    return [this, alive, plan, failed] {
      if (!*alive)
        return;
      taking_ = 0;
      if (!failed.empty()) {
        refused_ = "the plan can't be kept: " + failed;
        return;  // looked at again soon
      }
      if (plan.number != standing_.newest().number && !lacks(own(), plan, spec_.name).empty())
        return;
      standing_.takenOver(plan);
      refused_.clear();
      note({{"kind", "taken over"}, {"plan", plan.number}, {"own", shown(own())}});
      look();
    };
  });
}

void Part::bringUp() {
  const auto missing = standing_.lacking(own());
  if (missing.empty()) {
    bringing_ = false;
    tries_.succeeded();
    return;
  }
  sender_.bring_up(missing);
  if (released_)
    return;
  if (standing_.lacking(own()).empty()) {
    bringing_ = false;
    tries_.succeeded();
    return look();
  }
  after(bring_timer_, tries_.next(kLeastTry, kMostTry), [this] { bringUp(); });
}

void Part::brought(const Own& own, const std::string& refused) {
  if (released_)
    return;
  const bool other = own.settings != own_.settings || own.daemon != own_.daemon;
  own_ = own;
  if (other || refused != refused_)
    note({{"kind", "files"}, {"own", shown(this->own())}, {"refused", refused}});
  refused_ = refused;
  look();
}

// A plan that too many can't follow would shut them out together: any of them puts the one before in its
// place, and the operator decides.
void Part::haltIfTooMany() {
  halting_ = true;
  const Plan plan = standing_.newest();
  const std::int64_t changed = plan_changed_;
  const auto rest = [this] {
    after(halt_timer_, std::max(kLeastPause, standing_.acting().lease / (may_ ? 16 : 1)),
          [this] { halting_ = false; });
  };
  store_->list(spec_.senders(), [this, alive = alive_, plan, changed, rest](const Answered& a) {
    if (!*alive)
      return;
    std::vector<Report> all;
    for (const Entry& e : a.entries) {
      try {
        all.push_back(readReport(json::parse(e.value)));
        all.back().live = !e.session.empty();
      } catch (const std::exception&) {
      }  // not a sender of ours
    }
    std::string names;
    if (!a.ok || plan.number != standing_.newest().number || !tooManyBehind(plan, all, names))
      return rest();
    const Plan halt =
        halting(plan, spec_.name,
                "plan " + std::to_string(plan.number) + " would shut out too many: " + names, unixNow());
    store_->swap(spec_.planKey(), shown(halt).dump(), changed,
                 [this, alive, halt, rest](const Answered& put) {
                   if (!*alive)
                     return;
                   if (put.done) {
                     log::write(log::Event::fleet_plan_halted, {{"plan", halt.number}, {"why", halt.why}});
                     note({{"kind", "halted"}, {"plan", halt.number}, {"why", halt.why}});
                   }
                   rest();
                 });
  });
}

// ---- zones

// By the plan that it acts under; but a zone that a newer one leaves is left, whatever else that one asks
// for.
void Part::followZones() {
  desk_.leased(standing_.leased(boottimeNow()));
  zones::States now = standing_.acting().zones;
  for (const auto& [zone, s] : standing_.newest().zones)
    if (s.way == zones::Way::out)
      now[zone] = s;
  if (desk_.follow(now, monotonicNow())) {
    json states = json::object();
    for (const auto& [zone, s] : now) {
      states[zone] = zones::shown(s);
      log::write(log::Event::fleet_zone, {{"zone", zone}, {"state", zones::textOf(s)}});
    }
    note({{"kind", "zones"}, {"plan", standing_.newest().number}, {"zones", std::move(states)}});
    votes_ = desk_.votes(monotonicNow(), sender_.rules().regions);
    keepParts();
  }
  pulse();
}

// For the process that comes after this one: without them it would send nothing into a zone that returns, and
// where all have begun anew nobody would, and the return would stand still.
void Part::keepParts() {
  zones::Parts now = desk_.parts();
  if (now == parts_)
    return;
  parts_ = std::move(now);
  worker_.run([parts = parts_, path = parts_path_]() -> std::function<void()> {
    const std::string failed = replaceFile(path, partsFile(parts));
    return [failed] {
      if (!failed.empty())
        log::write(log::Event::fleet_parts_failed, {{"cause", failed}});
    };
  });
}

void Part::pulse() {
  pulse_due_ = false;
  if (released_)
    return;
  const auto changed = desk_.changed(monotonicNow());
  if (!changed.empty())
    sender_.reshow(changed);
  if (desk_.returning())
    after(zone_timer_, kPulse, [this] { pulse(); });
}

// Few of all senders look, however many there are: a verdict needs one who writes it down.
void Part::judge() {
  if (released_)
    return;
  after(judge_timer_, kJudge, [this] { judge(); });
  const Micros now = monotonicNow();
  desk_.sweep(now);
  votes_ = desk_.votes(now, sender_.rules().regions);
  publish();
  // How long a zone has stood so is known to who acts by the plan that says so.
  const std::int64_t newest = standing_.newest().number;
  if (!spec_.judge_zones || judging_ || leaving_ || !may_ || silent_ || newest == 0 ||
      standing_.acting().number != newest)
    return;
  const bool failing = std::any_of(votes_.begin(), votes_.end(),
                                   [](const auto& v) { return v.second.sight == zones::Sight::failing; });
  if (!failing && !desk_.away())
    return;
  if (static_cast<double>(pauses_.within(1000)) >= 1000 * kJudges / std::max(1, sender_.senders()))
    return;
  judging_ = true;
  store_->list(spec_.senders(),
               [this, alive = alive_, plan = standing_.newest(), changed = plan_changed_](const Answered& a) {
                 if (!*alive)
                   return;
                 judging_ = false;
                 if (a.ok && plan.number == standing_.newest().number)
                   judge(a, plan, changed);
               });
}

void Part::judge(const Answered& a, const Plan& plan, std::int64_t changed) {
  std::map<std::string, zones::Zone> zones;
  for (const auto& [zone, share] : desk_.shares())
    zones[zone].endpoints = share;
  for (const auto& [zone, s] : plan.zones)
    zones[zone].state = s;
  for (auto& [zone, z] : zones)
    z.since = monotonicNow() - desk_.since(zone);
  for (const Entry& e : a.entries) {
    try {
      const Report r = readReport(json::parse(e.value));
      if (r.own.plan != plan.number)
        continue;  // what it saw, it saw under another plan
      for (const auto& [zone, vote] : r.zones)
        if (zones.count(zone))
          zones[zone].voters.push_back({r.name, vote, !e.session.empty()});
    } catch (const std::exception&) {
    }  // not a sender of ours
  }
  const auto verdict = zones::verdict(zones, sender_.rules(),
                                      [&](const std::string& name) { return rankOf(plan.number, name); });
  if (verdict.empty())
    return;
  std::string why;
  for (const auto& [zone, s] : verdict)
    why += (why.empty() ? "zone " : "; zone ") + zone + ": " + zones::textOf(s);
  Plan next = following(plan, spec_.name, why, unixNow());
  zones::apply(verdict, next.zones);
  if (!refuses(plan, next).empty())
    return;
  judging_ = true;
  store_->swap(spec_.planKey(), shown(next).dump(), changed,
               [this, alive = alive_, next](const Answered& put) {
                 if (!*alive)
                   return;
                 judging_ = false;
                 if (put.done)
                   note({{"kind", "verdict"}, {"plan", next.number}, {"why", next.why}});
               });
}

EndpointState Part::shows(const Endpoint& e) {
  desk_.listed(e);
  return e.state == EndpointState::gone ? e.state : desk_.shows(e, monotonicNow());
}

bool Part::begins(const CallId& id, const Endpoint& e, bool repeatable) {
  if (!holds())
    return false;
  const bool may = desk_.begins(id, e, repeatable, monotonicNow());
  // The module hears at once that this endpoint has had its share for now.
  if (desk_.returning(e.zone) && !std::exchange(pulse_due_, true))
    asio::post(io_, [this, alive = alive_] {
      if (*alive)
        pulse();
    });
  return may;
}

bool Part::still(const std::string& endpoint) {
  return holds() && desk_.still(endpoint);
}

void Part::ended(const Outcome& o) {
  desk_.ended(o, monotonicNow());
}

// ---- the report

Report Part::report() const {
  Report r;
  r.name = spec_.name;
  r.standing = nameOf(kind_);
  r.why = why_;
  r.host = hostName();
  r.own = own();
  r.heard = standing_.heardOf() ? standing_.newest().number : 0;
  r.strict = standing_.acting().strict;
  r.lease = standing_.acting().lease;
  r.since = since_;
  r.epoch = epoch_;
  r.process = process_;
  r.past = past_;
  r.zones = votes_;
  const zones::Regions& regions = sender_.rules().regions;
  for (const auto& [zone, vote] : votes_)
    if (regions.knows(zone))
      r.regions[zone] = regions.regionOf(zone);
  return r;
}

// Whoever is shut out holds nothing: its report stays to be read, its session is gone, and a write that was
// under way with it comes to nothing.
void Part::publish() {
  if (leaving_)
    return;
  Report same = report();
  same.own.list = -1;  // a list that changes each second is no news
  const std::string text = shown(same).dump();
  if (publishing_) {
    publish_again_ = publish_again_ || text != reported_;
    return;
  }
  if (text == reported_ && (kind_ == Kind::shut_out || !session_.empty()))
    return;
  if (!standing_.heardOf() || silent_)
    return;  // when the store answers
  publishing_ = true;
  reported_ = text;
  if (!session_.empty())
    return put();
  store_->open("grademux " + spec_.name, spec_.session, [this, alive = alive_](const Answered& a) {
    if (!*alive)
      return;
    if (!a.ok || !a.done || leaving_)
      return published(false);
    session_ = a.session;
    after(renew_timer_, spec_.session / 3, [this] { renew(); });
    put();
  });
}

void Part::put() {
  const bool out = kind_ == Kind::shut_out;
  Report r = report();
  r.at = unixNow();
  store_->hold(spec_.senders() + spec_.name, shown(r).dump(), session_,
               [this, alive = alive_, out](const Answered& a) {
                 if (!*alive)
                   return;
                 if (!a.ok) {  // done or not, and the session may be no more
                   after(renew_timer_, kLeastPause, [this] { renew(); });
                   return published(false);
                 }
                 if (!a.done)
                   return claim();
                 if (out)
                   endSession();
                 published(true);
               });
}

// The report's key is held by another session: of an earlier process of this sender, or one whose opening was
// not heard of. That is ended, and what it still writes comes to nothing.
void Part::claim() {
  const std::string key = spec_.senders() + spec_.name;
  store_->list(key, [this, alive = alive_, key](const Answered& a) {
    if (!*alive)
      return;
    for (const Entry& e : a.entries) {
      if (e.key != key || e.session.empty() || e.session == session_)
        continue;
      try {
        const Report r = readReport(json::parse(e.value));
        if (r.epoch < epoch_ || r.process == process_)
          store_->close(e.session, [](const Answered&) {});
        else
          log::write(log::Event::fleet_name_taken, {{"name", spec_.name}, {"host", r.host}});
      } catch (const std::exception&) {
      }
    }
    published(false);
  });
}

void Part::endSession() {
  if (!session_.empty())
    store_->close(session_, [](const Answered&) {});
  session_.clear();
}

void Part::published(bool kept) {
  publishing_ = false;
  if (!kept)
    reported_.clear();  // looked at again soon
  if (!kept || !publish_again_)
    return;
  publish_again_ = false;
  publish();
}

void Part::renew() {
  if (session_.empty())
    return;
  store_->renew(session_, [this, alive = alive_, session = session_](const Answered& a) {
    if (!*alive || session != session_)
      return;
    if (a.ok && !a.done) {  // it has ended: early, or while this process stood still
      session_.clear();
      reported_.clear();
      return publish();
    }
    after(renew_timer_, a.ok ? spec_.session / 3 : pauses_.next(kLeastPause, spec_.session / 8),
          [this] { renew(); });
  });
}

// ---- the right, and what is on record

bool Part::holds() {
  return may_ && !released_ && boottimeNow() < until_;
}

const std::string& Part::version() {
  if (version_.empty() || version_of_.list != sender_.list() ||
      version_of_.plan != standing_.acting().number || version_of_.settings != own_.settings ||
      version_of_.daemon != own_.daemon) {
    version_of_ = own();
    version_ = shown(version_of_).dump();
  }
  return version_;
}

std::string Part::stamp(std::int64_t number) {
  if (number != version_number_) {
    note({{"kind", "version"},
          {"number", number},
          {"own", shown(version_of_)},
          {"was", version_number_},
          {"was_calls", version_calls_},
          {"was_last", version_last_}});
    version_number_ = number;
    version_calls_ = 0;
  }
  ++version_calls_;
  version_last_ = unixNow();
  return spec_.stamp ? std::to_string(version_of_.plan) + "." + std::to_string(number) : "";
}

void Part::note(json record) {
  if (!trail_)
    return;
  if (paired_)
    record["ahead"] = ahead_;
  worker_.run(
      [trail = trail_, record = std::move(record), now = unixNow()]() mutable -> std::function<void()> {
        const bool kept = trail->write(std::move(record), now);
        return [kept] {
          if (!kept)
            log::write(log::Event::fleet_trail_failed);
        };
      });
}

}  // namespace grademux::fleet
