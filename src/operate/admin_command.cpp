// The operators' commands; see admin_command.h.
#include "admin_command.h"

namespace grademux::operate {

namespace {

struct CommandName {
  std::string_view name;  // as on the wire
  AdminCommand command;
};

constexpr CommandName kCommandNames[] = {
    {"status", AdminCommand::status},
    {"standby", AdminCommand::standby},
    {"active", AdminCommand::active},
};

}  // namespace

std::optional<AdminCommand> parseAdminCommand(std::string_view line) {
  if (!line.empty() && line.back() == '\r')
    line.remove_suffix(1);
  for (const CommandName& entry : kCommandNames)
    if (entry.name == line)
      return entry.command;
  return std::nullopt;
}

}  // namespace grademux::operate
