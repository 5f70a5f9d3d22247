// The engine between listeners and decision module, on a loop of its own: when submissions are answered, and
// how.
#include "../../src/core/delivery_engine.h"

#include <boost/asio/io_context.hpp>

#include "../../src/core/clock.h"
#include "../../src/discovery/discovery.h"
#include "../../src/knowledge/learned_state_file.h"
#include "../../src/knowledge/trust_decay.h"
#include "../decision/sender_fixture.h"
#include "../support/loopback.h"

namespace grademux {
namespace {

struct RecordingTransport : Transport {
  void setAddress(const std::string&, const std::string&) override {}
  void removeEndpoint(const std::string&) override {}
  void cancelUnwritten(const std::string& endpoint) override { cancelled.push_back(endpoint); }
  void startAttempt(const AttemptRequest& request) override { called.push_back(request.message.id); }
  void cancelAttempt(const std::string&, int) override {}
  void closeIdleConnections(const std::string&) override {}
  std::size_t attemptsInFlight() const override { return called.size(); }
  std::vector<std::string> called, cancelled;
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
  void run() {
    io.restart();
    io.run_for(std::chrono::milliseconds(20));
  }
  std::vector<SubmissionResult>& submit(const std::string& id, std::int64_t destination = 7,
                                        const std::string& body = "b") {
    Submission s;
    s.message.id = id;
    s.message.message_class = "safe";
    s.message.destination = destination;
    s.message.body = body;
    s.time_to_live = 10 * kS;
    answers.emplace_back();
    std::vector<SubmissionResult>& mine = answers.back();
    engine.submit(std::move(s), [&mine](const SubmissionResult& a) { mine.push_back(a); });
    return mine;
  }
  loopback::TempFolder folder;
  boost::asio::io_context io;
  Journal journal;
  NoticeClient notices;
  RecordingTransport transport;
  DeliveryEngine engine;
  std::deque<std::vector<SubmissionResult>> answers;
};

// Risk: the second of two submissions of one message is answered before the message is written.
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
  EXPECT_EQ(1u, fixture.transport.called.size());
  EXPECT_EQ(MessageStatus::State::open, fixture.engine.status("a").state);
}

// Risk: a final outcome is published that a restart would revoke.
TEST(DeliveryEngine, PublishesAFinalOutcomeOnceItIsWritten) {
  EngineFixture fixture;
  fixture.submit("a");
  fixture.run();
  ASSERT_EQ(1u, fixture.transport.called.size());
  std::vector<FinalOutcome> ends;
  fixture.engine.notifyWhenFinished("a", [&](const FinalOutcome& e) { ends.push_back(e); });
  AttemptOutcome o;
  o.id = "a";
  o.already_finished = true;
  fixture.engine.onAttemptFinished(o);
  EXPECT_EQ(MessageStatus::State::open, fixture.engine.status("a").state);
  EXPECT_TRUE(ends.empty());
  const auto& again = fixture.submit("a");
  ASSERT_EQ(1u, again.size());
  EXPECT_FALSE(again[0].final_outcome);
  fixture.run();
  ASSERT_EQ(1u, ends.size());
  EXPECT_EQ(FinalStatus::delivered, ends[0].status);
  EXPECT_EQ(MessageStatus::State::finished, fixture.engine.status("a").state);
  EXPECT_TRUE(fixture.submit("a")[0].final_outcome.has_value());
}

// Risk: an attempt whose connect was slow goes to an endpoint that is draining by then, or serves another
// destination.
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
  EXPECT_EQ(std::vector<std::string>{"e2"}, fixture.transport.cancelled);  // the other is as it was
  fixture.run();
  fixture.engine.onEndpointList(parseEndpointList(listed("Terminating", 7)));
  EXPECT_EQ((std::vector<std::string>{"e2", "e1"}), fixture.transport.cancelled);
  fixture.run();
  fixture.engine.onEndpointList(parseEndpointList(listed("Ready", 9)));
  EXPECT_EQ((std::vector<std::string>{"e2", "e1", "e1"}), fixture.transport.cancelled);
}

