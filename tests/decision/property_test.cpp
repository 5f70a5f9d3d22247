// Property test: long random but valid event sequences against one Sender, without a model of servers. After
// each call of decide() the rules that a sender can check by itself must hold.
#include <algorithm>
#include <deque>
#include <random>
#include <set>

#include "sender_fixture.h"

using namespace grademux;

namespace {

struct AttemptRecord {
  std::string endpoint;
  Micros sent_at = 0;
  bool in_flight = true, may_have_run = true;
  AttemptResult result = AttemptResult::ok;
};
struct MessageRecord {
  const MessageClass* message_class = nullptr;
  std::int64_t destination = 0;
  std::string ordering_key;
  Micros deadline = 0;
  std::uint64_t sequence = 0;
  bool is_finished = false;
  std::vector<AttemptRecord> attempts;
};

// Generates the events, carries out the actions, and checks the rules.
class RandomEventTest {
 public:
  RandomEventTest(const Settings& settings, std::uint64_t seed)
      : settings_(settings), random_(seed), sender_(settings, seed) {
    for (int destination = 0; destination < 5; ++destination)
      for (int i = 0; i < 1 + destination % 3; ++i) {
        const std::string id = "e" + std::to_string(destination) + std::to_string(i);
        endpoints_.push_back(
            makeEndpoint(id, destination,
                         settings_.kinds[static_cast<std::size_t>(destination) % settings_.kinds.size()].name,
                         1 + below(20), below(2) ? "a" : "b"));
      }
    decide({EndpointListUpdate{EndpointListKind::cached, endpoints_}});
  }

  void step() {
    std::vector<Event> events;
    now_ += settings_.min_decide_interval * (1 + below(20));
    if (below(400) == 0)
      now_ += 3 * kS;  // the host was suspended
    if (timer_at_ > 0 && now_ >= timer_at_) {
      timer_at_ = 0;
      events.push_back(TimerFired{});
    }
    for (auto& [id, message] : messages_)
      if (!message.is_finished && message.sequence > 0 && below(300) == 0) {
        message.is_finished = true;
        events.push_back(MessageWithdrawn{id});
      }
    for (auto& [id, message] : messages_)  // time-outs come first: they cannot arrive late
      for (std::size_t i = 0; i < message.attempts.size(); ++i)
        if (message.attempts[i].in_flight && timeout_at_[{id, static_cast<int>(i)}] <= now_)
          events.push_back(finishAttempt(id, static_cast<int>(i), AttemptResult::timeout));
    for (int arrivals = below(4); arrivals > 0; --arrivals)
      addArrival(events);
    for (auto& [id, message] : messages_)
      for (std::size_t i = 0; i < message.attempts.size(); ++i)
        if (message.attempts[i].in_flight && below(12) == 0)
          events.push_back(finishAttempt(id, static_cast<int>(i), drawResult(message.destination)));
    if (below(60) == 0)
      addEndpointChange(events);
    if (below(90) == 0)
      events.push_back(EndpointListUpdate{EndpointListKind::failed, {}});
    if (below(50) == 0)
      events.push_back(AttemptOutcome{});  // of an unknown message
    if (!events.empty())
      decide(events);
  }

  // Lets all attempts time out, without new arrivals, and checks that all messages finish.
  void drain() {
    const Micros until = now_ + 40 * kS;
    while (now_ < until) {
      now_ += settings_.min_decide_interval;
      std::vector<Event> events;
      if (timer_at_ > 0 && now_ >= timer_at_) {
        timer_at_ = 0;
        events.push_back(TimerFired{});
      }
      for (auto& [id, message] : messages_)
        for (std::size_t i = 0; i < message.attempts.size(); ++i)
          if (message.attempts[i].in_flight && timeout_at_[{id, static_cast<int>(i)}] <= now_)
            events.push_back(finishAttempt(id, static_cast<int>(i), AttemptResult::timeout));
      if (!events.empty())
        decide(events);
    }
    for (auto& [id, message] : messages_)
      EXPECT_TRUE(message.is_finished) << id;
  }

