// File format of the learned state of one sender. Reading never throws: damaged records are skipped and
// counted, and a file of another sender or of another format version is rejected as a whole. Times are Unix
// time in microseconds.
//
// The file is a sequence of frames. A frame is the payload's length (4 bytes, little-endian), the XXH3-64 of
// the payload (8 bytes, little-endian) and the payload, a MessagePack map. The first frame is the file's
// header, each other frame a record. Unknown fields are skipped, and absent fields have unknown values; the
// format version is increased only when a field changes its meaning.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "../core/learned_state.h"
#include "grademux/sender.h"

namespace grademux::knowledge {

constexpr int kFormatVersion = 1;

using grademux::LearnedRecord;

struct LearnedStateFile : LearnedState {
  std::string sender;
  Micros written = 0;  // when the file was written
};

// Returns at most `max_bytes` bytes with the most recently observed records; `left_out` is the number of the
// others. Returns an empty text if not even the header fits.
std::string encode(const LearnedStateFile& file, std::uint64_t max_bytes, std::size_t& left_out);

struct DecodedFile {
  LearnedStateFile state;
  bool found = false;       // the file exists
  std::string error;        // why the file is rejected; empty: the file is accepted
  std::size_t damaged = 0;  // damaged records; a lower bound, because damage may hide the records after it
};
// `sender` is the expected sender of the file; if `sender` is empty, the file of any sender is accepted.
DecodedFile decode(const std::string& bytes, const std::string& sender);
DecodedFile loadLearnedState(const std::string& path, const std::string& sender);

}  // namespace grademux::knowledge
