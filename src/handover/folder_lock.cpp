// Ownership of the state folder; see folder_lock.h.
#include "folder_lock.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>
#include <system_error>

namespace grademux::handover {

FolderLock::FolderLock(const std::string& folder)
    : fd_(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)) {
  if (fd_ < 0)
    throw std::runtime_error("folder " + folder + ": " + std::generic_category().message(errno));
}

FolderLock::~FolderLock() {
  ::close(fd_);
}

bool FolderLock::tryLock() {
  while (!locked_) {
    if (::flock(fd_, LOCK_EX | LOCK_NB) == 0)
      break;
    if (errno == EWOULDBLOCK)
      return false;
    if (errno != EINTR)
      break;
  }
  locked_ = true;
  return true;
}

void FolderLock::unlock() {
  if (locked_)
    ::flock(fd_, LOCK_UN);
  locked_ = false;
}

}  // namespace grademux::handover
