// The commands that operators send to the admin server, and their results. Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace grademux::operate {

enum class AdminCommand { status, standby, active };

/// The answer to one command.
struct CommandResult {
  bool ok = false;     // ACK, else NAK
  std::string reason;  // for people
};

/// The command that a line names, without its LF and with or without its CR; empty for any other line.
std::optional<AdminCommand> parseAdminCommand(std::string_view line);

}  // namespace grademux::operate
