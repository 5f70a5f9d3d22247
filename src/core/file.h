// grademux: what all that keeps a file of its own needs of POSIX files.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace grademux {

// Adds what is left of the file, and stops once there is more than `most`. False: it can't be read, errno
// tells why.
bool readAll(int fd, std::string& data, std::size_t most = SIZE_MAX);
// False: not all was written, errno tells why.
bool writeAll(int fd, const std::string& data);
// Writes a file beside the old one, then renames it over that. Empty, or what went wrong; then the old one is
// as it was.
std::string replaceFile(const std::string& path, const std::string& bytes);
// The bytes that a file takes of a disk budget: files count in whole blocks.
constexpr std::uint64_t kFileBlock = 512;
std::uint64_t blocks(std::uint64_t bytes);

}  // namespace grademux
