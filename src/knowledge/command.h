// grademux: `grademux_sender knowledge`: what a sender has learned, for people and as JSON, and forgetting
// it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace grademux::knowledge {

// FOLDER is the one of the journal. Each gives the exit status: 0, or 2 if there is nothing to be read.
int show(const std::string& folder, bool as_json);
// Of one destination, or all. A sender that runs keeps what it knows and writes it again.
int forget(const std::string& folder, std::optional<std::int64_t> destination);

}  // namespace grademux::knowledge
