// What the sub-commands of `grademux_sender fleet` have in common: the options that name the store and the
// reason of a change, and the exit status after an error.
#pragma once

#include <string>

#include "../../fleet/command.h"
#include "../daemon_file.h"
#include "command.h"

namespace grademux {

/// Reads a daemon file. Throws std::runtime_error with the first mistake in it.
DaemonFile loadDaemonFile(const std::string& path);

/// Base of the sub-commands of `fleet`.
class FleetCommand : public Command {
 public:
  /// Calls execute(). An exception is printed, and gives the exit status 1.
  int run() final;

 protected:
  /// Carries the command out. Returns the exit status; throws std::exception with a message for the operator.
  virtual int execute() = 0;

  /// Adds a sub-command with the options that name the store.
  CLI::App* addStoreCommand(CLI::App& parent, const char* name, const char* description);
  /// Adds a sub-command with the options of addStoreCommand() and --why and --by, for a sub-command that
  /// changes the plan.
  CLI::App* addChangeCommand(CLI::App& parent, const char* name, const char* description);
  /// Takes the store from the daemon file, unless the command line names one. Throws std::runtime_error when
  /// neither does.
  void resolveStore();
  /// True if the command line names a store, itself or by a daemon file.
  bool isStoreGiven() const { return !daemon_path_.empty() || !store_.store.empty(); }

  fleet::StoreLocation store_;
  fleet::PlanChange change_;

 private:
  std::string daemon_path_;
};

/// `fleet status`.
std::unique_ptr<Command> makeFleetStatusCommand(CLI::App& fleet_app);
/// `fleet plan show|propose|bind|halt|revert`.
std::unique_ptr<Command> makeFleetPlanCommand(CLI::App& fleet_app);
/// `fleet shut-out` and `fleet readmit`.
std::unique_ptr<Command> makeFleetFenceCommand(CLI::App& fleet_app);
/// `fleet zones` and `fleet zone leave|return|hold|release`.
std::unique_ptr<Command> makeFleetZoneCommand(CLI::App& fleet_app);
/// `fleet audit`.
std::unique_ptr<Command> makeFleetAuditCommand(CLI::App& fleet_app);
/// `fleet digest`.
std::unique_ptr<Command> makeFleetDigestCommand(CLI::App& fleet_app);

}  // namespace grademux
