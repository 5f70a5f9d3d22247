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

}  // namespace
}  // namespace grademux::model
