// `grademux_sender fleet plan`: shows the fleet's plan or replaces it.
#include "fleet_command.h"

namespace grademux {

namespace {

constexpr double kMicrosPerSecond = 1e6;

class FleetPlanCommand : public FleetCommand {
 public:
  explicit FleetPlanCommand(CLI::App& fleet_app)
      : app_(*fleet_app.add_subcommand("plan", "the fleet's plan, which all senders follow")) {
    show_ = addStoreCommand(app_, "show", "prints the plan");
    show_->add_flag("--json", as_json_, "as one JSON object");
    propose_ = addChangeCommand(app_, "propose", "replaces the plan by one with other requirements");
    addRequirementOptions();
    addPolicyOptions();
    bind_ = addChangeCommand(app_, "bind", "keeps the requirements and makes the plan strict");
    halt_ = addChangeCommand(
        app_, "halt", "restores the previous plan's requirements in a new plan that is marked as halted");
    addChangeCommand(app_, "revert", "restores the previous plan's requirements");
    app_.require_subcommand(1);
  }

  bool isSelected() const override { return app_.parsed(); }

 protected:
  int execute() override {
    resolveStore();
    if (show_->parsed())
      return fleet::showPlan(store_, as_json_);
    if (propose_->parsed())
      return propose();
    if (bind_->parsed())
      return fleet::bind(store_, change_);
    return fleet::revert(store_, change_, halt_->parsed());
  }

 private:
  void addRequirementOptions() {
    propose_->add_option("--like", change_.example_sender,
                         "requires the settings and daemon file of this sender");
    propose_->add_option("--settings", change_.settings, "a digest; '' for any");
    propose_->add_option("--daemon-file", change_.daemon, "a digest; '' for any");
    propose_->add_option("--program", change_.program, "the lowest version; '' for any");
    propose_->add_option("--list", change_.list_version, "the lowest version of the endpoint list");
  }

  void addPolicyOptions() {
    propose_->add_option("--mode", mode_, "strict: a sender whose lease has ended stops")
        ->check(CLI::IsMember({"strict", "lenient"}));
    propose_
        ->add_option("--lease", lease_seconds_, "seconds that a sender may act by a plan after reading it")
        ->check(CLI::Range(1.0, 3600.0));
    binds_after_ = propose_->add_option("--binds-after", binds_after_seconds_,
                                        "seconds; at least the lease of the previous plan");
    binds_after_->check(CLI::Range(0.0, 86400.0));
    propose_
        ->add_option("--most-shut-out", change_.max_fenced_fraction,
                     "fraction of senders that may be fenced; beyond it the plan is halted")
        ->check(CLI::Range(0.0, 1.0));
  }

  int propose() {
    if (!mode_.empty())
      change_.strict = mode_ == "strict";
    if (lease_seconds_ > 0)
      change_.lease = static_cast<Micros>(lease_seconds_ * kMicrosPerSecond);
    if (binds_after_->count() > 0)
      change_.effective_after = static_cast<Micros>(binds_after_seconds_ * kMicrosPerSecond);
    return fleet::propose(store_, change_);
  }

  CLI::App& app_;
  CLI::App* show_ = nullptr;
  CLI::App* propose_ = nullptr;
  CLI::App* bind_ = nullptr;
  CLI::App* halt_ = nullptr;
  CLI::Option* binds_after_ = nullptr;
  std::string mode_;
  double lease_seconds_ = 0, binds_after_seconds_ = 0;
  bool as_json_ = false;
};

}  // namespace

std::unique_ptr<Command> makeFleetPlanCommand(CLI::App& fleet_app) {
  return std::make_unique<FleetPlanCommand>(fleet_app);
}

}  // namespace grademux
