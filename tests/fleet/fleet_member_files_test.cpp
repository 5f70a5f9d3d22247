// What one sender's part in its fleet keeps in its folder: whole, or not at all.
#include <gtest/gtest.h>

#include <fstream>

#include "../../harness/sender_process.h"
#include "../../src/core/file.h"
#include "../../src/fleet/fleet_member.h"

namespace grademux::fleet {
namespace {

void put(const std::string& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary) << bytes;
}

TEST(FleetFiles, PartsComeBackAsTheyWereKept) {
  const harness::TemporaryFolder folder;
  const std::string path = folder.path() + "/fleet-zones";
  EXPECT_TRUE(loadTrafficBaseline(path).empty());
  const zones::TrafficBaseline parts = {
      {{"b", {{"e1", {7, 12.375}}, {"e2", {-3, 0.1}}}}, {"c", {{"e3", {0, 4}}}}}};
  ASSERT_EQ("", replaceFile(path, serializeTrafficBaseline(parts)));
  EXPECT_TRUE(loadTrafficBaseline(path) == parts);
}

// Risk: a part that a damaged file makes larger pushes cold endpoints over.
TEST(FleetFiles, AFlippedBitOrACutLeavesNoPartThatIsAnother) {
  const harness::TemporaryFolder folder;
  const std::string path = folder.path() + "/fleet-zones";
  const zones::TrafficBaseline parts = {{{"b", {{"e1", {7, 12.375}}, {"e2", {8, 3}}}}}};
  const std::string whole = serializeTrafficBaseline(parts);
  for (std::size_t byte = 0; byte + 1 < whole.size(); ++byte) {
    std::string flipped = whole;
    flipped[byte] = static_cast<char>(flipped[byte] ^ 1 << byte % 7);
    put(path, flipped);
    EXPECT_TRUE(loadTrafficBaseline(path).empty()) << byte;
    put(path, whole.substr(0, byte));
    EXPECT_TRUE(loadTrafficBaseline(path).empty()) << byte;
  }
  put(path, json{{"parts", {{"b", 1}}}, {"check", planDigest(json{{"b", 1}}.dump())}}.dump());
  EXPECT_TRUE(loadTrafficBaseline(path).empty());
}

}  // namespace
}  // namespace grademux::fleet
