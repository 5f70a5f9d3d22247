// `grademux_sender fleet zones` and `fleet zone`: shows the zones' state, and evacuates zones or lets them
// recover.
#include <map>

#include "fleet_command.h"

namespace grademux {

namespace {

class FleetZoneCommand : public FleetCommand {
 public:
  explicit FleetZoneCommand(CLI::App& fleet_app)
      : show_(*addStoreCommand(fleet_app, "zones", "the states of the zones, and the senders' votes")),
        change_app_(
            *fleet_app.add_subcommand("zone", "evacuates a zone for the whole fleet, or lets it recover")) {
    show_.add_flag("--json", as_json_, "as one JSON object");
    addAction("leave", "evacuates the zone until `return`", fleet::ZoneCommand::evacuate);
    addAction("return", "starts the recovery: a few senders probe the zone, then traffic grows by stages",
              fleet::ZoneCommand::recover)
        .add_flag("--at-once", at_once_,
                  "makes the zone active without stages: the decision module alone limits traffic");
    addAction("hold", "keeps the zone's state, whatever the senders' votes are", fleet::ZoneCommand::hold);
    addAction("release", "lets the senders' votes decide again", fleet::ZoneCommand::release);
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
