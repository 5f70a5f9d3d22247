// grademux: files; see file.h.
#include "file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

namespace grademux {

bool readAll(int fd, std::string& data, std::size_t most) {
  char piece[65536];
  while (data.size() <= most) {
    const ssize_t n = ::read(fd, piece, sizeof piece);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0)
      return false;
    if (n == 0)
      break;
    data.append(piece, static_cast<std::size_t>(n));
  }
  return true;
}

bool writeAll(int fd, const std::string& data) {
  for (std::size_t done = 0; done < data.size();) {
    const ssize_t n = ::write(fd, data.data() + done, data.size() - done);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0)
      return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

std::string replaceFile(const std::string& path, const std::string& bytes) {
  const std::string fresh = path + ".new";
  const auto failed = [&](int fd) {
    const std::string why = std::strerror(errno);
    if (fd >= 0)
      ::close(fd);
    ::unlink(fresh.c_str());
    return why;
  };
  const int fd = ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (fd < 0)
    return failed(fd);
  if (!writeAll(fd, bytes))
    return failed(fd);
  if (::close(fd) != 0 || std::rename(fresh.c_str(), path.c_str()) != 0)
    return failed(-1);
  return "";
}

std::uint64_t blocks(std::uint64_t bytes) {
  return (bytes + kFileBlock - 1) / kFileBlock * kFileBlock;
}

}  // namespace grademux
