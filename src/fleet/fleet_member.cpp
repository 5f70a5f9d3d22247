#include "fleet_member.h"

#include <unistd.h>

#include <algorithm>
#include <future>

#include "../core/clock.h"
#include "../core/file.h"
#include "../log/log.h"
#include "state_files.h"

namespace grademux::fleet {

namespace {

constexpr Micros kMinRetryDelay = 100'000;  // after a failed store request
constexpr Micros kMaxRetryDelay = 4'000'000;
constexpr Micros kCatchUpSpread = 200'000;  // over the fleet, before files are read again
constexpr Micros kMinCatchUpDelay = 500'000;
constexpr Micros kMaxCatchUpDelay = 15'000'000;
constexpr Micros kMaxBlockingRead = 10'000'000;
constexpr Micros kMinUpdateDelay = 1000;
constexpr Micros kStoreTimeResolution = 1'000'000;  // of the store's Date header
// Part of the time for following a plan after which a lagging sender counts the others.
constexpr double kHaltLagFraction = 0.5;

std::string hostName() {
  char name[256] = "";
  return ::gethostname(name, sizeof name - 1) == 0 ? name : "";
}

std::string processDigest() {
  return planDigest(std::to_string(::getpid()) + " " + std::to_string(boottimeNow()) + " " + hostName());
}

bool canCatchUpHere(const MissingRequirement& missing) {
  return missing.kind == MissingRequirement::Kind::settings ||
         missing.kind == MissingRequirement::Kind::daemon ||
         missing.kind == MissingRequirement::Kind::list_version;
}

std::vector<SenderReport> parseReports(const std::vector<StoreEntry>& entries) {
  std::vector<SenderReport> reports;
  for (const StoreEntry& entry : entries) {
    try {
      reports.push_back(parseReport(json::parse(entry.value)));
      reports.back().live = !entry.session.empty();
    } catch (const std::exception&) {
      continue;  // Not a report.
    }
  }
  return reports;
}

}  // namespace

FleetMember::FleetMember(boost::asio::io_context& io, Worker& worker, FleetConfig config,
                         std::unique_ptr<Store> store, const std::string& folder, std::int64_t epoch,
                         std::uint64_t seed, Callbacks callbacks)
    : worker_(worker),
      config_(std::move(config)),
      store_(std::move(store)),
      plan_path_(planFilePath(folder)),
      epoch_(epoch),
      callbacks_(std::move(callbacks)),
      compliance_(config_.name),
      store_backoff_(seed),
      catch_up_backoff_(seed + 1),
      process_(processDigest()),
      audit_log_(std::make_shared<audit::AuditLog>(folder + "/trail", config_.name, config_.audit_budget)),
      read_timer_(io),
      update_timer_(io),
      catch_up_timer_(io),
      halt_timer_(io),
      reports_(io, scope_, *store_, config_, store_backoff_, reportCallbacks()),
      zones_(io, worker, scope_, *store_, config_, compliance_, store_backoff_, folder, zoneCallbacks()) {
  if (const auto plan = loadPlan(plan_path_))
    compliance_.restorePlan(*plan);
}

FleetMember::~FleetMember() {
  scope_.close();
}

ReportPublisher::Callbacks FleetMember::reportCallbacks() {
  return {[this] { return report(); }, [this] { return compliance_.hasPlan() && !store_silent_; }};
}

ZoneCoordinator::Callbacks FleetMember::zoneCallbacks() {
  return {callbacks_.refresh_endpoints,
          callbacks_.zone_policy,
          callbacks_.sender_count,
          [this] { return !shutting_down_ && allowed_ && !store_silent_; },
          [this] { return plan_modify_index_; },
          [this](json record) { writeAuditRecord(std::move(record)); },
          [this] { reports_.publish(); }};
}

void FleetMember::start(const RunningVersions& running, const std::string& cause,
                        const std::map<std::uint32_t, std::string>& versions) {
  running_versions_ = running;
  compliance_since_ = unixNow();
  json record = {{"kind", "start"},
                 {"cause", cause},
                 {"epoch", epoch_},
                 {"own", toJson(runningVersions())},
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
  if (!released_)
    zones_.evaluate();
}

void FleetMember::announceShutdown() {
  if (shutting_down_ || released_)
    return;
  shutting_down_ = true;
  reports_.shutDown();
}

// The session at the store is not ended here: it ends by its TTL, or the next process of this sender ends it
// because its report has an older epoch. All audit records are written and the audit log is closed before
// another process can open it.
void FleetMember::release(const std::string& cause) {
  if (released_)
    return;
  writeAuditRecord({{"kind", "end"},
                    {"cause", cause},
                    {"epoch", epoch_},
                    {"version", version_number_},
                    {"calls", version_attempts_}});
  released_ = true;
  scope_.close();
  for (Timer* timer : {&read_timer_, &update_timer_, &catch_up_timer_, &halt_timer_})
    timer->cancel();
  reports_.cancelTimer();
  zones_.cancelTimers();
  std::promise<void> closed;
  worker_.run([audit_log = std::move(audit_log_), &closed]() mutable -> std::function<void()> {
    audit_log.reset();
    closed.set_value();
    return [] {};
  });
  closed.get_future().wait();
}

RunningVersions FleetMember::runningVersions() const {
  RunningVersions running = running_versions_;
  running.list_version = callbacks_.list_version();
  running.plan = compliance_.acting().number;
  return running;
}

// ---- Reading the plan

void FleetMember::readPlan() {
  const Micros requested_at = boottimeNow();
  // While a newer plan is being adopted, its lease may be the shorter one.
  const Micros lease = std::min(compliance_.acting().lease, compliance_.newest().lease);
  const Micros wait = std::min(kMaxBlockingRead, lease / 5);
  store_->read(
      config_.planKey(), read_index_, wait,
      scope_.wrap([this, requested_at](const StoreResult& result) { onPlanRead(result, requested_at); }));
}

void FleetMember::onPlanRead(const StoreResult& result, Micros requested_at) {
  std::string error;
  bool received = false;
  if (!result.has_value()) {
    error = result.error().description;
  } else {
    const StoreReply& reply = result.value();
    read_index_ = reply.index < read_index_ ? 0 : reply.index;  // A restored store has a smaller index.
    updateStoreClock(reply.store_time);
    try {
      received = receivePlan(reply.entries, requested_at);
    } catch (const std::exception& parse_error) {
      error = std::string("the plan can't be read: ") + parse_error.what();
    }
  }
  updateStoreReachable(error);
  updateCompliance();
  if (!released_)
    scheduleNextRead(!error.empty(), received, requested_at);
}

void FleetMember::updateStoreClock(Micros store_time) {
  if (store_time <= 0)
    return;
  store_clock_offset_ = store_time + kStoreTimeResolution / 2 - unixNow();
  store_clock_known_ = true;
}

// Returns whether the plan is a new one.
bool FleetMember::receivePlan(const std::vector<StoreEntry>& entries, Micros requested_at) {
  Plan plan;
  if (!entries.empty())
    plan = parsePlan(json::parse(entries[0].value));
  const std::int64_t before = compliance_.hasPlan() ? compliance_.newest().number : -1;
  if (!compliance_.onPlanReceived(plan, requested_at)) {
    // The store has lost data, perhaps this sender's report as well.
    if (older_plan_ != plan.number)
      reports_.invalidate();
    older_plan_ = plan.number;
    return false;
  }
  plan_modify_index_ = entries.empty() ? 0 : entries[0].modify_index;
  const bool is_new = plan.number != before;
  if (is_new) {
    log::write(log::Event::fleet_plan_received,
               {{"plan", plan.number}, {"by", plan.author}, {"why", plan.reason}});
    writeAuditRecord({{"kind", "heard"}, {"plan", toJson(plan)}, {"digest", planDigest(plan)}});
    catch_up_backoff_.reset();
  }
  older_plan_ = -1;
  return is_new;
}

// Logs once when the store stops answering, and once when it answers again.
void FleetMember::updateStoreReachable(const std::string& error) {
  const bool silent = !error.empty();
  if (silent == store_silent_)
    return;
  store_silent_ = silent;
  if (silent)
    log::write(log::Event::fleet_store_unreachable, {{"cause", error}});
  else
    log::write(log::Event::fleet_store_recovered);
  writeAuditRecord({{"kind", silent ? "store silent" : "store answers"}, {"why", error}});
}

// A read that the store answered at once and without news is not repeated without a pause.
void FleetMember::scheduleNextRead(bool failed, bool received, Micros requested_at) {
  if (failed)
    return scope_.runAfter(read_timer_, store_backoff_.next(kMinRetryDelay, kMaxRetryDelay),
                           [this] { readPlan(); });
  store_backoff_.reset();
  const bool was_held = boottimeNow() - requested_at >= kMinRetryDelay || received;
  if (was_held && read_index_ > 0)
    return readPlan();
  scope_.runAfter(read_timer_, kMinRetryDelay, [this] { readPlan(); });
}

// ---- Following the plan

// Called when anything may have changed that compliance depends on.
void FleetMember::updateCompliance() {
  if (released_)
    return;
  const RunningVersions running = runningVersions();
  if (compliance_.shouldAdopt(running, boottimeNow()))
    adoptPlan();
  const PlanCompliance::Decision decision = compliance_.evaluate(boottimeNow(), running);
  allowed_until_ = decision.until;
  zones_.applyZoneStates();
  updateAllowed(decision);
  updateActionHistory(running.plan);
  updateReason(decision, running);
  reports_.publish();
  startCatchUp(running);
  if (compliance_.lagFraction(boottimeNow()) >= kHaltLagFraction && !halting_ &&
      !compliance_.newest().fenced.count(config_.name))
    haltPlanIfTooManyLag();
  scheduleNextUpdate();
}

void FleetMember::updateAllowed(const PlanCompliance::Decision& decision) {
  if (allowed_reported_ && decision.allowed == allowed_)
    return;
  allowed_reported_ = true;
  allowed_ = decision.allowed;
  callbacks_.set_allowed(allowed_, decision.reason);
}

void FleetMember::updateActionHistory(std::int64_t plan) {
  if (!action_history_.empty() && action_history_.back().plan == plan &&
      action_history_.back().allowed == allowed_)
    return;
  if (action_history_.size() == kMaxActionHistory)
    action_history_.erase(action_history_.begin());
  action_history_.push_back({unixNow(), plan, allowed_});
}

void FleetMember::updateReason(const PlanCompliance::Decision& decision, const RunningVersions& running) {
  const std::string separator = decision.reason.empty() || config_error_.empty() ? "" : "; ";
  const std::string reason = decision.reason + separator + config_error_;
  if (decision.compliance == current_compliance_ && reason == reason_ && compliance_since_ != 0)
    return;
  if (decision.compliance != current_compliance_)
    compliance_since_ = unixNow();
  current_compliance_ = decision.compliance;
  reason_ = reason;
  const char* name = toString(current_compliance_);
  log::write(log::Event::fleet_compliance_changed,
             {{"standing", name}, {"plan", compliance_.acting().number}, {"why", reason_}});
  writeAuditRecord({{"kind", "standing"}, {"standing", name}, {"why", reason_}, {"own", toJson(running)}});
}

void FleetMember::scheduleNextUpdate() {
  Micros delay = compliance_.acting().lease / 8;
  if (allowed_ && allowed_until_ < PlanCompliance::kNever)
    delay = std::clamp<Micros>(allowed_until_ - boottimeNow(), kMinUpdateDelay, delay);
  scope_.runAfter(update_timer_, delay, [this] { updateCompliance(); });
}

// Stores the plan first: the next process of this sender must not return to the plan before.
void FleetMember::adoptPlan() {
  const Plan plan = compliance_.newest();
  if (storing_plan_ == plan.number)
    return;
  storing_plan_ = plan.number;
  auto stored = scope_.wrap([this, plan](const std::string& error) { onPlanStored(plan, error); });
  worker_.run([plan, path = plan_path_, stored = std::move(stored)]() -> std::function<void()> {
    const std::string error = replaceFile(path, serializePlanFile(plan));
    return [stored, error] { stored(error); };
  });
}

void FleetMember::onPlanStored(const Plan& plan, const std::string& error) {
  storing_plan_ = 0;
  if (!error.empty()) {
    config_error_ = "the plan can't be kept: " + error;
    return;  // The next updateCompliance() stores the plan again.
  }
  if (plan.number != compliance_.newest().number &&
      !missingRequirements(runningVersions(), plan, config_.name).empty())
    return;
  compliance_.onPlanAdopted(plan);
  config_error_.clear();
  writeAuditRecord({{"kind", "taken over"}, {"plan", plan.number}, {"own", toJson(runningVersions())}});
  updateCompliance();
}

void FleetMember::startCatchUp(const RunningVersions& running) {
  const std::vector<MissingRequirement> missing = compliance_.missingFor(running);
  if (catching_up_ || std::none_of(missing.begin(), missing.end(), canCatchUpHere))
    return;
  catching_up_ = true;
  scope_.runAfter(catch_up_timer_, store_backoff_.randomWithin(kCatchUpSpread), [this] { catchUp(); });
}

void FleetMember::catchUp() {
  const std::vector<MissingRequirement> missing = compliance_.missingFor(runningVersions());
  if (missing.empty()) {
    catching_up_ = false;
    catch_up_backoff_.reset();
    return;
  }
  callbacks_.catch_up(missing);
  if (released_)
    return;
  if (compliance_.missingFor(runningVersions()).empty()) {
    catching_up_ = false;
    catch_up_backoff_.reset();
    return updateCompliance();
  }
  scope_.runAfter(catch_up_timer_, catch_up_backoff_.next(kMinCatchUpDelay, kMaxCatchUpDelay),
                  [this] { catchUp(); });
}

void FleetMember::onConfigApplied(const RunningVersions& running, const std::string& error) {
  if (released_)
    return;
  const bool changed =
      running.settings != running_versions_.settings || running.daemon != running_versions_.daemon;
  running_versions_ = running;
  if (changed || error != config_error_)
    writeAuditRecord({{"kind", "files"}, {"own", toJson(runningVersions())}, {"refused", error}});
  config_error_ = error;
  updateCompliance();
}

// A plan that too many senders can't follow would fence all of them. Any sender that can't follow the plan,
// unless an operator fenced it, replaces the plan by one with the requirements of the plan before; the
// operator decides on the next plan.
void FleetMember::haltPlanIfTooManyLag() {
  halting_ = true;
  store_->listPrefix(
      config_.sendersPrefix(),
      scope_.wrap([this, plan = compliance_.newest(), modify_index = plan_modify_index_](
                      const StoreResult& result) { onReportsForHalt(result, plan, modify_index); }));
}

void FleetMember::onReportsForHalt(const StoreResult& result, const Plan& plan, std::int64_t modify_index) {
  std::string names;
  if (!result.has_value() || plan.number != compliance_.newest().number ||
      !tooManyLagging(plan, parseReports(result.value().entries), names))
    return endHaltAttempt();
  const std::string reason = "plan " + std::to_string(plan.number) + " would shut out too many: " + names;
  const Plan halted = haltedPlan(plan, config_.name, reason, unixNow());
  store_->compareAndSwap(
      config_.planKey(), toJson(halted).dump(), modify_index,
      scope_.wrap([this, halted](const StoreResult& swap) {
        if (wasApplied(swap)) {
          log::write(log::Event::fleet_plan_halted, {{"plan", halted.number}, {"why", halted.reason}});
          writeAuditRecord({{"kind", "halted"}, {"plan", halted.number}, {"why", halted.reason}});
        }
        endHaltAttempt();
      }));
}

void FleetMember::endHaltAttempt() {
  const Micros lease = compliance_.acting().lease;
  scope_.runAfter(halt_timer_, std::max(kMinRetryDelay, lease / (allowed_ ? 16 : 1)),
                  [this] { halting_ = false; });
}

// ---- Actions

bool FleetMember::isActionAllowed() {
  return allowed_ && !released_ && boottimeNow() < allowed_until_;
}

bool FleetMember::admitAttempt(const AttemptId& id, const Endpoint& endpoint, bool idempotent) {
  return isActionAllowed() && zones_.admitAttempt(id, endpoint, idempotent);
}

bool FleetMember::isSendAllowed(const std::string& endpoint) {
  return isActionAllowed() && zones_.isSendAllowed(endpoint);
}

// ---- Reports and records

SenderReport FleetMember::report() const {
  SenderReport report;
  report.name = config_.name;
  report.compliance = toString(current_compliance_);
  report.reason = reason_;
  report.host = hostName();
  report.versions = runningVersions();
  report.newest_plan = compliance_.hasPlan() ? compliance_.newest().number : 0;
  report.strict = compliance_.acting().strict;
  report.lease = compliance_.acting().lease;
  report.since = compliance_since_;
  report.epoch = epoch_;
  report.process = process_;
  report.action_history = action_history_;
  report.zones = zones_.votes();
  const zones::Regions& regions = callbacks_.zone_policy().regions;
  for (const auto& [zone, vote] : report.zones)
    if (regions.contains(zone))
      report.regions[zone] = regions.regionOf(zone);
  return report;
}

const std::string& FleetMember::version() {
  const bool unchanged = !version_.empty() && stamped_versions_.list_version == callbacks_.list_version() &&
                         stamped_versions_.plan == compliance_.acting().number &&
                         stamped_versions_.settings == running_versions_.settings &&
                         stamped_versions_.daemon == running_versions_.daemon;
  if (unchanged)
    return version_;
  stamped_versions_ = runningVersions();
  version_ = toJson(stamped_versions_).dump();
  return version_;
}

std::string FleetMember::versionStamp(std::int64_t number) {
  if (number != version_number_) {
    writeAuditRecord({{"kind", "version"},
                      {"number", number},
                      {"own", toJson(stamped_versions_)},
                      {"was", version_number_},
                      {"was_calls", version_attempts_},
                      {"was_last", version_last_used_at_}});
    version_number_ = number;
    version_attempts_ = 0;
  }
  ++version_attempts_;
  version_last_used_at_ = unixNow();
  if (!config_.send_version_header)
    return "";
  return std::to_string(stamped_versions_.plan) + "." + std::to_string(number);
}

void FleetMember::writeAuditRecord(json record) {
  if (!audit_log_)
    return;
  if (store_clock_known_)
    record["ahead"] = store_clock_offset_;
  worker_.run([audit_log = audit_log_, record = std::move(record),
               now = unixNow()]() mutable -> std::function<void()> {
    const bool written = audit_log->write(std::move(record), now);
    return [written] {
      if (!written)
        log::write(log::Event::fleet_audit_write_failed);
    };
  });
}

}  // namespace grademux::fleet
