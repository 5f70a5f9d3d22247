// The membership of this process in its fleet: creates the fleet member, and keeps it informed of the
// versions and the zone policy that the configuration gives. Used on the loop thread alone.
#pragma once

#include <functional>
#include <memory>

#include "../fleet/consul.h"
#include "../fleet/fleet_member.h"
#include "config.h"
#include "daemon_file.h"

namespace grademux {

/// Connects the fleet member to the configuration of this process.
class FleetMembership {
 public:
  /// Returns the version of the endpoint list.
  using ListVersion = std::function<std::int64_t()>;
  /// Reads the files again and, with `endpoint_list`, the endpoint list; then onConfigApplied() is called.
  using CatchUp = std::function<void(bool endpoint_list)>;
  /// The plan allows this process to accept and send messages, or forbids it.
  using SetAllowed = std::function<void(bool allowed, const std::string& reason)>;
  /// The zone state of these endpoints has changed.
  using RefreshEndpoints = std::function<void(const std::vector<std::string>& endpoints)>;
  /// `epoch`: of this process's journal. `io` and `worker` outlive this object.
  FleetMembership(boost::asio::io_context& io, Worker& worker, const fleet::FleetConfig& fleet_config,
                  const Config& config, const DaemonFile& daemon, std::int64_t epoch,
                  ListVersion list_version, CatchUp catch_up, SetAllowed set_allowed,
                  RefreshEndpoints refresh_endpoints);

  ActionGuard& actionGuard() { return *member_; }
  /// `cause` and `versions`: see fleet::FleetMember::start().
  void start(const std::string& cause, const std::map<std::uint32_t, std::string>& versions) {
    member_->start(running_versions_, cause, versions);
  }
  /// The configuration in force after files were read again. `error`: why a file could not be used; empty if
  /// all could.
  void onConfigApplied(const Config& config, const DaemonFile& daemon, const std::string& error);
  void announceShutdown() { member_->announceShutdown(); }
  /// Ends the membership, since another process of this sender continues or this process ends.
  void release(const std::string& cause) { member_->release(cause); }
  /// Becomes a member again after a handover that was cancelled.
  void resume();

  static bool differs(const std::optional<fleet::FleetConfig>& first,
                      const std::optional<fleet::FleetConfig>& second);

 private:
  std::unique_ptr<fleet::FleetMember> createMember();
  void updateZonePolicy(const Config& config, const DaemonFile& daemon);

  boost::asio::io_context& io_;
  Worker& worker_;
  fleet::FleetConfig fleet_config_;
  std::string state_folder_;
  std::uint64_t seed_;
  std::int64_t epoch_;
  ListVersion list_version_;
  CatchUp catch_up_;
  SetAllowed set_allowed_;
  RefreshEndpoints refresh_endpoints_;
  zones::ZonePolicy zone_policy_;
  int sender_count_ = 1;
  fleet::RunningVersions running_versions_;
  std::unique_ptr<fleet::FleetMember> member_;
};

/// The program version and the digests of the configuration in force.
fleet::RunningVersions runningVersions(const Config& config, const DaemonFile& daemon);

}  // namespace grademux
