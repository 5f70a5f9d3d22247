// 6 membership: the list of endpoints, and events that name nothing.
#include <algorithm>

#include "sender_fixture.h"

using namespace grademux;
using Ids = std::vector<std::string>;

namespace {

TEST(EndpointTable, SendsNothingToDrainingEndpoint) {
  Rig r;
  r.list({makeEndpoint("e1", 1)});
  Endpoint e = makeEndpoint("e1", 1);
  e.state = EndpointState::draining;
  r.at(kS).list({e}, EndpointListKind::delta);
  EXPECT_TRUE(r.at(kS + 5 * kMs).arrive("m1", "safe", 1).empty());
  EXPECT_TRUE(r.at(19 * kS).wake().empty());
  r.at(kS + 20 * kS).wake();
  EXPECT_EQ(r.got<FailMessage>().size() + r.got<RejectMessage>().size(), 1u);
}

TEST(EndpointTable, PollsAgainAfterFailedPoll) {
  Settings s = makeSettings();
  s.list_mode = ListMode::poll;
  Rig r(s);
  r.list({makeEndpoint("e1", 1)});
  EXPECT_EQ(r.got<grademux::WatchEndpoints>().size(), 1u);
  r.at(kS).run({EndpointListUpdate{EndpointListKind::failed, {}}});
  EXPECT_TRUE(r.got<grademux::WatchEndpoints>().empty());
  std::size_t asked = 0;
  for (int i = 0; i < 100; ++i) {
    r.at(kS + (i + 1) * 50 * kMs).wake();
    asked += r.got<grademux::WatchEndpoints>().size();
  }
  EXPECT_EQ(asked, 1u);
}

TEST(EndpointTable, IgnoresEventsWithUnknownIds) {
  Rig r;
  r.list({makeEndpoint("e1", 1)});
  EXPECT_TRUE(r.run({AttemptOutcome{}, MessageWithdrawn{"nobody"}}).empty());
  EXPECT_TRUE(r.arrive("odd", "no such class", 1).empty());
  EXPECT_EQ(r.got<FailMessage>().size(), 1u);  // it owes an answer all the same
  EXPECT_EQ(r.arrive("m", "safe", 1), Ids{"m"});
}

}  // namespace
