// grademux: watched partners' files; see folder.h.
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

constexpr Micros kCoalesce = 20'000;       // changes so close are one reading
constexpr Micros kSettle = 300'000;        // a file that was written to so lately may not be whole
constexpr Micros kTaken = 150'000;         // a file that is gone for so long is gone
constexpr Micros kUnwatched = 2'000'000;   // between looks where the system tells nothing
constexpr std::size_t kMostAtOnce = 1000;  // files in one reading, so that the loop hears it in pieces
constexpr std::uint64_t kLongestFile = 16u << 20;  // bytes
constexpr int kRetries = 5;                        // readings that the folder was replaced under
constexpr std::size_t kEventBuffer = 64u << 10;

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
  constexpr std::size_t kEnding = 5;
  return name.size() > kEnding && name[0] != '.' &&
         name.compare(name.size() - kEnding, kEnding, ".toml") == 0;
}

std::int64_t nanos(const timespec& t) {
  return t.tv_sec * 1'000'000'000LL + t.tv_nsec;
}

}  // namespace

FolderReader::FolderReader(FolderSpec spec, PartnerDefaults defaults)
    : spec_(std::move(spec)), defaults_(std::move(defaults)) {}

std::string FolderReader::unitOf(const std::string& name) const {
  return spec_.folder ? spec_.path + "/" + name : spec_.path;
}

