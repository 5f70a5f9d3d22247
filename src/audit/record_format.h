// Encoding of audit records on disk: record mark, payload length (4 bytes, little-endian), checksum (8
// bytes), payload (one MessagePack object). The checksum covers the checksum of the record before and the
// payload; for the first record of a segment, the segment's number takes the place of the checksum before.
// Pure functions.
#pragma once

#include <cstdint>
#include <string>

namespace grademux::audit {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kChecksumBytes = 8;

void appendLittleEndian(std::string& out, std::uint64_t value, std::size_t bytes);
std::uint64_t readLittleEndian(const std::string& in, std::size_t position, std::size_t bytes);
/// XXH3-64 over the checksum of the record before and the payload.
std::uint64_t recordChecksum(std::uint64_t previous, const char* payload, std::size_t size);

}  // namespace grademux::audit
