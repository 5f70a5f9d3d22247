// The store's client against a stand-in after the published interface: compare-and-swap, sessions, held
// reads, indexes that go back, nodes that die.
#include "../../src/fleet/consul.h"

#include <gtest/gtest.h>

#include <future>
#include <optional>
#include <thread>

#include "../../harness/store_stand_in.h"
#include "../../src/core/clock.h"

namespace grademux::fleet {
namespace {

class ConsulTest : public ::testing::Test {
 protected:
  ConsulTest() : stand_in_(io_, 3), store_(io_, stand_in_.addresses(), 300'000) {}
  StoreResult wait(const std::function<void(Store::Callback)>& ask) {
    std::optional<StoreResult> answer;
    ask([&](const StoreResult& result) { answer = result; });
    while (!answer)
      io_.run_one();
    return *answer;
  }
  StoreResult read(std::int64_t after = 0, Micros wait_time = 0) {
    return wait([&](auto done) { store_.read("p/plan", after, wait_time, done); });
  }
  StoreResult compareAndSwap(const std::string& v, std::int64_t changed) {
    return wait([&](auto done) { store_.compareAndSwap("p/plan", v, changed, done); });
  }
  StoreResult acquireKey(const std::string& v, const std::string& session) {
    return wait([&](auto done) { store_.acquireKey("p/senders/s1", v, session, done); });
  }
  std::string openSession() {
    return wait([&](auto done) { store_.openSession("s1", 10'000'000, done); }).value().session;
  }
  boost::asio::io_context io_{1};
  harness::StoreStandIn stand_in_;
  Consul store_;
};

TEST_F(ConsulTest, OneOfTwoSwapsWins) {
  EXPECT_TRUE(read().value().entries.empty());
  EXPECT_TRUE(compareAndSwap("one", 0).value().applied);
  const StoreResult a = compareAndSwap("two", 0);
  EXPECT_TRUE(a.has_value());
  EXPECT_FALSE(a.value().applied);
  const StoreResult seen = read();
  ASSERT_EQ(seen.value().entries.size(), 1u);
  EXPECT_EQ(seen.value().entries[0].value, "one");
  EXPECT_TRUE(
      compareAndSwap(std::string("three\0\xff{}", 9), seen.value().entries[0].modify_index).value().applied);
  EXPECT_EQ(read().value().entries[0].value, std::string("three\0\xff{}", 9));
  EXPECT_GT(seen.value().store_time, 1'600'000'000LL * 1'000'000);
}

TEST_F(ConsulTest, AHeldReadEndsWithNewsOrItsTime) {
  ASSERT_TRUE(compareAndSwap("one", 0).value().applied);
  const StoreResult first = read();
  const Micros began = monotonicNow();
  EXPECT_TRUE(read(first.value().index, 200'000).has_value());
  EXPECT_GE(monotonicNow() - began, 190'000);
  StoreResult got = StoreError{};
  store_.read("p/plan", first.value().index, 20'000'000, [&](const StoreResult& result) { got = result; });
  EXPECT_TRUE(compareAndSwap("two", first.value().entries[0].modify_index).value().applied);
  while (!got.has_value())
    io_.run_one();
  EXPECT_EQ(got.value().entries.at(0).value, "two");
  EXPECT_GT(got.value().index, first.value().index);
}

TEST_F(ConsulTest, AStoreThatForgotWakesTheReadWithALowerIndex) {
  ASSERT_TRUE(compareAndSwap("one", 0).value().applied);
  const StoreResult first = read();
  StoreResult got = StoreError{};
  store_.read("p/plan", first.value().index, 20'000'000, [&](const StoreResult& result) { got = result; });
  io_.run_for(std::chrono::milliseconds(50));
  stand_in_.forget();
  while (!got.has_value())
    io_.run_one();
  EXPECT_TRUE(got.value().entries.empty());
  EXPECT_LT(got.value().index, first.value().index);
}

TEST_F(ConsulTest, WhatASessionHoldsEndsWithIt) {
  const std::string one = openSession(), two = openSession();
  ASSERT_FALSE(one.empty());
  EXPECT_TRUE(acquireKey("mine", one).value().applied);
  EXPECT_TRUE(acquireKey("mine, newer", one).value().applied);
  const StoreResult other = acquireKey("theirs", two);
  EXPECT_TRUE(other.has_value());
  EXPECT_FALSE(other.value().applied);
  EXPECT_TRUE(wait([&](auto done) { store_.renewSession(one, done); }).value().applied);
  EXPECT_TRUE(wait([&](auto done) { store_.destroySession(one, done); }).value().applied);
  const StoreResult renewed = wait([&](auto done) { store_.renewSession(one, done); });
  EXPECT_TRUE(renewed.has_value());
  EXPECT_FALSE(renewed.value().applied);
  EXPECT_FALSE(acquireKey("late", one).has_value());  // fenced: a write that was under way comes to nothing
  const StoreResult all = wait([&](auto done) { store_.listPrefix("p/senders/", done); });
  ASSERT_EQ(all.value().entries.size(), 1u);
  EXPECT_EQ(all.value().entries[0].value, "mine, newer");
  EXPECT_TRUE(all.value().entries[0].session.empty());
  EXPECT_TRUE(acquireKey("theirs", two).value().applied);
}

TEST_F(ConsulTest, AnotherNodeIsAskedAfterOneThatDoesNotAnswer) {
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

// A read on which a lease hangs is never answered from what a lagging node knows.
TEST_F(ConsulTest, ReadsAreConsistent) {
  ASSERT_TRUE(compareAndSwap("one", 0).value().applied);
  for (std::size_t n = 0; n < 3; ++n)
    stand_in_.lag(n, true);
  ASSERT_TRUE(compareAndSwap("two", read().value().entries.at(0).modify_index).value().applied);
  EXPECT_EQ(read().value().entries.at(0).value, "two");
}

}  // namespace
}  // namespace grademux::fleet
