// Golden digests of the decision module's actions for recorded event streams: a version that decides
// otherwise fails here. The digests were first recorded when the module's state was indexed. They were
// recorded again for intended changes: a destination that could not send gains no claim on calls by that, and
// Retry-After spans are exported; fewer senders of a large fleet keep idle connections ("many"); the quota of
// a limit grows faster, and is reduced further in a large fleet ("limits", "waits", "many"); the slow start
// budget binds the sum of all senders, and messages that come again are no further demand (all streams). A
// change that alters decisions on purpose records the digests again and states the reason.
#include "streams.h"

namespace grademux {
namespace {

struct Golden {
  const char* name;
  std::uint64_t digest, attempts_started, rejections, failures;
  friend void PrintTo(const Golden& golden, std::ostream* out) { *out << golden.name; }
};
class RecordedDecisions : public ::testing::TestWithParam<Golden> {};

TEST_P(RecordedDecisions, MatchRecordedDigest) {
  const Golden& golden = GetParam();
  Stream stream(streamShape(golden.name), 1);
  const std::uint64_t digest = stream.run();
  EXPECT_EQ(golden.attempts_started, stream.attempts_started);
  EXPECT_EQ(golden.rejections, stream.rejections);
  EXPECT_EQ(golden.failures, stream.failures);
  EXPECT_EQ(golden.digest, digest) << std::hex << digest;
}

INSTANTIATE_TEST_SUITE_P(Streams, RecordedDecisions,
                         ::testing::Values(Golden{"calm", 0x1381806fdfaf6cdeu, 3877, 0, 47},
                                           Golden{"outage", 0x9dd3f5159b2ef03eu, 5215, 367, 67},
                                           Golden{"overload", 0x266b2ef389742b59u, 9662, 44558, 96},
                                           Golden{"churn", 0xc8f8a348eb53c468u, 4064, 0, 48},
                                           Golden{"ordered", 0xb0757c2449920d17u, 6966, 602, 64},
                                           Golden{"limits", 0xe60192175aaee6fau, 2391, 1562, 27},
                                           Golden{"waits", 0x9755b1e728fcff12u, 2441, 1620, 24},
                                           Golden{"many", 0xb8c329e0836cdab1u, 1588, 2189, 8},
                                           Golden{"wide", 0x96127e6282b21a7u, 9691, 17991, 94}),
                         [](const auto& test_info) { return std::string(test_info.param.name); });

}  // namespace
}  // namespace grademux
