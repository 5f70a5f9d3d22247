// grademux: partners in files that are watched: one file, or each *.toml of a folder. What changes is read
// anew on the worker, file by file, by inotify where it tells and by a look at all files at times; a burst of
// changes is one reading. A file that is half written or can't be used leaves what it said last in force.
//
// Files are meant to be replaced by renaming, a folder as a whole by replacing a symbolic link. A folder is
// read through one open descriptor; if the path leads elsewhere by then, the reading is done again.
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
  bool folder = true;                // else one file
  Micros rescan = 30 * 1'000'000LL;  // a look at all files at least so often
  bool operator==(const FolderSpec& o) const {
    return path == o.path && folder == o.folder && rescan == o.rescan;
  }
};

// What became of one file.
struct UnitChange {
  std::string unit;  // its path
  std::vector<Partner> partners;
  std::vector<Mistake> mistakes;  // then the partners are not to be used
  bool gone = false;
};
struct FolderChanges {
  std::vector<UnitChange> changes;
  std::string unreadable;  // why nothing could be read
  bool empty = false;      // had files and has none: not heeded
};

// The reading of a folder or file, and what it saw last. On one thread at a time; no loop.
class FolderReader {
 public:
  FolderReader(FolderSpec spec, PartnerDefaults defaults);
  // All files that have changed since the last look. `settled`: files written to a moment ago are left for
  // later (`unsettled` is set), as their writer may not have done.
  FolderChanges scan(bool settled, bool& unsettled);
  // These files alone, by their names in the folder; told by the system as replaced or written to the end.
  FolderChanges scan(const std::set<std::string>& names);

 private:
  struct Stamp {
    std::uint64_t device = 0, inode = 0, size = 0;
    std::int64_t changed_ns = 0;
    bool operator==(const Stamp& o) const {
      return device == o.device && inode == o.inode && size == o.size && changed_ns == o.changed_ns;
    }
  };
  enum class Read { same, fresh, gone, unsettled };
  Read readFile(int folder, const std::string& name, bool settled, UnitChange& change);
  std::string unitOf(const std::string& name) const;
  FolderChanges lookAtFile(bool settled, bool& unsettled);
  bool lookAtFolder(bool settled, bool& unsettled, FolderChanges& news);

  FolderSpec spec_;
  PartnerDefaults defaults_;
  std::map<std::string, Stamp> seen_;
  std::pair<std::uint64_t, std::uint64_t> folder_{0, 0};  // device and inode of the one read last
};

class PartnerFolder {
 public:
  using OnChanges = std::function<void(FolderChanges)>;
  PartnerFolder(boost::asio::io_context& io, Worker& worker, FolderSpec spec, PartnerDefaults defaults,
                OnChanges heard);
  ~PartnerFolder();
  // Reads all at once, in this call, and watches from then on.
  void start();
  void refresh();  // looks at all files, soon
  const FolderSpec& spec() const { return spec_; }

 private:
  void watch();
  void readEvents();
  void lookForTaken();
  void soon(Micros pause);
  void go();
  void armRescan();

  Worker& worker_;
  FolderSpec spec_;
  std::shared_ptr<FolderReader> reader_;
  OnChanges heard_;
  boost::asio::posix::stream_descriptor events_;
  boost::asio::steady_timer timer_, rescan_, taken_timer_;
  int of_folder_ = -1, of_parent_ = -1;  // inotify's watches
  std::string base_;                     // the path's last part
  std::set<std::string> names_, taken_;  // to be read, now or in a moment
  bool all_ = false, waiting_ = false, reading_ = false, looking_ = false;
  std::vector<char> buffer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace grademux
