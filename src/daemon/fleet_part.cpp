// grademux: what the fleet adds to one sending process; see fleet_part.h.
#include "fleet_part.h"

#include "../replay/stream_codec.h"
#include "version.h"

namespace grademux {

fleet::Own ownOf(const Config& config, const DaemonFile& daemon) {
  fleet::Own own;
  own.program = programVersion();
  own.settings = fleet::digestOf(replay::headLine(config.settings, 0));
  if (!daemon.path.empty())
    own.daemon = fleet::digestOf(daemon.shared());
  return own;
}

FleetPart::FleetPart(boost::asio::io_context& io, Worker& worker, const fleet::Spec& spec,
                     const Config& config, const DaemonFile& daemon, std::int64_t epoch, List list,
                     CatchUp catch_up, Act act, Reshow reshow)
    : io_(io),
      worker_(worker),
      spec_(spec),
      folder_(config.state),
      seed_(config.seed ^ fnv1a(spec.name.data(), spec.name.size())),
      epoch_(epoch),
      list_(std::move(list)),
      catch_up_(std::move(catch_up)),
      act_(std::move(act)),
      reshow_(std::move(reshow)),
      own_(ownOf(config, daemon)),
      part_(make()) {
  take(config, daemon);
}

// What an endpoint bears on its return is the settings' to say.
void FleetPart::take(const Config& config, const DaemonFile& daemon) {
  rules_.least_out = spec_.zone_pause;
  rules_.most_pause = 32 * spec_.zone_pause;
  rules_.cold_share = std::min(1.0, config.settings.cold_share);
  rules_.stage = std::max<Micros>(1'000'000, config.settings.ramp_time / rules_.stages);
  rules_.regions = daemon.regions;
  senders_ = config.settings.senders;
}

std::unique_ptr<fleet::Part> FleetPart::make() {
  fleet::Part::Sender sender;
  sender.list = list_;
  sender.bring_up = [this](const std::vector<fleet::Lack>& lacks) {
    const bool list = std::any_of(lacks.begin(), lacks.end(),
                                  [](const fleet::Lack& l) { return l.what == fleet::Lack::What::list; });
    catch_up_(list);
  };
  sender.act = act_;
  sender.reshow = reshow_;
  sender.rules = [this]() -> const zones::Rules& { return rules_; };
  sender.senders = [this] { return senders_; };
  return std::make_unique<fleet::Part>(io_, worker_, spec_, std::make_unique<fleet::Consul>(io_, spec_.store),
                                       folder_, epoch_, seed_, std::move(sender));
}

void FleetPart::brought(const Config& config, const DaemonFile& daemon, const std::string& refused) {
  own_ = ownOf(config, daemon);
  take(config, daemon);
  part_->brought(own_, refused);
}

void FleetPart::again() {
  part_ = make();
  part_->start(own_, "handover called off", {});
}

bool FleetPart::differs(const std::optional<fleet::Spec>& a, const std::optional<fleet::Spec>& b) {
  if (!a || !b)
    return a.has_value() != b.has_value();
  return a->name != b->name || a->store != b->store || a->prefix != b->prefix || a->session != b->session ||
         a->stamp != b->stamp || a->judge_zones != b->judge_zones || a->zone_pause != b->zone_pause ||
         a->trail.bytes != b->trail.bytes || a->trail.age != b->trail.age;
}

}  // namespace grademux
