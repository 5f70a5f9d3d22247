// The sub-command `grademux_sender knowledge`: prints what a sender has learned, as a table or as JSON, and
// deletes it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace grademux::knowledge {

// `folder` is the journal's folder. Both functions return the exit status: 0, or 2 if the file is missing,
// unreadable, or has no record to delete.
int show(const std::string& folder, bool as_json);
// Deletes the records of one destination, or the whole file. A running sender keeps its learned state in
// memory and writes the file again.
int forget(const std::string& folder, std::optional<std::int64_t> destination);

}  // namespace grademux::knowledge
