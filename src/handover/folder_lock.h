// grademux: who owns the folder that lasts. A kernel lock on the folder itself (flock(2)): any death frees
// it, it needs no file, and another process that opens the folder has none of it.
#pragma once

#include <string>

namespace grademux::handover {

class FolderLock {
 public:
  // Throws std::runtime_error when the folder can't be opened.
  explicit FolderLock(const std::string& folder);
  ~FolderLock();
  FolderLock(const FolderLock&) = delete;
  FolderLock& operator=(const FolderLock&) = delete;

  // True: this process owns the folder, from now or before. A file system that knows no locks counts as one
  // where nobody else is.
  bool take();
  void release();
  bool held() const { return held_; }
  int fd() const { return fd_; }  // of the folder

 private:
  int fd_ = -1;
  bool held_ = false;
};

}  // namespace grademux::handover
