// Endpoint table: updates and polls of the endpoint list, and events with unknown ids.
#include <algorithm>

#include "sender_fixture.h"

using namespace grademux;
using Ids = std::vector<std::string>;

namespace {

TEST(EndpointTable, SendsNothingToDrainingEndpoint) {
  SenderDriver driver;
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  Endpoint endpoint = makeEndpoint("e1", 1);
  endpoint.state = EndpointState::draining;
  driver.advanceTo(kS).updateEndpoints({endpoint}, EndpointListKind::delta);
  EXPECT_TRUE(driver.advanceTo(kS + 5 * kMs).submit("m1", "safe", 1).empty());
  EXPECT_TRUE(driver.advanceTo(19 * kS).fireTimer().empty());
  driver.advanceTo(kS + 20 * kS).fireTimer();
  EXPECT_EQ(driver.actionsOf<FailMessage>().size() + driver.actionsOf<RejectMessage>().size(), 1u);
}

TEST(EndpointTable, PollsAgainAfterFailedPoll) {
  Settings settings = makeSettings();
  settings.list_mode = ListMode::poll;
  SenderDriver driver(settings);
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  EXPECT_EQ(driver.actionsOf<grademux::WatchEndpoints>().size(), 1u);
  driver.advanceTo(kS).decide({EndpointListUpdate{EndpointListKind::failed, {}}});
  EXPECT_TRUE(driver.actionsOf<grademux::WatchEndpoints>().empty());
  std::size_t requests = 0;
  for (int i = 0; i < 100; ++i) {
    driver.advanceTo(kS + (i + 1) * 50 * kMs).fireTimer();
    requests += driver.actionsOf<grademux::WatchEndpoints>().size();
  }
  EXPECT_EQ(requests, 1u);
}

TEST(EndpointTable, IgnoresEventsWithUnknownIds) {
  SenderDriver driver;
  driver.updateEndpoints({makeEndpoint("e1", 1)});
  EXPECT_TRUE(driver.decide({AttemptOutcome{}, MessageWithdrawn{"nobody"}}).empty());
  EXPECT_TRUE(driver.submit("odd", "no such class", 1).empty());
  EXPECT_EQ(driver.actionsOf<FailMessage>().size(), 1u);  // an unknown class still gets a final outcome
  EXPECT_EQ(driver.submit("m", "safe", 1), Ids{"m"});
}

}  // namespace