  int final_outcomes = 0;

 private:
  int below(int bound) { return static_cast<int>(random_() % static_cast<std::uint64_t>(bound)); }

  AttemptResult drawResult(std::int64_t destination) {
    const AttemptResult bad[] = {AttemptResult::error, AttemptResult::rejected, AttemptResult::connect_failed,
                                 AttemptResult::reset, AttemptResult::not_sent};
    const bool is_in_outage = (now_ / (7 * kS) + destination) % 3 == 0;
    return below(10) < (is_in_outage ? 8 : 1) ? bad[below(5)] : AttemptResult::ok;
  }

  void addArrival(std::vector<Event>& events) {
    int open = 0;
    for (auto& [id, message] : messages_)
      open += !message.is_finished;
    if (open >= settings_.max_open_messages)
      return;
    const std::string id = "m" + std::to_string(++message_count_);
    MessageRecord message;
    message.message_class =
        &settings_.classes[static_cast<std::size_t>(below(static_cast<int>(settings_.classes.size())))];
    message.destination = below(6);  // destination 5 has no endpoint
    if (message.message_class->ordered && below(4))
      message.ordering_key = "k" + std::to_string(below(3));
    // Some messages arrive shortly before their deadline.
    message.deadline = now_ + (below(5) ? message.message_class->deadline : Micros{below(800)} * kMs);
    message.sequence = static_cast<std::uint64_t>(message_count_);
    MessageArrival arrival;
    arrival.id = id;
    arrival.message_class = message.message_class->name;
    arrival.destination = message.destination;
    arrival.ordering_key = message.ordering_key;
    arrival.deadline = message.deadline;
    arrival.tenant = "t";
    events.push_back(arrival);
    messages_[id] = message;
  }

  AttemptOutcome finishAttempt(const std::string& id, int index, AttemptResult result) {
    MessageRecord& message = messages_[id];
    AttemptRecord& attempt = message.attempts[static_cast<std::size_t>(index)];
    attempt.in_flight = false;
    attempt.result = result;
    attempt.may_have_run = result != AttemptResult::rejected && result != AttemptResult::connect_failed &&
                           result != AttemptResult::not_sent;
    if (!message.ordering_key.empty() &&
        (result == AttemptResult::timeout || result == AttemptResult::reset ||
         result == AttemptResult::cancelled))
      key_blocked_until_[message.ordering_key] =
          std::max(key_blocked_until_[message.ordering_key], now_ + settings_.ordering_backoff);
    AttemptOutcome outcome;
    outcome.id = id;
    outcome.attempt = index;
    outcome.result = result;
    outcome.round_trip = now_ - attempt.sent_at;
    if (result == AttemptResult::ok)
      message.is_finished = true;
    outcome.already_finished = message.is_finished;
    // Response headers may carry a Retry-After though the body is cut off, or the call is cancelled
    // meanwhile.
    const bool is_cut_off = result == AttemptResult::reset || result == AttemptResult::timeout ||
                            result == AttemptResult::cancelled;
    if ((result == AttemptResult::rejected && below(2)) || (is_cut_off && below(4) == 0)) {
      outcome.retry_after = (1 + below(900)) * kMs;
      const bool has_separate_routes = kindOf(attempt.endpoint).has_separate_routes;
      Micros& until = retry_after_until_[has_separate_routes ? attempt.endpoint
                                                             : "d" + std::to_string(message.destination)];
      until = std::max(until, now_ + outcome.retry_after);
    }
    if (below(2))
      outcome.limit_report = LimitReport{0.5, 1.0 + below(30)};
    return outcome;
  }

  const DestinationKind& kindOf(const std::string& endpoint_id) {
    for (const Endpoint& endpoint : endpoints_)
      if (endpoint.id == endpoint_id)
        for (const DestinationKind& kind : settings_.kinds)
          if (kind.name == endpoint.kind)
            return kind;
    return settings_.kinds[0];
  }

