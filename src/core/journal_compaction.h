// Encodes the live contents of a journal as a new sequence of records. No I/O.
#pragma once

#include <string>

#include "journal_state.h"

namespace grademux {

// The framed records of the contents of `state`; versions that are not referenced are left out.
// `expected_bytes`: the expected size of the result, reserved in advance.
std::string encodeCompacted(const JournalState& state, const ReferencedVersions& referenced,
                            std::size_t expected_bytes);

}  // namespace grademux
