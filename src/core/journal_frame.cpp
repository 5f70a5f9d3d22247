#include "journal_frame.h"

#include <zlib.h>

#include <cstdint>

namespace grademux {

namespace {

constexpr std::string_view kMark("\xA7GJ1", kFrameMarkBytes);
constexpr std::uint32_t kMaxPayloadBytes = 4u << 20;

// CRC-32/ISO-HDLC.
std::uint32_t checksum(std::string_view payload) {
  return static_cast<std::uint32_t>(
      ::crc32_z(0, reinterpret_cast<const unsigned char*>(payload.data()), payload.size()));
}

void appendWord(std::string& out, std::uint32_t word) {
  for (int i = 0; i < 4; ++i)
    out.push_back(static_cast<char>(word >> (8 * i) & 0xff));
}

std::uint32_t wordAt(std::string_view data, std::size_t position) {
  std::uint32_t word = 0;
  for (std::size_t i = 0; i < 4; ++i)
    word |= static_cast<std::uint32_t>(static_cast<unsigned char>(data[position + i])) << (8 * i);
  return word;
}

}  // namespace

void appendFrame(std::string& out, std::string_view payload) {
  out += kMark;
  appendWord(out, static_cast<std::uint32_t>(payload.size()));
  appendWord(out, checksum(payload));
  out += payload;
}

std::optional<std::string_view> FrameScanner::payloadAt(std::size_t position) const {
  if (data_.compare(position, kFrameMarkBytes, kMark) != 0)
    return std::nullopt;
  const std::uint32_t size = wordAt(data_, position + kFrameMarkBytes);
  if (size < 1 || size > kMaxPayloadBytes || size > data_.size() - position - kFrameHeaderBytes)
    return std::nullopt;
  const std::string_view payload = data_.substr(position + kFrameHeaderBytes, size);
  if (checksum(payload) != wordAt(data_, position + kFrameMarkBytes + 4))
    return std::nullopt;
  return payload;
}

std::optional<FrameScanner::Frame> FrameScanner::next() {
  bool damage = false;
  while (position_ + kFrameHeaderBytes <= data_.size()) {
    if (const std::optional<std::string_view> payload = payloadAt(position_)) {
      position_ += kFrameHeaderBytes + payload->size();
      intact_end_ = position_;
      return Frame{*payload, damage};
    }
    damage = true;
    const std::size_t mark = data_.find(kMark, position_ + 1);
    if (mark == std::string_view::npos)
      break;
    position_ = mark;
  }
  position_ = data_.size();
  return std::nullopt;
}

}  // namespace grademux
