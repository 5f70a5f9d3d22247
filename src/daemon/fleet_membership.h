// grademux: what the fleet adds to one sending process: its part, with the version that this process acts by.
#pragma once

#include <functional>
#include <memory>

#include "../fleet/consul.h"
#include "../fleet/fleet_member.h"
#include "config.h"
#include "daemon_file.h"

namespace grademux {

class FleetMembership {
 public:
  using ListVersion = std::function<std::int64_t()>;  // the version of the list
  // Reads files again, and the list if it is behind; brought() tells what came of it.
  using CatchUp = std::function<void(bool list)>;
  using SetAllowed = std::function<void(bool may, const std::string& why)>;
  using RefreshEndpoints = std::function<void(const std::vector<std::string>& endpoints)>;
  FleetMembership(boost::asio::io_context& io, Worker& worker, const fleet::FleetConfig& spec,
                  const Config& config, const DaemonFile& daemon, std::int64_t epoch, ListVersion list,
                  CatchUp catch_up, SetAllowed act, RefreshEndpoints reshow);

  ActionGuard& actionGuard() { return *member_; }
  void start(const std::string& cause, const std::map<std::uint32_t, std::string>& versions) {
    member_->start(running_versions_, cause, versions);
  }
  // What is in force after files were read again.
  void onConfigApplied(const Config& config, const DaemonFile& daemon, const std::string& refused);
  void announceShutdown() { member_->announceShutdown(); }
  // Another process goes on, or none.
  void release(const std::string& cause) { member_->release(cause); }
  void resume();  // it did not come to that

  static bool differs(const std::optional<fleet::FleetConfig>& a, const std::optional<fleet::FleetConfig>& b);

 private:
  std::unique_ptr<fleet::FleetMember> make();
  void readConfig(const Config& config, const DaemonFile& daemon);

  boost::asio::io_context& io_;
  Worker& worker_;
  fleet::FleetConfig spec_;
  std::string folder_;
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

// The digests of what is in force.
fleet::RunningVersions runningVersions(const Config& config, const DaemonFile& daemon);

}  // namespace grademux
