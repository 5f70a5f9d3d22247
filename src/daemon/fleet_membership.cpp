// grademux: what the fleet adds to one sending process; see fleet_part.h.
#include "fleet_membership.h"

#include "../replay/stream_codec.h"
#include "version.h"

namespace grademux {

fleet::RunningVersions runningVersions(const Config& config, const DaemonFile& daemon) {
  fleet::RunningVersions own;
  own.program = programVersion();
  own.settings = fleet::planDigest(replay::headLine(config.settings, 0));
  if (!daemon.path.empty())
    own.daemon = fleet::planDigest(daemon.shared());
  return own;
}

FleetMembership::FleetMembership(boost::asio::io_context& io, Worker& worker, const fleet::FleetConfig& spec,
                                 const Config& config, const DaemonFile& daemon, std::int64_t epoch,
                                 ListVersion list, CatchUp catch_up, SetAllowed act, RefreshEndpoints reshow)
    : io_(io),
      worker_(worker),
      spec_(spec),
      folder_(config.state),
      seed_(config.seed ^ fnv1a(spec.name.data(), spec.name.size())),
      epoch_(epoch),
      list_version_(std::move(list)),
      catch_up_(std::move(catch_up)),
      set_allowed_(std::move(act)),
      refresh_endpoints_(std::move(reshow)),
      running_versions_(runningVersions(config, daemon)),
      member_(make()) {
  readConfig(config, daemon);
}

// What an endpoint bears on its return is the settings' to say.
void FleetMembership::readConfig(const Config& config, const DaemonFile& daemon) {
  zone_policy_.min_evacuation_time = spec_.min_evacuation_time;
  zone_policy_.max_evacuation_backoff = 32 * spec_.min_evacuation_time;
  zone_policy_.cold_capacity_fraction = std::min(1.0, config.settings.cold_capacity_fraction);
  zone_policy_.min_stage_time =
      std::max<Micros>(1'000'000, config.settings.slow_start_time / zone_policy_.stage_count);
  zone_policy_.regions = daemon.regions;
  sender_count_ = config.settings.sender_count;
}

std::unique_ptr<fleet::FleetMember> FleetMembership::make() {
  fleet::FleetMember::Callbacks sender;
  sender.list_version = list_version_;
  sender.catch_up = [this](const std::vector<fleet::MissingRequirement>& lacks) {
    const bool list = std::any_of(lacks.begin(), lacks.end(), [](const fleet::MissingRequirement& l) {
      return l.kind == fleet::MissingRequirement::Kind::list_version;
    });
    catch_up_(list);
  };
  sender.set_allowed = set_allowed_;
  sender.refresh_endpoints = refresh_endpoints_;
  sender.zone_policy = [this]() -> const zones::ZonePolicy& { return zone_policy_; };
  sender.sender_count = [this] { return sender_count_; };
  return std::make_unique<fleet::FleetMember>(io_, worker_, spec_,
                                              std::make_unique<fleet::Consul>(io_, spec_.store), folder_,
                                              epoch_, seed_, std::move(sender));
}

void FleetMembership::onConfigApplied(const Config& config, const DaemonFile& daemon,
                                      const std::string& refused) {
  running_versions_ = runningVersions(config, daemon);
  readConfig(config, daemon);
  member_->onConfigApplied(running_versions_, refused);
}

void FleetMembership::resume() {
  member_ = make();
  member_->start(running_versions_, "handover called off", {});
}

bool FleetMembership::differs(const std::optional<fleet::FleetConfig>& a,
                              const std::optional<fleet::FleetConfig>& b) {
  if (!a || !b)
    return a.has_value() != b.has_value();
  return a->name != b->name || a->store != b->store || a->prefix != b->prefix ||
         a->session_ttl != b->session_ttl || a->send_version_header != b->send_version_header ||
         a->evacuate_zones != b->evacuate_zones || a->min_evacuation_time != b->min_evacuation_time ||
         a->audit_budget.bytes != b->audit_budget.bytes || a->audit_budget.age != b->audit_budget.age;
}

}  // namespace grademux
