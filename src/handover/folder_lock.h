// Exclusive ownership of the state folder: a kernel lock on the folder itself (flock(2)). The kernel
// releases the lock whenever the process ends, and no lock file is needed.
#pragma once

#include <string>

namespace grademux::handover {

class FolderLock {
 public:
  /// Opens the folder without locking it. Throws std::runtime_error when it can't be opened.
  explicit FolderLock(const std::string& folder);
  ~FolderLock();
  FolderLock(const FolderLock&) = delete;
  FolderLock& operator=(const FolderLock&) = delete;

  /// Takes the lock unless this process already has it. Returns false if another process has the lock. On a
  /// file system without locks the call succeeds, as if no other process existed.
  bool tryLock();
  void unlock();
  bool isLocked() const { return locked_; }
  /// Returns the folder's descriptor, which stays open for the lifetime of this object.
  int fd() const { return fd_; }

 private:
  int fd_ = -1;
  bool locked_ = false;
};

}  // namespace grademux::handover
