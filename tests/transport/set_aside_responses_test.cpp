// A response that is set aside because it may be a late copy, and each event that can end its attempt: it is
// the message's delivery, a message that may have run, or a wait, and never nothing. Over loopback sockets;
// the test holds and releases the bytes.
#include <tuple>

#include "transport_fixture.h"

namespace grademux {
namespace {

constexpr Micros kWait = 5'000'000;         // of the 429
constexpr Micros kShortLimit = 900'000;     // of the attempt, where the test waits for the limit
constexpr std::size_t kStatusLineCut = 30;  // behind the status line

enum class Arrived { ok, two_oks, rejected_with_wait, unavailable, part_of_ok };
enum class End {
  limit,
  cancelled_then_limit,
  cancelled_then_own_response,
  close,
  reset,
  malformed_bytes,
  part_of_own_response,
  endpoint_drained,
  endpoint_removed,
  endpoint_replaced,
  settled
};

const char* nameOf(Arrived arrived) {
  constexpr const char* kNames[] = {"Ok", "TwoOks", "RejectedWithWait", "Unavailable", "PartOfOk"};
  return kNames[static_cast<int>(arrived)];
}

const char* nameOf(End end) {
  constexpr const char* kNames[] = {"Limit",
                                    "CancelledThenLimit",
                                    "CancelledThenOwnResponse",
                                    "Close",
                                    "Reset",
                                    "MalformedBytes",
                                    "PartOfOwnResponse",
                                    "EndpointDrained",
                                    "EndpointRemoved",
                                    "EndpointReplaced",
                                    "Settled"};
  return kNames[static_cast<int>(end)];
}

std::string repeatedResponse(Arrived arrived) {
  if (arrived == Arrived::rejected_with_wait)
    return answer("429 Slow", "Retry-After: 5\r\n");
  if (arrived == Arrived::unavailable)
    return answer("503 Full");
  return answer("200 OK", "X-Pressure: x0=0.4,x1=25\r\n", "done");
}

AttemptResult repeatedResult(Arrived arrived) {
  const bool is_rejection = arrived == Arrived::rejected_with_wait || arrived == Arrived::unavailable;
  return is_rejection ? AttemptResult::rejected : AttemptResult::ok;
}

struct EndedAttempt : LateCopyFixture {
  EndedAttempt(Arrived arrived, End end)
      : LateCopyFixture(repeatedResponse(arrived), repeatedResult(arrived)) {
    const bool awaits_limit = end == End::limit || end == End::cancelled_then_limit ||
                              end == End::endpoint_drained || end == End::endpoint_removed ||
                              end == End::endpoint_replaced;
    startSecondAttempt(awaits_limit ? kShortLimit : 60'000'000);
    sendRepeated(arrived);
    rest();
    EXPECT_EQ(1u, outcomes.size());
    bringAbout(end);
    outcome = waitFor(2);
    EXPECT_EQ(0u, transport.attemptsInFlight());
    EXPECT_EQ(0u, transport.idleConnections());
  }

  void sendRepeated(Arrived arrived) {
    if (arrived == Arrived::part_of_ok)
      return ManualServer::send(fd, kFirstResponse.substr(0, kStatusLineCut));
    ManualServer::send(fd, arrived == Arrived::two_oks ? kFirstResponse + kFirstResponse : kFirstResponse);
  }

  void bringAbout(End end) {
    switch (end) {
      case End::limit:
        return;
      case End::cancelled_then_limit:
        return transport.cancelAttempt("second", 0);
      case End::cancelled_then_own_response:
        transport.cancelAttempt("second", 0);
        return ManualServer::send(fd, answer("500 Own"));
      case End::close:
        ::shutdown(fd, SHUT_WR);
        return;
      case End::reset:
        return resetConnection();
      case End::malformed_bytes:
        return ManualServer::send(fd, "\x16\x03 200 \r\n");
      case End::part_of_own_response:
        ManualServer::send(fd, "HTTP/1.1 500 Own\r\nContent-");
        ::shutdown(fd, SHUT_WR);
        return;
      case End::endpoint_drained:
        return transport.cancelUnwritten("e");
      case End::endpoint_removed:
        return transport.removeEndpoint("e");
      case End::endpoint_replaced:
        return transport.setAddress("e", loopback::closedAddress(), 7);
      case End::settled:
        return transport.settleResponsesSetAside();
    }
  }

