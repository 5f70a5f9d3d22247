// `grademux_sender fleet status`: the plan and the senders' compliance with it.
#include "fleet_command.h"

namespace grademux {

namespace {

class FleetStatusCommand : public FleetCommand {
 public:
  explicit FleetStatusCommand(CLI::App& fleet_app)
      : app_(*addStoreCommand(fleet_app, "status", "the plan, and each sender's compliance with it")) {
    app_.add_flag("--json", as_json_, "as one JSON object");
  }

  bool isSelected() const override { return app_.parsed(); }

 protected:
  int execute() override {
    resolveStore();
    return fleet::status(store_, as_json_);
  }

 private:
  CLI::App& app_;
  bool as_json_ = false;
};

}  // namespace

std::unique_ptr<Command> makeFleetStatusCommand(CLI::App& fleet_app) {
  return std::make_unique<FleetStatusCommand>(fleet_app);
}

}  // namespace grademux
