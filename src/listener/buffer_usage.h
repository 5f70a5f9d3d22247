// What the buffers of client connections have allocated, by what they hold. Plain data.
#pragma once

#include <cstddef>
#include <string>

namespace grademux {

// In bytes.
struct BufferUsage {
  std::size_t requests = 0;  // requests that have been read in part
  std::size_t replies = 0;   // replies that clients have not read
  std::size_t idle = 0;      // capacity that no request and no reply uses

  BufferUsage& operator+=(const BufferUsage& other) {
    requests += other.requests;
    replies += other.replies;
    idle += other.idle;
    return *this;
  }
};

// The bytes that a string has allocated.
inline std::size_t allocatedBytes(const std::string& text) {
  static const std::size_t inline_capacity = std::string().capacity();
  return text.capacity() > inline_capacity ? text.capacity() : 0;
}

}  // namespace grademux
