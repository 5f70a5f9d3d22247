// See folder.h.
#include "folder.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/inotify.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>

#include "../core/clock.h"

namespace grademux {

using boost::system::error_code;

namespace {

constexpr Micros kCoalesceDelay = 20'000;       // changes within this time are read in one scan
constexpr Micros kSettleTime = 300'000;         // a file modified within this time may be incomplete
constexpr Micros kRemovalDelay = 150'000;       // a file missing for so long counts as removed
constexpr Micros kUnwatchedRescan = 2'000'000;  // the longest rescan interval while inotify is not available
constexpr std::size_t kMaxFilesPerScan = 1000;  // the loop receives large changes in parts
constexpr std::uint64_t kMaxFileBytes = 16u << 20;
constexpr int kMaxFolderRetries = 5;  // scans during which the folder was replaced
constexpr std::size_t kEventBufferBytes = 64u << 10;

struct Descriptor {
  explicit Descriptor(int n) : fd(n) {}
  ~Descriptor() {
    if (fd >= 0)
      ::close(fd);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int fd;
};

bool isPartnerFile(const std::string& name) {
  constexpr std::size_t kSuffixLength = 5;
  return name.size() > kSuffixLength && name[0] != '.' &&
         name.compare(name.size() - kSuffixLength, kSuffixLength, ".toml") == 0;
}

std::int64_t nanoseconds(const timespec& t) {
  return t.tv_sec * 1'000'000'000LL + t.tv_nsec;
}

}  // namespace

FolderReader::FolderReader(FolderSpec spec, PartnerDefaults defaults)
    : spec_(std::move(spec)), defaults_(std::move(defaults)) {}

std::string FolderReader::unitOf(const std::string& name) const {
  return spec_.folder ? spec_.path + "/" + name : spec_.path;
}

// `folder`: the descriptor of the folder, or AT_FDCWD if `name` is the path of the file.
FolderReader::FileState FolderReader::readFile(int folder, const std::string& name, bool settled,
                                               UnitChange& change) {
  change.unit = unitOf(name);
  const Descriptor file(::openat(folder, name.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  struct stat s {};
  if (file.fd < 0 || ::fstat(file.fd, &s) != 0) {
    if (file.fd < 0 && errno == ENOENT)
      return stamps_.erase(name) > 0 ? FileState::removed : FileState::unchanged;
    change.mistakes.push_back(
        {0, 0, std::string("a file that can be read is expected: ") + std::strerror(errno)});
    if (stamps_.count(name) && stamps_[name] == Stamp{})
      return FileState::unchanged;  // this failure has been reported already
    stamps_[name] = {};
    return FileState::changed;
  }
  if (!S_ISREG(s.st_mode))
    return FileState::unchanged;
  const Stamp stamp{s.st_dev, s.st_ino, static_cast<std::uint64_t>(s.st_size),
                    std::max(nanoseconds(s.st_mtim), nanoseconds(s.st_ctim))};
  const auto seen = stamps_.find(name);
  if (seen != stamps_.end() && seen->second == stamp)
    return FileState::unchanged;
  const Micros age = unixNow() - nanoseconds(s.st_mtim) / 1000;
  if (settled && age >= 0 && age < kSettleTime)
    return FileState::unsettled;
  stamps_[name] = stamp;
  std::string text;
  if (stamp.size > kMaxFileBytes) {
    change.mistakes.push_back({0, 0, "a file of 16 MiB at most is expected"});
    return FileState::changed;
  }
  text.resize(stamp.size + 1);
  std::size_t size = 0;
  for (ssize_t n = 1; n > 0 && size < text.size(); size += static_cast<std::size_t>(std::max<ssize_t>(n, 0)))
    n = ::read(file.fd, text.data() + size, text.size() - size);
  struct stat after {};
  if (size != stamp.size || ::fstat(file.fd, &after) != 0 ||
      nanoseconds(after.st_mtim) != nanoseconds(s.st_mtim)) {
    stamps_.erase(name);  // the file is being written: the next scan reads it again
    return FileState::unsettled;
  }
  text.resize(size);
  change.partners = readPartnerText(text, change.unit, defaults_, change.mistakes);
  return FileState::changed;
}

FolderChanges FolderReader::scanFile(bool settled, bool& unsettled) {
  FolderChanges result;
  UnitChange change;
  switch (readFile(AT_FDCWD, spec_.path, settled, change)) {
    case FileState::changed:
      if (!change.mistakes.empty() && stamps_[spec_.path] == Stamp{})
        result.unreadable = change.mistakes[0].what;
      else
        result.changes.push_back(std::move(change));
      break;
    case FileState::unsettled:
      unsettled = true;
      break;
    case FileState::removed:  // a file named in the configuration must exist
      result.unreadable = "the file was removed";
      break;
    case FileState::unchanged:
      if (!stamps_.count(spec_.path))
        result.unreadable = "the file does not exist";
      break;
  }
  return result;
}

// Returns false if the folder was replaced during the scan.
bool FolderReader::scanFolder(bool settled, bool& unsettled, FolderChanges& result) {
  const Descriptor folder(::open(spec_.path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (folder.fd < 0) {
    result.unreadable = std::strerror(errno);
    return true;
  }
  DIR* const entries = ::fdopendir(::dup(folder.fd));
  if (!entries) {
    result.unreadable = std::strerror(errno);
    return true;
  }
  std::set<std::string> names;
  while (const dirent* e = ::readdir(entries))
    if (isPartnerFile(e->d_name))
      names.insert(e->d_name);
  ::closedir(entries);
  struct stat opened {
  }, now{};
  // A folder that replaced another is complete, so its files are read however recently they were modified.
  if (::fstat(folder.fd, &opened) == 0) {
    const std::pair<std::uint64_t, std::uint64_t> id{opened.st_dev, opened.st_ino};
    settled = settled && id == folder_id_;
    folder_id_ = id;
  }
  const auto replaced = [&] {
    return ::fstat(folder.fd, &opened) == 0 && ::stat(spec_.path.c_str(), &now) == 0 &&
           (opened.st_dev != now.st_dev || opened.st_ino != now.st_ino);
  };
  // A folder that is mounted late, or was emptied by a failed copy, must not remove its partners.
  if (names.empty() && !stamps_.empty()) {
    if (replaced())
      return false;
    result.empty = true;
    return true;
  }
  const auto before = stamps_;
  for (const auto& [name, stamp] : before)
    if (!names.count(name)) {
      UnitChange change;
      change.unit = unitOf(name);
      change.gone = true;
      stamps_.erase(name);
      result.changes.push_back(std::move(change));
    }
  for (const std::string& name : names) {
    UnitChange change;
    const FileState state = readFile(folder.fd, name, settled, change);
    change.gone = state == FileState::removed;
    unsettled = unsettled || state == FileState::unsettled;
    if (state == FileState::changed || state == FileState::removed)
      result.changes.push_back(std::move(change));
  }
  if (!replaced())
    return true;
  stamps_ = before;
  return false;
}

FolderChanges FolderReader::scan(bool settled, bool& unsettled) {
  unsettled = false;
  if (!spec_.folder)
    return scanFile(settled, unsettled);
  for (int i = 0; i < kMaxFolderRetries; ++i) {
    FolderChanges result;
    if (scanFolder(settled, unsettled, result))
      return result;
  }
  unsettled = true;  // the folder was replaced during each scan: try again later
  return {};
}

FolderChanges FolderReader::scan(const std::set<std::string>& names) {
  bool unsettled = false;
  if (!spec_.folder)
    return scanFile(false, unsettled);
  FolderChanges result;
  const Descriptor folder(::open(spec_.path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (folder.fd < 0) {
    result.unreadable = std::strerror(errno);
    return result;
  }
  for (const std::string& name : names) {
    UnitChange change;
    const FileState state = readFile(folder.fd, name, false, change);
    change.gone = state == FileState::removed;
    if (state == FileState::changed || state == FileState::removed)
      result.changes.push_back(std::move(change));
  }
  return result;
}

PartnerFolder::PartnerFolder(boost::asio::io_context& io, Worker& worker, FolderSpec spec,
                             PartnerDefaults defaults, OnChanges on_changes)
    : worker_(worker),
      spec_(std::move(spec)),
      reader_(std::make_shared<FolderReader>(spec_, std::move(defaults))),
      on_changes_(std::move(on_changes)),
      events_(io),
      scan_timer_(io),
      rescan_timer_(io),
      removal_timer_(io),
      base_name_(std::filesystem::path(spec_.path).filename().string()),
      buffer_(kEventBufferBytes) {}

PartnerFolder::~PartnerFolder() = default;

void PartnerFolder::start() {
  const int fd = ::inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
  if (fd >= 0) {
    events_.assign(fd);
    watch();
    readEvents();
  }
  bool unsettled = false;
  on_changes_(reader_->scan(false, unsettled));
  if (unsettled) {
    scan_all_ = true;
    scheduleScan(kSettleTime);
  }
  armRescan();
}

void PartnerFolder::refresh() {
  scan_all_ = true;
  scheduleScan(0);
}

// Watches the folder that the path leads to now, and the parent folder of the path, where a symbolic link is
// replaced.
void PartnerFolder::watch() {
  if (!events_.is_open())
    return;
  const int fd = events_.native_handle();
  if (folder_watch_ >= 0)
    ::inotify_rm_watch(fd, folder_watch_);
  folder_watch_ = -1;
  if (spec_.folder)
    folder_watch_ = ::inotify_add_watch(
        fd, spec_.path.c_str(),
        IN_CLOSE_WRITE | IN_MOVED_TO | IN_MOVED_FROM | IN_CREATE | IN_DELETE | IN_ONLYDIR);
  if (parent_watch_ >= 0)
    return;
  const std::string parent = std::filesystem::path(spec_.path).parent_path().string();
  parent_watch_ = ::inotify_add_watch(fd, parent.empty() ? "." : parent.c_str(),
                                      IN_CLOSE_WRITE | IN_MOVED_TO | IN_MOVED_FROM | IN_CREATE | IN_DELETE);
}

void PartnerFolder::readEvents() {
  events_.async_read_some(boost::asio::buffer(buffer_), [this](error_code e, std::size_t size) {
    if (e)
      return;
    for (std::size_t at = 0; at + sizeof(inotify_event) <= size;) {
      inotify_event event;
      std::memcpy(&event, buffer_.data() + at, sizeof event);
      const std::string name = event.len > 0 ? buffer_.data() + at + sizeof event : "";
      at += sizeof event + event.len;
      const bool concerns_path = event.wd == parent_watch_ && (name == base_name_ || !spec_.folder);
      if (!(event.mask & IN_Q_OVERFLOW) && spec_.folder && event.wd == folder_watch_ && isPartnerFile(name)) {
        // A removed file may be about to be written again, as editors do, so its removal is checked later. A
        // created file is incomplete until its writer closes it, which causes another event; a symbolic or
        // hard link is complete and causes no other event, so IN_CREATE schedules a scan that skips files
        // modified within kSettleTime.
        if (event.mask & (IN_MOVED_FROM | IN_DELETE)) {
          removed_names_.insert(name);
          scheduleRemovalCheck();
          continue;
        }
        if (event.mask & IN_CREATE)
          scan_all_ = true;
        else
          changed_names_.insert(name);
        scheduleScan(kCoalesceDelay);
      } else if (event.mask & IN_Q_OVERFLOW || concerns_path) {
        scan_all_ = true;
        scheduleScan(kCoalesceDelay);
      }
    }
    readEvents();
  });
}

void PartnerFolder::scheduleRemovalCheck() {
  if (removal_check_scheduled_)
    return;
  removal_check_scheduled_ = true;
  removal_timer_.expires_after(std::chrono::microseconds(kRemovalDelay));
  removal_timer_.async_wait([this](error_code e) {
    if (e)
      return;
    removal_check_scheduled_ = false;
    changed_names_.merge(removed_names_);
    removed_names_.clear();
    scheduleScan(0);
  });
}

void PartnerFolder::scheduleScan(Micros pause) {
  if (scan_scheduled_ || scan_running_)
    return;
  scan_scheduled_ = true;
  scan_timer_.expires_after(std::chrono::microseconds(pause));
  scan_timer_.async_wait([this](error_code e) {
    if (e)
      return;
    scan_scheduled_ = false;
    startScan();
  });
}

void PartnerFolder::startScan() {
  if (scan_running_ || (!scan_all_ && changed_names_.empty()))
    return;
  scan_running_ = true;
  std::set<std::string> names;
  const bool all = scan_all_;
  if (!all && changed_names_.size() > kMaxFilesPerScan) {
    const auto end = std::next(changed_names_.begin(), kMaxFilesPerScan);
    names.insert(changed_names_.begin(), end);
    changed_names_.erase(changed_names_.begin(), end);
  } else {
    names.swap(changed_names_);
  }
  scan_all_ = false;
  if (all)
    watch();
  worker_.run([this, all, names = std::move(names), reader = reader_,
               alive = std::weak_ptr<bool>(alive_)]() -> std::function<void()> {
    bool unsettled = false;
    auto result = std::make_shared<FolderChanges>();
    if (!names.empty())
      *result = reader->scan(names);  // inotify reported these as complete: read however recent
    if (all) {
      FolderChanges more = reader->scan(true, unsettled);
      result->changes.insert(result->changes.end(), std::make_move_iterator(more.changes.begin()),
                             std::make_move_iterator(more.changes.end()));
      result->empty = more.empty;
      result->unreadable = more.unreadable;
    }
    return [this, result, unsettled, alive] {
      if (alive.expired())
        return;
      scan_running_ = false;
      on_changes_(std::move(*result));
      if (unsettled)
        scan_all_ = true;
      if (scan_all_ || !changed_names_.empty())
        scheduleScan(unsettled ? kSettleTime : kCoalesceDelay);
    };
  });
}

void PartnerFolder::armRescan() {
  const bool watched = events_.is_open() && parent_watch_ >= 0 && (!spec_.folder || folder_watch_ >= 0);
  rescan_timer_.expires_after(
      std::chrono::microseconds(watched ? spec_.rescan : std::min(spec_.rescan, kUnwatchedRescan)));
  rescan_timer_.async_wait([this](error_code e) {
    if (e)
      return;
    refresh();
    armRescan();
  });
}

}  // namespace grademux
