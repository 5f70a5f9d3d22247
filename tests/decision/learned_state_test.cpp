// What was learned is given out, and the next process acts on it as the one before would have.
#include <algorithm>
#include <deque>

#include "sender_fixture.h"

namespace grademux {
namespace {

// Plays traffic at 20 a second at a destination with a told limit, so that all there is to learn is learned.
void teach(Rig& r, std::int64_t dest, int messages, double limit = 60) {
  for (int i = 0; i < messages; ++i) {
    const std::string id = "t" + std::to_string(dest) + "-" + std::to_string(i);
    r.at(r.now + 30 * kMs);
    r.arrive(id, "safe", dest);
    AttemptOutcome o = r.outcome(id, 0, AttemptResult::ok, 20 * kMs);
    o.limit_report = LimitReport{0.8, limit};
    r.at(r.now + 20 * kMs).run({o});
  }
}
std::vector<LearnedEndpoint> lessonsOf(Rig& r, int most = 1000) {
  std::vector<LearnedEndpoint> all;
  ExportLearned q;
  q.max_destinations = most;
  for (;;) {
    r.run({q});
    for (const LearnedEndpoint& l : r.got<LearnedEndpoint>())
      all.push_back(l);
    const auto end = r.got<LearnedExported>();
    EXPECT_EQ(end.size(), 1u);
    if (end.empty() || end[0].complete)
      return all;
    q.after = end[0].after;
  }
}
std::vector<Endpoint> twoOf(std::int64_t dest) {
  return {makeEndpoint("e" + std::to_string(dest), dest), makeEndpoint("f" + std::to_string(dest), dest)};
}

TEST(LearnedState, ExportsEachDestinationOnceInBatches) {
  Rig r;
  r.at(100 * kS);
  std::vector<Endpoint> all;
  for (int d = 1; d <= 7; ++d)
    all.push_back(makeEndpoint("e" + std::to_string(d), d));
  r.list(all);
  for (int d = 1; d <= 6; ++d)
    teach(r, d, 5);  // nothing is known of the seventh
  for (const int most : {1, 2, 3, 1000}) {
    const std::vector<LearnedEndpoint> lessons = lessonsOf(r, most);
    EXPECT_EQ(lessons.size(), 12u) << most;  // each destination, and its endpoint
    for (const LearnedEndpoint& l : lessons) {
      EXPECT_EQ(l.typical_latency, 20 * kMs);
      EXPECT_EQ(l.endpoint.empty(), l.limit_is_reported);
      if (l.endpoint.empty()) {
        EXPECT_EQ(l.rate_limit, 60);
      }
    }
  }
}

TEST(LearnedState, AppliesStateOfEarlierProcess) {
  Rig first;
  first.at(100 * kS).list(twoOf(1));
  teach(first, 1, 100);
  const std::vector<LearnedEndpoint> lessons = lessonsOf(first);
  const auto timeoutAfter = [&](const std::vector<LearnedEndpoint>& told) {
    Rig next;
    next.at(first.now + kS).list(twoOf(1));
    next.run({told.begin(), told.end()});
    next.arrive("m", "safe", 1);
    return next.timeout["m"];
  };
  EXPECT_LT(timeoutAfter(lessons), 400 * kMs);
  EXPECT_EQ(timeoutAfter({}), 2 * kS);  // nothing known: the whole aim

  // Cold at the kill: what the sender usually sends is what its ramp begins from.
  const auto sentInRamp = [&](const std::vector<LearnedEndpoint>& told) {
    Rig next;
    next.at(first.now + kS).list(twoOf(1));
    std::vector<Event> events(told.begin(), told.end());
    for (Event& e : events)
      std::get<LearnedEndpoint>(e).rate_limit = std::get<LearnedEndpoint>(e).quota_fraction =
          0;  // no limit known
    events.emplace_back(DestinationHealth{"", 1, false, next.now - kS, 0, next.now});
    for (int i = 0; i < 60; ++i)
      events.emplace_back(RecoveredMessage{next.arrival("r" + std::to_string(i), "safe", 1), {}, nullptr});
    std::size_t sent = 0;
    std::vector<std::string> out = next.run(events);
    for (int k = 0; k < 100; ++k) {
      sent += out.size();
      std::vector<Event> ends;
      for (const std::string& id : out)
        ends.emplace_back(next.outcome(id, 0, AttemptResult::ok, 20 * kMs));
      ends.emplace_back(TimerFired{});
      out = next.at(next.now + 20 * kMs).run(ends);
    }
    return sent;
  };
  EXPECT_GT(sentInRamp(lessons), 8u);
  EXPECT_LT(sentInRamp(lessons), 40u);  // it is a ramp nevertheless
}

TEST(LearnedState, RestoresRetryAfterInNextProcess) {
  Rig first;
  first.at(100 * kS).list(twoOf(1));
  first.arrive("m", "safe", 1);
  first.at(101 * kS).end("m", 0, AttemptResult::rejected, 10 * kMs, 900 * kMs);  // too short for an outage
  const auto kept = first.got<DestinationHealth>();
  ASSERT_EQ(kept.size(), 1u);
  EXPECT_FALSE(kept[0].down);
  EXPECT_EQ(kept[0].retry_after_until, 101 * kS + 900 * kMs);
  Rig next;
  next.at(101 * kS + 300 * kMs).list(twoOf(1));
  EXPECT_TRUE(next.run({kept[0], RecoveredMessage{next.arrival("m", "safe", 1), {}, nullptr}}).empty());
  EXPECT_TRUE(next.at(101 * kS + 890 * kMs).wake().empty());
  EXPECT_EQ(next.at(101 * kS + 905 * kMs).wake().size(), 1u);  // and no ramp: nothing was down
  EXPECT_EQ(next.arrive("n", "safe", 1).size(), 1u);
}

TEST(LearnedState, IgnoresStateOfKnownOrUnlistedEndpoints) {
  Rig r;
  r.at(100 * kS).list(twoOf(1));
  teach(r, 1, 10);
  LearnedEndpoint l;
  l.destination = 1;
  l.rate_limit = 5;
  l.limit_is_reported = true;
  l.typical_latency = 9 * kS;
  l.samples = 8;
  l.last_outcome_at = 99 * kS;
  LearnedEndpoint other = l;
  other.endpoint = "e1";
  other.destination = 2;  // listed for another destination
  LearnedEndpoint unknown = l;
  unknown.endpoint = "nobody";
  r.run({l, other, unknown});
  for (const LearnedEndpoint& known : lessonsOf(r)) {
    EXPECT_EQ(known.typical_latency, 20 * kMs);
    EXPECT_NE(known.rate_limit, 5);
  }
}

TEST(LearnedState, CorrectsRestoredLimitFromLaterAnswers) {
  Rig r;
  r.at(100 * kS).list(twoOf(1));
  LearnedEndpoint l;
  l.destination = 1;
  l.rate_limit = 100;
  l.limit_is_reported = true;
  l.quota_fraction = 1;
  l.last_outcome_at = 99 * kS;
  r.run({l});
  teach(r, 1, 12, 50);
  double limit = 0;
  for (const LearnedEndpoint& known : lessonsOf(r))
    if (known.endpoint.empty())
      limit = known.rate_limit;
  EXPECT_LT(limit, 55);
}

// All senders are restarted at once while a destination is cold, each with a backlog: together they stay
// below what would push it over. `told`: health and lessons reach the next processes.
bool pushedOver(bool told) {
  constexpr int kSenders = 3;
  constexpr double kTakes = 40;  // calls a second when warm
  Settings s = makeSettings();
  s.sender_count = kSenders;
  s.max_in_flight = 64;
  s.max_open_messages = 2000;
  const Micros returned = 100 * kS;
  std::vector<Rig> rigs;
  for (int i = 0; i < kSenders; ++i) {
    Rig& r = rigs.emplace_back(s, static_cast<std::uint64_t>(i + 1));
    r.at(returned + 500 * kMs).list(twoOf(1));
  }
  std::deque<std::pair<Micros, std::pair<int, std::string>>> out;
  std::deque<Micros> calls;
  bool over = false;
  for (Micros t = returned + 520 * kMs; t < returned + 12 * kS; t += 20 * kMs) {
    for (int i = 0; i < kSenders; ++i) {
      Rig& r = rigs[static_cast<std::size_t>(i)];
      std::vector<Event> events;
      if (t == returned + 520 * kMs) {
        r.now = t;
        if (told) {
          LearnedEndpoint l;
          l.destination = 1;
          l.rate_limit = kTakes;
          l.limit_is_reported = true;
          l.quota_fraction = 1.0 / kSenders;
          l.message_rate = kTakes / kSenders;
          l.last_outcome_at = l.last_message_at = returned;
          events.emplace_back(l);
          events.emplace_back(DestinationHealth{"", 1, false, returned, 0, returned});
        }
        for (int k = 0; k < 200; ++k)
          events.emplace_back(RecoveredMessage{r.arrival("r" + std::to_string(k), "safe", 1), {}, nullptr});
      }
      while (!out.empty() && out.front().first <= t && out.front().second.first == i) {
        AttemptOutcome o = r.outcome(out.front().second.second, 0, AttemptResult::ok, 20 * kMs);
        o.limit_report = LimitReport{0.5, kTakes};
        events.emplace_back(o);
        out.pop_front();
      }
      events.emplace_back(TimerFired{});
      for (const std::string& id : r.at(t).run(events)) {
        out.push_back({t + 20 * kMs, {i, id}});
        calls.push_back(t);
      }
    }
    std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
      return std::make_pair(a.first, a.second.first) < std::make_pair(b.first, b.second.first);
    });
    while (!calls.empty() && calls.front() <= t - s.overload_collapse_time)
      calls.pop_front();
    const double warmth =
        std::min(1.0, static_cast<double>(t - s.overload_collapse_time / 2 - returned) / 1e7);
    const double share = s.cold_capacity_fraction + (1 - s.cold_capacity_fraction) * std::max(0.0, warmth);
    over = over || static_cast<double>(calls.size()) > s.overload_factor * kTakes * share * 2;
  }
  return over;
}
TEST(LearnedState, LimitsRateToColdDestinationAfterAllSendersRestart) {
  EXPECT_FALSE(pushedOver(true));
  EXPECT_TRUE(pushedOver(false));  // what they would do as if nothing were known
}

}  // namespace
}  // namespace grademux
