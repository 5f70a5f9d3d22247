// The module decides the same as before its state was indexed. The digests are those of the version that
// walked the whole backlog in each turn; whoever changes a decision on purpose takes them anew and says why.
#include "streams.h"

namespace grademux {
namespace {

struct Golden {
  const char* name;
  std::uint64_t digest, sends, refusals, failures;
  friend void PrintTo(const Golden& g, std::ostream* out) { *out << g.name; }
};
class SameActions : public ::testing::TestWithParam<Golden> {};

TEST_P(SameActions, AsTheWalkThroughAllOfTheBacklog) {
  const Golden& g = GetParam();
  Stream s(streamShape(g.name), 1);
  const std::uint64_t digest = s.run();
  EXPECT_EQ(g.sends, s.sends);
  EXPECT_EQ(g.refusals, s.refusals);
  EXPECT_EQ(g.failures, s.failures);
  EXPECT_EQ(g.digest, digest) << std::hex << digest;
}

INSTANTIATE_TEST_SUITE_P(Streams, SameActions,
                         ::testing::Values(Golden{"calm", 0x5f6cecfccc911c1fu, 3955, 0, 34},
                                           Golden{"outage", 0x2d443ae5756d9078u, 6109, 123, 97},
                                           Golden{"overload", 0xae6d2c3703b7599du, 9662, 44565, 89},
                                           Golden{"churn", 0x4fe27d26ddbd720fu, 4026, 0, 35},
                                           Golden{"ordered", 0xe6d66a71fafa2fb5u, 7801, 0, 69},
                                           Golden{"limits", 0x255e85eb79fe7081u, 2395, 1652, 22},
                                           Golden{"waits", 0x8e112446115d50a5u, 2420, 1608, 29},
                                           Golden{"many", 0x782d0d443fc89846u, 1825, 1994, 15},
                                           Golden{"wide", 0x321e25b348e74320u, 9691, 17997, 88}),
                         [](const auto& p) { return std::string(p.param.name); });

}  // namespace
}  // namespace grademux
