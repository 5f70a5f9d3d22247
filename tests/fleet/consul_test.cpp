// The store's client against a stand-in after the published interface: compare-and-swap, sessions, held
// reads, indexes that go back, nodes that die.
#include "../../src/fleet/consul.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

#include "../../rig/store_stand_in.h"
#include "../../src/core/clock.h"

namespace grademux::fleet {
namespace {

class ConsulTest : public ::testing::Test {
 protected:
  ConsulTest() : stand_in_(io_, 3), store_(io_, stand_in_.addresses(), 300'000) {}
  Answered wait(const std::function<void(Store::Done)>& ask) {
    Answered got;
    bool over = false;
    ask([&](const Answered& a) {
      got = a;
      over = true;
    });
    while (!over)
      io_.run_one();
    return got;
  }
  Answered read(std::int64_t after = 0, Micros hold = 0) {
    return wait([&](auto done) { store_.read("p/plan", after, hold, done); });
  }
  Answered swap(const std::string& v, std::int64_t changed) {
    return wait([&](auto done) { store_.swap("p/plan", v, changed, done); });
  }
  Answered hold(const std::string& v, const std::string& session) {
    return wait([&](auto done) { store_.hold("p/senders/s1", v, session, done); });
  }
  std::string open() {
    return wait([&](auto done) { store_.open("s1", 10'000'000, done); }).session;
  }
  boost::asio::io_context io_{1};
  rig::StoreStandIn stand_in_;
  Consul store_;
};

TEST_F(ConsulTest, OneOfTwoSwapsWins) {
  EXPECT_TRUE(read().entries.empty());
  EXPECT_TRUE(swap("one", 0).done);
  const Answered a = swap("two", 0);
  EXPECT_TRUE(a.ok);
  EXPECT_FALSE(a.done);
  const Answered seen = read();
  ASSERT_EQ(seen.entries.size(), 1u);
  EXPECT_EQ(seen.entries[0].value, "one");
  EXPECT_TRUE(swap(std::string("three\0\xff{}", 9), seen.entries[0].changed).done);
  EXPECT_EQ(read().entries[0].value, std::string("three\0\xff{}", 9));
  EXPECT_GT(seen.clock, 1'600'000'000LL * 1'000'000);
}

TEST_F(ConsulTest, AHeldReadEndsWithNewsOrItsTime) {
  swap("one", 0);
  const Answered first = read();
  const Micros began = monotonicNow();
  EXPECT_TRUE(read(first.index, 200'000).ok);
  EXPECT_GE(monotonicNow() - began, 190'000);
  Answered got;
  store_.read("p/plan", first.index, 20'000'000, [&](const Answered& a) { got = a; });
  EXPECT_TRUE(swap("two", first.entries[0].changed).done);
  while (!got.ok)
    io_.run_one();
  EXPECT_EQ(got.entries.at(0).value, "two");
  EXPECT_GT(got.index, first.index);
}

TEST_F(ConsulTest, AStoreThatForgotWakesTheReadWithALowerIndex) {
  swap("one", 0);
  const Answered first = read();
  Answered got;
  store_.read("p/plan", first.index, 20'000'000, [&](const Answered& a) { got = a; });
  io_.run_for(std::chrono::milliseconds(50));
  stand_in_.forget();
  while (!got.ok)
    io_.run_one();
  EXPECT_TRUE(got.entries.empty());
  EXPECT_LT(got.index, first.index);
}

TEST_F(ConsulTest, WhatASessionHoldsEndsWithIt) {
  const std::string one = open(), two = open();
  ASSERT_FALSE(one.empty());
  EXPECT_TRUE(hold("mine", one).done);
  EXPECT_TRUE(hold("mine, newer", one).done);
  const Answered other = hold("theirs", two);
  EXPECT_TRUE(other.ok);
  EXPECT_FALSE(other.done);
  EXPECT_TRUE(wait([&](auto done) { store_.renew(one, done); }).done);
  EXPECT_TRUE(wait([&](auto done) { store_.close(one, done); }).done);
  const Answered renewed = wait([&](auto done) { store_.renew(one, done); });
  EXPECT_TRUE(renewed.ok);
  EXPECT_FALSE(renewed.done);
  EXPECT_FALSE(hold("late", one).ok);  // fenced: a write that was under way comes to nothing
  const Answered all = wait([&](auto done) { store_.list("p/senders/", done); });
  ASSERT_EQ(all.entries.size(), 1u);
  EXPECT_EQ(all.entries[0].value, "mine, newer");
  EXPECT_TRUE(all.entries[0].session.empty());
  EXPECT_TRUE(hold("theirs", two).done);
}

TEST_F(ConsulTest, AnotherNodeIsAskedAfterOneThatDoesNotAnswer) {
  swap("one", 0);
  stand_in_.node(0, false);
  EXPECT_FALSE(read().ok);
  EXPECT_TRUE(read().ok);
  stand_in_.node(0, true);
  stand_in_.late(1'000'000);
  const Answered late = read();
  EXPECT_FALSE(late.ok);
  EXPECT_NE(late.why.find("does not answer"), std::string::npos);
}

// A read on which a lease hangs is never answered from what a lagging node knows.
TEST_F(ConsulTest, ReadsAreConsistent) {
  swap("one", 0);
  for (std::size_t n = 0; n < 3; ++n)
    stand_in_.lag(n, true);
  swap("two", read().entries.at(0).changed);
  EXPECT_EQ(read().entries.at(0).value, "two");
}

}  // namespace
}  // namespace grademux::fleet
