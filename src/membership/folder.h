// Partner files that are watched for changes: one file, or each *.toml of a folder. The worker reads changed
// files again, file by file, after inotify events and in periodic scans of all files; a burst of changes
// causes one scan. While a file is incomplete or invalid, the partners of its last valid version stay in use.
//
// Operators replace a file by renaming, a whole folder by replacing a symbolic link. A folder is read through
// one open descriptor; if the path leads to another folder after the scan, the scan is repeated.
#pragma once

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "../core/worker.h"
#include "partner_file.h"

namespace grademux {

struct FolderSpec {
  std::string path;
  bool folder = true;                // false: `path` is one file
  Micros rescan = 30 * 1'000'000LL;  // the longest time between two scans of all files
  bool operator==(const FolderSpec& o) const {
    return path == o.path && folder == o.folder && rescan == o.rescan;
  }
};

// A change of one file.
struct UnitChange {
  std::string unit;  // the file's path
  std::vector<Partner> partners;
  std::vector<Mistake> mistakes;  // if not empty, `partners` must not be used
  bool gone = false;              // the file was removed
};
struct FolderChanges {
  std::vector<UnitChange> changes;
  std::string unreadable;  // why the file or folder could not be read; empty: it was read
  bool empty = false;      // a folder that had files has none; the last partners stay in use
};

// Reads a folder or file and remembers which version of each file it has read. Used by one thread at a time;
// does not use the event loop.
class FolderReader {
 public:
  FolderReader(FolderSpec spec, PartnerDefaults defaults);
  // Reads all files that have changed since the last scan. `settled`: files that were modified within the
  // last 300 ms are left for a later scan (`unsettled` is set), as their writer may not have finished.
  FolderChanges scan(bool settled, bool& unsettled);
  // Reads only these files, named relative to the folder: inotify reported them as replaced, closed after
  // writing, or removed.
  FolderChanges scan(const std::set<std::string>& names);

 private:
  struct Stamp {
    std::uint64_t device = 0, inode = 0, size = 0;
    std::int64_t changed_ns = 0;
    bool operator==(const Stamp& o) const {
      return device == o.device && inode == o.inode && size == o.size && changed_ns == o.changed_ns;
    }
  };
  enum class FileState { unchanged, changed, removed, unsettled };
  FileState readFile(int folder, const std::string& name, bool settled, UnitChange& change);
  std::string unitOf(const std::string& name) const;
  FolderChanges scanFile(bool settled, bool& unsettled);
  bool scanFolder(bool settled, bool& unsettled, FolderChanges& result);

  FolderSpec spec_;
  PartnerDefaults defaults_;
  std::map<std::string, Stamp> stamps_;
  std::pair<std::uint64_t, std::uint64_t> folder_id_{0, 0};  // device and inode of the folder read last
};

class PartnerFolder {
 public:
  using OnChanges = std::function<void(FolderChanges)>;
  PartnerFolder(boost::asio::io_context& io, Worker& worker, FolderSpec spec, PartnerDefaults defaults,
                OnChanges on_changes);
  ~PartnerFolder();
  // Reads all files before the call returns, and watches them from then on.
  void start();
  void refresh();  // schedules a scan of all files on the worker
  const FolderSpec& spec() const { return spec_; }

 private:
  void watch();
  void readEvents();
  void scheduleRemovalCheck();
  void scheduleScan(Micros pause);
  void startScan();
  void armRescan();

  Worker& worker_;
  FolderSpec spec_;
  std::shared_ptr<FolderReader> reader_;
  OnChanges on_changes_;
  boost::asio::posix::stream_descriptor events_;
  boost::asio::steady_timer scan_timer_, rescan_timer_, removal_timer_;
  int folder_watch_ = -1, parent_watch_ = -1;            // inotify watch descriptors
  std::string base_name_;                                // the last component of the path
  std::set<std::string> changed_names_, removed_names_;  // to read in the next scan; after kRemovalDelay
  bool scan_all_ = false, scan_scheduled_ = false, scan_running_ = false, removal_check_scheduled_ = false;
  std::vector<char> buffer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace grademux
