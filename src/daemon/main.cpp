// The command line of the sender: registers the sub-commands and runs the one that is selected.
#include <CLI/CLI.hpp>
#include <iterator>

#include "commands/command.h"
#include "version.h"

using namespace grademux;

int main(int argc, char** argv) {
  CLI::App app{"grademux: a sender of outbound messages. On a platform GW_CONFIG and GW_STATE configure it."};
  app.set_version_flag("--version", programVersion());
  std::vector<std::unique_ptr<Command>> commands;
  commands.push_back(makeCheckCommand(app));
  commands.push_back(makeInitCommand(app));
  commands.push_back(makeRunCommand(app));
  commands.push_back(makeKnowledgeCommand(app));
  for (std::unique_ptr<Command>& command : makeFleetCommands(app))
    commands.push_back(std::move(command));
  app.require_subcommand(0, 1);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitUnusable;
  }
  for (const std::unique_ptr<Command>& command : commands)
    if (command->isSelected())
      return command->run();
  return kExitUnusable;
}
