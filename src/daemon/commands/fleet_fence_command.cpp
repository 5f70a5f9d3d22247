// `grademux_sender fleet shut-out` and `readmit`: fences one sender, and takes that back.
#include "fleet_command.h"

namespace grademux {

namespace {

class FleetFenceCommand : public FleetCommand {
 public:
  explicit FleetFenceCommand(CLI::App& fleet_app)
      : fence_(*addChangeCommand(fleet_app, "shut-out",
                                 "a sender takes on nothing and calls nobody until it is readmitted")),
        readmit_(*addChangeCommand(fleet_app, "readmit", "takes that back")) {
    for (CLI::App* command : {&fence_, &readmit_})
      command->add_option("NAME", sender_, "the sender")->required();
  }

  bool isSelected() const override { return fence_.parsed() || readmit_.parsed(); }

 protected:
  int execute() override {
    resolveStore();
    return fleet::setFenced(store_, change_, sender_, fence_.parsed());
  }

 private:
  CLI::App& fence_;
  CLI::App& readmit_;
  std::string sender_;
};

}  // namespace

std::unique_ptr<Command> makeFleetFenceCommand(CLI::App& fleet_app) {
  return std::make_unique<FleetFenceCommand>(fleet_app);
}

}  // namespace grademux
