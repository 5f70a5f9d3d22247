// The same small world through sockets and in virtual time: what becomes of the worth, and the calls that it
// takes, agree within bounds that leave room for a busy machine.
#include "../../harness/scenarios.h"
#include "../../src/core/clock.h"
#include "../support/loopback.h"
#include "../support/program_paths.h"
#include "spoilt.h"

namespace grademux::model {
namespace {

// Three partners that take 20 calls a second each, at nine tenths of it; one shuts for 3 s and tells so.
const char* const kSmall = R"(
[run]
length = "10 s"
[fleet]
senders = 1
partners = 3
endpoints = 2
least_slots = 16
least_open = 20000
listed_off = -1
[traffic]
rate = 54
load = 0.9
zipf = 0
clumps = 0
tries_again = 0
[network]
front = ["50 us", "300 us"]
way = ["50 us", "300 us"]
[rules]
tick = "1 ms"
conn_idle = "10 s"
[[kind]]
limit = "window"
headroom = 1
least_rate = 0.1
spare = 20
tells_wait = 1
refused_count = true
[[class]]
name = "status"
share = 0.50
service = ["15 ms", "35 ms"]
deadline = "20 s"
[[class]]
name = "order"
share = 0.32
service = ["15 ms", "35 ms"]
deadline = "20 s"
effect = "keyed"
memory = "30 s"
[[class]]
name = "payment"
share = 0.18
service = ["15 ms", "35 ms"]
deadline = "20 s"
effect = "unsafe"
worth = 4
[[trouble]]
kind = "shut"
at = "3 s"
length = "3 s"
part = 0.3
)";

struct Seen {
  double worth = 0, calls = 0;  // a share; a message
};

Seen onSockets() {
  harness::EnvironmentConfig shape;
  shape.destinations = 3;
  shape.behaviour.service = 15'000;
  shape.behaviour.spread = 20'000;
  shape.slots = 16;
  harness::TestEnvironment w(senderProgram(), 1, shape);
  std::vector<std::shared_ptr<harness::DestinationState>> standings;
  for (std::size_t e = 0; e < w.endpoints(); ++e) {
    if (e % 2 == 0) {
      standings.push_back(std::make_shared<harness::DestinationState>());
      standings.back()->rate = 20;
    }
    w.endpoint(e).shares(standings.back());
  }
  w.start();
  const std::vector<harness::Via> both{harness::Via::resp, harness::Via::http};
  w.load(54, 3'000'000, both);
  const Micros opens = monotonicNow() + 3'000'000;
  standings[0]->shut_until = opens;
  w.load(54, 3'000'000, both);
  standings[0]->returned = opens;
  w.load(54, 4'000'000, both);
  EXPECT_TRUE(w.settle(60'000'000));
  const World rules = worldOf(kSmall);
  Seen s;
  double offered = 0;
  for (std::size_t i = 0; i < w.ledger.size(); ++i) {
    const harness::Record& r = w.ledger.at(static_cast<std::int64_t>(i));
    const MessageClass& c = rules.settings.classes[r.effect == Idempotency::non_idempotent    ? 2
                                                   : r.effect == Idempotency::idempotency_key ? 1
                                                                                              : 0];
    offered += c.priority_weight;
    if (r.delivered > 0 && r.ended > 0)
      s.worth += worthAt(c, LatenessPenalty::linear, r.ended - r.submitted);
  }
  for (std::size_t e = 0; e < w.endpoints(); ++e)
    s.calls += static_cast<double>(w.endpoint(e).calls());
  s.worth /= offered;
  s.calls /= static_cast<double>(w.ledger.size());
  w.stop();
  return s;
}

TEST(Calibration, SocketsAndVirtualTimeAgree) {
  const Seen real = onSockets();
  std::vector<double> worth, calls;
  for (std::uint64_t seed = 1; seed <= 9; ++seed) {
    const json f = played(worldOf(kSmall), seed);
    EXPECT_EQ(f["broken"], 0) << "seed " << seed << f["breaks"];
    worth.push_back(f["worth"]);
    calls.push_back(f["calls"].get<double>() / f["messages"].get<double>());
  }
  std::sort(worth.begin(), worth.end());
  std::sort(calls.begin(), calls.end());
  std::cout << "worth on sockets " << real.worth << ", in virtual time " << worth[4] << " (" << worth.front()
            << " to " << worth.back() << "); calls a message " << real.calls << ", " << calls[4] << '\n';
  EXPECT_NEAR(real.worth, worth[4], 0.12);
  EXPECT_GT(real.calls, calls[4] / 1.6);
  EXPECT_LT(real.calls, calls[4] * 1.6);
}

}  // namespace
}  // namespace grademux::model
