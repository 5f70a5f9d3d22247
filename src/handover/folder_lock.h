// Exclusive ownership of the state folder: a kernel lock on the folder itself (flock(2)). The kernel frees it
// when the process dies in any way, and no file is needed.
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

  /// True if this process has the lock, from now or from before; false if another process has it. On a file
  /// system without locks no other process is assumed.
  bool tryLock();
  void unlock();
  bool isLocked() const { return locked_; }
  /// The descriptor of the folder, which is open as long as this object.
  int fd() const { return fd_; }

 private:
  int fd_ = -1;
  bool locked_ = false;
};

}  // namespace grademux::handover
