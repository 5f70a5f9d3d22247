// The client that reports final outcomes, against an agent that decides when each byte is sent.
#include "../../src/discovery/notice_client.h"

#include <boost/asio/io_context.hpp>

#include "../../src/net/address.h"
#include "../support/held_server.h"
#include "../support/slow_agent.h"

namespace grademux {
namespace {

// Guards against taking a late copy of an earlier response for the acknowledgement of the next notice, which
// the agent has not read: the message would have neither a delivery nor a notice.
TEST(NoticeClient, LateCopyOfAcknowledgementDoesNotAcknowledgeNextNotice) {
  const std::string no_content = "HTTP/1.1 204 No Content\r\n\r\n";
  boost::asio::io_context io;
  loopback::HeldServer server(io);
  std::vector<std::string> delivered;
  NoticeClient client(Agent(io, parseAddress(server.address()), server.address()),
                      [&](const std::string& id) { delivered.push_back(id); });
  const auto areDelivered = [&](std::size_t count) {
    return loopback::eventually([&] {
      server.runLoop();
      return delivered.size() >= count;
    });
  };
  client.enqueueNotice("first", {});
  const int first = server.waitForRequest("first");
  server.send(first, no_content);
  ASSERT_TRUE(areDelivered(1));
  client.enqueueNotice("second", {});
  const int second = server.waitForRequest("second");
  server.send(first, no_content);
  server.runLoop();
  EXPECT_EQ(1u, delivered.size());
  EXPECT_EQ(1u, client.pendingNotices());
  server.send(second, no_content);
  EXPECT_TRUE(areDelivered(2));
  EXPECT_EQ((std::vector<std::string>{"first", "second"}), delivered);
}

// Guards against giving up each acknowledgement that is slow: the first notices would be sent for ever, and
// those behind them never.
TEST(NoticeClient, SlowAcknowledgementsAreAwaitedAndDelayNoOtherNotice) {
  using std::chrono::milliseconds;
  constexpr int kNotices = 300;                // several batches
  constexpr auto kUseful = milliseconds(300);  // after which a notice is overdue
  for (const int pause_ms : {200, 600, 4000}) {
    boost::asio::io_context io;
    loopback::SlowAgent agent([](int) { return loopback::Pace{}; });
    agent.setNoticePace({milliseconds(pause_ms), loopback::Pace::PauseAt::in_status_line});
    std::set<std::string> delivered;
    NoticeClient client(Agent(io, parseAddress(agent.address()), agent.address()),
                        [&](const std::string& id) { delivered.insert(id); });
    client.enqueueNotice("first", {});
    io.run_for(milliseconds(30));
    client.enqueueNotice("second", {});
    io.run_for(kUseful);
    EXPECT_EQ(2u, agent.noticedMessages()) << pause_ms;
    for (int i = 0; i < kNotices; ++i)
      client.enqueueNotice("m" + std::to_string(i), {});
    const auto until = std::chrono::steady_clock::now() + loopback::kLong;
    while (client.pendingNotices() > 0 && std::chrono::steady_clock::now() < until)
      io.run_for(milliseconds(20));
    EXPECT_EQ(0u, client.pendingNotices()) << pause_ms;
    EXPECT_EQ(2u + kNotices, delivered.size()) << pause_ms;
  }
}

}  // namespace
}  // namespace grademux
