// The membership of this process in its fleet; see fleet_membership.h.
#include "fleet_membership.h"

#include "../replay/stream_codec.h"
#include "version.h"

namespace grademux {

fleet::RunningVersions runningVersions(const Config& config, const DaemonFile& daemon) {
  fleet::RunningVersions versions;
  versions.program = programVersion();
  versions.settings = fleet::planDigest(replay::headLine(config.settings, 0));
  if (!daemon.path.empty())
    versions.daemon = fleet::planDigest(daemon.sharedText());
  return versions;
}

FleetMembership::FleetMembership(boost::asio::io_context& io, Worker& worker,
                                 const fleet::FleetConfig& fleet_config, const Config& config,
                                 const DaemonFile& daemon, std::int64_t epoch, ListVersion list_version,
                                 CatchUp catch_up, SetAllowed set_allowed, RefreshEndpoints refresh_endpoints)
    : io_(io),
      worker_(worker),
      fleet_config_(fleet_config),
      state_folder_(config.state_folder),
      seed_(config.seed ^ fnv1a(fleet_config.name.data(), fleet_config.name.size())),
      epoch_(epoch),
      list_version_(std::move(list_version)),
      catch_up_(std::move(catch_up)),
      set_allowed_(std::move(set_allowed)),
      refresh_endpoints_(std::move(refresh_endpoints)),
      running_versions_(runningVersions(config, daemon)),
      member_(createMember()) {
  updateZonePolicy(config, daemon);
}

// The settings say how much load an endpoint can take when its zone recovers: cold capacity and slow start
// time.
void FleetMembership::updateZonePolicy(const Config& config, const DaemonFile& daemon) {
  zone_policy_.min_evacuation_time = fleet_config_.min_evacuation_time;
  zone_policy_.max_evacuation_backoff = 32 * fleet_config_.min_evacuation_time;
  zone_policy_.cold_capacity_fraction = std::min(1.0, config.settings.cold_capacity_fraction);
  zone_policy_.min_stage_time =
      std::max<Micros>(1'000'000, config.settings.slow_start_time / zone_policy_.stage_count);
  zone_policy_.regions = daemon.regions;
  sender_count_ = config.settings.sender_count;
}

std::unique_ptr<fleet::FleetMember> FleetMembership::createMember() {
  fleet::FleetMember::Callbacks callbacks;
  callbacks.list_version = list_version_;
  callbacks.catch_up = [this](const std::vector<fleet::MissingRequirement>& missing) {
    const bool endpoint_list =
        std::any_of(missing.begin(), missing.end(), [](const fleet::MissingRequirement& requirement) {
          return requirement.kind == fleet::MissingRequirement::Kind::list_version;
        });
    catch_up_(endpoint_list);
  };
  callbacks.set_allowed = set_allowed_;
  callbacks.refresh_endpoints = refresh_endpoints_;
  callbacks.zone_policy = [this]() -> const zones::ZonePolicy& { return zone_policy_; };
  callbacks.sender_count = [this] { return sender_count_; };
  return std::make_unique<fleet::FleetMember>(io_, worker_, fleet_config_,
                                              std::make_unique<fleet::Consul>(io_, fleet_config_.store),
                                              state_folder_, epoch_, seed_, std::move(callbacks));
}

void FleetMembership::onConfigApplied(const Config& config, const DaemonFile& daemon,
                                      const std::string& error) {
  running_versions_ = runningVersions(config, daemon);
  updateZonePolicy(config, daemon);
  member_->onConfigApplied(running_versions_, error);
}

void FleetMembership::resume() {
  member_ = createMember();
  member_->start(running_versions_, "handover called off", {});
}

bool FleetMembership::differs(const std::optional<fleet::FleetConfig>& first,
                              const std::optional<fleet::FleetConfig>& second) {
  if (!first || !second)
    return first.has_value() != second.has_value();
  return first->name != second->name || first->store != second->store || first->prefix != second->prefix ||
         first->session_ttl != second->session_ttl ||
         first->send_version_header != second->send_version_header ||
         first->evacuate_zones != second->evacuate_zones ||
         first->min_evacuation_time != second->min_evacuation_time ||
         first->audit_budget.bytes != second->audit_budget.bytes ||
         first->audit_budget.age != second->audit_budget.age;
}

}  // namespace grademux
