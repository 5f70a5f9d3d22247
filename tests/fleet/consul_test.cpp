// The store's client against a stand-in after the published interface: compare-and-swap, sessions, held
// reads, indexes that go back, nodes that die.
#include "../../src/fleet/consul.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

#include "../../harness/store_stand_in.h"
#include "../../src/core/clock.h"

namespace grademux::fleet {
namespace {

class ConsulTest : public ::testing::Test {
 protected:
  ConsulTest() : stand_in_(io_, 3), store_(io_, stand_in_.addresses(), 300'000) {}
  StoreResult wait(const std::function<void(Store::Callback)>& ask) {
    StoreResult got;
    bool over = false;
    ask([&](const StoreResult& a) {
      got = a;
      over = true;
    });
    while (!over)
      io_.run_one();
    return got;
  }
  StoreResult read(std::int64_t after = 0, Micros acquireKey = 0) {
    return wait([&](auto done) { store_.read("p/plan", after, acquireKey, done); });
  }
  StoreResult compareAndSwap(const std::string& v, std::int64_t changed) {
    return wait([&](auto done) { store_.compareAndSwap("p/plan", v, changed, done); });
  }
  StoreResult acquireKey(const std::string& v, const std::string& session) {
    return wait([&](auto done) { store_.acquireKey("p/senders/s1", v, session, done); });
  }
  std::string openSession() {
    return wait([&](auto done) { store_.openSession("s1", 10'000'000, done); }).session;
  }
  boost::asio::io_context io_{1};
  harness::StoreStandIn stand_in_;
  Consul store_;
};

TEST_F(ConsulTest, OneOfTwoSwapsWins) {
  EXPECT_TRUE(read().entries.empty());
  EXPECT_TRUE(compareAndSwap("one", 0).applied);
  const StoreResult a = compareAndSwap("two", 0);
  EXPECT_TRUE(a.ok);
  EXPECT_FALSE(a.applied);
  const StoreResult seen = read();
  ASSERT_EQ(seen.entries.size(), 1u);
  EXPECT_EQ(seen.entries[0].value, "one");
  EXPECT_TRUE(compareAndSwap(std::string("three\0\xff{}", 9), seen.entries[0].modify_index).applied);
  EXPECT_EQ(read().entries[0].value, std::string("three\0\xff{}", 9));
  EXPECT_GT(seen.store_time, 1'600'000'000LL * 1'000'000);
}

TEST_F(ConsulTest, AHeldReadEndsWithNewsOrItsTime) {
  compareAndSwap("one", 0);
  const StoreResult first = read();
  const Micros began = monotonicNow();
  EXPECT_TRUE(read(first.index, 200'000).ok);
  EXPECT_GE(monotonicNow() - began, 190'000);
  StoreResult got;
  store_.read("p/plan", first.index, 20'000'000, [&](const StoreResult& a) { got = a; });
  EXPECT_TRUE(compareAndSwap("two", first.entries[0].modify_index).applied);
  while (!got.ok)
    io_.run_one();
  EXPECT_EQ(got.entries.at(0).value, "two");
  EXPECT_GT(got.index, first.index);
}

TEST_F(ConsulTest, AStoreThatForgotWakesTheReadWithALowerIndex) {
  compareAndSwap("one", 0);
  const StoreResult first = read();
  StoreResult got;
  store_.read("p/plan", first.index, 20'000'000, [&](const StoreResult& a) { got = a; });
  io_.run_for(std::chrono::milliseconds(50));
  stand_in_.forget();
  while (!got.ok)
    io_.run_one();
  EXPECT_TRUE(got.entries.empty());
  EXPECT_LT(got.index, first.index);
}

TEST_F(ConsulTest, WhatASessionHoldsEndsWithIt) {
  const std::string one = openSession(), two = openSession();
  ASSERT_FALSE(one.empty());
  EXPECT_TRUE(acquireKey("mine", one).applied);
  EXPECT_TRUE(acquireKey("mine, newer", one).applied);
  const StoreResult other = acquireKey("theirs", two);
  EXPECT_TRUE(other.ok);
  EXPECT_FALSE(other.applied);
  EXPECT_TRUE(wait([&](auto done) { store_.renewSession(one, done); }).applied);
  EXPECT_TRUE(wait([&](auto done) { store_.destroySession(one, done); }).applied);
  const StoreResult renewed = wait([&](auto done) { store_.renewSession(one, done); });
  EXPECT_TRUE(renewed.ok);
  EXPECT_FALSE(renewed.applied);
  EXPECT_FALSE(acquireKey("late", one).ok);  // fenced: a write that was under way comes to nothing
  const StoreResult all = wait([&](auto done) { store_.listPrefix("p/senders/", done); });
  ASSERT_EQ(all.entries.size(), 1u);
  EXPECT_EQ(all.entries[0].value, "mine, newer");
  EXPECT_TRUE(all.entries[0].session.empty());
  EXPECT_TRUE(acquireKey("theirs", two).applied);
}

TEST_F(ConsulTest, AnotherNodeIsAskedAfterOneThatDoesNotAnswer) {
  compareAndSwap("one", 0);
  stand_in_.node(0, false);
  EXPECT_FALSE(read().ok);
  EXPECT_TRUE(read().ok);
  stand_in_.node(0, true);
  stand_in_.late(1'000'000);
  const StoreResult late = read();
  EXPECT_FALSE(late.ok);
  EXPECT_NE(late.error.find("does not answer"), std::string::npos);
}

// A read on which a lease hangs is never answered from what a lagging node knows.
TEST_F(ConsulTest, ReadsAreConsistent) {
  compareAndSwap("one", 0);
  for (std::size_t n = 0; n < 3; ++n)
    stand_in_.lag(n, true);
  compareAndSwap("two", read().entries.at(0).modify_index);
  EXPECT_EQ(read().entries.at(0).value, "two");
}

}  // namespace
}  // namespace grademux::fleet