  void resetConnection() {
    const linger at_once{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(std::exchange(fd, -1));
  }

  AttemptOutcome outcome;
};

bool mayHaveRun(const AttemptOutcome& outcome) {
  return outcome.is_unverified || outcome.result == AttemptResult::reset ||
         outcome.result == AttemptResult::timeout || outcome.result == AttemptResult::cancelled ||
         outcome.result == AttemptResult::error;
}

class SetAsideResponses : public ::testing::TestWithParam<std::tuple<Arrived, End>> {};

// Guards against a 200 that is forgotten when its attempt ends in another way than by the limit: the message
// is called again after its delivery (review/8). The same for a wait, and for a rejection that may be a
// late copy: a payment that may be executing would be sent again.
TEST_P(SetAsideResponses, AreDeliveryMayHaveRunOrWaitWhateverEndsTheAttempt) {
  const auto [arrived, end] = GetParam();
  const EndedAttempt ended(arrived, end);
  const bool has_other_response = end == End::cancelled_then_own_response || end == End::part_of_own_response;
  const bool is_ok = arrived == Arrived::ok || arrived == Arrived::two_oks;
  if (is_ok && !has_other_response) {
    EXPECT_EQ(AttemptResult::ok, ended.outcome.result);
    EXPECT_TRUE(ended.outcome.already_finished);
    EXPECT_FALSE(ended.outcome.is_unverified);
  } else {
    EXPECT_FALSE(ended.outcome.already_finished);
    EXPECT_TRUE(mayHaveRun(ended.outcome));
  }
  const bool has_wait = arrived == Arrived::rejected_with_wait;
  if (has_wait && !has_other_response) {
    EXPECT_GT(ended.outcome.retry_after, 0);
    EXPECT_LT(ended.outcome.retry_after, kWait);  // from its arrival, not from the end of the attempt
  }
  EXPECT_EQ(arrived == Arrived::two_oks ? 2u : 1u, ended.set_aside.size());
  EXPECT_EQ(has_wait ? kWait : 0, ended.set_aside[0].retry_after);
}

INSTANTIATE_TEST_SUITE_P(
    Table, SetAsideResponses,
    ::testing::Combine(
        ::testing::Values(Arrived::ok, Arrived::two_oks, Arrived::rejected_with_wait, Arrived::unavailable),
        ::testing::Values(End::limit, End::cancelled_then_limit, End::cancelled_then_own_response, End::close,
                          End::reset, End::malformed_bytes, End::part_of_own_response, End::endpoint_drained,
                          End::endpoint_removed, End::endpoint_replaced, End::settled)),
    [](const auto& row) {
      return std::string(nameOf(std::get<Arrived>(row.param))) + nameOf(std::get<End>(row.param));
    });

class PartsOfResponses : public ::testing::TestWithParam<End> {};

// A part of a response that may be a late copy tells nothing: the message may have run.
TEST_P(PartsOfResponses, MayHaveRunWhateverEndsTheAttempt) {
  const EndedAttempt ended(Arrived::part_of_ok, GetParam());
  EXPECT_FALSE(ended.outcome.already_finished);
  EXPECT_TRUE(mayHaveRun(ended.outcome));
  EXPECT_TRUE(ended.set_aside.empty());
}

INSTANTIATE_TEST_SUITE_P(Table, PartsOfResponses,
                         ::testing::Values(End::limit, End::cancelled_then_limit, End::close, End::reset,
                                           End::malformed_bytes, End::endpoint_removed),
                         [](const auto& row) { return std::string(nameOf(row.param)); });

// Guards against a delivery that is not believed because it came early, on a connection on which no 200 came
// that it could be a copy of.
TEST(HttpTransport, BelievesEarlyPartOf200WhereNo200CameBefore) {
  for (const bool cancelled : {true, false}) {
    LateCopyFixture fixture(answer("503 Full"), AttemptResult::rejected);
    fixture.startSecondAttempt();
    ManualServer::send(fixture.fd, answer("200 OK").substr(0, kStatusLineCut));
    fixture.rest();
    if (cancelled)
      fixture.transport.cancelAttempt("second", 0);
    else
      ::shutdown(fixture.fd, SHUT_WR);
    const AttemptOutcome outcome = fixture.waitFor(2);
    EXPECT_EQ(AttemptResult::ok, outcome.result);
    EXPECT_TRUE(outcome.already_finished);
  }
}

// Guards against a delivery that is reported only at the limit, which may be the message's deadline: the
// message would end undelivered at the same moment.
TEST(HttpTransport, TakesResponseSetAsideBeforeTheLimit) {
  constexpr std::chrono::milliseconds kIterationsOfTheEngine{10};
  LateCopyFixture fixture;
  fixture.transport.startAttempt({fixture.message("second"), 0, "e", kShortLimit});
  const auto limit = std::chrono::steady_clock::now() + std::chrono::microseconds(kShortLimit);
  ManualServer::readRequest(fixture, fixture.fd);
  ManualServer::send(fixture.fd, fixture.kFirstResponse);
  std::size_t outcomes_in_time = 0;
  boost::asio::steady_timer shortly_before(fixture.io, limit - kIterationsOfTheEngine);
  shortly_before.async_wait(
      [&](const boost::system::error_code&) { outcomes_in_time = fixture.outcomes.size(); });
  fixture.io.restart();
  fixture.io.run_until(limit);
  EXPECT_EQ(AttemptResult::ok, fixture.waitFor(2).result);
  EXPECT_EQ(2u, outcomes_in_time);
}

// Guards against a bound on early responses that stays where the endpoint's slow first responses left it:
// each response of an endpoint that has become faster would be set aside.
TEST(HttpTransport, BoundOnEarlyResponsesFollowsEndpointThatHasBecomeFaster) {
  LateCopyFixture fixture;  // 1.2 s: a response of the same connection within 300 ms may be a copy
  constexpr std::chrono::milliseconds kFaster{320}, kFastest{240};
  for (const auto& [id, response_time] : {std::pair("second", kFaster), std::pair("third", kFastest)}) {
    const std::size_t before = fixture.outcomes.size();
    fixture.transport.startAttempt({fixture.message(id), 0, "e", 60'000'000});
    ManualServer::readRequest(fixture, fixture.fd);
    fixture.io.restart();
    fixture.io.run_for(response_time);
    ManualServer::send(fixture.fd, fixture.kFirstResponse);
    EXPECT_EQ(AttemptResult::ok, fixture.waitFor(before + 1).result);
    fixture.rest();
  }
  EXPECT_TRUE(fixture.set_aside.empty());
}

}  // namespace
}  // namespace grademux
