// Tests the files in a fleet member's folder: a damaged file is ignored completely, and the form of earlier
// versions is read and written unchanged.
#include "../../src/fleet/state_files.h"

#include <gtest/gtest.h>

#include <fstream>

#include "../../harness/sender_process.h"
#include "../../src/core/file.h"
#include "../support/program_paths.h"

namespace grademux::fleet {
namespace {

void writeFile(const std::string& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary) << bytes;
}
std::string readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

TEST(StateFilesTest, RestoresTheStoredTrafficBaseline) {
  const harness::TemporaryFolder folder;
  const std::string path = folder.path() + "/fleet-zones";
  EXPECT_TRUE(loadTrafficBaseline(path).empty());
  const zones::TrafficBaseline baseline = {
      {{"b", {{"e1", {7, 12.375}}, {"e2", {-3, 0.1}}}}, {"c", {{"e3", {0, 4}}}}}};
  ASSERT_EQ("", replaceFile(path, serializeTrafficBaseline(baseline)));
  EXPECT_TRUE(loadTrafficBaseline(path) == baseline);
}

// A damaged file that restored a larger baseline would overload cold endpoints.
TEST(StateFilesTest, IgnoresATrafficBaselineFileThatIsDamagedOrTruncated) {
  const harness::TemporaryFolder folder;
  const std::string path = folder.path() + "/fleet-zones";
  const zones::TrafficBaseline baseline = {{{"b", {{"e1", {7, 12.375}}, {"e2", {8, 3}}}}}};
  const std::string original = serializeTrafficBaseline(baseline);
  for (std::size_t byte = 0; byte + 1 < original.size(); ++byte) {
    std::string flipped = original;
    flipped[byte] = static_cast<char>(flipped[byte] ^ 1 << byte % 7);
    writeFile(path, flipped);
    EXPECT_TRUE(loadTrafficBaseline(path).empty()) << byte;
    writeFile(path, original.substr(0, byte));
    EXPECT_TRUE(loadTrafficBaseline(path).empty()) << byte;
  }
  writeFile(path, json{{"parts", {{"b", 1}}}, {"check", planDigest(json{{"b", 1}}.dump())}}.dump());
  EXPECT_TRUE(loadTrafficBaseline(path).empty());
}

// The fixtures were written by version 0.4.0 before the rename of its types; their form must not change.
TEST(StateFilesTest, ReadsThePlanFileOfAnEarlierVersion) {
  const std::string path = planFilePath(sourceFolder() + "/tests/fleet/fixtures");
  const std::optional<Plan> plan = loadPlan(path);
  ASSERT_TRUE(plan);
  EXPECT_EQ(7, plan->number);
  EXPECT_EQ("aa", plan->requirements.settings);
  EXPECT_EQ("bb", plan->requirements.daemon);
  EXPECT_EQ("0.4.0", plan->requirements.program);
  EXPECT_EQ(12, plan->requirements.list_version);
  EXPECT_EQ("cc", plan->previous_requirements.settings);
  EXPECT_TRUE(plan->strict);
  EXPECT_EQ(10'000'000, plan->lease);
  EXPECT_EQ(12'000'000, plan->effective_after);
  EXPECT_EQ(0.5, plan->max_fenced_fraction);
  EXPECT_EQ((std::set<std::string>{"s1", "s2"}), plan->fenced);
  EXPECT_FALSE(plan->halted);
  EXPECT_EQ("anna", plan->author);
  EXPECT_EQ("tariffs", plan->reason);
  EXPECT_EQ(1'700'000'000'000'000, plan->changed_at);
  EXPECT_TRUE(plan->unknown_fields.empty());
  ASSERT_EQ(1u, plan->zones.count("a"));
  const zones::ZoneState& zone = plan->zones.at("a");
  EXPECT_EQ(zones::ZonePhase::recovering, zone.phase);
  EXPECT_EQ(2, zone.stage);
  EXPECT_EQ(0.5, zone.traffic_fraction);
  EXPECT_EQ(3, zone.failed_recoveries);
  EXPECT_TRUE(zone.pinned_by_operator);
  EXPECT_EQ("x", zone.reason);
  EXPECT_EQ(std::set<std::string>{"s1"}, zone.probers);
  EXPECT_EQ(readFile(path), serializePlanFile(*plan));
}

TEST(StateFilesTest, ReadsTheTrafficBaselineFileOfAnEarlierVersion) {
  const std::string path = trafficBaselineFilePath(sourceFolder() + "/tests/fleet/fixtures");
  const zones::TrafficBaseline expected = {
      {{"b", {{"e1", {7, 12.375}}, {"e2", {-3, 0.1}}}}, {"c", {{"e3", {0, 4}}}}}};
  EXPECT_TRUE(loadTrafficBaseline(path) == expected);
  EXPECT_EQ(readFile(path), serializeTrafficBaseline(expected));
}

}  // namespace
}  // namespace grademux::fleet
