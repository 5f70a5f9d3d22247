// Slow start: the calls of all senders together to a destination that comes back from an outage.
#include <cmath>
#include <functional>

#include "sender_fixture.h"

using namespace grademux;

namespace {

constexpr double kLimit = 20;  // calls a second that the destination takes from all senders
constexpr double kLargeLimit = 100;

Settings fleetSettings(int senders) {
  Settings settings = makeSettings();
  settings.sender_count = senders;
  settings.max_in_flight = 50;
  settings.weight_kind = WeightKind::nominal;
  settings.classes[0].deadline = 300 * kS;
  return settings;
}

SenderDriver makeSender(int senders, std::uint64_t seed, double limit = kLimit) {
  SenderDriver driver(fleetSettings(senders), seed);
  driver.advanceTo(100 * kS).updateEndpoints({makeEndpoint("e", 1, "shared", limit)});
  return driver;
}

DestinationHealth makeHealth(bool down, Micros warming_since) {
  DestinationHealth health;
  health.destination = 1;
  health.down = down;
  health.warming_since = health.observed_at = warming_since;
  return health;
}

LearnedEndpoint makeTraffic(double message_rate) {
  LearnedEndpoint learned;
  learned.destination = 1;
  learned.message_rate = message_rate;
  learned.last_message_at = 99 * kS;
  return learned;
}

// Calls within `span` of a sender that starts with `events` and a backlog; each call succeeds at once, or
// none has an outcome.
int countCalls(SenderDriver& driver, std::vector<Event> events, Micros span, bool answered) {
  for (int i = 0; i < 20; ++i)
    events.push_back(RecoveredMessage{driver.makeArrival("m" + std::to_string(i), "safe", 1), {}, nullptr});
  for (Event& event : events)
    if (auto* recovered = std::get_if<RecoveredMessage>(&event))
      recovered->message.resubmitted = true;
  std::vector<std::string> started = driver.decide(events);
  int call_count = static_cast<int>(started.size());
  const Micros end = driver.now + span;
  while (driver.now < end) {
    std::vector<Event> next{TimerFired{}};
    for (const std::string& id : started)
      if (answered)
        next.push_back(driver.makeOutcome(id, 0, AttemptResult::ok, 5 * kMs));
    started = driver.advanceTo(driver.now + 5 * kMs).decide(next);
    call_count += static_cast<int>(started.size());
  }
  return call_count;
}

// Calls of `senders` senders with the message rates `rate_of(sender)` in the first overload collapse time.
int countFleetCalls(int senders, double limit, const std::function<double(int)>& rate_of) {
  int call_count = 0;
  for (int sender = 0; sender < senders; ++sender) {
    SenderDriver driver = makeSender(senders, static_cast<std::uint64_t>(sender) + 1, limit);
    const std::vector<Event> events{makeTraffic(rate_of(sender)), makeHealth(true, 99 * kS)};
    call_count += countCalls(driver, events, driver.settings.overload_collapse_time, false);
  }
  return call_count;
}

// What the settings allow all senders in Settings::overload_collapse_time, and the slack for chance.
double slowStartBudget(const Settings& settings, double limit = kLimit) {
  const double allowed = settings.overload_factor * settings.cold_capacity_fraction * limit *
                         static_cast<double>(settings.overload_collapse_time) / kS;
  return allowed < 30 ? allowed + 3 * std::sqrt(allowed) + 3 : allowed + 2 * std::sqrt(allowed) + 2;
}

// Guards against claims by demand on top of even claims: their sum exceeded the budget.
TEST(SlowStart, UnevenDemandsTogetherStayWithinBudget) {
  for (const int senders : {8, 20, 47, 200}) {
    const auto rate_of = [&](int sender) { return sender < 6 ? kLargeLimit / 6 : 0; };
    EXPECT_LE(countFleetCalls(senders, kLargeLimit, rate_of),
              slowStartBudget(fleetSettings(senders), kLargeLimit))
        << senders;
  }
}

}  // namespace
