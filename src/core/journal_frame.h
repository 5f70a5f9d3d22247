// Framing of journal records: a mark of 4 bytes, the payload's length (4 bytes, little-endian), its CRC-32
// (4 bytes, little-endian) and the payload. The mark lets a reader find the next record after a damaged one.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace grademux {

constexpr std::size_t kFrameMarkBytes = 4;
constexpr std::size_t kFrameHeaderBytes = kFrameMarkBytes + 8;

// Appends `payload` to `out`, framed.
void appendFrame(std::string& out, std::string_view payload);

// Iterates over the intact frames of a journal and skips damaged ranges. Keeps a view of the data, which must
// outlive the scanner.
class FrameScanner {
 public:
  struct Frame {
    std::string_view payload;
    bool follows_damage = false;  // the bytes before this frame could not be read
  };

  explicit FrameScanner(std::string_view data) : data_(data) {}

  // The next intact frame, or nothing if no intact frame follows.
  std::optional<Frame> next();
  // The position after the last intact frame; bytes after it are an incomplete write.
  std::size_t intactBytes() const { return intact_end_; }

 private:
  std::optional<std::string_view> payloadAt(std::size_t position) const;

  std::string_view data_;
  std::size_t position_ = 0;
  std::size_t intact_end_ = 0;
};

}  // namespace grademux