  void addEndpointChange(std::vector<Event>& events) {
    Endpoint& endpoint = endpoints_[static_cast<std::size_t>(below(static_cast<int>(endpoints_.size())))];
    endpoint.state = endpoint.state == EndpointState::ready
                         ? (below(2) ? EndpointState::draining : EndpointState::gone)
                         : EndpointState::ready;
    not_ready_since_[endpoint.id] = endpoint.state == EndpointState::ready ? -1 : now_;
    events.push_back(EndpointListUpdate{EndpointListKind::delta, {endpoint}});
  }

  void decide(const std::vector<Event>& events) {
    std::map<std::string, int> starts_per_endpoint;
    for (const Action& action : sender_.decide(now_, events)) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        checkStart(*start);
        ++starts_per_endpoint[start->endpoint];
      }
      if (const auto* rejection = std::get_if<RejectMessage>(&action))
        checkFinalOutcome(rejection->id, true);
      if (const auto* failure = std::get_if<FailMessage>(&action))
        checkFinalOutcome(failure->id, false);
      if (const auto* timer = std::get_if<SetTimer>(&action))
        timer_at_ = timer_at_ > now_ ? std::min(timer_at_, now_ + timer->delay) : now_ + timer->delay;
      if (const auto* cancel = std::get_if<CancelAttempt>(&action))
        timeout_at_[{cancel->id, cancel->attempt}] = now_;
    }
    int calls_in_flight = 0;
    std::map<std::pair<std::string, Micros>, int> attempts_per_call;
    for (auto& [id, message] : messages_)
      for (const AttemptRecord& attempt : message.attempts)
        if (attempt.in_flight)
          ++attempts_per_call[{attempt.endpoint, attempt.sent_at}];
    for (auto& [call, attempts] : attempts_per_call) {
      const int per_call = kindOf(call.first).messages_per_call;
      calls_in_flight += (attempts + per_call - 1) / per_call;
    }
    EXPECT_LE(calls_in_flight, settings_.max_in_flight);
    for (auto& [id, message] : messages_)
      if (!message.is_finished)
        EXPECT_LE(now_, message.deadline + 20 * kMs + 4 * kS) << id;  // the host may have been suspended
  }

  void checkFinalOutcome(const std::string& id, bool is_rejection) {
    ASSERT_TRUE(messages_.count(id)) << id;
    MessageRecord& message = messages_[id];
    EXPECT_FALSE(message.is_finished) << "two final outcomes for " << id;
    message.is_finished = true;
    ++final_outcomes;
    if (!is_rejection)
      return;
    const bool may_have_run = std::any_of(message.attempts.begin(), message.attempts.end(),
                                          [](const AttemptRecord& attempt) { return attempt.may_have_run; });
    if (may_have_run && message.message_class->idempotency == Idempotency::non_idempotent)
      ADD_FAILURE() << "rejected a non-idempotent message that may have been executed: " << id;
    if (may_have_run && message.message_class->idempotency == Idempotency::idempotency_key)
      EXPECT_EQ(message.message_class->idempotency_scope, IdempotencyScope::all) << id;
  }

  void checkStart(const StartAttempt& start) {
    ASSERT_TRUE(messages_.count(start.id)) << start.id;
    MessageRecord& message = messages_[start.id];
    EXPECT_FALSE(message.is_finished) << "attempt started after the final outcome: " << start.id;
    EXPECT_LT(static_cast<int>(message.attempts.size()), settings_.max_attempts);
    const Endpoint* endpoint = nullptr;
    for (const Endpoint& listed : endpoints_)
      if (listed.id == start.endpoint)
        endpoint = &listed;
    ASSERT_NE(endpoint, nullptr);
    EXPECT_EQ(endpoint->destination, message.destination);
    EXPECT_GT(start.timeout, 0);
    EXPECT_LE(now_ + start.timeout, message.deadline);
    if (not_ready_since_.count(endpoint->id) && not_ready_since_[endpoint->id] >= 0)
      EXPECT_LE(now_, not_ready_since_[endpoint->id] + settings_.drain_grace) << endpoint->id;
    const std::string scope =
        kindOf(endpoint->id).has_separate_routes ? endpoint->id : "d" + std::to_string(message.destination);
    if (retry_after_until_.count(scope))
      EXPECT_GE(now_, retry_after_until_[scope]) << "Retry-After of " << scope;
    if (message.attempts.empty())
      EXPECT_EQ(0, start.write_within);
    for (const AttemptRecord& attempt : message.attempts) {
      if (attempt.in_flight)
        EXPECT_TRUE(settings_.hedging_allowed) << start.id;
      if (!attempt.may_have_run)
        continue;
      EXPECT_NE(message.message_class->idempotency, Idempotency::non_idempotent)
          << "non-idempotent message sent twice: " << start.id;
      if (message.message_class->idempotency != Idempotency::idempotency_key)
        continue;
      EXPECT_GT(start.write_within, 0);  // connecting may take long
      EXPECT_LE(now_ + start.write_within, attempt.sent_at + message.message_class->idempotency_window);
      for (const Endpoint& listed : endpoints_)
        if (listed.id == attempt.endpoint &&
            message.message_class->idempotency_scope == IdempotencyScope::zone)
          EXPECT_EQ(listed.zone, endpoint->zone);
    }
    if (!message.ordering_key.empty()) {
      for (auto& [id, other] : messages_) {
        if (other.ordering_key != message.ordering_key || other.sequence >= message.sequence)
          continue;
        const bool in_flight = std::any_of(other.attempts.begin(), other.attempts.end(),
                                           [](const AttemptRecord& attempt) { return attempt.in_flight; });
        EXPECT_TRUE(other.is_finished && !in_flight) << start.id << " sent before " << id;
      }
      if (message.attempts.empty() && key_blocked_until_.count(message.ordering_key))
        EXPECT_GE(now_, key_blocked_until_[message.ordering_key]) << message.ordering_key;
    }
    message.attempts.push_back({start.endpoint, now_, true, true, AttemptResult::ok});
    timeout_at_[{start.id, static_cast<int>(message.attempts.size()) - 1}] = now_ + start.timeout;
  }

  Settings settings_;
  std::mt19937_64 random_;
  Sender sender_;
  Micros now_ = 0, timer_at_ = 0;
  int message_count_ = 0;
  std::vector<Endpoint> endpoints_;
  std::map<std::string, MessageRecord> messages_;
  std::map<std::pair<std::string, int>, Micros> timeout_at_;  // by message id and attempt
  std::map<std::string, Micros> retry_after_until_;           // by endpoint id, or "d" and the destination
  std::map<std::string, Micros> key_blocked_until_;           // by ordering key
  std::map<std::string, Micros> not_ready_since_;             // by endpoint id; -1: ready
};

