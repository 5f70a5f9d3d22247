// Framing of journal records: a mark, the payload's length (4 bytes, little-endian), its CRC-32 (4 bytes,
// little-endian) and the payload. The mark lets a reader find the next record after a damaged one.
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

// Walks over the intact frames of a journal and skips damaged ranges. Keeps a view of the data.
class FrameScanner {
 public:
  struct Frame {
    std::string_view payload;
    bool follows_damage = false;  // the bytes before this frame could not be read
  };

  explicit FrameScanner(std::string_view data) : data_(data) {}

  // The next intact frame, or nothing when no more follow.
  std::optional<Frame> next();
  // Where the last intact frame ends; what follows is an incomplete write.
  std::size_t intactBytes() const { return intact_end_; }

 private:
  std::optional<std::string_view> payloadAt(std::size_t position) const;

  std::string_view data_;
  std::size_t position_ = 0;
  std::size_t intact_end_ = 0;
};

}  // namespace grademux
