// grademux fleet: one sender's part; see part.h.
#include "fleet_member.h"

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

std::string serializePlanFile(const Plan& plan) {
  return json{{"plan", toJson(plan)}, {"check", planDigest(plan)}}.dump() + "\n";
}

std::optional<Plan> loadPlan(const std::string& path) {
  const json o = kept(path, kMostPlan);
  if (!o.is_object() || !o.contains("plan"))
    return std::nullopt;
  try {
    Plan p = parsePlan(o["plan"]);
    if (planDigest(p) == text(o, "check", ""))
      return p;
  } catch (const std::exception&) {
  }  // of another version, or damaged: the store knows better
  return std::nullopt;
}

std::string serializeTrafficBaseline(const zones::TrafficBaseline& parts) {
  const json o = zones::toJson(parts);
  return json{{"parts", o}, {"check", planDigest(o.dump())}}.dump() + "\n";
}

zones::TrafficBaseline loadTrafficBaseline(const std::string& path) {
  const json o = kept(path, kMostParts);
  if (!o.is_object() || !o.contains("parts"))
    return {};
  try {
    if (planDigest(o["parts"].dump()) == text(o, "check", ""))
      return zones::parseTrafficBaseline(o["parts"]);
  } catch (const std::exception&) {
  }  // nothing is sent there then before the zone is in
  return {};
}

FleetMember::FleetMember(asio::io_context& io, Worker& worker, FleetConfig spec, std::unique_ptr<Store> store,
                         const std::string& folder, std::int64_t epoch, std::uint64_t seed, Callbacks sender)
    : io_(io),
      worker_(worker),
      spec_(std::move(spec)),
      store_(std::move(store)),
      plan_path_(folder + "/fleet-plan"),
      epoch_(epoch),
      sender_(std::move(sender)),
      compliance_(spec_.name),
      pauses_(seed),
      tries_(seed + 1),
      process_(
          planDigest(std::to_string(::getpid()) + " " + std::to_string(boottimeNow()) + " " + hostName())),
      audit_log_(std::make_shared<audit::AuditLog>(folder + "/trail", spec_.name, spec_.audit_budget)),
      ask_timer_(io),
      look_timer_(io),
      bring_timer_(io),
      renew_timer_(io),
      halt_timer_(io),
      zone_timer_(io),
      judge_timer_(io),
      traffic_baseline_path_(folder + "/fleet-zones"),
      zone_traffic_(spec_.name),
      traffic_baseline_(loadTrafficBaseline(traffic_baseline_path_)) {
  if (const auto plan = loadPlan(plan_path_))
    compliance_.restorePlan(*plan);
  zone_traffic_.restoreBaseline(traffic_baseline_);
}

FleetMember::~FleetMember() {
  *alive_ = false;
}

void FleetMember::start(const RunningVersions& own, const std::string& cause,
                        const std::map<std::uint32_t, std::string>& versions) {
  running_versions_ = own;
  compliant_since_ = unixNow();
  json record = {{"kind", "start"},
                 {"cause", cause},
                 {"epoch", epoch_},
                 {"own", toJson(this->runningVersions())},
                 {"acting", compliance_.acting().number}};
  json known = json::array();
  for (const auto& [number, text] : versions)
    known.push_back({{"number", number}, {"own", json::parse(text, nullptr, false)}});
  if (!known.empty())
    record["versions"] = std::move(known);
  if (!audit_log_->foreignFolder().empty()) {
    record["aside"] = audit_log_->foreignFolder();
    log::write(log::Event::fleet_audit_log_set_aside, {{"folder", audit_log_->foreignFolder()}});
  }
  writeAuditRecord(std::move(record));
  updateCompliance();
  readPlan();
  evaluateZones();
}

void FleetMember::announceShutdown() {
  if (leaving_ || released_)
    return;
  leaving_ = true;
  endSession();
}

