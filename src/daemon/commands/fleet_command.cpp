// Common part of the fleet commands; see fleet_command.h.
#include "fleet_command.h"

#include <iostream>
#include <stdexcept>

namespace grademux {

namespace {

constexpr int kExitNotDone = 1;

}  // namespace

DaemonFile loadDaemonFile(const std::string& path) {
  std::vector<Mistake> mistakes;
  DaemonFile file = readDaemonFile(path, mistakes);
  if (!mistakes.empty())
    throw std::runtime_error(mistakes[0].format(path));
  return file;
}

int FleetCommand::run() {
  try {
    return execute();
  } catch (const std::exception& error) {
    std::cerr << "grademux: " << error.what() << '\n';
    return kExitNotDone;
  }
}

CLI::App* FleetCommand::addStoreCommand(CLI::App& parent, const char* name, const char* description) {
  CLI::App* command = parent.add_subcommand(name, description);
  command->add_option("--daemon", daemon_path_, "the daemon file, whose [fleet] names the store")
      ->type_name("FILE");
  command->add_option("--store", store_.store, "addresses of the store, in place of the file's");
  command->add_option("--prefix", store_.prefix, "prefix of the fleet's keys (default: grademux)");
  return command;
}

CLI::App* FleetCommand::addChangeCommand(CLI::App& parent, const char* name, const char* description) {
  CLI::App* command = addStoreCommand(parent, name, description);
  command->add_option("--why", change_.reason, "the reason, recorded in the plan and in each audit log")
      ->required();
  command->add_option("--by", change_.author, "who makes the change (default: user@host)");
  return command;
}

void FleetCommand::resolveStore() {
  if (!daemon_path_.empty()) {
    const DaemonFile file = loadDaemonFile(daemon_path_);
    if (!file.fleet)
      throw std::runtime_error(daemon_path_ + " has no [fleet]");
    if (store_.store.empty())
      store_.store = file.fleet->store;
    store_.prefix = file.fleet->prefix;
  }
  if (store_.store.empty())
    throw std::runtime_error("--daemon FILE or --store HOST:PORT is expected");
}

std::vector<std::unique_ptr<Command>> makeFleetCommands(CLI::App& app) {
  CLI::App& fleet_app = *app.add_subcommand("fleet", "the fleet's plan, its senders, zones and audit logs");
  std::vector<std::unique_ptr<Command>> commands;
  commands.push_back(makeFleetStatusCommand(fleet_app));
  commands.push_back(makeFleetPlanCommand(fleet_app));
  commands.push_back(makeFleetFenceCommand(fleet_app));
  commands.push_back(makeFleetZoneCommand(fleet_app));
  commands.push_back(makeFleetAuditCommand(fleet_app));
  commands.push_back(makeFleetDigestCommand(fleet_app));
  fleet_app.require_subcommand(1);
  return commands;
}

}  // namespace grademux