// One wait binds all endpoints of a destination, or one alone where its kind has routes apart.
TEST(DeliveryEngine, ScopesRetryAfterToTheDestinationOrASeparateRoute) {
  EngineFixture fixture;
  auto apart1 = loopback::listed("a1", "127.0.0.1:3", 8), apart2 = loopback::listed("a2", "127.0.0.1:4", 8);
  apart1["type"] = apart2["type"] = "apart";
  fixture.engine.onEndpointList(parseEndpointList(
      json{{"index", 2},
           {"snapshot", false},
           {"endpoints", json::array({loopback::listed("e2", "127.0.0.1:2", 7),
                                      loopback::listed("e3", "127.0.0.1:5", 9), apart1, apart2})}}));
  EXPECT_EQ(fixture.engine.retryAfterScope("e1"), fixture.engine.retryAfterScope("e2"));
  EXPECT_NE(fixture.engine.retryAfterScope("e1"), fixture.engine.retryAfterScope("e3"));
  EXPECT_NE(fixture.engine.retryAfterScope("a1"), fixture.engine.retryAfterScope("a2"));
  EXPECT_NE(fixture.engine.retryAfterScope("gone"), fixture.engine.retryAfterScope("gone too"));
}

// Risk: a list of 20,000 is one turn, and nothing is sent before all of it was heard.
TEST(DeliveryEngine, AppliesALongListInSlicesWhileDeliveriesContinue) {
  EngineFixture fixture;
  std::vector<std::size_t> slices;
  std::vector<std::string> sent_between;
  std::size_t heard = 1;
  fixture.engine.setObserver(
      [&](Micros, const std::vector<Event>& events, const std::vector<Action>& actions) {
        for (const Event& e : events)
          if (const auto* u = std::get_if<EndpointListUpdate>(&e)) {
            slices.push_back(u->endpoints.size());
            heard += u->endpoints.size();
          }
        for (const Action& a : actions)
          if (const auto* s = std::get_if<StartAttempt>(&a))
            if (heard < 20'000)
              sent_between.push_back(s->id);
      });
  json all = json::array({loopback::listed("e1", "127.0.0.1:1", 7)});
  for (int i = 2; i <= 20'000; ++i)
    all.push_back(loopback::listed("e" + std::to_string(i), "127.0.0.1:1", 100 + i));
  EXPECT_EQ(2, fixture.engine.onEndpointList(
                   parseEndpointList(json{{"index", 2}, {"snapshot", true}, {"endpoints", all}})));
  const auto& answers = fixture.submit("m1");
  for (int i = 0; i < 2000 && heard < 20'000; ++i)
    fixture.run();
  EXPECT_EQ(heard, 20'000u);
  EXPECT_EQ(slices.size(), 20u);
  for (const std::size_t s : slices)
    EXPECT_LE(s, 1000u);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers[0].kind, SubmissionResult::Kind::accepted);
  EXPECT_EQ(sent_between, std::vector<std::string>{"m1"});
  // Of a later whole list that differs in one entry, one is heard.
  all[5]["status"] = "Terminating";
  fixture.engine.onEndpointList(
      parseEndpointList(json{{"index", 3}, {"snapshot", true}, {"endpoints", all}}));
  fixture.run();
  EXPECT_EQ(slices.back(), 1u);
}

// Risk: messages for a destination whose last endpoint has just left are turned away as unknown.
TEST(DeliveryEngine, KnowsARemovedDestinationAsLongAsAMessageMayLast) {
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

// State of an endpoint at another address, of a destination that is no longer listed, or that is too old, is
// dropped.
TEST(DeliveryEngine, RecoversLearnedStateForTheSameAddressAlone) {
  for (const bool same : {true, false}) {
    EngineFixture fixture;
    std::vector<LearnedEndpoint> heard;
    std::size_t pools = 0;
    fixture.engine.setObserver([&](Micros, const std::vector<Event>& events, const std::vector<Action>&) {
      for (const Event& e : events) {
        if (const auto* l = std::get_if<LearnedEndpoint>(&e))
          heard.push_back(*l);
        pools += std::holds_alternative<LearnedPool>(e);
      }
    });
    knowledge::LearnedStateFile book;
    LearnedEndpoint l;
    l.destination = 7;
    l.rate_limit = 50;
    l.typical_latency = 30'000;
    l.samples = 20;
    l.last_outcome_at = l.last_message_at = unixNow() - kS;
    book.records.push_back({l, ""});
    l.endpoint = "e1";
    book.records.push_back({l, same ? "127.0.0.1:1" : "127.0.0.1:2"});
    l.endpoint = "gone";
    book.records.push_back({l, "127.0.0.1:1"});
    l.endpoint = "";
    l.destination = 8;
    book.records.push_back({l, ""});
    l.destination = 7;
    l.last_outcome_at = l.last_message_at = unixNow() - 48 * 3600 * kS;
    book.records.push_back({l, ""});
    book.pool = {20'000, 30, 0, 0, 0, unixNow()};
    fixture.engine.recover({}, knowledge::TrustDecayPolicy(), book);
    ASSERT_EQ(heard.size(), same ? 2u : 1u);
    EXPECT_EQ(heard[0].endpoint, "");
    EXPECT_NEAR(static_cast<double>(monotonicNow() - heard[0].last_outcome_at), 1e6, 5e5);
    EXPECT_EQ(pools, 1u);
    if (same) {
      EXPECT_EQ(heard[1].endpoint, "e1");
    }
  }
}

// Risk: an export never completes, or lacks the address that a record is valid for.
TEST(DeliveryEngine, ExportsLearnedStateWithAddressesAndInUnixTime) {
  EngineFixture fixture;
  fixture.submit("a");
  fixture.run();
  AttemptOutcome o;
  o.id = "a";
  o.round_trip = 30 * kMs;
  o.already_finished = true;
  fixture.engine.onAttemptFinished(std::move(o));
  fixture.run();
  std::vector<knowledge::LearnedRecord> known;
  int told = 0;
  fixture.engine.exportLearned(INT64_MIN, 10,
                               [&](std::vector<knowledge::LearnedRecord> k, const LearnedExported& end) {
                                 known = std::move(k);
                                 ++told;
                                 EXPECT_TRUE(end.complete);
                               });
  fixture.run();
  EXPECT_EQ(told, 1);
  ASSERT_EQ(known.size(), 2u);
  EXPECT_EQ(known[1].learned.endpoint, "e1");
  EXPECT_EQ(known[1].address, "127.0.0.1:1");
  EXPECT_EQ(known[1].learned.typical_latency, 30 * kMs);
  EXPECT_NEAR(static_cast<double>(known[0].learned.last_outcome_at), static_cast<double>(unixNow()), 5e6);
  EXPECT_EQ(fixture.engine.learnedState().records.size(), 2u);
}

// A guard whose permission the test revokes.
struct RevocableGuard : ActionGuard {
  bool isActionAllowed() override { return allowed; }
  const std::string& version() override { return text; }
  std::string versionStamp(std::int64_t number) override { return "1." + std::to_string(number); }
  bool allowed = true;
  std::string text = "{\"plan\":1}";
};

// Risk: the permission ends between two iterations, and what arrived before is accepted or sent all the same.
TEST(DeliveryEngine, AcceptsAndSendsNothingOnceTheGuardForbidsIt) {
  EngineFixture fixture;
  RevocableGuard guard;
  fixture.engine.setActionGuard(&guard);
  fixture.submit("a");
  fixture.run();
  ASSERT_EQ(1u, fixture.transport.called.size());
  EXPECT_EQ(Journal::readMessage(fixture.folder.path(), "a").attempts.at(0).version, 1u);
  const auto& late = fixture.submit("b");
  guard.allowed = false;
  fixture.run();
  ASSERT_EQ(1u, late.size());
  EXPECT_EQ(SubmissionResult::Kind::rejected, late[0].kind);
  EXPECT_EQ(1u, fixture.transport.called.size());
  EXPECT_FALSE(Journal::readMessage(fixture.folder.path(), "b").found);  // a restart would resume it
  const auto& again = fixture.submit("b");  // harmless: it may be submitted again
  guard.allowed = true;
  fixture.run();
  EXPECT_EQ(SubmissionResult::Kind::accepted, again.at(0).kind);
  EXPECT_EQ(2u, fixture.transport.called.size());
}

// Risk: an open message is lost or sent while the engine is closed, or not sent once it is open again.
TEST(DeliveryEngine, HoldsOpenMessagesWhileClosedAndSendsThemWhenOpened) {
  EngineFixture fixture;
  fixture.submit("a");
  fixture.run();
  AttemptOutcome o;
  o.id = "a";
  o.result = AttemptResult::connect_failed;
  fixture.engine.close();
  fixture.engine.onAttemptFinished(o);
  fixture.run();
  EXPECT_EQ(1u, fixture.transport.called.size());  // its retry waits
  EXPECT_EQ(SubmissionResult::Kind::rejected, fixture.submit("b").at(0).kind);
  EXPECT_EQ(MessageStatus::State::open, fixture.engine.status("a").state);
  fixture.engine.open();
  for (int i = 0; i < 200 && fixture.transport.called.size() < 2; ++i)
    fixture.run();
  EXPECT_EQ(2u, fixture.transport.called.size());
}

}  // namespace
}  // namespace grademux
