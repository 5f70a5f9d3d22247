// The delivery engine with a recording transport on its own event loop: when and how submissions are
// answered, and what the decision module and the transport get.
#include "../../src/core/delivery_engine.h"

#include <boost/asio/io_context.hpp>

#include "../../src/core/clock.h"
#include "../../src/discovery/notice_client.h"
#include "../../src/knowledge/learned_state_file.h"
#include "../../src/knowledge/trust_decay.h"
#include "../decision/sender_fixture.h"
#include "../support/loopback.h"

namespace grademux {
namespace {

struct RecordingTransport : Transport {
  void setAddress(const std::string&, const std::string&, Micros) override {}
  void removeEndpoint(const std::string&) override {}
  void cancelUnwritten(const std::string& endpoint) override { cancelled.push_back(endpoint); }
  void startAttempt(const AttemptRequest& request) override {
    started.push_back(request.message.id);
    may_have_run.push_back(request.may_have_run);
  }
  void cancelAttempt(const std::string&, int) override {}
  void closeIdleConnections(const std::string&) override {}
  std::size_t attemptsInFlight() const override { return started.size(); }
  std::vector<std::string> started, cancelled;  // message ids, endpoints
  std::vector<bool> may_have_run;               // of each started attempt
};

struct EngineFixture {
  EngineFixture()
      : journal(folder.path(), 3'000'000),
        notices(Agent(io, {}, "none"), [](const std::string&) {}),
        engine(io, makeSettings(), 1, journal, transport, notices) {
    engine.onEndpointList(
        parseEndpointList(json{{"index", 1},
                               {"snapshot", true},
                               {"endpoints", json::array({loopback::listed("e1", "127.0.0.1:1", 7)})}}));
    run();
  }
  // Runs the event loop for 20 ms.
  void run() {
    io.restart();
    io.run_for(std::chrono::milliseconds(20));
  }
  // Returns the results of the submission, to which each answer is added.
  std::vector<SubmissionResult>& submit(const std::string& id, std::int64_t destination = 7,
                                        const std::string& body = "b") {
    Submission submission;
    submission.message.id = id;
    submission.message.message_class = "safe";
    submission.message.destination = destination;
    submission.message.body = body;
    submission.time_to_live = 10 * kS;
    answers.emplace_back();
    std::vector<SubmissionResult>& results = answers.back();
    engine.submit(std::move(submission),
                  [&results](const SubmissionResult& result) { results.push_back(result); });
    return results;
  }
  loopback::TempFolder folder;
  boost::asio::io_context io;
  Journal journal;
  NoticeClient notices;
  RecordingTransport transport;
  DeliveryEngine engine;
  std::deque<std::vector<SubmissionResult>> answers;
};

// Guards against answering the second of two submissions of one message before the message is written.
TEST(DeliveryEngine, AnswersASecondSubmissionInOneIterationLikeTheFirst) {
  EngineFixture fixture;
  const auto& first = fixture.submit("a");
  const auto& second = fixture.submit("a");
  const auto& other = fixture.submit("a", 7, "other");
  EXPECT_TRUE(first.empty() && second.empty());
  ASSERT_EQ(1u, other.size());
  EXPECT_EQ(SubmissionResult::Kind::conflict, other[0].kind);
  EXPECT_EQ(MessageStatus::State::unknown, fixture.engine.status("a").state);  // not written yet
  fixture.run();
  ASSERT_EQ(1u, first.size());
  ASSERT_EQ(1u, second.size());
  EXPECT_EQ(SubmissionResult::Kind::accepted, second[0].kind);
  EXPECT_EQ(1u, fixture.transport.started.size());
  EXPECT_EQ(MessageStatus::State::open, fixture.engine.status("a").state);
}

// Guards against publishing a final outcome before it is written: a restart would revoke it.
TEST(DeliveryEngine, PublishesAFinalOutcomeOnceItIsWritten) {
  EngineFixture fixture;
  fixture.submit("a");
  fixture.run();
  ASSERT_EQ(1u, fixture.transport.started.size());
  std::vector<FinalOutcome> outcomes;
  const auto subscription = fixture.engine.notifyWhenFinished(
      "a", [&](const FinalOutcome& outcome) { outcomes.push_back(outcome); });
  AttemptOutcome outcome;
  outcome.id = "a";
  outcome.already_finished = true;
  fixture.engine.onAttemptFinished(outcome);
  EXPECT_EQ(MessageStatus::State::open, fixture.engine.status("a").state);
  EXPECT_TRUE(outcomes.empty());
  const auto& again = fixture.submit("a");
  ASSERT_EQ(1u, again.size());
  EXPECT_FALSE(again[0].final_outcome);
  fixture.run();
  ASSERT_EQ(1u, outcomes.size());
  EXPECT_EQ(FinalStatus::delivered, outcomes[0].status);
  EXPECT_EQ(MessageStatus::State::finished, fixture.engine.status("a").state);
  EXPECT_TRUE(fixture.submit("a")[0].final_outcome.has_value());
}

// Guards against an attempt on a connection where the response to a message that has run before, which may
// come at once, would be mistaken for a late copy. Attempts that were rejected have not run.
TEST(DeliveryEngine, TellsTransportWhetherAnEarlierAttemptMayHaveRun) {
  EngineFixture fixture;
  fixture.submit("a");
  const auto started = [&](std::size_t count) {
    return loopback::eventually([&] {
      fixture.run();
      return fixture.transport.started.size() >= count;
    });
  };
  AttemptOutcome outcome;
  outcome.id = "a";
  ASSERT_TRUE(started(1));
  for (const AttemptResult result :
       {AttemptResult::rejected, AttemptResult::timeout, AttemptResult::rejected}) {
    outcome.result = result;
    fixture.engine.onAttemptFinished(outcome);
    ++outcome.attempt;
    ASSERT_TRUE(started(static_cast<std::size_t>(outcome.attempt) + 1));
  }
  EXPECT_EQ((std::vector<bool>{false, false, true, true}), fixture.transport.may_have_run);
}

// Guards against sending an attempt after a slow connect to an endpoint that is draining by then, or that
// serves another destination.
TEST(DeliveryEngine, CancelsUnwrittenAttemptsWhenTheEndpointChanges) {
  EngineFixture fixture;
  fixture.transport.cancelled.clear();
  const auto listed = [&](const std::string& status, int group) {
    return json{{"index", 2},
                {"snapshot", false},
                {"endpoints", json::array({loopback::listed("e1", "127.0.0.1:1", group, status),
                                           loopback::listed("e2", "127.0.0.1:2", 8)})}};
  };
  fixture.engine.onEndpointList(parseEndpointList(listed("Ready", 7)));
  EXPECT_EQ(std::vector<std::string>{"e2"}, fixture.transport.cancelled);  // e1 has not changed
  fixture.run();
  fixture.engine.onEndpointList(parseEndpointList(listed("Terminating", 7)));
  EXPECT_EQ((std::vector<std::string>{"e2", "e1"}), fixture.transport.cancelled);
  fixture.run();
  fixture.engine.onEndpointList(parseEndpointList(listed("Ready", 9)));
  EXPECT_EQ((std::vector<std::string>{"e2", "e1", "e1"}), fixture.transport.cancelled);
}

// A Retry-After applies to all endpoints of a destination, or to one endpoint alone if its kind has separate
// routes.
TEST(DeliveryEngine, ScopesRetryAfterToTheDestinationOrASeparateRoute) {
  EngineFixture fixture;
  auto separate1 = loopback::listed("a1", "127.0.0.1:3", 8),
       separate2 = loopback::listed("a2", "127.0.0.1:4", 8);
  separate1["type"] = separate2["type"] = "apart";
  fixture.engine.onEndpointList(parseEndpointList(
      json{{"index", 2},
           {"snapshot", false},
           {"endpoints", json::array({loopback::listed("e2", "127.0.0.1:2", 7),
                                      loopback::listed("e3", "127.0.0.1:5", 9), separate1, separate2})}}));
  EXPECT_EQ(fixture.engine.retryAfterScope("e1"), fixture.engine.retryAfterScope("e2"));
  EXPECT_NE(fixture.engine.retryAfterScope("e1"), fixture.engine.retryAfterScope("e3"));
  EXPECT_NE(fixture.engine.retryAfterScope("a1"), fixture.engine.retryAfterScope("a2"));
  EXPECT_NE(fixture.engine.retryAfterScope("gone"), fixture.engine.retryAfterScope("gone too"));
}

// Guards against processing a list of 20,000 endpoints in one iteration, during which no message is sent.
TEST(DeliveryEngine, AppliesALongListInSlicesWhileDeliveriesContinue) {
  EngineFixture fixture;
  std::vector<std::size_t> slices;
  std::vector<std::string> sent_between;
  std::size_t received = 1;
  fixture.engine.setObserver(
      [&](Micros, const std::vector<Event>& events, const std::vector<Action>& actions) {
        for (const Event& event : events)
          if (const auto* update = std::get_if<EndpointListUpdate>(&event)) {
            slices.push_back(update->endpoints.size());
            received += update->endpoints.size();
          }
        for (const Action& action : actions)
          if (const auto* start = std::get_if<StartAttempt>(&action))
            if (received < 20'000)
              sent_between.push_back(start->id);
      });
  json entries = json::array({loopback::listed("e1", "127.0.0.1:1", 7)});
  for (int i = 2; i <= 20'000; ++i)
    entries.push_back(loopback::listed("e" + std::to_string(i), "127.0.0.1:1", 100 + i));
  EXPECT_EQ(2, fixture.engine.onEndpointList(
                   parseEndpointList(json{{"index", 2}, {"snapshot", true}, {"endpoints", entries}})));
  const auto& answers = fixture.submit("m1");
  for (int i = 0; i < 2000 && received < 20'000; ++i)
    fixture.run();
  EXPECT_EQ(received, 20'000u);
  EXPECT_EQ(slices.size(), 20u);
  for (const std::size_t size : slices)
    EXPECT_LE(size, 1000u);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, SubmissionResult::Kind::accepted);
  EXPECT_EQ(sent_between, std::vector<std::string>{"m1"});
  // A later snapshot that differs in one entry causes one change.
  entries[5]["status"] = "Terminating";
  fixture.engine.onEndpointList(
      parseEndpointList(json{{"index", 3}, {"snapshot", true}, {"endpoints", entries}}));
  fixture.run();
  EXPECT_EQ(slices.back(), 1u);
}

// Guards against rejecting messages as invalid whose destination has just lost its last endpoint.
TEST(DeliveryEngine, AcceptsMessagesForARecentlyRemovedDestination) {
  EngineFixture fixture;
  fixture.engine.onEndpointList(
      parseEndpointList(json{{"index", 2}, {"snapshot", true}, {"endpoints", json::array()}}));
  fixture.run();
  const auto& answers = fixture.submit("m1");
  const auto& other = fixture.submit("m2", 99);
  fixture.run();
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, SubmissionResult::Kind::accepted);
  ASSERT_EQ(other.size(), 1u);
  EXPECT_EQ(other[0].code, "unknown-destination");
}

// Learned state is dropped if it is too old, if its endpoint is listed at another address, or if its
// destination is not listed.
TEST(DeliveryEngine, RecoversLearnedStateForTheSameAddressAlone) {
  for (const bool same_address : {true, false}) {
    EngineFixture fixture;
    std::vector<LearnedEndpoint> received;
    std::size_t pools = 0;
    fixture.engine.setObserver([&](Micros, const std::vector<Event>& events, const std::vector<Action>&) {
      for (const Event& event : events) {
        if (const auto* learned = std::get_if<LearnedEndpoint>(&event))
          received.push_back(*learned);
        pools += std::holds_alternative<LearnedPool>(event);
      }
    });
    knowledge::LearnedStateFile stored;
    LearnedEndpoint learned;
    learned.destination = 7;
    learned.rate_limit = 50;
    learned.typical_latency = 30'000;
    learned.samples = 20;
    learned.last_outcome_at = learned.last_message_at = unixNow() - kS;
    stored.records.push_back({learned, ""});
    learned.endpoint = "e1";
    stored.records.push_back({learned, same_address ? "127.0.0.1:1" : "127.0.0.1:2"});
    learned.endpoint = "gone";
    stored.records.push_back({learned, "127.0.0.1:1"});
    learned.endpoint = "";
    learned.destination = 8;
    stored.records.push_back({learned, ""});
    learned.destination = 7;
    learned.last_outcome_at = learned.last_message_at = unixNow() - 48 * 3600 * kS;
    stored.records.push_back({learned, ""});
    stored.pool = {20'000, 30, 0, 0, 0, unixNow()};
    fixture.engine.recover({}, knowledge::TrustDecayPolicy(), stored);
    ASSERT_EQ(received.size(), same_address ? 2u : 1u);
    EXPECT_EQ(received[0].endpoint, "");
    EXPECT_NEAR(static_cast<double>(monotonicNow() - received[0].last_outcome_at), 1e6, 5e5);
    EXPECT_EQ(pools, 1u);
    if (same_address) {
      EXPECT_EQ(received[1].endpoint, "e1");
    }
  }
}

// Guards against what was learned of a process and is taken for the state of one that has started at its
// address since.
TEST(DeliveryEngine, RecoversNoLearnedStateOfAnEarlierProcessAtTheAddress) {
  for (const bool started_since : {false, true}) {
    EngineFixture fixture;
    json entry = loopback::listed("e1", "127.0.0.1:1", 7);
    entry["since_ms"] = (unixNow() + (started_since ? -kS / 2 : -2 * kS)) / 1000;
    fixture.engine.onEndpointList(
        parseEndpointList(json{{"index", 2}, {"snapshot", true}, {"endpoints", json::array({entry})}}));
    fixture.run();
    std::vector<std::string> received;
    fixture.engine.setObserver([&](Micros, const std::vector<Event>& events, const std::vector<Action>&) {
      for (const Event& event : events)
        if (const auto* learned = std::get_if<LearnedEndpoint>(&event))
          received.push_back(learned->endpoint);
    });
    knowledge::LearnedStateFile stored;
    LearnedEndpoint learned;
    learned.endpoint = "e1";
    learned.destination = 7;
    learned.rate_limit = 50;
    learned.typical_latency = 30'000;
    learned.samples = 20;
    learned.last_outcome_at = learned.last_message_at = unixNow() - kS;
    stored.records.push_back({learned, "127.0.0.1:1"});
    fixture.engine.recover({}, knowledge::TrustDecayPolicy(), stored);
    EXPECT_EQ(started_since ? std::vector<std::string>{} : std::vector<std::string>{"e1"}, received);
  }
}

// Guards against an export that never completes, or whose records lack the address for which they are valid.
TEST(DeliveryEngine, ExportsLearnedStateWithAddressesAndInUnixTime) {
  EngineFixture fixture;
  fixture.submit("a");
  fixture.run();
  AttemptOutcome outcome;
  outcome.id = "a";
  outcome.round_trip = 30 * kMs;
  outcome.already_finished = true;
  fixture.engine.onAttemptFinished(std::move(outcome));
  fixture.run();
  std::vector<knowledge::LearnedRecord> exported;
  int exports = 0;
  fixture.engine.exportLearned(
      INT64_MIN, 10, [&](std::vector<knowledge::LearnedRecord> records, const LearnedExported& end) {
        exported = std::move(records);
        ++exports;
        EXPECT_TRUE(end.complete);
      });
  fixture.run();
  EXPECT_EQ(exports, 1);
  ASSERT_EQ(exported.size(), 2u);
  EXPECT_EQ(exported[1].learned.endpoint, "e1");
  EXPECT_EQ(exported[1].address, "127.0.0.1:1");
  EXPECT_EQ(exported[1].learned.typical_latency, 30 * kMs);
  EXPECT_NEAR(static_cast<double>(exported[0].learned.last_outcome_at), static_cast<double>(unixNow()), 5e6);
  EXPECT_EQ(fixture.engine.learnedState().records.size(), 2u);
}

// A guard whose permission the test can revoke.
struct RevocableGuard : ActionGuard {
  bool isActionAllowed() override { return allowed; }
  const std::string& version() override { return text; }
  std::string versionStamp(std::int64_t number) override { return "1." + std::to_string(number); }
  bool allowed = true;
  std::string text = "{\"plan\":1}";
};

// Guards against accepting or sending a message that arrived before the guard revoked the permission, between
// two iterations.
TEST(DeliveryEngine, AcceptsAndSendsNothingOnceTheGuardForbidsIt) {
  EngineFixture fixture;
  RevocableGuard guard;
  fixture.engine.setActionGuard(&guard);
  fixture.submit("a");
  fixture.run();
  ASSERT_EQ(1u, fixture.transport.started.size());
  EXPECT_EQ(Journal::readMessage(fixture.folder.path(), "a").attempts.at(0).version, 1u);
  const auto& late = fixture.submit("b");
  guard.allowed = false;
  fixture.run();
  ASSERT_EQ(1u, late.size());
  EXPECT_EQ(SubmissionResult::Kind::rejected, late[0].kind);
  EXPECT_EQ(1u, fixture.transport.started.size());
  // If the message were in the journal, a restart would deliver it.
  EXPECT_FALSE(Journal::readMessage(fixture.folder.path(), "b").found);
  const auto& again = fixture.submit("b");  // the rejected message may be submitted again
  guard.allowed = true;
  fixture.run();
  EXPECT_EQ(SubmissionResult::Kind::accepted, again.at(0).kind);
  EXPECT_EQ(2u, fixture.transport.started.size());
}

// Guards against losing or sending an open message while the engine is closed, and against not sending it
// after the engine is opened.
TEST(DeliveryEngine, HoldsOpenMessagesWhileClosedAndSendsThemWhenOpened) {
  EngineFixture fixture;
  fixture.submit("a");
  fixture.run();
  AttemptOutcome outcome;
  outcome.id = "a";
  outcome.result = AttemptResult::connect_failed;
  fixture.engine.close();
  fixture.engine.onAttemptFinished(outcome);
  fixture.run();
  EXPECT_EQ(1u, fixture.transport.started.size());  // the retry waits
  EXPECT_EQ(SubmissionResult::Kind::rejected, fixture.submit("b").at(0).kind);
  EXPECT_EQ(MessageStatus::State::open, fixture.engine.status("a").state);
  fixture.engine.open();
  for (int i = 0; i < 200 && fixture.transport.started.size() < 2; ++i)
    fixture.run();
  EXPECT_EQ(2u, fixture.transport.started.size());
}

}  // namespace
}  // namespace grademux
