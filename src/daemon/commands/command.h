// The sub-commands of the command line. Each registers its options with the parser, and runs if the parsed
// command line selects it.
#pragma once

#include <CLI/CLI.hpp>
#include <memory>
#include <vector>

namespace grademux {

/// Exit status when the command line, the configuration or a file can't be used.
constexpr int kExitUnusable = 2;

/// One sub-command, or a group of sub-commands with the same options.
class Command {
 public:
  Command() = default;
  Command(const Command&) = delete;
  Command& operator=(const Command&) = delete;
  virtual ~Command() = default;

  /// True if the parsed command line names this command.
  virtual bool isSelected() const = 0;
  /// Carries the command out, after parsing. Returns the exit status of the program.
  virtual int run() = 0;
};

/// `check FILE`: reports every mistake in a daemon file and in the partner files that it names.
std::unique_ptr<Command> makeCheckCommand(CLI::App& app);
/// `init FOLDER`: writes a first daemon file.
std::unique_ptr<Command> makeInitCommand(CLI::App& app);
/// `run`: runs the sender. Selected as well when the command line names no sub-command.
std::unique_ptr<Command> makeRunCommand(CLI::App& app);
/// `knowledge show` and `knowledge forget`: the learned state in a state folder.
std::unique_ptr<Command> makeKnowledgeCommand(CLI::App& app);
/// `fleet ...`: the fleet's plan, its senders, zones and audit logs.
std::vector<std::unique_ptr<Command>> makeFleetCommands(CLI::App& app);

}  // namespace grademux
