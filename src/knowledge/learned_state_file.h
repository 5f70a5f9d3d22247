// grademux: what a sender has learned, as a file: records with a checksum each. Reading one never throws and
// never trusts: what is damaged is left out and counted, what is of another sender or of a newer form is left
// as a whole. Times are Unix time in microseconds.
//
// The file: frames of a length (4 bytes, little-endian), XXH3-64 of the payload (8 bytes) and the payload, a
// map in MessagePack. The first one heads the file. Fields that a reader doesn't know are skipped, absent
// ones are unknown; the form's number rises only when a field changes its meaning.
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
  Micros written = 0;
};

// With `most_bytes` as a bound, what was heard of longest ago is left out, and counted.
std::string encode(const LearnedStateFile& book, std::uint64_t most_bytes, std::size_t& left_out);

struct DecodedFile {
  LearnedStateFile state;
  bool found = false;
  std::string error;        // why nothing of it is used
  std::size_t damaged = 0;  // records, at least, that are not used
};
// `sender`: whose it has to be; empty: anyone's.
DecodedFile decode(const std::string& bytes, const std::string& sender);
DecodedFile loadLearnedState(const std::string& path, const std::string& sender);

}  // namespace grademux::knowledge
