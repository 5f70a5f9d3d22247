// The rig's ledger: each broken promise is found, so that a run that holds means something.
#include "../../harness/delivery_checker.h"

#include <gtest/gtest.h>

#include <tuple>
#include <vector>

namespace grademux::harness {
namespace {

struct Book {
  DeliveryChecker ledger{8};
  Record& message(Idempotency effect = Idempotency::non_idempotent, Reply said = Reply::accepted) {
    last = ledger.open(effect, Via::resp, 1000);
    Record& r = ledger.at(last);
    if (said != Reply::nothing)
      ledger.answered(r, said, 2000);
    return r;
  }
  bool holds(const char* name, int expected) {
    bool all = false;
    EXPECT_EQ(expected, ledger.summary(all)[name]) << name;
    return all;
  }
  std::int64_t last = 0;
};

TEST(Ledger, AMessageDeliveredOnceOrNoticedOnceHolds) {
  Book b;
  Record& r = b.message();
  ++r.runs;
  b.ledger.delivered(r, 3000);
  b.message();
  b.ledger.notice(b.ledger.id(b.last), 3000);
  b.ledger.notice(b.ledger.id(b.last), 4000);  // told again after a restart
  b.message(Idempotency::non_idempotent, Reply::refused);
  b.message(Idempotency::idempotent, Reply::cut);
  EXPECT_TRUE(b.holds("delivered", 1));
  EXPECT_EQ(0u, b.ledger.unended());
}

TEST(Ledger, EachBrokenPromiseIsFound) {
  Book lost, unanswered, twice, two_ends, refused, stranger;
  lost.message();
  EXPECT_FALSE(lost.holds("messages_lost", 1));
  unanswered.message(Idempotency::idempotent, Reply::nothing);
  EXPECT_FALSE(unanswered.holds("answers_lost", 1));
  Record& t = twice.message();
  t.runs = 2;
  twice.ledger.delivered(t, 3000);
  EXPECT_FALSE(twice.holds("unsafe_twice", 1));
  two_ends.ledger.delivered(two_ends.message(), 3000);
  two_ends.ledger.notice(two_ends.ledger.id(two_ends.last), 4000);
  EXPECT_FALSE(two_ends.holds("double_ends", 1));
  ++refused.message(Idempotency::non_idempotent, Reply::refused).runs;
  EXPECT_FALSE(refused.holds("run_after_refusal", 1));
  stranger.ledger.notice("0123456789abcdef", 3000);
  EXPECT_FALSE(stranger.holds("strangers", 1));
  for (const auto counter : {&DeliveryChecker::drained, &DeliveryChecker::misrouted}) {
    Book b;
    ++(b.ledger.*counter);
    bool all = true;
    b.ledger.summary(all);
    EXPECT_FALSE(all);
  }
}

// A call that the sender makes once it knows the end, or its next process does, is found; one that was on its
// way, or whose delivery the sender may not have heard of, is not.
TEST(Ledger, FindsCallsWithMessagesThatHaveEnded) {
  constexpr Micros kEnd = 3000, kLater = kEnd + kAnswerReadWithin + 1;
  Book delivered, given_up, crossing, unheard;
  delivered.ledger.delivered(delivered.message(), kEnd);
  delivered.ledger.called(delivered.ledger.at(0), kLater);
  EXPECT_FALSE(delivered.holds("calls_after_end", 1));
  given_up.message();
  given_up.ledger.notice(given_up.ledger.id(given_up.last), kEnd);
  given_up.ledger.died(kEnd);
  given_up.ledger.called(given_up.ledger.at(0), kLater);
  EXPECT_FALSE(given_up.holds("calls_after_end", 1));
  crossing.ledger.delivered(crossing.message(), kEnd);
  crossing.ledger.called(crossing.ledger.at(0), kEnd + kAnswerReadWithin);
  EXPECT_TRUE(crossing.holds("calls_after_end", 0));
  unheard.ledger.delivered(unheard.message(), kEnd);
  unheard.ledger.died(kEnd);
  unheard.ledger.called(unheard.ledger.at(0), kLater);
  EXPECT_TRUE(unheard.holds("calls_after_end", 0));
}

// An answer and the end of the message's time cross: no sender can prevent it. Before that time it is a
// fault.
TEST(Ledger, AnAnswerThatCrossesTheEndOfItsTimeIsNoSecondEnd) {
  constexpr Micros kOver = 20'000'000 + 1000;  // they are handed in at 1000
  for (const auto& [delivered, noticed, faults] :
       std::vector<std::tuple<Micros, Micros, int>>{{kOver - 1000, kOver, 0},
                                                    {kOver + 7000, kOver + 1000, 0},
                                                    {kOver - 1'000'000, kOver, 1},
                                                    {kOver - 1000, kOver - 100'000, 1},
                                                    {10'000'000, 10'001'000, 1}}) {
    Book b;
    Record& r = b.message(Idempotency::idempotent);
    b.ledger.delivered(r, delivered);
    b.ledger.notice(b.ledger.id(b.last), noticed);
    EXPECT_EQ(faults == 0, b.holds("double_ends", faults)) << delivered << ' ' << noticed;
  }
}

TEST(Ledger, ARepeatOfWhatMayRepeatIsNoFault) {
  Book b;
  Record& r = b.message(Idempotency::idempotency_key);
  r.runs = 2;
  b.ledger.delivered(r, 3000);
  b.ledger.delivered(r, 3500);
  EXPECT_TRUE(b.holds("unsafe_twice", 0));
  EXPECT_EQ(1u, b.ledger.deliveries);
}

TEST(Ledger, PercentilesAreOfTheNearestRank) {
  std::vector<Micros> spans;
  for (int i = 1000; i >= 1; --i)
    spans.push_back(i * 1000);
  const json p = percentiles(spans);
  EXPECT_EQ(500.0, p["p50_ms"]);
  EXPECT_EQ(990.0, p["p99_ms"]);
  EXPECT_EQ(999.0, p["p99_9_ms"]);
  EXPECT_EQ(0, percentiles({})["n"]);
}

}  // namespace
}  // namespace grademux::harness
