// What is harmless for one sender, and not when a hundred do it.
#include "spoilt.h"

namespace grademux::model {
namespace {

std::string crowdOf(int senders) {
  return R"(
[run]
length = "20 s"
[fleet]
senders = )" +
         std::to_string(senders) + R"(
partners = 4
endpoints = 1
[traffic]
rate = 300
load = [0.7, 0.7]
[rules]
conn_idle = "5 s"
ramp_time = "8 s"
[[kind]]
name = "partner"
headroom = [1, 1]
conns = 3
least_conns = 8
[[class]]
name = "status"
service = ["30 ms", "60 ms"]
)";
}

// Endpoints take fewer connections than there are senders: nobody is kept out by idle ones of others. With a
// connection kept by each sender the least served hundred lost most of what was for the busiest partner.
TEST(Crowd, NobodyIsKeptOutByIdleConnections) {
  for (const int senders : {3, 100}) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const json f = played(worldOf(crowdOf(senders)), seed);
      EXPECT_GT(f["worth"].get<double>(), 0.97) << senders << " senders, seed " << seed;
    }
  }
}

// Refused calls use the limit up: a fleet that asks for a little more than there is must not lose most of it.
std::string fullHouse() {
  return R"(
[run]
length = "40 s"
[fleet]
senders = 100
partners = 4
endpoints = 1
[traffic]
rate = 160
load = [1.05, 1.05]
clumps = 0.1
[rules]
ramp_time = "11 s"
max_pause = "3 s"
[[kind]]
name = "partner"
headroom = [1, 1]
refused_count = true
tells_wait = 0.4
[[class]]
name = "status"
service = ["30 ms", "60 ms"]
aim = "3 s"
deadline = "12 s"
late_worth = 0.3
)";
}

TEST(Crowd, RefusedCallsDoNotEatTheLimit) {
  double worth = 0, refused = 0;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    const json f = played(worldOf(fullHouse()), seed);
    worth += f["worth"].get<double>() / 4;
    refused += f["refusals"].get<double>() / f["calls"].get<double>() / 4;
  }
  EXPECT_GT(worth, 0.535);    // 0.515 without an early warning and the cut to one portion
  EXPECT_LT(refused, 0.435);  // 0.458
}

}  // namespace
}  // namespace grademux::model
