// Helpers for reading, writing and replacing whole files through POSIX calls.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace grademux {

// Appends the rest of the file to `data`; stops once `data` is larger than `max_bytes`. False: the file can't
// be read, and errno is set.
bool readAll(int fd, std::string& data, std::size_t max_bytes = SIZE_MAX);
// False: not all of `data` was written, and errno is set.
bool writeAll(int fd, const std::string& data);
// Writes `bytes` to a new file and renames that file to `path`. Returns an empty string, or the error text;
// after an error the old file is unchanged.
std::string replaceFile(const std::string& path, const std::string& bytes);
// The bytes that a file of this size takes from a disk budget: the size rounded up to whole blocks.
constexpr std::uint64_t kFileBlockBytes = 512;
std::uint64_t sizeOnDisk(std::uint64_t bytes);

}  // namespace grademux
