// Tests the Consul client against a stand-in for the published HTTP API: compare-and-swap, sessions, blocking
// reads, indexes that decrease, nodes that fail.
#include "../../src/fleet/consul.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <optional>
#include <thread>

#include "../../harness/store_stand_in.h"
#include "../../src/core/clock.h"
#include "../support/held_server.h"

namespace grademux::fleet {
namespace {

class ConsulTest : public ::testing::Test {
 protected:
  ConsulTest() : stand_in_(io_, 3), store_(io_, stand_in_.addresses(), 300'000) {}
  StoreResult wait(const std::function<void(Store::Callback)>& send) {
    std::optional<StoreResult> answer;
    send([&](const StoreResult& result) { answer = result; });
    while (!answer)
      io_.run_one();
    return *answer;
  }
  StoreResult read(std::int64_t index = 0, Micros wait_time = 0) {
    return wait([&](auto done) { store_.read("p/plan", index, wait_time, done); });
  }
  StoreResult compareAndSwap(const std::string& value, std::int64_t modify_index) {
    return wait([&](auto done) { store_.compareAndSwap("p/plan", value, modify_index, done); });
  }
  StoreResult acquireKey(const std::string& value, const std::string& session) {
    return wait([&](auto done) { store_.acquireKey("p/senders/s1", value, session, done); });
  }
  std::string openSession() {
    return wait([&](auto done) { store_.openSession("s1", 10'000'000, done); }).value().session;
  }
  boost::asio::io_context io_{1};
  harness::StoreStandIn stand_in_;
  Consul store_;
};

TEST_F(ConsulTest, AppliesOneOfTwoSwapsOfTheSameIndex) {
  EXPECT_TRUE(read().value().entries.empty());
  EXPECT_TRUE(compareAndSwap("one", 0).value().applied);
  const StoreResult second = compareAndSwap("two", 0);
  EXPECT_TRUE(second.has_value());
  EXPECT_FALSE(second.value().applied);
  const StoreResult seen = read();
  ASSERT_EQ(seen.value().entries.size(), 1u);
  EXPECT_EQ(seen.value().entries[0].value, "one");
  EXPECT_TRUE(
      compareAndSwap(std::string("three\0\xff{}", 9), seen.value().entries[0].modify_index).value().applied);
  EXPECT_EQ(read().value().entries[0].value, std::string("three\0\xff{}", 9));
  EXPECT_GT(seen.value().store_time, 1'600'000'000LL * 1'000'000);
}

// Guards against taking a late copy of an earlier response for that of the next write: a sender would act
// under a plan that the store has not applied.
TEST(ConsulConnections, LateCopyOfResponseDoesNotAnswerNextSwap) {
  boost::asio::io_context io;
  loopback::HeldServer server(io);
  Consul store(io, {server.address()}, 60'000'000);
  std::vector<bool> applied;
  const auto swap = [&](const std::string& key) {
    store.compareAndSwap(key, "value", 1, [&](const StoreResult& result) {
      applied.push_back(result.has_value() && result.value().applied);
    });
    return server.waitForRequest(key);
  };
  const auto areAnswered = [&](std::size_t count) {
    return loopback::eventually([&] {
      server.runLoop();
      return applied.size() >= count;
    });
  };
  const int first = swap("first");
  server.send(first, loopback::answer("200 OK", "", "true"));
  ASSERT_TRUE(areAnswered(1));
  const int second = swap("second");
  server.send(first, loopback::answer("200 OK", "", "true"));
  server.runLoop();
  EXPECT_EQ(1u, applied.size());
  server.send(second, loopback::answer("200 OK", "", "false"));
  EXPECT_TRUE(areAnswered(2));
  EXPECT_EQ((std::vector<bool>{true, false}), applied);
}

// Guards against giving up each answer that takes longer than a limit from its first byte to its last,
// however steadily it comes: the plan would never be known. One that stops is abandoned.
TEST(ConsulConnections, AnswersThatMakeProgressAreReadToTheirEnd) {
  using std::chrono::milliseconds;
  constexpr Micros kTimeout = 500'000;
  const std::string body = R"([{"Key":"p/plan","Value":"b25l","ModifyIndex":3}])";
  const std::string text = loopback::answer("200 OK", "X-Consul-Index: 3\r\n", body);
  const std::size_t third = text.size() / 3;
  std::atomic<bool> stops{false};
  loopback::Server server([&](const loopback::Seen&) {
    loopback::Act act{text.substr(0, third)};
    if (stops)
      return act;
    act.pieces = {{milliseconds(300), text.substr(third, third)},
                  {milliseconds(300), text.substr(2 * third)}};
    return act;
  });
  boost::asio::io_context io{1};
  Consul store(io, {server.address()}, kTimeout);
  const auto read = [&] {
    std::optional<StoreResult> result;
    store.read("p/plan", 0, 0, [&](const StoreResult& answer) { result = answer; });
    while (!result)
      io.run_one();
    return *result;
  };
  const StoreResult slow = read();
  ASSERT_TRUE(slow.has_value()) << slow.error().description;
  ASSERT_EQ(1u, slow.value().entries.size());
  EXPECT_EQ("one", slow.value().entries[0].value);
  stops = true;
  const StoreResult stopped = read();
  ASSERT_FALSE(stopped.has_value());
  EXPECT_NE(std::string::npos, stopped.error().description.find("does not answer"));
}

TEST_F(ConsulTest, BlockingReadEndsAtAChangeOrAfterItsWait) {
  ASSERT_TRUE(compareAndSwap("one", 0).value().applied);
  const StoreResult first = read();
  const Micros started_at = monotonicNow();
  EXPECT_TRUE(read(first.value().index, 200'000).has_value());
  EXPECT_GE(monotonicNow() - started_at, 190'000);
  StoreResult reply = StoreError{};
  store_.read("p/plan", first.value().index, 20'000'000, [&](const StoreResult& result) { reply = result; });
  EXPECT_TRUE(compareAndSwap("two", first.value().entries[0].modify_index).value().applied);
  while (!reply.has_value())
    io_.run_one();
  EXPECT_EQ(reply.value().entries.at(0).value, "two");
  EXPECT_GT(reply.value().index, first.value().index);
}

TEST_F(ConsulTest, BlockingReadReturnsALowerIndexWhenStoreLosesData) {
  ASSERT_TRUE(compareAndSwap("one", 0).value().applied);
  const StoreResult first = read();
  StoreResult reply = StoreError{};
  store_.read("p/plan", first.value().index, 20'000'000, [&](const StoreResult& result) { reply = result; });
  io_.run_for(std::chrono::milliseconds(50));
  stand_in_.forget();
  while (!reply.has_value())
    io_.run_one();
  EXPECT_TRUE(reply.value().entries.empty());
  EXPECT_LT(reply.value().index, first.value().index);
}

TEST_F(ConsulTest, ReleasesKeysWhenTheirSessionEnds) {
  const std::string first = openSession(), second = openSession();
  ASSERT_FALSE(first.empty());
  EXPECT_TRUE(acquireKey("mine", first).value().applied);
  EXPECT_TRUE(acquireKey("mine, newer", first).value().applied);
  const StoreResult other = acquireKey("theirs", second);
  EXPECT_TRUE(other.has_value());
  EXPECT_FALSE(other.value().applied);
  EXPECT_TRUE(wait([&](auto done) { store_.renewSession(first, done); }).value().applied);
  EXPECT_TRUE(wait([&](auto done) { store_.destroySession(first, done); }).value().applied);
  const StoreResult renewed = wait([&](auto done) { store_.renewSession(first, done); });
  EXPECT_TRUE(renewed.has_value());
  EXPECT_FALSE(renewed.value().applied);
  EXPECT_FALSE(acquireKey("late", first).has_value());  // a late write with the ended session
  const StoreResult all = wait([&](auto done) { store_.listPrefix("p/senders/", done); });
  ASSERT_EQ(all.value().entries.size(), 1u);
  EXPECT_EQ(all.value().entries[0].value, "mine, newer");
  EXPECT_TRUE(all.value().entries[0].session.empty());
  EXPECT_TRUE(acquireKey("theirs", second).value().applied);
}

TEST_F(ConsulTest, UsesAnotherNodeAfterOneDoesNotAnswer) {
  ASSERT_TRUE(compareAndSwap("one", 0).value().applied);
  stand_in_.node(0, false);
  EXPECT_FALSE(read().has_value());
  EXPECT_TRUE(read().has_value());
  stand_in_.node(0, true);
  stand_in_.late(1'000'000);
  const StoreResult late = read();
  EXPECT_FALSE(late.has_value());
  EXPECT_NE(late.error().description.find("does not answer"), std::string::npos);
}

// A lease depends on a read, so a read must never return the stale state of a lagging node.
TEST_F(ConsulTest, ReadsCurrentValueWhenNodesLag) {
  ASSERT_TRUE(compareAndSwap("one", 0).value().applied);
  for (std::size_t node = 0; node < 3; ++node)
    stand_in_.lag(node, true);
  ASSERT_TRUE(compareAndSwap("two", read().value().entries.at(0).modify_index).value().applied);
  EXPECT_EQ(read().value().entries.at(0).value, "two");
}

}  // namespace
}  // namespace grademux::fleet
