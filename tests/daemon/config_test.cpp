// The configuration of a sender on a platform, as readConfig() reads it.
#include "../../src/daemon/config.h"

#include <cstdlib>

#include "../support/loopback.h"

namespace grademux {
namespace {

using loopback::TempFolder;

class ConfigFile : public ::testing::Test {
 protected:
  ConfigFile() {
    document_ = {{"name", "n0"},
                 {"listen", "127.0.0.1:6379"},
                 {"discovery", "127.0.0.1:8500"},
                 {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}, {"disk_mb", 3}}},
                 {"settings", loopback::plainSettings()}};
    ::setenv("GW_CONFIG", path().c_str(), 1);
    ::setenv("GW_STATE", folder_.path().c_str(), 1);
  }
  ~ConfigFile() override {
    ::unsetenv("GW_CONFIG");
    ::unsetenv("GW_STATE");
  }

  std::string path() const { return folder_.path() + "/config.json"; }
  Config read() {
    std::ofstream(path()) << document_.dump();
    return readConfig();
  }

  TempFolder folder_;
  json document_;
};

// Guards against senders that draw in step: without a seed in their files, all of a fleet had the seed 0, and
// the calls that each spreads over a gap came at the same moment of the gap.
TEST_F(ConfigFile, SendersWithoutASeedHaveDifferentSeeds) {
  EXPECT_NE(read().seed, read().seed);
}

TEST_F(ConfigFile, SeedOfTheFileHolds) {
  document_["seed"] = "0123456789abcdef";
  EXPECT_EQ(read().seed, 0x0123456789abcdefu);
}

}  // namespace
}  // namespace grademux