TEST(DecisionProperties, HoldForRandomEventSequences) {
  for (int variant = 0; variant < 12; ++variant) {
    SCOPED_TRACE(variant);
    Settings settings = makeSettings();
    settings.max_in_flight = 1 + variant % 5 * 3;
    settings.max_open_messages = 20 + variant * 7;
    settings.max_attempts = 2 + variant % 6;
    settings.hedging_allowed = variant % 3 == 0;
    settings.cancel_allowed = variant % 2 == 0;
    settings.list_mode = variant % 2 ? ListMode::poll : ListMode::push;
    settings.weight_kind = variant % 3 == 1 ? WeightKind::nominal : WeightKind::none;
    settings.lateness_penalty = variant % 2 ? LatenessPenalty::halving : LatenessPenalty::linear;
    settings.sender_count = variant % 4 == 3 ? 200 : 1 + variant % 4;
    settings.ordering_backoff = 300 * kMs;
    if (variant % 2)
      settings.tenants = {{"t", 2.0, 0.5}};
    settings.classes[static_cast<std::size_t>(variant % 3)].ordered = true;
    if (variant % 4 == 1)
      settings.classes[1].idempotency_scope = IdempotencyScope::zone;
    RandomEventTest test(settings, static_cast<std::uint64_t>(variant) + 1);
    for (int i = 0; i < 1500; ++i)
      test.step();
    test.drain();
    EXPECT_GT(test.final_outcomes, 0);
  }
}

}  // namespace
