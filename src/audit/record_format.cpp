#include "record_format.h"

#include <xxhash.h>

#include "audit_log.h"

namespace grademux::audit {

void appendLittleEndian(std::string& out, std::uint64_t value, std::size_t bytes) {
  for (std::size_t i = 0; i < bytes; ++i)
    out.push_back(static_cast<char>(value >> (8 * i) & 0xff));
}

std::uint64_t readLittleEndian(const std::string& in, std::size_t position, std::size_t bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i)
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(in[position + i])) << (8 * i);
  return value;
}

std::uint64_t recordChecksum(std::uint64_t previous, const char* payload, std::size_t size) {
  std::string chained;
  appendLittleEndian(chained, previous, kChecksumBytes);
  chained.append(payload, size);
  return XXH3_64bits(chained.data(), chained.size());
}

std::string encodeRecord(const json& record, std::uint64_t& checksum) {
  std::string payload;
  json::to_msgpack(record, payload);
  checksum = recordChecksum(checksum, payload.data(), payload.size());
  std::string encoded(kRecordMagic, kRecordMagicSize);
  appendLittleEndian(encoded, payload.size(), kLengthBytes);
  appendLittleEndian(encoded, checksum, kChecksumBytes);
  return encoded + payload;
}

}  // namespace grademux::audit
