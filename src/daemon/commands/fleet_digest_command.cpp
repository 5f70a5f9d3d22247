// `grademux_sender fleet digest`: the digests that a plan requires when it requires these files.
#include <iostream>
#include <stdexcept>

#include "../fleet_membership.h"
#include "fleet_command.h"

namespace grademux {

namespace {

class FleetDigestCommand : public FleetCommand {
 public:
  explicit FleetDigestCommand(CLI::App& fleet_app)
      : app_(*fleet_app.add_subcommand("digest",
                                       "prints the digests that a plan requires to require these files")) {
    app_.add_option("--config", config_path_, "a platform's configuration, for its settings")
        ->type_name("FILE");
    app_.add_option("--daemon", daemon_path_, "a daemon file")->type_name("FILE");
  }

  bool isSelected() const override { return app_.parsed(); }

 protected:
  int execute() override {
    if (config_path_.empty() && daemon_path_.empty())
      throw std::runtime_error("--config FILE or --daemon FILE is expected");
    DaemonFile file;
    if (!daemon_path_.empty())
      file = loadDaemonFile(daemon_path_);
    Config config;
    if (!config_path_.empty())
      config.settings = readSettingsFile(config_path_);
    else if (file.standalone)
      config.settings = file.standalone->settings;
    const fleet::RunningVersions versions = runningVersions(config, file);
    if (!config_path_.empty() || file.standalone)
      std::cout << "settings " << versions.settings << '\n';
    if (!daemon_path_.empty())
      std::cout << "daemon-file " << versions.daemon << '\n';
    return 0;
  }

 private:
  CLI::App& app_;
  std::string config_path_, daemon_path_;
};

}  // namespace

std::unique_ptr<Command> makeFleetDigestCommand(CLI::App& fleet_app) {
  return std::make_unique<FleetDigestCommand>(fleet_app);
}

}  // namespace grademux
