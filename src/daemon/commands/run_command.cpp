// `grademux_sender run`: runs the sender.
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <string>

#include "../../net/address.h"
#include "../service.h"
#include "command.h"

namespace grademux {

namespace {

constexpr std::uint64_t kDefaultRecordingMiB = 1024;

bool isPlatformConfigured() {
  const char* path = std::getenv("GW_CONFIG");
  return path && *path;
}

// Either the platform's configuration or the tables of the daemon file give classes, partners and limits.
Config loadConfig(const DaemonFile& daemon_file, const std::string& path) {
  const bool on_platform = isPlatformConfigured();
  if (on_platform && daemon_file.standalone)
    throw std::runtime_error(
        path +
        ": GW_CONFIG is set and gives classes, partners, limits and journal: remove these "
        "tables, or unset GW_CONFIG to run a standalone sender");
  if (on_platform)
    return readConfig();
  if (daemon_file.standalone)
    return makeConfig(*daemon_file.standalone, path);
  if (path.empty())
    throw std::runtime_error(
        "GW_CONFIG is not set; a standalone sender needs a daemon file: `grademux_sender init` writes one");
  throw std::runtime_error("GW_CONFIG is not set, and " + path + " has no [[class]] and [[partner]]");
}

void applyAdminAddress(const DaemonFile& daemon_file, const std::string& path, Config& config) {
  if (!daemon_file.admin_address)
    return;
  if (!config.admin_address.empty())
    throw std::runtime_error(path +
                             ": `mgmt` or GW_MGMT gives the admin server's address: remove [operators]");
  config.admin_address = addressText(*daemon_file.admin_address);
}

class RunCommand : public Command {
 public:
  explicit RunCommand(CLI::App& app) : main_app_(app) {
    app.add_option("--daemon", daemon_path_, "the daemon file (TOML) with the product's own features")
        ->type_name("FILE");
    app.add_option("--record", recording_.path, "appends the decision module's input and output to this file")
        ->type_name("FILE");
    app.add_option("--record-mb", recording_mib_, "recording ends when the file has this size (1024)")
        ->check(CLI::Range(1, 1 << 20));
    app_ = app.add_subcommand("run", "runs the sender, as without a subcommand");
    app_->add_option("--daemon", daemon_path_, "the daemon file")->type_name("FILE");
  }

  bool isSelected() const override { return app_->parsed() || main_app_.get_subcommands().empty(); }

  int run() override {
    try {
      return serveUntilStopped();
    } catch (const std::exception& error) {
      std::cerr << "grademux: " << error.what() << '\n';
      return kExitUnusable;
    }
  }

 private:
  int serveUntilStopped() {
    std::signal(SIGPIPE, SIG_IGN);
    // Signals are caught before anything else: one that arrives early waits until the loop runs.
    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGHUP, SIGTERM, SIGINT);
    DaemonFile daemon_file;
    if (!daemon_path_.empty() && !loadDaemonFile(daemon_file))
      return kExitUnusable;
    Config config = loadConfig(daemon_file, daemon_path_);
    applyAdminAddress(daemon_file, daemon_path_, config);
    recording_.most_bytes = recording_mib_ << 20;
    serve(io, signals, std::move(config), std::move(daemon_file), recording_);
    return 0;
  }

  // Prints all mistakes and returns false if there are any.
  bool loadDaemonFile(DaemonFile& file) const {
    std::vector<Mistake> mistakes;
    file = readDaemonFile(daemon_path_, mistakes);
    for (const Mistake& mistake : mistakes)
      std::cerr << mistake.format(daemon_path_) << '\n';
    if (!mistakes.empty())
      return false;
    log::configure(file.log);
    return true;
  }

  CLI::App& main_app_;
  CLI::App* app_ = nullptr;
  std::string daemon_path_;
  Recording recording_;
  std::uint64_t recording_mib_ = kDefaultRecordingMiB;
};

}  // namespace

std::unique_ptr<Command> makeRunCommand(CLI::App& app) {
  return std::make_unique<RunCommand>(app);
}

}  // namespace grademux
