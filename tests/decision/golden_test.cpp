// The module decides the same from version to version. The digests were taken when its state was indexed, and
// anew since a destination that could not send gains no claim by it, and since waits are given out to be
// kept; that of many senders since fewer of them keep idle connections; of limits, waits and many since a
// part of a limit grows faster, and among many is cut deeper. Whoever changes a decision on purpose takes
// them anew and says why.
#include "streams.h"

namespace grademux {
namespace {

struct Golden {
  const char* name;
  std::uint64_t digest, sends, refusals, failures;
  friend void PrintTo(const Golden& g, std::ostream* out) { *out << g.name; }
};
class RecordedDecisions : public ::testing::TestWithParam<Golden> {};

TEST_P(RecordedDecisions, MatchRecordedDigest) {
  const Golden& g = GetParam();
  Stream s(streamShape(g.name), 1);
  const std::uint64_t digest = s.run();
  EXPECT_EQ(g.sends, s.sends);
  EXPECT_EQ(g.refusals, s.refusals);
  EXPECT_EQ(g.failures, s.failures);
  EXPECT_EQ(g.digest, digest) << std::hex << digest;
}

INSTANTIATE_TEST_SUITE_P(Streams, RecordedDecisions,
                         ::testing::Values(Golden{"calm", 0xb282a2345d6d68b5u, 4097, 0, 45},
                                           Golden{"outage", 0x8a01f49b80bc34afu, 5892, 164, 59},
                                           Golden{"overload", 0xae6d2c3703b7599du, 9662, 44565, 89},
                                           Golden{"churn", 0xe917de666b637b42u, 3984, 0, 34},
                                           Golden{"ordered", 0xd70d900abe101b47u, 7809, 0, 74},
                                           Golden{"limits", 0xe1069be8be39118cu, 2925, 1093, 29},
                                           Golden{"waits", 0x1eedb92d5cae7328u, 2752, 1128, 32},
                                           Golden{"many", 0x8c967dc84bdc149au, 2006, 1818, 19},
                                           Golden{"wide", 0x332eff7e7490f727u, 9691, 18002, 83}),
                         [](const auto& p) { return std::string(p.param.name); });

}  // namespace
}  // namespace grademux
