// One sender's membership in a fleet: reads the plan from the store, adopts and follows it, reports its
// state, and allows or stops actions accordingly. PlanCompliance decides; FleetMember carries the decisions
// out. Used on the loop thread only; owns the store client, the audit log and its parts.
//
// Store requests of one sender: a blocking read of the plan that the store holds for a fifth of the lease
// (300 a minute at a lease of 1 s, 30 at 10 s, 10 at 30 s), a session renewal each third of the session's TTL
// (6 a minute), and a report for each change. N senders at a lease of 30 s make 0.27 N requests per second.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "../audit/audit_log.h"
#include "../core/action_guard.h"
#include "../core/backoff.h"
#include "../core/worker.h"
#include "callback_scope.h"
#include "fleet_config.h"
#include "plan_compliance.h"
#include "report_publisher.h"
#include "store.h"
#include "zone_coordinator.h"

namespace grademux::fleet {

class FleetMember : public ActionGuard {
 public:
  /// Queries and commands of the member to its sender; all are called on the loop thread.
  struct Callbacks {
    std::function<std::int64_t()> list_version;  ///< Of the sender's endpoint list.
    /// Reads the files or lists that are missing again, completely and at once. The sender reports errors by
    /// onConfigApplied().
    std::function<void(const std::vector<MissingRequirement>&)> catch_up;
    std::function<void(const std::vector<std::string>&)> refresh_endpoints;  ///< Their visible state changed.
    std::function<const zones::ZonePolicy&()> zone_policy;
    std::function<int()> sender_count;  ///< Approximate size of the fleet.
    /// Called when actions become allowed or forbidden. They are forbidden before the first call.
    std::function<void(bool allowed, const std::string& reason)> set_allowed;
  };
  /// `folder`: where the adopted plan, the traffic baseline and the audit log are stored. `epoch`: of this
  /// process.
  FleetMember(boost::asio::io_context& io, Worker& worker, FleetConfig config, std::unique_ptr<Store> store,
              const std::string& folder, std::int64_t epoch, std::uint64_t seed, Callbacks callbacks);
  ~FleetMember() override;
  FleetMember(const FleetMember&) = delete;
  FleetMember& operator=(const FleetMember&) = delete;

  /// Starts reading the plan. `running`: program version and digests. `cause`: for the audit log. `versions`:
  /// the versions in the journal, by number; a killed process may have used a version that its audit log
  /// lacks.
  void start(const RunningVersions& running, const std::string& cause,
             const std::map<std::uint32_t, std::string>& versions);
  /// Called after program, settings or daemon file were read again. `error`: why a file can't be used; empty
  /// if all can.
  void onConfigApplied(const RunningVersions& running, const std::string& error);
  /// Ends the session at the store before this process ends. Actions stay allowed while the lease lasts.
  void announceShutdown();
  /// Ends the membership because another process of this sender continues or this one ends. Nothing is read
  /// or written afterwards. Blocks until the audit log is closed.
  void release(const std::string& cause);

  bool isActionAllowed() override;
  const std::string& version() override;
  std::string versionStamp(std::int64_t number) override;
  EndpointState visibleState(const Endpoint& endpoint) override { return zones_.visibleState(endpoint); }
  bool admitAttempt(const AttemptId& id, const Endpoint& endpoint, bool idempotent) override;
  bool isSendAllowed(const std::string& endpoint) override;
  void onAttemptFinished(const AttemptOutcome& outcome) override { zones_.onAttemptFinished(outcome); }

 private:
  using Timer = boost::asio::steady_timer;
  ReportPublisher::Callbacks reportCallbacks();
  ZoneCoordinator::Callbacks zoneCallbacks();

  void readPlan();
  void onPlanRead(const StoreResult& result, Micros requested_at);
  void updateStoreClock(Micros store_time);
  bool receivePlan(const std::vector<StoreEntry>& entries, Micros requested_at);
  void updateStoreReachable(const std::string& error);
  void scheduleNextRead(bool failed, bool received, Micros requested_at);

  void updateCompliance();
  void updateAllowed(const PlanCompliance::Decision& decision);
  void updateActionHistory(std::int64_t plan);
  void updateReason(const PlanCompliance::Decision& decision, const RunningVersions& running);
  void scheduleNextUpdate();

  void adoptPlan();
  void onPlanStored(const Plan& plan, const std::string& error);
  void startCatchUp(const RunningVersions& running);
  void catchUp();
  void haltPlanIfTooManyLag();
  void onReportsForHalt(const StoreResult& result, const Plan& plan, std::int64_t modify_index);
  void endHaltAttempt();

  SenderReport report() const;
  RunningVersions runningVersions() const;
  void writeAuditRecord(json record);

  Worker& worker_;
  FleetConfig config_;
  std::unique_ptr<Store> store_;
  std::string plan_path_;
  std::int64_t epoch_;
  Callbacks callbacks_;
  CallbackScope scope_;
  PlanCompliance compliance_;
  RunningVersions running_versions_;  // without the list and the plan
  Backoff store_backoff_;
  Backoff catch_up_backoff_;
  std::string process_;  // distinguishes processes with the same name
  std::shared_ptr<audit::AuditLog> audit_log_;
  Timer read_timer_;
  Timer update_timer_;
  Timer catch_up_timer_;
  Timer halt_timer_;
  bool released_ = false;
  bool shutting_down_ = false;

  std::int64_t read_index_ = 0;
  std::int64_t plan_modify_index_ = 0;
  std::int64_t older_plan_ = -1;  // number of the older plan that the store shows since it lost data
  bool store_silent_ = false;
  bool store_clock_known_ = false;
  Micros store_clock_offset_ = 0;

  bool allowed_ = false;
  bool allowed_reported_ = false;
  Micros allowed_until_ = 0;
  Compliance current_compliance_ = Compliance::fenced;
  Micros compliance_since_ = 0;  // Unix time
  std::vector<ActionPeriod> action_history_;
  std::string reason_;
  std::string config_error_;
  std::int64_t storing_plan_ = 0;  // number of the plan that is being stored; 0: none
  bool catching_up_ = false;
  bool halting_ = false;

  RunningVersions stamped_versions_;
  std::string version_;  // stamped_versions_ as JSON
  std::int64_t version_number_ = 0;
  std::int64_t version_attempts_ = 0;
  Micros version_last_used_at_ = 0;  // Unix time

  ReportPublisher reports_;
  ZoneCoordinator zones_;
};

}  // namespace grademux::fleet
