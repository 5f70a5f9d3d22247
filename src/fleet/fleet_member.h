// grademux fleet: one sender's part in its fleet. It reads the plan, takes it over, reports, has the sender
// brought up, and tells it when it may act and when not. What follows from what is `Standing`'s; this carries
// it out over the store, the trail and a file.
//
// Calls to the store, of one sender: a read of the plan that is held back for a fifth of the lease (300 a
// minute at a lease of 1 s, 30 at 10 s, 10 at 30 s), a renewal each third of the session's time (6 a minute),
// a report for each change. So N senders at a lease of 30 s ask 0.27 N times a second.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "../audit/audit_log.h"
#include "../core/action_guard.h"
#include "../core/backoff.h"
#include "../core/worker.h"
#include "../zones/zone_traffic_controller.h"
#include "../zones/zone_transitions.h"
#include "plan_compliance.h"
#include "store.h"

namespace grademux::fleet {

struct FleetConfig {  // [fleet] of the daemon file
  std::string name;
  std::vector<std::string> store;  // HOST:PORT each
  std::string prefix = "grademux";
  Micros session_ttl = 30'000'000;   // without a renewal it ends after this
  bool send_version_header = false;  // calls carry X-Fleet-Version
  bool evacuate_zones = false;       // leaves zones and comes back by itself, not by words alone
  Micros min_evacuation_time =
      10'000'000;  // that a zone is left for at least; doubles with each return that failed
  audit::AuditBudget audit_budget;

  std::string planKey() const { return prefix + "/plan"; }
  std::string sendersPrefix() const { return prefix + "/senders/"; }
};

class FleetMember : public ActionGuard {
 public:
  // What it asks of the sender and has it do; all on the loop thread.
  struct Callbacks {
    std::function<std::int64_t()> list_version;  // the version of its list
    // Reads again what is missing, whole and at once. What it can't use it tells by brought().
    std::function<void(const std::vector<MissingRequirement>&)> catch_up;
    // Endpoints that the module is to see otherwise.
    std::function<void(const std::vector<std::string>&)> refresh_endpoints;
    std::function<const zones::ZonePolicy&()> zone_policy;
    std::function<int()> sender_count;  // about how many there are
    // Whether it may act has changed. Before the first call it may not.
    std::function<void(bool may, const std::string& why)> set_allowed;
  };
  // `folder`: where the plan that was taken over and the trail are kept. `epoch`: of this process.
  FleetMember(boost::asio::io_context& io, Worker& worker, FleetConfig spec, std::unique_ptr<Store> store,
              const std::string& folder, std::int64_t epoch, std::uint64_t seed, Callbacks sender);
  ~FleetMember() override;
  FleetMember(const FleetMember&) = delete;
  FleetMember& operator=(const FleetMember&) = delete;

  // `own`: program and digests. `cause` is for the trail. `versions`: that the journal has, by number: a
  // process that was killed may have used one that its trail does not name.
  void start(const RunningVersions& own, const std::string& cause,
             const std::map<std::uint32_t, std::string>& versions);
  // Program, settings or daemon file are others now, or were looked at; `refused`: why a file can't be used.
  void onConfigApplied(const RunningVersions& own, const std::string& refused);
  // This process ends soon: the store is to know at once. It still acts, as far as it may.
  void announceShutdown();
  // Another process of this sender goes on, or this one ends: nothing is asked or written any more.
  void release(const std::string& cause);

  bool isActionAllowed() override;
  const std::string& version() override;
  std::string versionStamp(std::int64_t number) override;
  EndpointState visibleState(const Endpoint& e) override;
  bool admitAttempt(const AttemptId& id, const Endpoint& e, bool repeatable) override;
  bool isSendAllowed(const std::string& endpoint) override;
  void onAttemptFinished(const AttemptOutcome& o) override;

 private:
  using Timer = boost::asio::steady_timer;
  void after(Timer& timer, Micros span, std::function<void()> then);
  void readPlan();
  void onPlanRead(const StoreResult& a, Micros asked);
  void updateCompliance();
  void adoptPlan();
  void catchUp();
  void haltPlanIfTooManyLag();
  void applyZoneStates();
  void storeTrafficBaseline();
  void onZoneTimer();
  void evaluateZones();
  void evaluateZones(const StoreResult& a, const Plan& plan, std::int64_t changed);
  void publishReport();
  void writeReport();
  void claimName();
  void endSession();
  void onReportPublished(bool kept);
  void renewSession();
  SenderReport report() const;
  void writeAuditRecord(json record);
  RunningVersions runningVersions() const;

  boost::asio::io_context& io_;
  Worker& worker_;
  FleetConfig spec_;
  std::unique_ptr<Store> store_;
  std::string plan_path_;
  std::int64_t epoch_;
  Callbacks sender_;
  PlanCompliance compliance_;
  RunningVersions running_versions_;  // but for the list
  Backoff pauses_, tries_;
  std::string process_;  // tells this one from another with the same name
  std::shared_ptr<audit::AuditLog> audit_log_;
  Timer ask_timer_, look_timer_, bring_timer_, renew_timer_, halt_timer_, zone_timer_, judge_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // what comes back later looks at it
  bool released_ = false, leaving_ = false;

  std::int64_t index_ = 0, plan_changed_ = 0;
  std::int64_t lost_ = -1;  // the older plan that the store has, once it went back
  bool silent_ = false;
  bool allowed_ = false, allowed_reported_ = false;
  Micros allowed_until_ = 0;
  Compliance kind_ = Compliance::fenced;
  std::vector<ActionPeriod> action_history_;
  std::string reason_, refused_;
  Micros compliant_since_ = 0;
  std::int64_t taking_ = 0;  // the plan that is being written
  bool bringing_ = false, halting_ = false;

  std::string traffic_baseline_path_;
  zones::ZoneTrafficController zone_traffic_;
  zones::TrafficBaseline traffic_baseline_;  // as they are kept
  std::map<std::string, zones::ZoneVote> votes_;
  bool judging_ = false, pulse_due_ = false;

  std::string session_, reported_;
  bool publishing_ = false, publish_again_ = false;
  Micros store_clock_offset_ = 0;
  bool store_clock_known_ = false;

  RunningVersions version_of_;
  std::string version_;
  std::int64_t version_number_ = 0, version_calls_ = 0;
  Micros version_last_ = 0;
};

// The plan that an earlier process had taken over; nothing if there is none that can be trusted.
std::optional<Plan> loadPlan(const std::string& path);
std::string serializePlanFile(const Plan& plan);
// What this sender used to send to zones that are left; empty if there is none that can be trusted.
zones::TrafficBaseline loadTrafficBaseline(const std::string& path);
std::string serializeTrafficBaseline(const zones::TrafficBaseline& parts);

}  // namespace grademux::fleet
