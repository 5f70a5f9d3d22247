// The client that reports final outcomes, against an agent that decides when each byte is sent.
#include <boost/asio/io_context.hpp>

#include "../../src/discovery/discovery.h"
#include "../../src/net/address.h"
#include "../support/held_server.h"

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

}  // namespace
}  // namespace grademux
