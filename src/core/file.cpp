#include "file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

namespace grademux {

namespace {

// Removes the incomplete new file. Returns the error of the call that failed.
std::string discardNewFile(const std::string& new_path, int fd) {
  std::string error = std::strerror(errno);
  if (fd >= 0)
    ::close(fd);
  ::unlink(new_path.c_str());
  return error;
}

}  // namespace

bool readAll(int fd, std::string& data, std::size_t max_bytes) {
  char buffer[65536];
  while (data.size() <= max_bytes) {
    const ssize_t count = ::read(fd, buffer, sizeof buffer);
    if (count < 0 && errno == EINTR)
      continue;
    if (count < 0)
      return false;
    if (count == 0)
      break;
    data.append(buffer, static_cast<std::size_t>(count));
  }
  return true;
}

bool writeAll(int fd, const std::string& data) {
  for (std::size_t written = 0; written < data.size();) {
    const ssize_t count = ::write(fd, data.data() + written, data.size() - written);
    if (count < 0 && errno == EINTR)
      continue;
    if (count < 0)
      return false;
    written += static_cast<std::size_t>(count);
  }
  return true;
}

std::string replaceFile(const std::string& path, const std::string& bytes) {
  const std::string new_path = path + ".new";
  const int fd = ::open(new_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (fd < 0 || !writeAll(fd, bytes))
    return discardNewFile(new_path, fd);
  if (::close(fd) != 0 || std::rename(new_path.c_str(), path.c_str()) != 0)
    return discardNewFile(new_path, -1);
  return "";
}

std::uint64_t sizeOnDisk(std::uint64_t bytes) {
  return (bytes + kFileBlockBytes - 1) / kFileBlockBytes * kFileBlockBytes;
}

}  // namespace grademux
