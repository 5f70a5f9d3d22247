// grademux: files; see file.h.
#include "file.h"

#include <unistd.h>

#include <cerrno>

namespace grademux {

bool readAll(int fd, std::string& data, std::size_t most) {
  char piece[65536];
  while (data.size() <= most) {
    const ssize_t n = ::read(fd, piece, sizeof piece);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return false;
    if (n == 0) break;
    data.append(piece, static_cast<std::size_t>(n));
  }
  return true;
}

bool writeAll(int fd, const std::string& data) {
  for (std::size_t done = 0; done < data.size();) {
    const ssize_t n = ::write(fd, data.data() + done, data.size() - done);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

std::uint64_t blocks(std::uint64_t bytes) { return (bytes + kFileBlock - 1) / kFileBlock * kFileBlock; }

}  // namespace grademux
