// Writes what a journal still holds as a new sequence of records. No I/O.
#pragma once

#include <string>

#include "journal_state.h"

namespace grademux {

// The framed records of all that `state` holds, with the referenced versions alone.
std::string encodeCompacted(const JournalState& state, const ReferencedVersions& referenced,
                            std::size_t expected_bytes);

}  // namespace grademux
