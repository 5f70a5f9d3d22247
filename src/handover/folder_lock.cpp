// grademux: who owns the folder that lasts; see folder_lock.h.
#include "folder_lock.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace grademux::handover {

FolderLock::FolderLock(const std::string& folder)
    : fd_(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)) {
  if (fd_ < 0)
    throw std::runtime_error("folder " + folder + ": " + std::strerror(errno));
}

FolderLock::~FolderLock() {
  ::close(fd_);
}

bool FolderLock::take() {
  while (!held_) {
    if (::flock(fd_, LOCK_EX | LOCK_NB) == 0)
      break;
    if (errno == EWOULDBLOCK)
      return false;
    if (errno != EINTR)
      break;
  }
  return held_ = true;
}

void FolderLock::release() {
  if (held_)
    ::flock(fd_, LOCK_UN);
  held_ = false;
}

}  // namespace grademux::handover
