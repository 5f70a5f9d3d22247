// `grademux_sender fleet zones` and `fleet zone`: shows the zones' state, and evacuates zones or lets them
// recover.
#include <map>

#include "fleet_command.h"

namespace grademux {

namespace {

class FleetZoneCommand : public FleetCommand {
 public:
  explicit FleetZoneCommand(CLI::App& fleet_app)
      : show_(*addStoreCommand(fleet_app, "zones",
                               "how the fleet stands to its zones, and who sees what there")),
        change_app_(*fleet_app.add_subcommand("zone", "leaves a zone as one fleet, and comes back")) {
    show_.add_flag("--json", as_json_, "as one JSON object");
    addAction("leave", "no call goes in until it is told to return", fleet::ZoneCommand::evacuate);
    addAction("return", "a few try it, then it gets more stage by stage", fleet::ZoneCommand::recover)
        .add_flag("--at-once", at_once_, "the module alone decides from now on");
    addAction("hold", "it stays as it is, whatever the senders see", fleet::ZoneCommand::hold);
    addAction("release", "what the senders see decides again", fleet::ZoneCommand::release);
    change_app_.require_subcommand(1);
  }

  bool isSelected() const override { return show_.parsed() || change_app_.parsed(); }

 protected:
  int execute() override {
    resolveStore();
    if (show_.parsed())
      return fleet::zones(store_, as_json_);
    const fleet::ZoneCommand action = at_once_ ? fleet::ZoneCommand::activate : selectedAction();
    return fleet::zone(store_, change_, zone_, action, is_region_);
  }

 private:
  CLI::App& addAction(const char* name, const char* description, fleet::ZoneCommand action) {
    CLI::App* command = addChangeCommand(change_app_, name, description);
    command->add_option("NAME", zone_, "the zone")->required();
    command->add_flag("--region", is_region_, "NAME is a region: all of its zones");
    actions_[command] = action;
    return *command;
  }

  fleet::ZoneCommand selectedAction() const { return actions_.at(change_app_.get_subcommands().at(0)); }

  CLI::App& show_;
  CLI::App& change_app_;
  std::map<const CLI::App*, fleet::ZoneCommand> actions_;
  std::string zone_;  // or region
  bool as_json_ = false, at_once_ = false, is_region_ = false;
};

}  // namespace

std::unique_ptr<Command> makeFleetZoneCommand(CLI::App& fleet_app) {
  return std::make_unique<FleetZoneCommand>(fleet_app);
}

}  // namespace grademux
