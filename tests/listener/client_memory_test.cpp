// The memory that client connections share: who waits for it, and who is shed.
#include "../../src/listener/client_memory.h"

#include <gtest/gtest.h>

#include <memory>

namespace grademux {
namespace {

constexpr std::size_t kLimit = 90'000;
constexpr std::size_t kConnectionBytes = 100;
constexpr Micros kLongWait = 1'000'000;

// A connection that gives its memory back when it is shed, as sessions do.
struct Connection : MemoryHolder {
  explicit Connection(ClientMemory& memory) : account(memory, *this, kConnectionBytes) {}
  void onMemoryAvailable() override { ++grants; }
  bool isWaitingForClient() const override { return waits_for_client; }
  void shedMemory() override {
    ++sheds;
    account.set(0, 0);
  }
  // Reads a part of a request, the rest of which the client does not send.
  bool readPart(std::size_t bytes, Micros now) {
    if (!account.reserve(bytes, now))
      return false;
    account.set(bytes, now);
    account.waitForClient(ClientWait::send_request, now);
    return true;
  }

  ClientMemory::Account account;
  int grants = 0, sheds = 0;
  bool waits_for_client = true;
};

struct ClientMemoryTest : ::testing::Test {
  Connection& connect() {
    connections.push_back(std::make_unique<Connection>(memory));
    return *connections.back();
  }

  ClientMemory memory{kLimit};
  std::vector<std::unique_ptr<Connection>> connections;
};

// Guards against unfinished requests that take the memory which whole requests need.
TEST_F(ClientMemoryTest, ShedsUnfinishedRequestWithMostBytesForLongestTime) {
  Connection &small = connect(), &large = connect(), &late = connect(), &next = connect();
  ASSERT_TRUE(small.readPart(10'000, 0));
  ASSERT_TRUE(large.readPart(40'000, 0));
  ASSERT_TRUE(late.readPart(30'000, kLongWait - 30'000));
  EXPECT_TRUE(next.account.reserve(40'000, kLongWait));
  EXPECT_EQ(1, large.sheds);
  EXPECT_EQ(0, small.sheds + late.sheds);
  EXPECT_EQ(1u, memory.usage().shed_requests);
}

// Guards against a client that is cut though its whole request has arrived, or is still on its way.
TEST_F(ClientMemoryTest, ShedsNobodyWhoDoesNotWaitForClient) {
  Connection &read_on = connect(), &new_one = connect(), &next = connect();
  ASSERT_TRUE(read_on.readPart(60'000, 0));
  read_on.waits_for_client = false;
  ASSERT_TRUE(new_one.readPart(20'000, kLongWait));
  EXPECT_FALSE(next.account.reserve(40'000, kLongWait + 1000));
  EXPECT_EQ(0, read_on.sheds + new_one.sheds);
  read_on.account.set(0, kLongWait);
  EXPECT_EQ(1, next.grants);
}

TEST_F(ClientMemoryTest, ShedsUnfinishedRequestsBeforeUnreadReplies) {
  Connection &reply = connect(), &request = connect(), &next = connect();
  ASSERT_TRUE(reply.readPart(60'000, 0));
  reply.account.waitForClient(ClientWait::read_reply, 0);
  ASSERT_TRUE(request.readPart(20'000, 0));
  EXPECT_TRUE(next.account.reserve(25'000, kLongWait));
  EXPECT_EQ(1, request.sheds);
  EXPECT_EQ(0, reply.sheds);
  Connection& after = connect();
  EXPECT_TRUE(after.account.reserve(25'000, kLongWait));
  EXPECT_EQ(1, reply.sheds);
  EXPECT_EQ(1u, memory.usage().shed_replies);
}

// Guards against connections that wait for each other's memory for ever: each holds a part of its request.
TEST_F(ClientMemoryTest, ShedsLargestOfThoseThatWaitForMemoryTooLong) {
  Connection &first = connect(), &second = connect();
  ASSERT_TRUE(first.account.reserve(50'000, 0));
  ASSERT_TRUE(second.account.reserve(30'000, 0));
  EXPECT_FALSE(first.account.reserve(70'000, 0));
  EXPECT_FALSE(second.account.reserve(60'000, 0));
  memory.relieve(kLongWait);
  EXPECT_EQ(1, first.sheds);
  EXPECT_EQ(1, second.grants);
}

// Guards against long requests that are overtaken by later ones for ever, and short ones that wait for them.
TEST_F(ClientMemoryTest, ServesLongReservationsInTheirOrderAndShortOnesAtOnce) {
  Connection &holder = connect(), &first = connect(), &second = connect(), &short_one = connect();
  ASSERT_TRUE(holder.account.reserve(60'000, 0));
  EXPECT_FALSE(first.account.reserve(50'000, 0));
  EXPECT_FALSE(second.account.reserve(10'000, 0));
  EXPECT_TRUE(short_one.account.reserve(1000, 0));
  holder.account.close();
  EXPECT_EQ(1, first.grants);
  EXPECT_EQ(1, second.grants);
}

// Guards against connections without a request that leave no room for the requests of the others.
TEST_F(ClientMemoryTest, ConnectionsTakeAThirdOfTheLimitAtMost) {
  while (memory.hasRoomForConnection(kConnectionBytes))
    connect();
  EXPECT_EQ(kLimit / 3 / kConnectionBytes, connections.size());
  EXPECT_TRUE(connections.front()->account.reserve(kLimit / 2, 0));
}

// Guards against a replaced process that keeps what its successor needs.
TEST_F(ClientMemoryTest, LowerLimitShedsAtOnceAndClosedConnectionsCountNoMore) {
  Connection& request = connect();
  ASSERT_TRUE(request.readPart(60'000, 0));
  memory.setLimit(kLimit / 2, 1);
  EXPECT_EQ(1, request.sheds);
  connections.clear();
  EXPECT_EQ(0u, memory.usage().connections + memory.usage().requests);
}

}  // namespace
}  // namespace grademux