void FleetMember::release(const std::string& cause) {
  if (released_)
    return;
  writeAuditRecord({{"kind", "end"},
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
  worker_.run([trail = std::move(audit_log_), &written]() mutable -> std::function<void()> {
    trail.reset();
    written.set_value();
    return [] {};
  });
  written.get_future().wait();
}

void FleetMember::after(Timer& timer, Micros span, std::function<void()> then) {
  timer.expires_after(std::chrono::microseconds(span));
  timer.async_wait([alive = alive_, then = std::move(then)](const boost::system::error_code& e) {
    if (!e && *alive)
      then();
  });
}

RunningVersions FleetMember::runningVersions() const {
  RunningVersions o = running_versions_;
  o.list_version = sender_.list_version();
  o.plan = compliance_.acting().number;
  return o;
}

// ---- the plan

void FleetMember::readPlan() {
  const Micros asked = boottimeNow();
  // Of the plan that is being taken over, too: its lease may be the shorter one.
  const Micros lease = std::min(compliance_.acting().lease, compliance_.newest().lease);
  const Micros wait = std::min(kMostWait, lease / 5);
  store_->read(spec_.planKey(), index_, wait, [this, alive = alive_, asked](const StoreResult& a) {
    if (*alive)
      onPlanRead(a, asked);
  });
}

void FleetMember::onPlanRead(const StoreResult& a, Micros asked) {
  std::string why = a.error;
  bool news = false;
  if (a.ok) {
    index_ = a.index < index_ ? 0 : a.index;  // it goes back when the store was restored
    if (a.store_time > 0) {
      store_clock_offset_ = a.store_time + 500'000 - unixNow();
      store_clock_known_ = true;
    }
    try {
      Plan plan;
      if (!a.entries.empty())
        plan = parsePlan(json::parse(a.entries[0].value));
      const std::int64_t before = compliance_.hasPlan() ? compliance_.newest().number : -1;
      if (compliance_.onPlanReceived(plan, asked)) {
        plan_changed_ = a.entries.empty() ? 0 : a.entries[0].modify_index;
        news = plan.number != before;
        if (news) {
          log::write(log::Event::fleet_plan_received,
                     {{"plan", plan.number}, {"by", plan.author}, {"why", plan.reason}});
          writeAuditRecord({{"kind", "heard"}, {"plan", toJson(plan)}, {"digest", planDigest(plan)}});
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
      log::write(log::Event::fleet_store_unreachable, {{"cause", why}});
    else
      log::write(log::Event::fleet_store_recovered);
    writeAuditRecord({{"kind", silent_ ? "store silent" : "store answers"}, {"why", why}});
  }
  updateCompliance();
  if (released_)
    return;
  if (!why.empty())
    return after(ask_timer_, pauses_.next(kLeastPause, kMostPause), [this] { readPlan(); });
  pauses_.succeeded();
  // An answer that was not held back, for whatever reason, must not make a loop of it.
  const bool held = boottimeNow() - asked >= kLeastPause || news;
  if (held && index_ > 0)
    return readPlan();
  after(ask_timer_, kLeastPause, [this] { readPlan(); });
}

// Called when anything may have changed: what the verdict is, and what has to follow from it.
void FleetMember::updateCompliance() {
  if (released_)
    return;
  const RunningVersions now = runningVersions();
  if (compliance_.shouldAdopt(now, boottimeNow()))
    adoptPlan();
  const PlanCompliance::Decision v = compliance_.evaluate(boottimeNow(), now);
  allowed_until_ = v.until;
  applyZoneStates();
  if (!allowed_reported_ || v.allowed != allowed_) {
    allowed_reported_ = true;
    allowed_ = v.allowed;
    sender_.set_allowed(allowed_, v.reason);
  }
  const std::string why = v.reason + (v.reason.empty() || refused_.empty() ? "" : "; " + refused_);
  if (action_history_.empty() || action_history_.back().plan != now.plan ||
      action_history_.back().allowed != allowed_) {
    if (action_history_.size() == kMaxActionHistory)
      action_history_.erase(action_history_.begin());
    action_history_.push_back({unixNow(), now.plan, allowed_});
  }
  if (v.compliance != kind_ || why != reason_ || compliant_since_ == 0) {
    if (v.compliance != kind_)
      compliant_since_ = unixNow();
    kind_ = v.compliance;
    reason_ = why;
    log::write(log::Event::fleet_compliance_changed,
               {{"standing", toString(kind_)}, {"plan", compliance_.acting().number}, {"why", reason_}});
    writeAuditRecord(
        {{"kind", "standing"}, {"standing", toString(kind_)}, {"why", reason_}, {"own", toJson(now)}});
  }
  publishReport();
  const auto missing = compliance_.missingFor(now);
  const bool here = std::any_of(missing.begin(), missing.end(), [](const MissingRequirement& l) {
    return l.kind == MissingRequirement::Kind::settings || l.kind == MissingRequirement::Kind::daemon ||
           l.kind == MissingRequirement::Kind::list_version;
  });
  if (here && !bringing_) {
    bringing_ = true;
    after(bring_timer_, pauses_.within(kSpread), [this] { catchUp(); });
  }
  if (compliance_.lagFraction(boottimeNow()) >= 0.5 && !halting_ &&
      !compliance_.newest().fenced.count(spec_.name))
    haltPlanIfTooManyLag();
  const Micros lease = compliance_.acting().lease;
  Micros next = lease / 8;
  if (allowed_ && allowed_until_ < PlanCompliance::kNever)
    next = std::clamp<Micros>(allowed_until_ - boottimeNow(), 1000, next);
  after(look_timer_, next, [this] { updateCompliance(); });
}

// On disk first: a process that comes after this one must not go back to the plan before.
void FleetMember::adoptPlan() {
  const Plan plan = compliance_.newest();
  if (taking_ == plan.number)
    return;
  taking_ = plan.number;
  worker_.run([this, alive = alive_, plan, path = plan_path_]() -> std::function<void()> {
    const std::string failed = replaceFile(path, serializePlanFile(plan));
    return [this, alive, plan, failed] {
      if (!*alive)
        return;
      taking_ = 0;
      if (!failed.empty()) {
        refused_ = "the plan can't be kept: " + failed;
        return;  // looked at again soon
      }
      if (plan.number != compliance_.newest().number &&
          !missingRequirements(runningVersions(), plan, spec_.name).empty())
        return;
      compliance_.onPlanAdopted(plan);
      refused_.clear();
      writeAuditRecord({{"kind", "taken over"}, {"plan", plan.number}, {"own", toJson(runningVersions())}});
      updateCompliance();
    };
  });
}

void FleetMember::catchUp() {
  const auto missing = compliance_.missingFor(runningVersions());
  if (missing.empty()) {
    bringing_ = false;
    tries_.succeeded();
    return;
  }
  sender_.catch_up(missing);
  if (released_)
    return;
  if (compliance_.missingFor(runningVersions()).empty()) {
    bringing_ = false;
    tries_.succeeded();
    return updateCompliance();
  }
  after(bring_timer_, tries_.next(kLeastTry, kMostTry), [this] { catchUp(); });
}

void FleetMember::onConfigApplied(const RunningVersions& own, const std::string& refused) {
  if (released_)
    return;
  const bool other = own.settings != running_versions_.settings || own.daemon != running_versions_.daemon;
  running_versions_ = own;
  if (other || refused != refused_)
    writeAuditRecord({{"kind", "files"}, {"own", toJson(this->runningVersions())}, {"refused", refused}});
  refused_ = refused;
  updateCompliance();
}

// A plan that too many can't follow would shut them out together: any of them puts the one before in its
// place, and the operator decides.
void FleetMember::haltPlanIfTooManyLag() {
  halting_ = true;
  const Plan plan = compliance_.newest();
  const std::int64_t changed = plan_changed_;
  const auto rest = [this] {
    after(halt_timer_, std::max(kLeastPause, compliance_.acting().lease / (allowed_ ? 16 : 1)),
          [this] { halting_ = false; });
  };
  store_->listPrefix(
      spec_.sendersPrefix(), [this, alive = alive_, plan, changed, rest](const StoreResult& a) {
        if (!*alive)
          return;
        std::vector<SenderReport> all;
        for (const StoreEntry& e : a.entries) {
          try {
            all.push_back(parseReport(json::parse(e.value)));
            all.back().live = !e.session.empty();
          } catch (const std::exception&) {
          }  // not a sender of ours
        }
        std::string names;
        if (!a.ok || plan.number != compliance_.newest().number || !tooManyLagging(plan, all, names))
          return rest();
        const Plan halt = haltedPlan(
            plan, spec_.name, "plan " + std::to_string(plan.number) + " would shut out too many: " + names,
            unixNow());
        store_->compareAndSwap(
            spec_.planKey(), toJson(halt).dump(), changed, [this, alive, halt, rest](const StoreResult& put) {
              if (!*alive)
                return;
              if (put.applied) {
                log::write(log::Event::fleet_plan_halted, {{"plan", halt.number}, {"why", halt.reason}});
                writeAuditRecord({{"kind", "halted"}, {"plan", halt.number}, {"why", halt.reason}});
              }
              rest();
            });
      });
}

// ---- zones

// By the plan that it acts under; but a zone that a newer one leaves is left, whatever else that one asks
// for.
void FleetMember::applyZoneStates() {
  zone_traffic_.setLeaseValid(compliance_.hasValidLease(boottimeNow()));
  zones::ZoneStates now = compliance_.acting().zones;
  for (const auto& [zone, s] : compliance_.newest().zones)
    if (s.phase == zones::ZonePhase::evacuated)
      now[zone] = s;
  if (zone_traffic_.applyStates(now, monotonicNow())) {
    json states = json::object();
    for (const auto& [zone, s] : now) {
      states[zone] = zones::toJson(s);
      log::write(log::Event::fleet_zone_changed, {{"zone", zone}, {"state", zones::toString(s)}});
    }
    writeAuditRecord(
        {{"kind", "zones"}, {"plan", compliance_.newest().number}, {"zones", std::move(states)}});
    votes_ = zone_traffic_.votes(monotonicNow(), sender_.zone_policy().regions);
    storeTrafficBaseline();
  }
  onZoneTimer();
}

// For the process that comes after this one: without them it would send nothing into a zone that returns, and
// where all have begun anew nobody would, and the return would stand still.
void FleetMember::storeTrafficBaseline() {
  zones::TrafficBaseline now = zone_traffic_.baseline();
  if (now == traffic_baseline_)
    return;
  traffic_baseline_ = std::move(now);
  worker_.run([parts = traffic_baseline_, path = traffic_baseline_path_]() -> std::function<void()> {
    const std::string failed = replaceFile(path, serializeTrafficBaseline(parts));
    return [failed] {
      if (!failed.empty())
        log::write(log::Event::fleet_baseline_write_failed, {{"cause", failed}});
    };
  });
}

void FleetMember::onZoneTimer() {
  pulse_due_ = false;
  if (released_)
    return;
  const auto changed = zone_traffic_.takeChangedEndpoints(monotonicNow());
  if (!changed.empty())
    sender_.refresh_endpoints(changed);
  if (zone_traffic_.isRecovering())
    after(zone_timer_, kPulse, [this] { onZoneTimer(); });
}

// Few of all senders look, however many there are: a verdict needs one who writes it down.
void FleetMember::evaluateZones() {
  if (released_)
    return;
  after(judge_timer_, kJudge, [this] { evaluateZones(); });
  const Micros now = monotonicNow();
  zone_traffic_.expire(now);
  votes_ = zone_traffic_.votes(now, sender_.zone_policy().regions);
  publishReport();
  // How long a zone has stood so is known to who acts by the plan that says so.
  const std::int64_t newest = compliance_.newest().number;
  if (!spec_.evacuate_zones || judging_ || leaving_ || !allowed_ || silent_ || newest == 0 ||
      compliance_.acting().number != newest)
    return;
  const bool failing = std::any_of(votes_.begin(), votes_.end(), [](const auto& v) {
    return v.second.observation == zones::Observation::failing;
  });
  if (!failing && !zone_traffic_.hasStates())
    return;
  if (static_cast<double>(pauses_.within(1000)) >= 1000 * kJudges / std::max(1, sender_.sender_count()))
    return;
  judging_ = true;
  store_->listPrefix(spec_.sendersPrefix(), [this, alive = alive_, plan = compliance_.newest(),
                                             changed = plan_changed_](const StoreResult& a) {
    if (!*alive)
      return;
    judging_ = false;
    if (a.ok && plan.number == compliance_.newest().number)
      evaluateZones(a, plan, changed);
  });
}

void FleetMember::evaluateZones(const StoreResult& a, const Plan& plan, std::int64_t changed) {
  std::map<std::string, zones::ZoneReport> zones;
  for (const auto& [zone, share] : zone_traffic_.endpointFractions())
    zones[zone].endpoint_fraction = share;
  for (const auto& [zone, s] : plan.zones)
    zones[zone].state = s;
  for (auto& [zone, z] : zones)
    z.since = monotonicNow() - zone_traffic_.stateSince(zone);
  for (const StoreEntry& e : a.entries) {
    try {
      const SenderReport r = parseReport(json::parse(e.value));
      if (r.versions.plan != plan.number)
        continue;  // what it saw, it saw under another plan
      for (const auto& [zone, vote] : r.zones)
        if (zones.count(zone))
          zones[zone].voters.push_back({r.name, vote, !e.session.empty()});
    } catch (const std::exception&) {
    }  // not a sender of ours
  }
  const auto verdict = zones::decideTransitions(
      zones, sender_.zone_policy(), [&](const std::string& name) { return probeRank(plan.number, name); });
  if (verdict.empty())
    return;
  std::string why;
  for (const auto& [zone, s] : verdict)
    why += (why.empty() ? "zone " : "; zone ") + zone + ": " + zones::toString(s);
  Plan next = nextPlan(plan, spec_.name, why, unixNow());
  zones::apply(verdict, next.zones);
  if (!transitionError(plan, next).empty())
    return;
  judging_ = true;
  store_->compareAndSwap(
      spec_.planKey(), toJson(next).dump(), changed, [this, alive = alive_, next](const StoreResult& put) {
        if (!*alive)
          return;
        judging_ = false;
        if (put.applied)
          writeAuditRecord({{"kind", "verdict"}, {"plan", next.number}, {"why", next.reason}});
      });
}

EndpointState FleetMember::visibleState(const Endpoint& e) {
  zone_traffic_.onEndpointListed(e);
  return e.state == EndpointState::gone ? e.state : zone_traffic_.visibleState(e, monotonicNow());
}

bool FleetMember::admitAttempt(const AttemptId& id, const Endpoint& e, bool repeatable) {
  if (!isActionAllowed())
    return false;
  const bool may = zone_traffic_.admitAttempt(id, e, repeatable, monotonicNow());
  // The module hears at once that this endpoint has had its share for now.
  if (zone_traffic_.isRecovering(e.zone) && !std::exchange(pulse_due_, true))
    asio::post(io_, [this, alive = alive_] {
      if (*alive)
        onZoneTimer();
    });
  return may;
}

bool FleetMember::isSendAllowed(const std::string& endpoint) {
  return isActionAllowed() && zone_traffic_.isSendAllowed(endpoint);
}

void FleetMember::onAttemptFinished(const AttemptOutcome& o) {
  zone_traffic_.onAttemptFinished(o, monotonicNow());
}

// ---- the report

SenderReport FleetMember::report() const {
  SenderReport r;
  r.name = spec_.name;
  r.compliance = toString(kind_);
  r.reason = reason_;
  r.host = hostName();
  r.versions = runningVersions();
  r.newest_plan = compliance_.hasPlan() ? compliance_.newest().number : 0;
  r.strict = compliance_.acting().strict;
  r.lease = compliance_.acting().lease;
  r.since = compliant_since_;
  r.epoch = epoch_;
  r.process = process_;
  r.action_history = action_history_;
  r.zones = votes_;
  const zones::Regions& regions = sender_.zone_policy().regions;
  for (const auto& [zone, vote] : votes_)
    if (regions.contains(zone))
      r.regions[zone] = regions.regionOf(zone);
  return r;
}

// Whoever is shut out holds nothing: its report stays to be read, its session is gone, and a write that was
// under way with it comes to nothing.
void FleetMember::publishReport() {
  if (leaving_)
    return;
  SenderReport same = report();
  same.versions.list_version = -1;  // a list that changes each second is no news
  const std::string text = toJson(same).dump();
  if (publishing_) {
    publish_again_ = publish_again_ || text != reported_;
    return;
  }
  if (text == reported_ && (kind_ == Compliance::fenced || !session_.empty()))
    return;
  if (!compliance_.hasPlan() || silent_)
    return;  // when the store answers
  publishing_ = true;
  reported_ = text;
  if (!session_.empty())
    return writeReport();
  store_->openSession("grademux " + spec_.name, spec_.session_ttl,
                      [this, alive = alive_](const StoreResult& a) {
                        if (!*alive)
                          return;
                        if (!a.ok || !a.applied || leaving_)
                          return onReportPublished(false);
                        session_ = a.session;
                        after(renew_timer_, spec_.session_ttl / 3, [this] { renewSession(); });
                        writeReport();
                      });
}

void FleetMember::writeReport() {
  const bool out = kind_ == Compliance::fenced;
  SenderReport r = report();
  r.at = unixNow();
  store_->acquireKey(spec_.sendersPrefix() + spec_.name, toJson(r).dump(), session_,
                     [this, alive = alive_, out](const StoreResult& a) {
                       if (!*alive)
                         return;
                       if (!a.ok) {  // done or not, and the session may be no more
                         after(renew_timer_, kLeastPause, [this] { renewSession(); });
                         return onReportPublished(false);
                       }
                       if (!a.applied)
                         return claimName();
                       if (out)
                         endSession();
                       onReportPublished(true);
                     });
}

// The report's key is held by another session: of an earlier process of this sender, or one whose opening was
// not heard of. That is ended, and what it still writes comes to nothing.
void FleetMember::claimName() {
  const std::string key = spec_.sendersPrefix() + spec_.name;
  store_->listPrefix(key, [this, alive = alive_, key](const StoreResult& a) {
    if (!*alive)
      return;
    for (const StoreEntry& e : a.entries) {
      if (e.key != key || e.session.empty() || e.session == session_)
        continue;
      try {
        const SenderReport r = parseReport(json::parse(e.value));
        if (r.epoch < epoch_ || r.process == process_)
          store_->destroySession(e.session, [](const StoreResult&) {});
        else
          log::write(log::Event::fleet_name_conflict, {{"name", spec_.name}, {"host", r.host}});
      } catch (const std::exception&) {
      }
    }
    onReportPublished(false);
  });
}

void FleetMember::endSession() {
  if (!session_.empty())
    store_->destroySession(session_, [](const StoreResult&) {});
  session_.clear();
}

void FleetMember::onReportPublished(bool kept) {
  publishing_ = false;
  if (!kept)
    reported_.clear();  // looked at again soon
  if (!kept || !publish_again_)
    return;
  publish_again_ = false;
  publishReport();
}

void FleetMember::renewSession() {
  if (session_.empty())
    return;
  store_->renewSession(session_, [this, alive = alive_, session = session_](const StoreResult& a) {
    if (!*alive || session != session_)
      return;
    if (a.ok && !a.applied) {  // it has ended: early, or while this process stood still
      session_.clear();
      reported_.clear();
      return publishReport();
    }
    after(renew_timer_, a.ok ? spec_.session_ttl / 3 : pauses_.next(kLeastPause, spec_.session_ttl / 8),
          [this] { renewSession(); });
  });
}

// ---- the right, and what is on record

bool FleetMember::isActionAllowed() {
  return allowed_ && !released_ && boottimeNow() < allowed_until_;
}

const std::string& FleetMember::version() {
  if (version_.empty() || version_of_.list_version != sender_.list_version() ||
      version_of_.plan != compliance_.acting().number || version_of_.settings != running_versions_.settings ||
      version_of_.daemon != running_versions_.daemon) {
    version_of_ = runningVersions();
    version_ = toJson(version_of_).dump();
  }
  return version_;
}

std::string FleetMember::versionStamp(std::int64_t number) {
  if (number != version_number_) {
    writeAuditRecord({{"kind", "version"},
                      {"number", number},
                      {"own", toJson(version_of_)},
                      {"was", version_number_},
                      {"was_calls", version_calls_},
                      {"was_last", version_last_}});
    version_number_ = number;
    version_calls_ = 0;
  }
  ++version_calls_;
  version_last_ = unixNow();
  return spec_.send_version_header ? std::to_string(version_of_.plan) + "." + std::to_string(number) : "";
}

void FleetMember::writeAuditRecord(json record) {
  if (!audit_log_)
    return;
  if (store_clock_known_)
    record["ahead"] = store_clock_offset_;
  worker_.run(
      [trail = audit_log_, record = std::move(record), now = unixNow()]() mutable -> std::function<void()> {
        const bool kept = trail->write(std::move(record), now);
        return [kept] {
          if (!kept)
            log::write(log::Event::fleet_audit_write_failed);
        };
      });
}

}  // namespace grademux::fleet
