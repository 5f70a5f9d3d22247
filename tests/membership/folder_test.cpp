// Partner files that are replaced, incomplete, unreadable or numerous, and folders that are swapped as a
// whole.
#include "../../src/membership/folder.h"

#include <sys/stat.h>
#include <unistd.h>

#include "../support/loopback.h"

namespace grademux {
namespace {

using loopback::TempFolder;
namespace fs = std::filesystem;

std::string partnerText(const std::string& name, int port) {
  return "[[partner]]\nname = \"" + name + "\"\nendpoints = [\"127.0.0.1:" + std::to_string(port) + "\"]\n";
}
void replace(const std::string& path, const std::string& text) {
  std::ofstream(path + ".new") << text;
  fs::rename(path + ".new", path);
}
// "file=port" for the first partner of each changed file, or "file=gone", "file=mistake", "file=none".
std::string describe(const FolderChanges& n) {
  std::string all = n.empty ? "empty" : n.unreadable.empty() ? "" : "unreadable";
  for (const UnitChange& c : n.changes) {
    const std::string file = fs::path(c.unit).filename().string();
    all += (all.empty() ? "" : " ") + file + "=" +
           (c.gone                  ? "gone"
            : !c.mistakes.empty()   ? "mistake"
            : c.partners.size() > 0 ? c.partners[0].endpoints.at(0).substr(10)
                                    : "none");
  }
  return all;
}

struct Reader : ::testing::Test {
  TempFolder temp;
  std::string folder = temp.path() + "/p";
  FolderReader reader{[&] {
                        fs::create_directories(temp.path() + "/p");
                        FolderSpec s;
                        s.path = temp.path() + "/p";
                        return s;
                      }(),
                      {}};
  std::string scan(bool settled = false) {
    bool unsettled = false;
    std::string t = describe(reader.scan(settled, unsettled));
    if (unsettled)
      t += "unsettled";
    return t;
  }
};

TEST_F(Reader, ReportsOnlyChangedFiles) {
  replace(folder + "/a.toml", partnerText("a", 1));
  replace(folder + "/b.toml", partnerText("b", 2));
  replace(folder + "/.c.toml", partnerText("c", 3));
  replace(folder + "/d.toml~", partnerText("d", 4));
  EXPECT_EQ(scan(), "a.toml=1 b.toml=2");
  EXPECT_EQ(scan(), "");
  replace(folder + "/b.toml", partnerText("b", 5));
  EXPECT_EQ(scan(), "b.toml=5");
  fs::remove(folder + "/a.toml");
  EXPECT_EQ(scan(), "a.toml=gone");
  fs::create_symlink(folder + "/d.toml~", folder + "/d.toml");
  EXPECT_EQ(scan(), "d.toml=4");
}

TEST_F(Reader, RejectsIncompleteFilesAndDefersRecentlyWrittenOnes) {
  const std::string whole = partnerText("a", 1);
  for (std::size_t cut = 0; cut + 1 < whole.size(); ++cut) {
    replace(folder + "/a.toml", whole.substr(0, cut));
    ASSERT_EQ(scan(), "a.toml=mistake") << whole.substr(0, cut);
  }
  std::ofstream(folder + "/b.toml") << partnerText("b", 2);
  EXPECT_EQ(scan(true), "unsettled");  // written in place within the last 300 ms
  const timespec old[2] = {{1, 0}, {1, 0}};
  ::utimensat(AT_FDCWD, (folder + "/b.toml").c_str(), old, 0);
  EXPECT_EQ(scan(true), "b.toml=2");
}

TEST_F(Reader, ReportsNoRemovalsWhenTheFolderIsEmptiedOrMissing) {
  replace(folder + "/a.toml", partnerText("a", 1));
  EXPECT_EQ(scan(), "a.toml=1");
  fs::rename(folder + "/a.toml", folder + "/a");
  EXPECT_EQ(scan(), "empty");
  fs::rename(folder, folder + "-away");
  EXPECT_EQ(scan(), "unreadable");
  fs::rename(folder + "-away", folder);
  fs::rename(folder + "/a", folder + "/a.toml");
  EXPECT_EQ(scan(), "a.toml=1");  // the rename changed its ctime
}

// Guards against calls to an endpoint that a new version of the folder has removed: the files of a replaced
// folder must be read at once, although they were modified recently.
TEST_F(Reader, ReadsRecentFilesAtOnceWhenTheFolderWasReplaced) {
  replace(folder + "/a.toml", partnerText("a", 1));
  EXPECT_EQ(scan(), "a.toml=1");
  fs::create_directories(folder + "2");
  std::ofstream(folder + "2/a.toml") << partnerText("a", 2);
  fs::rename(folder, folder + "1");
  fs::rename(folder + "2", folder);
  EXPECT_EQ(scan(true), "a.toml=2");
  std::ofstream(folder + "/a.toml") << partnerText("a", 3);
  EXPECT_EQ(scan(true), "unsettled");
}

// The symbolic link to the folder is swapped repeatedly during scans: each scan must return one complete
// version.
TEST_F(Reader, ReturnsOneCompleteVersionWhenTheSymlinkIsSwappedDuringAScan) {
  const std::string link = temp.path() + "/link";
  for (int v = 1; v <= 2; ++v) {
    fs::create_directories(temp.path() + "/v" + std::to_string(v));
    for (int i = 0; i < 60; ++i)
      replace(temp.path() + "/v" + std::to_string(v) + "/" + std::to_string(i) + ".toml",
              partnerText("p", v));
  }
  fs::create_symlink("v1", link);
  std::atomic<bool> stop{false};
  std::atomic<int> swaps{0};
  std::thread swapper([&] {
    for (int v = 2; !stop; v = 3 - v) {
      fs::create_symlink("v" + std::to_string(v), link + ".new");
      fs::rename(link + ".new", link);
      ++swaps;
      std::this_thread::sleep_for(std::chrono::microseconds(300));
    }
  });
  int complete = 0;
  for (int i = 0; i < 300; ++i) {
    FolderSpec s;
    s.path = link;
    FolderReader fresh(s, {});
    bool unsettled = false;
    const FolderChanges n = fresh.scan(false, unsettled);
    EXPECT_EQ(n.unreadable, "");
    if (n.changes.empty())
      continue;  // the folder was replaced during each attempt: no result yet
    ++complete;
    ASSERT_EQ(n.changes.size(), 60u);
    for (const UnitChange& c : n.changes)
      ASSERT_EQ(c.partners.at(0).endpoints, n.changes[0].partners.at(0).endpoints);
  }
  stop = true;
  swapper.join();
  EXPECT_GT(complete, 0);
  EXPECT_GT(swaps, 1);
}

// A folder or file watched by inotify on an event loop.
struct Watched : ::testing::Test {
  Watched() { fs::create_directories(temp.path() + "/v1"); }
  void open(const std::string& path, bool folder_kind = true) {
    FolderSpec s;
    s.path = path;
    s.folder = folder_kind;
    s.rescan = 3600LL * 1'000'000;  // no rescan during the test: changes are found by events only
    folder =
        std::make_unique<PartnerFolder>(io, worker, s, PartnerDefaults{}, [this](const FolderChanges& n) {
          const std::string t = describe(n);
          ++scans;
          if (!t.empty())
            all += (all.empty() ? "" : " ") + t;
        });
    folder->start();
  }
  bool waitFor(const std::string& text) {
    const auto until = std::chrono::steady_clock::now() + loopback::kLong;
    while (all.find(text) == std::string::npos && std::chrono::steady_clock::now() < until)
      io.run_one_for(std::chrono::milliseconds(20));
    return all.find(text) != std::string::npos;
  }
  TempFolder temp;
  boost::asio::io_context io;
  Worker worker{io};
  std::unique_ptr<PartnerFolder> folder;
  std::string all;
  int scans = 0;
};

TEST_F(Watched, ReportsFilesThatAreReplacedWrittenInPlaceLinkedAndRemoved) {
  const std::string f = temp.path() + "/v1";
  replace(f + "/a.toml", partnerText("a", 1));
  open(f);
  EXPECT_EQ(all, "a.toml=1");
  replace(f + "/a.toml", partnerText("a", 2));
  EXPECT_TRUE(waitFor("a.toml=2"));
  std::ofstream(f + "/b.toml") << partnerText("b", 3);
  EXPECT_TRUE(waitFor("b.toml=3"));
  fs::create_symlink(f + "/b.toml", f + "/c.toml");
  EXPECT_TRUE(waitFor("c.toml=3"));
  fs::remove(f + "/a.toml");
  EXPECT_TRUE(waitFor("a.toml=gone"));
}

TEST_F(Watched, ReportsAllChangesWhenTheFoldersSymbolicLinkIsSwapped) {
  fs::create_directories(temp.path() + "/v2");
  replace(temp.path() + "/v1/a.toml", partnerText("a", 1));
  replace(temp.path() + "/v2/a.toml", partnerText("a", 2));
  replace(temp.path() + "/v2/b.toml", partnerText("b", 3));
  fs::create_symlink("v1", temp.path() + "/link");
  open(temp.path() + "/link");
  fs::create_symlink("v2", temp.path() + "/link.new");
  fs::rename(temp.path() + "/link.new", temp.path() + "/link");
  EXPECT_TRUE(waitFor("a.toml=2 b.toml=3"));
  replace(temp.path() + "/v2/b.toml", partnerText("b", 4));  // the new folder is watched now
  EXPECT_TRUE(waitFor("b.toml=4"));
}

TEST_F(Watched, ReportsChangesOfASingleFile) {
  const std::string f = temp.path() + "/v1/all.toml";
  replace(f, partnerText("a", 1) + partnerText("b", 2));
  open(f, false);
  EXPECT_EQ(all, "all.toml=1");
  replace(f, partnerText("a", 7));
  EXPECT_TRUE(waitFor("all.toml=7"));
  fs::remove(f);
  EXPECT_TRUE(waitFor("unreadable"));
}

TEST_F(Watched, CombinesABurstOfChangesIntoFewScans) {
  const std::string f = temp.path() + "/v1";
  replace(f + "/a.toml", partnerText("a", 1));
  open(f);
  for (int i = 2; i <= 10'000; ++i)
    replace(f + "/a.toml", partnerText("a", i));
  EXPECT_TRUE(waitFor("a.toml=10000"));
  EXPECT_LT(scans, 500);
}

}  // namespace
}  // namespace grademux
