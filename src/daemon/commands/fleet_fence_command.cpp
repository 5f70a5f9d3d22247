// `grademux_sender fleet shut-out` and `readmit`: fences one sender, or readmits it.
#include "fleet_command.h"

namespace grademux {

namespace {

class FleetFenceCommand : public FleetCommand {
 public:
  explicit FleetFenceCommand(CLI::App& fleet_app)
      : fence_(*addChangeCommand(fleet_app, "shut-out",
                                 "fences a sender: it accepts and sends no message until readmitted")),
        readmit_(*addChangeCommand(fleet_app, "readmit", "ends the fencing of a sender")) {
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