// `folder`: a descriptor, or AT_FDCWD with a whole path as the name.
FolderReader::Read FolderReader::readFile(int folder, const std::string& name, bool settled,
                                          UnitChange& change) {
  change.unit = unitOf(name);
  const Descriptor file(::openat(folder, name.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  struct stat s {};
  if (file.fd < 0 || ::fstat(file.fd, &s) != 0) {
    if (file.fd < 0 && errno == ENOENT)
      return seen_.erase(name) > 0 ? Read::gone : Read::same;
    change.mistakes.push_back(
        {0, 0, std::string("a file that can be read is expected: ") + std::strerror(errno)});
    if (seen_.count(name) && seen_[name] == Stamp{})
      return Read::same;  // told already
    seen_[name] = {};
    return Read::fresh;
  }
  if (!S_ISREG(s.st_mode))
    return Read::same;
  const Stamp stamp{s.st_dev, s.st_ino, static_cast<std::uint64_t>(s.st_size),
                    std::max(nanos(s.st_mtim), nanos(s.st_ctim))};
  const auto seen = seen_.find(name);
  if (seen != seen_.end() && seen->second == stamp)
    return Read::same;
  const Micros age = unixNow() - nanos(s.st_mtim) / 1000;
  if (settled && age >= 0 && age < kSettle)
    return Read::unsettled;
  seen_[name] = stamp;
  std::string text;
  if (stamp.size > kLongestFile) {
    change.mistakes.push_back({0, 0, "a file of 16 MiB at most is expected"});
    return Read::fresh;
  }
  text.resize(stamp.size + 1);
  std::size_t size = 0;
  for (ssize_t n = 1; n > 0 && size < text.size(); size += static_cast<std::size_t>(std::max<ssize_t>(n, 0)))
    n = ::read(file.fd, text.data() + size, text.size() - size);
  struct stat after {};
  if (size != stamp.size || ::fstat(file.fd, &after) != 0 || nanos(after.st_mtim) != nanos(s.st_mtim)) {
    seen_.erase(name);  // it is being written to
    return Read::unsettled;
  }
  text.resize(size);
  change.partners = readPartnerText(text, change.unit, defaults_, change.mistakes);
  return Read::fresh;
}

FolderChanges FolderReader::lookAtFile(bool settled, bool& unsettled) {
  FolderChanges news;
  UnitChange c;
  switch (readFile(AT_FDCWD, spec_.path, settled, c)) {
    case Read::fresh:
      if (!c.mistakes.empty() && seen_[spec_.path] == Stamp{})
        news.unreadable = c.mistakes[0].what;
      else
        news.changes.push_back(std::move(c));
      break;
    case Read::unsettled:
      unsettled = true;
      break;
    case Read::gone:  // a file that is named in the configuration has to be there
      news.unreadable = "it is gone";
      break;
    case Read::same:
      if (!seen_.count(spec_.path))
        news.unreadable = "it isn't there";
      break;
  }
  return news;
}

// False if the folder was replaced meanwhile.
bool FolderReader::lookAtFolder(bool settled, bool& unsettled, FolderChanges& news) {
  const Descriptor folder(::open(spec_.path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (folder.fd < 0) {
    news.unreadable = std::strerror(errno);
    return true;
  }
  DIR* const entries = ::fdopendir(::dup(folder.fd));
  if (!entries) {
    news.unreadable = std::strerror(errno);
    return true;
  }
  std::set<std::string> names;
  while (const dirent* e = ::readdir(entries))
    if (isPartnerFile(e->d_name))
      names.insert(e->d_name);
  ::closedir(entries);
  struct stat opened {
  }, now{};
  // One that was put in another's place is whole: its files may be as new as they like.
  if (::fstat(folder.fd, &opened) == 0) {
    const std::pair<std::uint64_t, std::uint64_t> id{opened.st_dev, opened.st_ino};
    settled = settled && id == folder_;
    folder_ = id;
  }
  const auto replaced = [&] {
    return ::fstat(folder.fd, &opened) == 0 && ::stat(spec_.path.c_str(), &now) == 0 &&
           (opened.st_dev != now.st_dev || opened.st_ino != now.st_ino);
  };
  // Guards against a folder that is mounted late or emptied by a copy that failed: no partner is lost by it.
  if (names.empty() && !seen_.empty()) {
    if (replaced())
      return false;
    news.empty = true;
    return true;
  }
  const auto before = seen_;
  for (const auto& [name, stamp] : before)
    if (!names.count(name)) {
      UnitChange c;
      c.unit = unitOf(name);
      c.gone = true;
      seen_.erase(name);
      news.changes.push_back(std::move(c));
    }
  for (const std::string& name : names) {
    UnitChange c;
    const Read r = readFile(folder.fd, name, settled, c);
    c.gone = r == Read::gone;
    unsettled = unsettled || r == Read::unsettled;
    if (r == Read::fresh || r == Read::gone)
      news.changes.push_back(std::move(c));
  }
  if (!replaced())
    return true;
  seen_ = before;
  return false;
}

FolderChanges FolderReader::scan(bool settled, bool& unsettled) {
  unsettled = false;
  if (!spec_.folder)
    return lookAtFile(settled, unsettled);
  for (int i = 0; i < kRetries; ++i) {
    FolderChanges news;
    if (lookAtFolder(settled, unsettled, news))
      return news;
  }
  unsettled = true;  // it is being replaced all the time: later
  return {};
}

FolderChanges FolderReader::scan(const std::set<std::string>& names) {
  bool unsettled = false;
  if (!spec_.folder)
    return lookAtFile(false, unsettled);
  FolderChanges news;
  const Descriptor folder(::open(spec_.path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (folder.fd < 0) {
    news.unreadable = std::strerror(errno);
    return news;
  }
  for (const std::string& name : names) {
    UnitChange c;
    const Read r = readFile(folder.fd, name, false, c);
    c.gone = r == Read::gone;
    if (r == Read::fresh || r == Read::gone)
      news.changes.push_back(std::move(c));
  }
  return news;
}

PartnerFolder::PartnerFolder(boost::asio::io_context& io, Worker& worker, FolderSpec spec,
                             PartnerDefaults defaults, OnChanges heard)
    : worker_(worker),
      spec_(std::move(spec)),
      reader_(std::make_shared<FolderReader>(spec_, std::move(defaults))),
      heard_(std::move(heard)),
      events_(io),
      timer_(io),
      rescan_(io),
      taken_timer_(io),
      base_(std::filesystem::path(spec_.path).filename().string()),
      buffer_(kEventBuffer) {}

PartnerFolder::~PartnerFolder() = default;

void PartnerFolder::start() {
  const int fd = ::inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
  if (fd >= 0) {
    events_.assign(fd);
    watch();
    readEvents();
  }
  bool unsettled = false;
  heard_(reader_->scan(false, unsettled));
  if (unsettled) {
    all_ = true;
    soon(kSettle);
  }
  armRescan();
}

void PartnerFolder::refresh() {
  all_ = true;
  soon(0);
}

// The folder that the path leads to now, and the one that holds the path: a symbolic link is replaced there.
void PartnerFolder::watch() {
  if (!events_.is_open())
    return;
  const int fd = events_.native_handle();
  if (of_folder_ >= 0)
    ::inotify_rm_watch(fd, of_folder_);
  of_folder_ = -1;
  if (spec_.folder)
    of_folder_ = ::inotify_add_watch(
        fd, spec_.path.c_str(),
        IN_CLOSE_WRITE | IN_MOVED_TO | IN_MOVED_FROM | IN_CREATE | IN_DELETE | IN_ONLYDIR);
  if (of_parent_ >= 0)
    return;
  const std::string parent = std::filesystem::path(spec_.path).parent_path().string();
  of_parent_ = ::inotify_add_watch(fd, parent.empty() ? "." : parent.c_str(),
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
      const bool concerns_whole = event.wd == of_parent_ && (name == base_ || !spec_.folder);
      if (!(event.mask & IN_Q_OVERFLOW) && spec_.folder && event.wd == of_folder_ && isPartnerFile(name)) {
        // A file that was made is not whole before its writer closes it; a link or a hard link is, and tells
        // nothing else.
        // One that is taken away may be on its way to be written anew, as editors do.
        if (event.mask & (IN_MOVED_FROM | IN_DELETE)) {
          taken_.insert(name);
          lookForTaken();
          continue;
        }
        if (event.mask & IN_CREATE)
          all_ = true;
        else
          names_.insert(name);
        soon(kCoalesce);
      } else if (event.mask & IN_Q_OVERFLOW || concerns_whole) {
        all_ = true;
        soon(kCoalesce);
      }
    }
    readEvents();
  });
}

void PartnerFolder::lookForTaken() {
  if (looking_)
    return;
  looking_ = true;
  taken_timer_.expires_after(std::chrono::microseconds(kTaken));
  taken_timer_.async_wait([this](error_code e) {
    if (e)
      return;
    looking_ = false;
    names_.merge(taken_);
    taken_.clear();
    soon(0);
  });
}

void PartnerFolder::soon(Micros pause) {
  if (waiting_ || reading_)
    return;
  waiting_ = true;
  timer_.expires_after(std::chrono::microseconds(pause));
  timer_.async_wait([this](error_code e) {
    if (e)
      return;
    waiting_ = false;
    go();
  });
}

void PartnerFolder::go() {
  if (reading_ || (!all_ && names_.empty()))
    return;
  reading_ = true;
  std::set<std::string> names;
  const bool all = all_;
  if (!all && names_.size() > kMostAtOnce) {
    const auto end = std::next(names_.begin(), kMostAtOnce);
    names.insert(names_.begin(), end);
    names_.erase(names_.begin(), end);
  } else {
    names.swap(names_);
  }
  all_ = false;
  if (all)
    watch();
  worker_.run([this, all, names = std::move(names), reader = reader_,
               here = std::weak_ptr<bool>(alive_)]() -> std::function<void()> {
    bool unsettled = false;
    auto news = std::make_shared<FolderChanges>();
    if (!names.empty())
      *news = reader->scan(names);  // told as written to the end: not left for later
    if (all) {
      FolderChanges more = reader->scan(true, unsettled);
      news->changes.insert(news->changes.end(), std::make_move_iterator(more.changes.begin()),
                           std::make_move_iterator(more.changes.end()));
      news->empty = more.empty;
      news->unreadable = more.unreadable;
    }
    return [this, news, unsettled, here] {
      if (here.expired())
        return;
      reading_ = false;
      heard_(std::move(*news));
      if (unsettled)
        all_ = true;
      if (all_ || !names_.empty())
        soon(unsettled ? kSettle : kCoalesce);
    };
  });
}

void PartnerFolder::armRescan() {
  const bool told = events_.is_open() && of_parent_ >= 0 && (!spec_.folder || of_folder_ >= 0);
  rescan_.expires_after(std::chrono::microseconds(told ? spec_.rescan : std::min(spec_.rescan, kUnwatched)));
  rescan_.async_wait([this](error_code e) {
    if (e)
      return;
    refresh();
    armRescan();
  });
}

}  // namespace grademux
